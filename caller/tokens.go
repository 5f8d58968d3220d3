package caller

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
	"time"

	"github.com/currantloft/currantloft/entry"
)

const (
	maxLine           = 64 << 20
	maxDials          = 4
	initialLine       = 64 << 10
	requestID         = "Request-Id"
	requestTimeout    = "Request-Timeout"
	requestIdempotent = "Request-Idempotent"
)

type (
	// Request asks a model service for tokens.
	Request struct {
		// ID is the request's id, empty to let the node make one.
		ID string
		// Prompt is the text to continue.
		Prompt string
		// MaxTokens bounds the answer.
		MaxTokens int
		// Seed makes answers to one prompt differ.
		Seed uint64
		// Timeout bounds the request, 0 for the service's own limit.
		Timeout time.Duration
	}

	// Answer is a whole answer.
	Answer struct {
		tokens []string
		end    entry.TokenEnd
	}

	// tokenLine is any line of a streamed answer.
	tokenLine struct {
		First  int      `json:"first"`
		Tokens []string `json:"tokens"`
		Done   bool     `json:"done"`
		Error  string   `json:"error"`
	}
)

// Tokens returns the answer's tokens.
func (a Answer) Tokens() []string { return a.tokens }

// End returns the answer's last line.
func (a Answer) End() entry.TokenEnd { return a.end }

// Tokens sends one request to a node and reads the whole answer. A node that
// takes no connection is left for another.
func (c *Client) Tokens(ctx context.Context, service string, request Request) (Answer, error) {
	for try := 1; ; try++ {
		base, err := c.Node(ctx)
		if err != nil {
			return Answer{}, err
		}
		answer, err := c.TokensAt(ctx, base, service, request)
		if !neverSent(err) || try == maxDials || ctx.Err() != nil {
			return answer, err
		}
		c.Forget()
	}
}

// neverSent reports whether there was no connection to send a request on.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// TokensAt is Tokens at a given node.
func (c *Client) TokensAt(ctx context.Context, base, service string, request Request) (Answer, error) {
	body, err := json.Marshal(entry.TokenRequest{
		Prompt: request.Prompt, MaxTokens: request.MaxTokens, Seed: request.Seed,
	})
	if err != nil {
		return Answer{}, fmt.Errorf("encoding a request: %w", err)
	}
	header := make(http.Header)
	if request.ID != "" {
		header.Set(requestID, request.ID)
	}
	if request.Timeout > 0 {
		header.Set(requestTimeout, request.Timeout.String())
	}
	response, err := c.post(ctx, base+"/v1/services/"+service+"/requests", header, body)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	answer, err := readTokens(response.Body)
	if err == nil && request.ID != "" && answer.end.RequestID != request.ID {
		err = fmt.Errorf("got the answer to %q, asked %q", answer.end.RequestID, request.ID)
	}
	return answer, err
}

// Plain sends one request to a plain service, as idempotent as the service is
// declared, and returns the whole answer.
func (c *Client) Plain(ctx context.Context, base, service, path, id string, body []byte) ([]byte, error) {
	return c.plain(ctx, base+"/v1/services/"+service+"/call/"+path, plainHeader(id), body)
}

// PlainIdempotent is Plain for a request that may run more than once.
func (c *Client) PlainIdempotent(ctx context.Context, base, service, path, id string, body []byte) ([]byte, error) {
	header := plainHeader(id)
	header.Set(requestIdempotent, "true")
	return c.plain(ctx, base+"/v1/services/"+service+"/call/"+path, header, body)
}

func plainHeader(id string) http.Header {
	header := make(http.Header)
	header.Set(requestID, id)
	return header
}

func (c *Client) plain(ctx context.Context, address string, header http.Header, body []byte) ([]byte, error) {
	response, err := c.post(ctx, address, header, body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, &CutError{cause: err}
	}
	return answer, nil
}

// post sends a request; an answer other than 200 becomes an *Error.
func (c *Client) post(ctx context.Context, address string, header http.Header, body []byte) (*http.Response, error) {
	response, err := c.sendWith(ctx, address, header, body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, readError(response)
	}
	return response, nil
}

// send posts JSON and returns whatever is answered.
func (c *Client) send(ctx context.Context, address string, body []byte) (*http.Response, error) {
	return c.sendWith(ctx, address, make(http.Header), body)
}

func (c *Client) sendWith(ctx context.Context, address string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("building a request: %w", err)
	}
	request.Header = header
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("sending a request: %w", err)
	}
	return response, nil
}

func readTokens(body io.Reader) (Answer, error) {
	var answer Answer
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, initialLine), maxLine)
	for scanner.Scan() {
		var line tokenLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return answer, &CutError{cause: err}
		}
		switch {
		case line.Error != "":
			e := &Error{status: http.StatusOK}
			_ = json.Unmarshal(scanner.Bytes(), &e.body)
			return answer, e
		case line.Done:
			_ = json.Unmarshal(scanner.Bytes(), &answer.end)
			if answer.end.Count != len(answer.tokens) {
				return answer, &CutError{cause: fmt.Errorf("%d of %d tokens", len(answer.tokens), answer.end.Count)}
			}
			return answer, nil
		case line.First != len(answer.tokens):
			return answer, &CutError{cause: fmt.Errorf("token %d where %d was due", line.First, len(answer.tokens))}
		default:
			answer.tokens = append(answer.tokens, line.Tokens...)
		}
	}
	return answer, &CutError{cause: errors.Join(scanner.Err(), io.ErrUnexpectedEOF)}
}
