// Package caller is a client of currantloft for callers and trainers. It does
// what docs/INTERFACES.md asks of a client: it asks any node for addresses,
// keeps the answer for its lifetime, connects there, comes back when it is told
// to, and takes only whole answers.
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
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/currantloft/currantloft/entry"
)

const (
	askTimeout  = time.Second
	idlePerHost = 256
	maxAnswer   = 64 << 20
)

type (
	// Client calls the system. It is safe for concurrent use.
	Client struct {
		seeds  []string
		domain string
		http   *http.Client

		mu      sync.Mutex
		known   []entry.Address
		expires time.Time
	}

	// Error is an error answer of a node.
	Error struct {
		status int
		body   entry.ErrorBody
	}

	// CutError says that an answer ended before it was whole.
	CutError struct {
		cause error
	}
)

// New returns a client that asks the seeds for addresses.
func New(seeds []string, domain string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}
	return &Client{seeds: seeds, domain: domain, http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Error returns the status and what the node said.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.status, e.body.Outcome, e.body.Error)
}

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// Outcome returns what is known of the request.
func (e *Error) Outcome() string { return e.body.Outcome }

// Body returns the whole answer.
func (e *Error) Body() entry.ErrorBody { return e.body }

// RetryAfter returns when to come back, 0 for never.
func (e *Error) RetryAfter() time.Duration {
	return time.Duration(e.body.RetryAfterMs) * time.Millisecond
}

// Error returns why the answer ended.
func (e *CutError) Error() string { return fmt.Sprintf("the answer was cut: %v", e.cause) }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.cause }

// Node returns the base address of a node to use, by the weights of the answer.
func (c *Client) Node(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) || len(c.known) == 0 {
		if err := c.ask(ctx); err != nil && len(c.known) == 0 {
			return "", err
		}
	}
	total := 0
	for _, a := range c.known {
		total += a.Weight
	}
	if total == 0 {
		return "", errors.New("no node may be used")
	}
	pick := rand.IntN(total)
	for _, a := range c.known {
		if pick -= a.Weight; pick < 0 {
			return a.URL, nil
		}
	}
	return c.known[0].URL, nil
}

// Forget makes the next call ask for addresses again.
func (c *Client) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// ask asks one node after another, known ones first.
func (c *Client) ask(ctx context.Context) error {
	var bases []string
	for _, a := range c.known {
		bases = append(bases, a.URL)
	}
	rand.Shuffle(len(bases), func(i, j int) { bases[i], bases[j] = bases[j], bases[i] })
	seeds := append([]string(nil), c.seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	err := errors.New("no node to ask")
	for _, base := range append(bases, seeds...) {
		var answer entry.Addresses
		answer, err = c.askOne(ctx, base)
		if err == nil && len(answer.Addresses) > 0 {
			c.known = answer.Addresses
			c.expires = time.Now().Add(time.Duration(answer.LifetimeMs) * time.Millisecond)
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("asking for addresses: %w", err)
}

func (c *Client) askOne(ctx context.Context, base string) (entry.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	return json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(value)
}

// readError turns an error answer into an *Error.
func readError(response *http.Response) error {
	e := &Error{status: response.StatusCode}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&e.body); err != nil {
		e.body.Error = response.Status
	}
	return e
}
