// Package object is the client of the platform's object API.
//
// The platform stores small values under a kind and a name. Each value has a
// version that grows with every write. A write may be conditional on the version
// that the writer read, and a watch waits until a version is exceeded. The exact
// protocol is in docs/INTERFACES.md.
//
// PutRecord resolves a write whose answer was lost: the value carries an operation
// id, and reading it back shows whether the write took effect.
//
// Store is the interface of the platform's object store with revisions; package
// platform implements it.
//
// # Usage
//
//	client := object.NewClient("http://127.0.0.1:7000", object.WithBudget(20, 40))
//	defer client.Close()
//	value, err := client.Get(ctx, "config", "active")
//	_, err = client.Put(ctx, "config", "active", body, value.Version())
package object

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// MaxValue is the size of the largest value that the platform accepts, in bytes.
	MaxValue = 1 << 20

	versionHeader   = "Object-Version"
	ifVersionHeader = "If-Version"
	callTimeout     = 2 * time.Second
	watchWait       = 10 * time.Second
	watchMargin     = 3 * time.Second
	defaultRate     = 20
	defaultBurst    = 60
)

var (
	// ErrNotFound reports that there is no object of this name.
	ErrNotFound = errors.New("object not found")

	// ErrUnavailable reports that the platform gave no definite answer. A write may
	// or may not have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
)

type (
	// Value is an object as it was read.
	Value struct {
		body    []byte
		version uint64
	}

	// ConflictError reports that a conditional write found another version.
	ConflictError struct {
		// Version is the object's version at the platform.
		Version uint64
	}

	// Client calls the platform. It is safe for concurrent use.
	Client struct {
		base     string
		http     *http.Client
		limiter  *rate.Limiter
		answers  *intact.Budget
		fallback PeerFallback
		// fallbackUntil is the Unix time in nanoseconds until which calls go through a
		// peer first.
		fallbackUntil atomic.Int64
		reads         atomic.Int64
		writes        atomic.Int64
		watches       atomic.Int64
		lastAnswerAt  atomic.Int64
	}

	// PeerFallback makes a call through a peer. A status of 0 means that the
	// platform didn't answer that node either.
	PeerFallback func(context.Context, *wirepb.PlatformCall) (*wirepb.PlatformReply, error)

	// Option changes a client's defaults.
	Option func(*Client)
)

// WithBudget limits the client's calls to a rate and a burst.
func WithBudget(perSecond float64, burst int) Option {
	return func(c *Client) { c.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithPeerFallback sets the peer fallback that the client uses while the platform
// does not answer it directly.
func WithPeerFallback(fallback PeerFallback) Option {
	return func(c *Client) { c.fallback = fallback }
}

// WithMemory lets the platform's answers count towards a budget while they are read.
func WithMemory(answers *intact.Budget) Option {
	return func(c *Client) { c.answers = answers }
}

// NewClient returns a client of the platform at the base address.
func NewClient(base string, options ...Option) *Client {
	c := &Client{base: base, limiter: rate.NewLimiter(defaultRate, defaultBurst)}
	for _, option := range options {
		option(c)
	}
	c.http = intact.NewClient(&http.Transport{
		DialContext: intact.Dial((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute,
	}, c.answers)
	return c
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Body returns the object's bytes.
func (v Value) Body() []byte { return v.body }

// Version returns the object's version, 0 if the object doesn't exist.
func (v Value) Version() uint64 { return v.version }

// Error returns the conflict with the version at the platform.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object changed: it has version %d", e.Version)
}

// Calls returns how many reads, writes and watches the client has sent.
func (c *Client) Calls() (reads, writes, watches int64) {
	return c.reads.Load(), c.writes.Load(), c.watches.Load()
}

// LastAnswer returns when the platform last gave a definite answer, the zero time
// if it never did.
func (c *Client) LastAnswer() time.Time {
	nanos := c.lastAnswerAt.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, kind, name string) (Value, error) {
	c.reads.Add(1)
	return c.callWithFallback(ctx, &wirepb.PlatformCall{Method: http.MethodGet, Kind: kind, Name: name})
}

// Put writes an object if it still has the given version; 0 creates it.
// It returns the new version, a *ConflictError, or ErrUnavailable if the outcome
// of the write is unknown.
func (c *Client) Put(ctx context.Context, kind, name string, body []byte, version uint64) (uint64, error) {
	if len(body) > MaxValue {
		return 0, fmt.Errorf("object %s/%s has %d bytes, the platform takes %d", kind, name, len(body), MaxValue)
	}
	c.writes.Add(1)
	value, err := c.callWithFallback(ctx, &wirepb.PlatformCall{
		Method: http.MethodPut, Kind: kind, Name: name, IfVersion: version, Body: body,
	})
	return value.version, err
}

// Delete removes an object; a missing one is no error.
func (c *Client) Delete(ctx context.Context, kind, name string) error {
	c.writes.Add(1)
	_, err := c.callWithFallback(ctx, &wirepb.PlatformCall{Method: http.MethodDelete, Kind: kind, Name: name})
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits until the object's version is above the given one, and returns the
// object. False means that the version was not exceeded within watchWait.
func (c *Client) Watch(ctx context.Context, kind, name string, above uint64) (Value, bool, error) {
	c.watches.Add(1)
	query := url.Values{}
	query.Set("above", strconv.FormatUint(above, 10))
	query.Set("wait", watchWait.String())
	value, err := c.call(ctx, http.MethodGet, c.address(kind, name, query), make(http.Header), nil, watchWait+watchMargin)
	if err != nil {
		return Value{}, false, err
	}
	return value, value.version > above, nil
}

func (c *Client) address(kind, name string, query url.Values) string {
	address := c.base + "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	return address
}

// direct makes a call without the peer fallback.
func (c *Client) direct(ctx context.Context, call *wirepb.PlatformCall) (Value, error) {
	header := make(http.Header)
	if call.GetMethod() == http.MethodPut {
		header.Set(ifVersionHeader, strconv.FormatUint(call.GetIfVersion(), 10))
	}
	address := c.address(call.GetKind(), call.GetName(), nil)
	return c.call(ctx, call.GetMethod(), address, header, call.GetBody(), callTimeout)
}

func (c *Client) call(
	ctx context.Context, method, address string, header http.Header, body []byte, timeout time.Duration,
) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return Value{}, fmt.Errorf("waiting for the platform budget: %w", errors.Join(ErrUnavailable, err))
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return Value{}, fmt.Errorf("building a platform call: %w", err)
	}
	request.Header = header
	response, err := c.http.Do(request)
	if err != nil {
		c.http.CloseIdleConnections()
		return Value{}, fmt.Errorf("calling the platform: %w", errors.Join(ErrUnavailable, err))
	}
	defer response.Body.Close()
	return c.readResponse(response)
}

func (c *Client) readResponse(response *http.Response) (Value, error) {
	data, err := intact.ReadAll(response.Body, MaxValue)
	if err != nil {
		return Value{}, fmt.Errorf("reading from the platform: %w", errors.Join(ErrUnavailable, err))
	}
	version, _ := strconv.ParseUint(response.Header.Get(versionHeader), 10, 64)
	value, err := statusResult(response.StatusCode, version, data)
	if !errors.Is(err, ErrUnavailable) {
		c.lastAnswerAt.Store(time.Now().UnixNano())
	}
	return value, err
}

// statusResult maps the status of a platform's response to a value or an error.
func statusResult(status int, version uint64, body []byte) (Value, error) {
	switch status {
	case http.StatusOK, http.StatusNotModified, http.StatusNoContent:
		return Value{body: body, version: version}, nil
	case http.StatusNotFound:
		return Value{}, ErrNotFound
	case http.StatusConflict:
		return Value{}, &ConflictError{Version: version}
	default:
		return Value{}, fmt.Errorf("platform answered %d: %w", status, ErrUnavailable)
	}
}
