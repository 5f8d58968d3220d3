package entry

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/finds"
	"github.com/currantloft/currantloft/route"
)

const (
	headerRequestID  = "Request-Id"
	headerOutcome    = "Request-Outcome"
	headerTimeLimit  = "Request-Timeout"
	headerIdempotent = "Request-Idempotent"
	headerRetryAfter = "Retry-After"
	headerRetryMs    = "Retry-After-Ms"
	outcomeAnswered  = "answered"
)

type (
	// problem is an error on its way to a caller.
	problem struct {
		status   int
		outcome  route.Outcome
		text     string
		findings []string
		retry    time.Duration
		request  string
		expected uint64
	}

	// ErrorBody is the body of every error answer.
	ErrorBody struct {
		// Status is the HTTP status that the answer has or would have.
		Status int `json:"status"`
		// Error says what is wrong and what to do.
		Error string `json:"error"`
		// Outcome is not_run, unknown, quarantined, claimed or not_ready.
		Outcome string `json:"outcome"`
		// Findings lists each mistake of a refused input.
		Findings []string `json:"findings,omitempty"`
		// RetryAfterMs is when to come back, in milliseconds, 0 for never.
		RetryAfterMs int64 `json:"retry_after_ms"`
		// RequestID is the request's id.
		RequestID string `json:"request_id,omitempty"`
		// ExpectedStep is the step that a trainer may ask for.
		ExpectedStep uint64 `json:"expected_step,omitempty"`
	}
)

// body returns the problem as it is sent.
func (p problem) body() ErrorBody {
	return ErrorBody{
		Status:       p.status,
		Error:        p.text,
		Outcome:      string(p.outcome),
		Findings:     p.findings,
		RetryAfterMs: p.retry.Milliseconds(),
		RequestID:    p.request,
		ExpectedStep: p.expected,
	}
}

// fail sends an error answer. The time to come back is spread, so that callers
// who were refused together don't come back together.
func (s *Server) fail(w http.ResponseWriter, p problem) {
	p.retry += rand.N(p.retry/2 + 1)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, string(p.outcome))
	if p.request != "" {
		header.Set(headerRequestID, p.request)
	}
	if p.retry > 0 {
		seconds := int64((p.retry + time.Second - 1) / time.Second)
		header.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
		header.Set(headerRetryMs, strconv.FormatInt(p.retry.Milliseconds(), 10))
	}
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(p.body())
	if p.outcome == route.NotRun {
		event.RequestNotRun.Log(s.parts.Logger, zap.String("request", p.request), zap.String("reason", p.text))
	}
	s.parts.Scope.Tagged(map[string]string{"outcome": string(p.outcome)}).Counter("requests_failed").Inc(1)
}

// problemOf turns a runner's error into an answer.
func problemOf(err error, request string) problem {
	p := problem{status: http.StatusBadGateway, outcome: route.Unknown, text: err.Error(), request: request}
	var failure *route.Error
	if !errors.As(err, &failure) {
		return p
	}
	p.outcome = failure.Outcome()
	p.retry = failure.RetryAfter()
	switch failure.Outcome() {
	case route.NotRun:
		p.status = http.StatusServiceUnavailable
	case route.Barred:
		p.status = http.StatusUnprocessableEntity
	case route.Claimed:
		p.status = http.StatusConflict
	case route.Unknown:
		p.status = http.StatusBadGateway
	}
	return p
}

// findingsOf lists the findings of an error, nil if it has none.
func findingsOf(err error) []string {
	var all *finds.Error
	if !errors.As(err, &all) {
		return nil
	}
	lines := make([]string, 0, len(all.Findings()))
	for _, f := range all.Findings() {
		lines = append(lines, f.String())
	}
	return lines
}

// writeJSON sends a whole answer.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
