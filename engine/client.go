// Package engine is the client of the model engines' published interface:
// streams that can be started, resumed and cancelled, a status report, cache
// events and orders. docs/INTERFACES.md has the exact protocol.
//
// A stream's errors say what is known of the attempt: never written, refused,
// or written and lost. Relay follows one request through silent connections
// and crashes.
//
// # Usage
//
//	client := engine.NewClient()
//	defer client.Close()
//	stream, err := client.Start(ctx, url, request)
//	chunk, err := stream.Next()
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	idlePerEndpoint = 64
	idleLife        = 30 * time.Second
	dialTimeout     = 500 * time.Millisecond
	probeTimeout    = 800 * time.Millisecond
	cancelTimeout   = time.Second
	maxLine         = 1 << 20
	maxStatus       = 64 << 10
)

type (
	// Request asks an engine for tokens.
	Request struct {
		// Stream is the caller's id for the stream, unique per attempt.
		Stream string `json:"stream"`
		// Prompt is the text to continue.
		Prompt string `json:"prompt"`
		// MaxTokens bounds the answer.
		MaxTokens int `json:"max_tokens"`
		// Seed makes sampling differ between samples of one prompt.
		Seed uint64 `json:"seed"`
		// Generated are tokens made by an earlier attempt, to continue after.
		Generated []string `json:"generated,omitempty"`
	}

	// Chunk is a run of tokens that one weight version made.
	Chunk struct {
		// First is the index of the first token in the answer.
		First int `json:"first"`
		// Tokens are the texts of the tokens.
		Tokens []string `json:"tokens"`
		// Version is the weight version that made them, 0 if unknown.
		Version uint64 `json:"version"`
		// Done is true in the last chunk.
		Done bool `json:"done"`
		// Error is set if the engine gave the stream up.
		Error string `json:"error,omitempty"`
	}

	// Status is an engine's report of itself; its load figures lag.
	Status struct {
		// Incarnation changes with each restart of the engine.
		Incarnation uint64 `json:"incarnation"`
		// Leaving is true once the engine's host is to go away.
		Leaving bool `json:"leaving"`
		// Version is the weight version being served, 0 if it is not known.
		Version uint64 `json:"version"`
		// Loaded are the weight versions in memory.
		Loaded []uint64 `json:"loaded"`
		// Loading is the version that a load order is fetching, 0 for none.
		Loading uint64 `json:"loading"`
		// Running and Waiting count streams.
		Running int `json:"running"`
		// Waiting counts streams that are let in but do not generate yet.
		Waiting int `json:"waiting"`
		// Fence is the highest fencing number that the engine has seen.
		Fence uint64 `json:"fence"`
	}

	// Client calls engines. It is safe for concurrent use.
	Client struct {
		http  *http.Client
		fresh *http.Client
	}

	// Stream is a running answer.
	Stream struct {
		response *http.Response
		reader   *bufio.Reader
		cancel   context.CancelFunc
		held     *Chunk
		heldErr  error
	}

	// NotRunError says that the engine did not run the request.
	NotRunError struct {
		cause   error
		refused bool
	}

	// LostError says that the request was written and its outcome is not known.
	LostError struct {
		cause error
	}

	// writeTrace notes how far a request got.
	writeTrace struct {
		written atomic.Bool
	}
)

// ErrNoStream says that the engine doesn't know the stream.
var ErrNoStream = errors.New("the engine does not know the stream")

// Error returns why the request did not run.
func (e *NotRunError) Error() string { return fmt.Sprintf("not run: %v", e.cause) }

// Refused reports whether the engine itself refused; else it was not reached.
func (e *NotRunError) Refused() bool { return e.refused }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.cause }

// Error returns how the request was lost.
func (e *LostError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.cause }

// NewClient returns a client with its own connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	kept := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleLife,
		DisableCompression:  true,
	}
	fresh := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{http: &http.Client{Transport: kept}, fresh: &http.Client{Transport: fresh}}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Start begins a stream. Its error is a *NotRunError or a *LostError.
func (c *Client) Start(ctx context.Context, base string, request Request) (*Stream, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &NotRunError{cause: err}
	}
	trace := &writeTrace{}
	ctx, cancel := context.WithCancel(trace.attach(ctx))
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/streams", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, &NotRunError{cause: err}
	}
	// Without GetBody the transport never sends the body a second time.
	call.GetBody = nil
	call.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(call)
	if err != nil {
		cancel()
		return nil, trace.judge(err)
	}
	return openStream(response, cancel)
}

// Resume continues a stream from the token index on a new connection.
func (c *Client) Resume(ctx context.Context, base, stream string, from int) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	address := base + "/v1/streams/" + url.PathEscape(stream) + "?from=" + strconv.Itoa(from)
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		cancel()
		return nil, &LostError{cause: err}
	}
	response, err := c.fresh.Do(call)
	if err != nil {
		cancel()
		return nil, &LostError{cause: err}
	}
	if response.StatusCode == http.StatusNotFound {
		_ = response.Body.Close()
		cancel()
		return nil, ErrNoStream
	}
	return openStream(response, cancel)
}

// Cancel tells the engine that nobody waits for the stream any more.
func (c *Client) Cancel(ctx context.Context, base, stream string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	address := base + "/v1/streams/" + url.PathEscape(stream)
	call, err := http.NewRequestWithContext(ctx, http.MethodDelete, address, nil)
	if err != nil {
		return
	}
	response, err := c.http.Do(call)
	if err == nil {
		_ = response.Body.Close()
	}
}

// Status asks the engine for its report on a kept connection.
func (c *Client) Status(ctx context.Context, base string) (Status, error) {
	return status(ctx, c.http, base)
}

// Probe asks the engine for its report on a new connection.
func (c *Client) Probe(ctx context.Context, base string) (Status, error) {
	return status(ctx, c.fresh, base)
}

func status(ctx context.Context, client *http.Client, base string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/status", nil)
	if err != nil {
		return Status{}, fmt.Errorf("asking for status: %w", err)
	}
	response, err := client.Do(call)
	if err != nil {
		client.CloseIdleConnections()
		return Status{}, fmt.Errorf("asking for status: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("asking for status: %s", response.Status)
	}
	var report Status
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatus)).Decode(&report); err != nil {
		return Status{}, fmt.Errorf("reading status: %w", err)
	}
	return report, nil
}

func openStream(response *http.Response, cancel context.CancelFunc) (*Stream, error) {
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxStatus))
		_ = response.Body.Close()
		cancel()
		err := fmt.Errorf("engine answered %s: %s", response.Status, bytes.TrimSpace(text))
		if response.StatusCode < http.StatusInternalServerError || response.StatusCode == http.StatusServiceUnavailable {
			return nil, &NotRunError{cause: err, refused: true}
		}
		return nil, &LostError{cause: err}
	}
	return &Stream{response: response, reader: bufio.NewReaderSize(response.Body, 4<<10), cancel: cancel}, nil
}

// Next returns the next chunk; io.EOF never stands for a whole answer, a chunk
// with Done does. Lines that have come already are joined into one chunk.
func (s *Stream) Next() (Chunk, error) {
	chunk, err := s.take()
	for err == nil && !chunk.Done && s.lineReady() {
		next, nextErr := s.line()
		if nextErr != nil || next.Version != chunk.Version || next.First != chunk.First+len(chunk.Tokens) {
			s.held, s.heldErr = &next, nextErr
			break
		}
		chunk.Tokens = append(chunk.Tokens, next.Tokens...)
		chunk.Done = next.Done
	}
	return chunk, err
}

// take returns the chunk that was read too far, or the next one.
func (s *Stream) take() (Chunk, error) {
	if s.held == nil {
		return s.line()
	}
	chunk, err := *s.held, s.heldErr
	s.held, s.heldErr = nil, nil
	return chunk, err
}

// lineReady reports whether a whole line can be read without waiting.
func (s *Stream) lineReady() bool {
	waiting, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.IndexByte(waiting, '\n') >= 0
}

func (s *Stream) line() (Chunk, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.longLine(line)
	}
	if err != nil {
		return Chunk{}, &LostError{cause: err}
	}
	var chunk Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return Chunk{}, &LostError{cause: fmt.Errorf("decoding a chunk: %w", err)}
	}
	if chunk.Error != "" {
		return Chunk{}, &LostError{cause: errors.New(chunk.Error)}
	}
	return chunk, nil
}

func (s *Stream) longLine(start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for len(line) < maxLine {
		more, err := s.reader.ReadSlice('\n')
		line = append(line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, fmt.Errorf("a chunk is longer than %d bytes", maxLine)
}

// Close ends the stream's connection.
func (s *Stream) Close() {
	s.cancel()
	_ = s.response.Body.Close()
}

func (t *writeTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.written.Store(true) },
	})
}

// judge turns a transport error into what is known of the attempt. From the
// moment that the transport has a connection, bytes may have been written.
func (t *writeTrace) judge(err error) error {
	if t.written.Load() {
		return &LostError{cause: err}
	}
	return &NotRunError{cause: err}
}
