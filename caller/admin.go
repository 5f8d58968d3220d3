package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/entry"
	"github.com/currantloft/currantloft/waits"
)

const statusInterval = 100 * time.Millisecond

// ConflictError reports that another configuration was applied first.
type ConflictError struct {
	body entry.Conflict
}

// Error returns the node's message about the conflict.
func (e *ConflictError) Error() string { return e.body.Error }

// Generation returns the generation that was applied first.
func (e *ConflictError) Generation() uint64 { return e.body.Generation }

// Changes lists the differences between the configuration that was applied first and
// the requested one.
func (e *ConflictError) Changes() []string { return e.body.Changes }

// Apply requests that a node put a complete configuration in force. It returns
// a *ConflictError if another one was applied first.
func (c *Client) Apply(ctx context.Context, base string, request active.Request) (entry.Applied, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return entry.Applied{}, fmt.Errorf("encoding a configuration: %w", err)
	}
	response, err := c.postJSON(ctx, base+"/v1/config", body)
	if err != nil {
		return entry.Applied{}, err
	}
	defer response.Body.Close()
	var applied entry.Applied
	if response.StatusCode == http.StatusConflict {
		conflict := &ConflictError{}
		if err := decodeBody(response, &conflict.body); err != nil {
			return applied, fmt.Errorf("decoding a conflict answer: %w", err)
		}
		return applied, conflict
	}
	if response.StatusCode != http.StatusOK {
		return applied, readError(response)
	}
	if err := decodeBody(response, &applied); err != nil {
		return applied, err
	}
	return applied, nil
}

// Config returns the configuration in force at a node.
func (c *Client) Config(ctx context.Context, base string) (active.Document, error) {
	var document active.Document
	err := c.getJSON(ctx, base+"/v1/config", &document)
	return document, err
}

// Status returns a node's status.
func (c *Client) Status(ctx context.Context, base string) (entry.Status, error) {
	var status entry.Status
	err := c.getJSON(ctx, base+"/v1/status", &status)
	return status, err
}

// InForce returns the generation in force at a node and since when it is in force.
func (c *Client) InForce(ctx context.Context, base string) (uint64, time.Time, error) {
	var status entry.Status
	err := c.getJSON(ctx, base+"/v1/status?members=false", &status)
	return status.Generation, time.UnixMilli(status.InForceSinceMs), err
}

// Dump returns a node's state as JSON.
func (c *Client) Dump(ctx context.Context, base string) (json.RawMessage, error) {
	var state json.RawMessage
	err := c.getJSON(ctx, base+"/v1/dump", &state)
	return state, err
}

// Drain starts the graceful stop of a node.
func (c *Client) Drain(ctx context.Context, base string) error {
	response, err := c.postJSON(ctx, base+"/v1/drain", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		return readError(response)
	}
	return nil
}

// MarkEndpoint notifies the nodes, through the given one, that an endpoint is leaving
// or no longer leaving.
func (c *Client) MarkEndpoint(ctx context.Context, base, endpoint string, leaving bool) error {
	method := http.MethodPost
	if !leaving {
		method = http.MethodDelete
	}
	request, err := http.NewRequestWithContext(ctx, method, base+"/v1/endpoints/"+endpoint+"/leaving", nil)
	if err != nil {
		return fmt.Errorf("building a request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("marking endpoint %s: %w", endpoint, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		return readError(response)
	}
	return nil
}

// AwaitGeneration waits until every node has this generation or a later one in
// force. It returns the time at which the last of them put it in force.
func (c *Client) AwaitGeneration(ctx context.Context, nodes []string, generation uint64) (time.Time, error) {
	var last time.Time
	for _, base := range nodes {
		for {
			found, since, err := c.InForce(ctx, base)
			if err == nil && found >= generation {
				if since.After(last) {
					last = since
				}
				break
			}
			if waits.For(ctx, statusInterval) != nil {
				return last, fmt.Errorf("node %s has generation %d, want %d: %w", base, found, generation, ctx.Err())
			}
		}
	}
	return last, nil
}
