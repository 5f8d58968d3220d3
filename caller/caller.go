// Package caller is a client of currantloft for callers and trainers. It
// follows the rules for clients in docs/INTERFACES.md: it fetches node
// addresses from any node, caches them for their lifetime, connects to those
// nodes, and accepts only complete answers. It retries a step until a node
// rejects it, and a request to a model service only if it cannot connect to the
// node.
//
// # Usage
//
//	client := caller.New([]string{"http://127.0.0.11:7480"}, "a")
//	defer client.Close()
//	answer, err := client.Tokens(ctx, "quote", caller.Request{Prompt: "...", MaxTokens: 64})
//	step, err := client.Step(ctx, "retrain", 1, groups)
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/currantloft/currantloft/entry"
	"github.com/currantloft/currantloft/intact"
)

const (
	addressTimeout      = time.Second
	maxIdleConnsPerNode = 256
	maxAnswerBytes      = 64 << 20
)

type (
	// Client sends requests to the nodes. It is safe for concurrent use.
	Client struct {
		seeds  []string
		domain string
		http   *http.Client

		mu        sync.Mutex
		addresses []entry.Address
		expires   time.Time
	}

	// Error is an error answer of a node.
	Error struct {
		status int
		body   entry.ErrorBody
	}

	// IncompleteError reports that an answer ended early or is inconsistent.
	IncompleteError struct {
		cause error
	}
)

// New returns a client in a failure domain that fetches its first node addresses from
// the seeds.
func New(seeds []string, domain string) *Client {
	client := intact.NewClient(&http.Transport{
		DialContext: intact.Dial((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: maxIdleConnsPerNode, DisableCompression: true,
	}, nil)
	return &Client{seeds: seeds, domain: domain, http: client}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Error returns the HTTP status, the outcome and the node's message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.status, e.body.Outcome, e.body.Error)
}

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// Outcome returns the outcome of the request, as reported by the node.
func (e *Error) Outcome() string { return e.body.Outcome }

// Body returns the decoded body of the error answer.
func (e *Error) Body() entry.ErrorBody { return e.body }

// RetryAfter returns the delay before a retry, 0 if the node gave none.
func (e *Error) RetryAfter() time.Duration {
	return time.Duration(e.body.RetryAfterMs) * time.Millisecond
}

// Error returns why the answer is incomplete.
func (e *IncompleteError) Error() string { return fmt.Sprintf("incomplete answer: %v", e.cause) }

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.cause }

// Node returns the base URL of a random node, weighted by the weights that came with
// the addresses.
func (c *Client) Node(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) || len(c.addresses) == 0 {
		if err := c.fetchAddresses(ctx); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	total := 0
	for _, address := range c.addresses {
		total += address.Weight
	}
	if total == 0 {
		return "", errors.New("no node has a positive weight")
	}
	remaining := rand.IntN(total)
	for _, address := range c.addresses {
		if remaining -= address.Weight; remaining < 0 {
			return address.URL, nil
		}
	}
	return c.addresses[0].URL, nil
}

// ExpireAddresses expires the cached addresses, so that the next call fetches them again.
func (c *Client) ExpireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// fetchAddresses requests addresses from one node after another, the cached ones
// before the seeds, until one answers. The caller holds c.mu.
func (c *Client) fetchAddresses(ctx context.Context) error {
	var bases []string
	for _, address := range c.addresses {
		bases = append(bases, address.URL)
	}
	rand.Shuffle(len(bases), func(i, j int) { bases[i], bases[j] = bases[j], bases[i] })
	seeds := append([]string(nil), c.seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	err := errors.New("no cached addresses and no seeds")
	for _, base := range append(bases, seeds...) {
		var answer entry.Addresses
		answer, err = c.fetchAddressesFrom(ctx, base)
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses = answer.Addresses
			c.expires = time.Now().Add(time.Duration(answer.LifetimeMs) * time.Millisecond)
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("fetching node addresses: %w", err)
}

func (c *Client) fetchAddressesFrom(ctx context.Context, base string) (entry.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var answer entry.Addresses
	err := c.getJSON(ctx, base+"/v1/addresses?domain="+c.domain, &answer)
	return answer, err
}

func (c *Client) getJSON(ctx context.Context, address string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	return decodeBody(response, value)
}

// decodeBody decodes a body that has to be complete.
func decodeBody(response *http.Response, value any) error {
	body, err := intact.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return &IncompleteError{cause: err}
	}
	if err := json.Unmarshal(body, value); err != nil {
		return &IncompleteError{cause: err}
	}
	return nil
}

// readError turns an error answer into an *Error.
func readError(response *http.Response) error {
	e := &Error{status: response.StatusCode}
	if err := decodeBody(response, &e.body); err != nil {
		e.body.Error = response.Status
	}
	return e
}
