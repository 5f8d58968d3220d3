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
	"github.com/currantloft/currantloft/intact"
)

const (
	maxLineBytes            = 64 << 20
	maxDialAttempts         = 4
	initialLineBytes        = 64 << 10
	headerRequestID         = "Request-Id"
	headerRequestTimeout    = "Request-Timeout"
	headerRequestIdempotent = "Request-Idempotent"
)

type (
	// Request is a request to a model service.
	Request struct {
		// ID is the request's ID; if empty, the node creates one.
		ID string
		// Prompt is the text to continue.
		Prompt string
		// MaxTokens is the maximum number of tokens in the answer.
		MaxTokens int
		// Seed selects among the possible answers to a prompt.
		Seed uint64
		// Timeout bounds the request; 0 means the service's own limit.
		Timeout time.Duration
	}

	// Answer is a complete answer.
	Answer struct {
		tokens []string
		end    entry.TokenEnd
	}

	// tokenLine holds the fields of all kinds of lines in a streamed answer.
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

// Tokens sends a request to a random node and reads the complete answer. If it
// can't connect, it fetches the addresses again and selects a node again, for
// at most maxDialAttempts attempts in all.
func (c *Client) Tokens(ctx context.Context, service string, request Request) (Answer, error) {
	for attempt := 1; ; attempt++ {
		base, err := c.Node(ctx)
		if err != nil {
			return Answer{}, err
		}
		answer, err := c.TokensAt(ctx, base, service, request)
		if !isDialError(err) || attempt == maxDialAttempts || ctx.Err() != nil {
			return answer, err
		}
		c.ExpireAddresses()
	}
}

// isDialError reports whether err is a failure to connect: the request was not sent.
func isDialError(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// TokensAt sends a request to the given node and reads the complete answer.
func (c *Client) TokensAt(ctx context.Context, base, service string, request Request) (Answer, error) {
	body, err := json.Marshal(entry.TokenRequest{
		Prompt: request.Prompt, MaxTokens: request.MaxTokens, Seed: request.Seed,
	})
	if err != nil {
		return Answer{}, fmt.Errorf("encoding a request: %w", err)
	}
	header := make(http.Header)
	if request.ID != "" {
		header.Set(headerRequestID, request.ID)
	}
	if request.Timeout > 0 {
		header.Set(headerRequestTimeout, request.Timeout.String())
	}
	response, err := c.postOK(ctx, base+"/v1/services/"+service+"/requests", header, body)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	answer, err := readTokens(response.Body)
	if err == nil && request.ID != "" && answer.end.RequestID != request.ID {
		err = fmt.Errorf("mismatched answer: got request %q, want %q", answer.end.RequestID, request.ID)
	}
	return answer, err
}

// CallPlain sends a request to a plain service through the given node and
// returns the complete answer. The service's configuration determines whether
// the request is idempotent.
func (c *Client) CallPlain(ctx context.Context, base, service, path, id string, body []byte) ([]byte, error) {
	return c.postPlain(ctx, base+"/v1/services/"+service+"/call/"+path, plainHeaders(id), body)
}

// CallPlainIdempotent is like CallPlain, but marks the request as idempotent
// regardless of the service's configuration.
func (c *Client) CallPlainIdempotent(ctx context.Context, base, service, path, id string, body []byte) ([]byte, error) {
	header := plainHeaders(id)
	header.Set(headerRequestIdempotent, "true")
	return c.postPlain(ctx, base+"/v1/services/"+service+"/call/"+path, header, body)
}

func plainHeaders(id string) http.Header {
	header := make(http.Header)
	header.Set(headerRequestID, id)
	return header
}

func (c *Client) postPlain(ctx context.Context, address string, header http.Header, body []byte) ([]byte, error) {
	response, err := c.postOK(ctx, address, header, body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := intact.ReadAll(response.Body, maxAnswerBytes)
	if err != nil {
		return nil, &IncompleteError{cause: err}
	}
	return answer, nil
}

// postOK sends a request and returns an *Error if the status is not 200.
func (c *Client) postOK(ctx context.Context, address string, header http.Header, body []byte) (*http.Response, error) {
	response, err := c.postWithHeader(ctx, address, header, body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, readError(response)
	}
	return response, nil
}

// postJSON posts a JSON body and returns the response, whatever its status.
func (c *Client) postJSON(ctx context.Context, address string, body []byte) (*http.Response, error) {
	return c.postWithHeader(ctx, address, make(http.Header), body)
}

func (c *Client) postWithHeader(ctx context.Context, address string, header http.Header, body []byte) (*http.Response, error) {
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
	scanner.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	for scanner.Scan() {
		var line tokenLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return answer, &IncompleteError{cause: err}
		}
		switch {
		case line.Error != "":
			e := &Error{status: http.StatusOK}
			_ = json.Unmarshal(scanner.Bytes(), &e.body)
			return answer, e
		case line.Done:
			_ = json.Unmarshal(scanner.Bytes(), &answer.end)
			if answer.end.Count != len(answer.tokens) {
				return answer, &IncompleteError{cause: fmt.Errorf("got %d of %d tokens", len(answer.tokens), answer.end.Count)}
			}
			return answer, nil
		case line.First != len(answer.tokens):
			return answer, &IncompleteError{cause: fmt.Errorf("got token %d, want token %d", line.First, len(answer.tokens))}
		default:
			answer.tokens = append(answer.tokens, line.Tokens...)
		}
	}
	return answer, &IncompleteError{cause: errors.Join(scanner.Err(), io.ErrUnexpectedEOF)}
}
