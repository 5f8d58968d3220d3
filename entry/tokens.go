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
	maxRequestID     = 200
	prefixBytes      = 256
	maxTokensLimit   = 1 << 20
	defaultMaxTokens = 256
)

type (
	// TokenRequest is the body of a request to a model service.
	TokenRequest struct {
		// Prompt is the text to continue.
		Prompt string `json:"prompt"`
		// MaxTokens is the maximum number of tokens to generate; 0 means 256.
		MaxTokens int `json:"max_tokens"`
		// Seed varies the response to the same prompt.
		Seed uint64 `json:"seed"`
	}

	// TokenEnd is the last line of a complete response.
	TokenEnd struct {
		// Done is always true; it distinguishes this line from a chunk.
		Done bool `json:"done"`
		// RequestID is the request's id.
		RequestID string `json:"request_id"`
		// Count is the number of tokens in the response.
		Count int `json:"count"`
		// Versions lists the weight version that generated each range of tokens.
		Versions []steps.Version `json:"versions"`
		// Attempts is the number of attempts.
		Attempts int `json:"attempts"`
	}

	// serviceRequest is a request to a service as read from path, headers and body.
	serviceRequest struct {
		id         string
		service    specs.Service
		deadline   time.Time
		idempotent bool
		body       []byte
	}

	// tokenWriter streams a response, one line for each chunk.
	tokenWriter struct {
		writer  http.ResponseWriter
		flusher http.Flusher
		encoder *json.Encoder
		id      string
		started bool
	}
)

// tokens serves a request to a model service and streams the generated tokens.
func (s *Server) tokens(w http.ResponseWriter, r *http.Request) {
	req, p := s.readRequest(w, r, false)
	if p != nil {
		s.writeError(w, *p)
		return
	}
	tokenRequest, err := parseTokenRequest(req.body)
	if err != nil {
		s.writeError(w, problem{status: http.StatusBadRequest, outcome: route.NotRun, text: err.Error(), requestID: req.id})
		return
	}
	start := time.Now()
	out := newTokenWriter(w, req.id)
	backend := req.service.Backend()
	result, err := s.deps.Runner.Run(r.Context(), route.Job{
		ID:      s.ids.next(),
		Backend: backend,
		PermitRequest: permit.Request{
			Priority:    wirepb.Priority_PRIORITY_INTERACTIVE,
			Share:       req.service.Name(),
			Weight:      1,
			Deadline:    req.deadline,
			Prefix:      xxhash.Sum64String(tokenRequest.Prompt[:min(len(tokenRequest.Prompt), prefixBytes)]),
			Fingerprint: poison.Fingerprint(backend, []byte(tokenRequest.Prompt)),
		},
		Prompt:          tokenRequest.Prompt,
		MaxTokens:       tokenRequest.MaxTokens,
		Seed:            tokenRequest.Seed,
		ProgressTimeout: req.service.ProgressTimeout(),
		Idempotent:      req.idempotent,
		Claim:           s.claimOf(req),
		Emit:            out.sendChunk,
	})
	s.deps.Scope.Timer("tokens_request").Record(time.Since(start))
	if err != nil {
		s.writeTokensError(w, out, problemFromError(err, req.id))
		return
	}
	s.deps.Scope.Counter("requests_answered").Inc(1)
	out.sendEnd(TokenEnd{
		Done: true, RequestID: req.id, Count: result.Tokens(), Versions: steps.VersionsOf(result.Versions()),
		Attempts: result.Attempts(),
	})
}

// writeTokensError sends an error, as the last line if the response has started.
// The outcome is then never "not run", since tokens were generated.
func (s *Server) writeTokensError(w http.ResponseWriter, out *tokenWriter, p problem) {
	if !out.started {
		s.writeError(w, p)
		return
	}
	if p.outcome == route.NotRun {
		p.outcome = route.Unknown
	}
	_ = out.encoder.Encode(p.body())
}

// claimOf returns a function that claims the request, nil if the request is
// idempotent.
func (s *Server) claimOf(req *serviceRequest) func(context.Context) (*claim.Claim, error) {
	if req.idempotent {
		return nil
	}
	return func(ctx context.Context) (*claim.Claim, error) {
		return s.deps.Claims.Take(ctx, req.service.Name(), req.id)
	}
}

// readRequest looks up the service and reads headers and body. The service must
// be plain if plain is true, a model service otherwise.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, plain bool) (*serviceRequest, *problem) {
	req := &serviceRequest{id: r.Header.Get(headerRequestID)}
	fail := func(status int, format string, args ...any) (*serviceRequest, *problem) {
		return nil, &problem{
			status: status, outcome: route.NotRun, text: fmt.Sprintf(format, args...), requestID: req.id,
		}
	}
	current := s.deps.Config.Current()
	if current == nil {
		return nil, &problem{
			status: http.StatusServiceUnavailable, outcome: route.NotRun, requestID: req.id,
			retryAfter: time.Second, text: "no configuration is in force at this node yet",
		}
	}
	service, ok := current.Set().Service(r.PathValue("service"))
	if !ok || service.Plain() != plain {
		return fail(http.StatusNotFound, "no such service %q on this route", r.PathValue("service"))
	}
	req.service = service
	if err := req.readHeaders(r); err != nil {
		return fail(http.StatusBadRequest, "%v", err)
	}
	if req.id == "" {
		if !req.idempotent {
			return fail(http.StatusBadRequest, "a non-idempotent request needs a %s header", headerRequestID)
		}
		req.id = s.ids.next()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(service.MaxBody())))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fail(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", service.MaxBody())
	}
	if err != nil {
		return fail(http.StatusBadRequest, "reading the body: %v", err)
	}
	req.body = body
	return req, nil
}

func (req *serviceRequest) readHeaders(r *http.Request) error {
	limit := req.service.Timeout()
	if text := r.Header.Get(headerRequestTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return fmt.Errorf("%s: want a duration such as 1500ms, got %q", headerRequestTimeout, text)
		}
		limit = min(limit, requested)
	}
	req.deadline = time.Now().Add(limit)
	req.idempotent = req.service.Idempotent()
	if text := r.Header.Get(headerIdempotent); text != "" {
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%s: want true or false, got %q", headerIdempotent, text)
		}
		req.idempotent = value
	}
	if len(req.id) > maxRequestID {
		return fmt.Errorf("%s: want at most %d characters", headerRequestID, maxRequestID)
	}
	return nil
}

func parseTokenRequest(body []byte) (TokenRequest, error) {
	var request TokenRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, fmt.Errorf("want JSON such as {\"prompt\":\"...\",\"max_tokens\":64}: %w", err)
	}
	if request.Prompt == "" {
		return request, errors.New("prompt: want a text")
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxTokensLimit {
		return request, fmt.Errorf("max_tokens: want 1 to %d, got %d", maxTokensLimit, request.MaxTokens)
	}
	return request, nil
}

func newTokenWriter(w http.ResponseWriter, id string) *tokenWriter {
	flusher, _ := w.(http.Flusher)
	return &tokenWriter{writer: w, flusher: flusher, encoder: json.NewEncoder(w), id: id}
}

// sendChunk sends one chunk and flushes it.
func (t *tokenWriter) sendChunk(chunk engine.Chunk) error {
	if len(chunk.Tokens) == 0 {
		return nil
	}
	t.sendHeader()
	chunk.Done = false
	if err := t.encoder.Encode(chunk); err != nil {
		return err
	}
	if t.flusher != nil {
		t.flusher.Flush()
	}
	return nil
}

func (t *tokenWriter) sendHeader() {
	if t.started {
		return
	}
	t.started = true
	header := t.writer.Header()
	header.Set("Content-Type", "application/x-ndjson")
	header.Set(headerRequestID, t.id)
	header.Set(headerOutcome, outcomeAnswered)
}

func (t *tokenWriter) sendEnd(end TokenEnd) {
	t.sendHeader()
	_ = t.encoder.Encode(end)
}
