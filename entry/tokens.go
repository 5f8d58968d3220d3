package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantloft/currantloft/claim"
	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/steps"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	maxRequestID  = 200
	prefixBytes   = 256
	maxTokensMost = 1 << 20
	maxTokensElse = 256
)

type (
	// TokenRequest is the body of a request to a model service.
	TokenRequest struct {
		// Prompt is the text to continue.
		Prompt string `json:"prompt"`
		// MaxTokens bounds the answer; 0 stands for 256.
		MaxTokens int `json:"max_tokens"`
		// Seed makes answers to one prompt differ.
		Seed uint64 `json:"seed"`
	}

	// TokenEnd is the last line of a whole answer.
	TokenEnd struct {
		// Done is true.
		Done bool `json:"done"`
		// RequestID is the request's id.
		RequestID string `json:"request_id"`
		// Count is the number of tokens in the answer.
		Count int `json:"count"`
		// Versions says which weight version made which tokens.
		Versions []steps.Version `json:"versions"`
		// Attempts counts the attempts that were made.
		Attempts int `json:"attempts"`
	}

	// asked is what the headers and the path say of a request.
	asked struct {
		id         string
		service    specs.Service
		deadline   time.Time
		idempotent bool
		body       []byte
	}

	// tokenWriter streams an answer, a line for each chunk.
	tokenWriter struct {
		writer  http.ResponseWriter
		flusher http.Flusher
		encoder *json.Encoder
		id      string
		begun   bool
	}
)

// tokens serves a request to a model service.
func (s *Server) tokens(w http.ResponseWriter, r *http.Request) {
	a, p := s.read(w, r, false)
	if p != nil {
		s.fail(w, *p)
		return
	}
	request, err := parseTokens(a.body)
	if err != nil {
		s.fail(w, problem{status: http.StatusBadRequest, outcome: route.NotRun, text: err.Error(), request: a.id})
		return
	}
	begun := time.Now()
	out := newTokenWriter(w, a.id)
	backend := a.service.Backend()
	result, err := s.parts.Runner.Run(r.Context(), route.Job{
		ID:      s.ids.next(),
		Backend: backend,
		Ask: permit.Ask{
			Priority:    wirepb.Priority_PRIORITY_INTERACTIVE,
			Share:       a.service.Name(),
			Weight:      1,
			Deadline:    a.deadline,
			Prefix:      xxhash.Sum64String(request.Prompt[:min(len(request.Prompt), prefixBytes)]),
			Fingerprint: poison.Fingerprint(backend, []byte(request.Prompt)),
		},
		Prompt:     request.Prompt,
		MaxTokens:  request.MaxTokens,
		Seed:       request.Seed,
		Progress:   a.service.Progress(),
		Idempotent: a.idempotent,
		Claim:      s.claimOf(a),
		Emit:       out.chunk,
	})
	s.parts.Scope.Timer("tokens_request").Record(time.Since(begun))
	if err != nil {
		s.failTokens(w, out, problemOf(err, a.id))
		return
	}
	s.parts.Scope.Counter("requests_answered").Inc(1)
	out.end(TokenEnd{
		Done: true, RequestID: a.id, Count: result.Tokens(), Versions: steps.VersionsOf(result.Versions()),
		Attempts: result.Attempts(),
	})
}

// failTokens answers with an error, as a last line if the answer has begun.
func (s *Server) failTokens(w http.ResponseWriter, out *tokenWriter, p problem) {
	if !out.begun {
		s.fail(w, p)
		return
	}
	if p.outcome == route.NotRun {
		p.outcome = route.Unknown
	}
	_ = out.encoder.Encode(p.body())
}

// claimOf returns how to claim the request, nil if it may run more than once.
func (s *Server) claimOf(a *asked) func(context.Context) (*claim.Held, error) {
	if a.idempotent {
		return nil
	}
	return func(ctx context.Context) (*claim.Held, error) {
		return s.parts.Claims.Take(ctx, a.service.Name(), a.id)
	}
}

// read finds the service and reads headers and body; plain says which kind of
// service the route is for.
func (s *Server) read(w http.ResponseWriter, r *http.Request, plain bool) (*asked, *problem) {
	a := &asked{id: r.Header.Get(headerRequestID)}
	fail := func(status int, format string, args ...any) (*asked, *problem) {
		return nil, &problem{
			status: status, outcome: route.NotRun, text: fmt.Sprintf(format, args...), request: a.id,
		}
	}
	current := s.parts.Config.Current()
	if current == nil {
		return nil, &problem{
			status: http.StatusServiceUnavailable, outcome: route.NotRun, request: a.id,
			retry: time.Second, text: "no configuration is in force at this node yet",
		}
	}
	service, ok := current.Set().Service(r.PathValue("service"))
	if !ok || service.Plain() != plain {
		return fail(http.StatusNotFound, "no such service %q on this route", r.PathValue("service"))
	}
	a.service = service
	if err := a.readHeaders(r); err != nil {
		return fail(http.StatusBadRequest, "%v", err)
	}
	if a.id == "" {
		if !a.idempotent {
			return fail(http.StatusBadRequest, "a non-idempotent request needs a %s header", headerRequestID)
		}
		a.id = s.ids.next()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(service.MaxBody())))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fail(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", service.MaxBody())
	}
	if err != nil {
		return fail(http.StatusBadRequest, "reading the body: %v", err)
	}
	a.body = body
	return a, nil
}

func (a *asked) readHeaders(r *http.Request) error {
	limit := a.service.Timeout()
	if text := r.Header.Get(headerTimeLimit); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return fmt.Errorf("%s: want a duration such as 1500ms, got %q", headerTimeLimit, text)
		}
		limit = min(limit, asked)
	}
	a.deadline = time.Now().Add(limit)
	a.idempotent = a.service.Idempotent()
	if text := r.Header.Get(headerIdempotent); text != "" {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%s: want true or false, got %q", headerIdempotent, text)
		}
		a.idempotent = value
	}
	if len(a.id) > maxRequestID {
		return fmt.Errorf("%s: want at most %d characters", headerRequestID, maxRequestID)
	}
	return nil
}

func parseTokens(body []byte) (TokenRequest, error) {
	var request TokenRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, fmt.Errorf("want JSON such as {\"prompt\":\"...\",\"max_tokens\":64}: %w", err)
	}
	if request.Prompt == "" {
		return request, errors.New("prompt: want a text")
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = maxTokensElse
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxTokensMost {
		return request, fmt.Errorf("max_tokens: want 1 to %d, got %d", maxTokensMost, request.MaxTokens)
	}
	return request, nil
}

func newTokenWriter(w http.ResponseWriter, id string) *tokenWriter {
	flusher, _ := w.(http.Flusher)
	return &tokenWriter{writer: w, flusher: flusher, encoder: json.NewEncoder(w), id: id}
}

// chunk sends one chunk at once.
func (t *tokenWriter) chunk(chunk engine.Chunk) error {
	if len(chunk.Tokens) == 0 {
		return nil
	}
	t.begin()
	chunk.Done = false
	if err := t.encoder.Encode(chunk); err != nil {
		return err
	}
	if t.flusher != nil {
		t.flusher.Flush()
	}
	return nil
}

func (t *tokenWriter) begin() {
	if t.begun {
		return
	}
	t.begun = true
	header := t.writer.Header()
	header.Set("Content-Type", "application/x-ndjson")
	header.Set(headerRequestID, t.id)
	header.Set(headerOutcome, outcomeAnswered)
}

func (t *tokenWriter) end(end TokenEnd) {
	t.begin()
	_ = t.encoder.Encode(end)
}
