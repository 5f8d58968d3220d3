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
	headerRequestID      = "Request-Id"
	headerOutcome        = "Request-Outcome"
	headerRequestTimeout = "Request-Timeout"
	headerIdempotent     = "Request-Idempotent"
	headerRetryAfter     = "Retry-After"
	headerRetryAfterMs   = "Retry-After-Ms"
	outcomeAnswered      = "answered"
)

type (
	// problem is an error response before it is written.
	problem struct {
		status       int
		outcome      route.Outcome
		text         string
		findings     []string
		retryAfter   time.Duration
		requestID    string
		expectedStep uint64
	}

	// ErrorBody is the body of every error response.
	ErrorBody struct {
		// Status is the HTTP status of the response. An error after the response
		// has started has the status that it would otherwise have had.
		Status int `json:"status"`
		// Error describes the failure and what the client can do.
		Error string `json:"error"`
		// Outcome is not_run, unknown, quarantined, claimed, not_ready or conflict.
		Outcome string `json:"outcome"`
		// Findings lists each error in a rejected input.
		Findings []string `json:"findings,omitempty"`
		// RetryAfterMs is the delay before a retry, in milliseconds; 0 means that
		// the client should not retry.
		RetryAfterMs int64 `json:"retry_after_ms"`
		// RequestID is the request's id.
		RequestID string `json:"request_id,omitempty"`
		// ExpectedStep is the step that the trainer may request.
		ExpectedStep uint64 `json:"expected_step,omitempty"`
	}
)

// body returns the response body for the problem.
func (p problem) body() ErrorBody {
	return ErrorBody{
		Status:       p.status,
		Error:        p.text,
		Outcome:      string(p.outcome),
		Findings:     p.findings,
		RetryAfterMs: p.retryAfter.Milliseconds(),
		RequestID:    p.requestID,
		ExpectedStep: p.expectedStep,
	}
}

// writeError sends an error response. It adds jitter to the retry delay, so that
// callers rejected at the same moment don't retry at the same moment.
func (s *Server) writeError(w http.ResponseWriter, p problem) {
	p.retryAfter += rand.N(p.retryAfter/2 + 1)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, string(p.outcome))
	if p.requestID != "" {
		header.Set(headerRequestID, p.requestID)
	}
	if p.retryAfter > 0 {
		seconds := int64((p.retryAfter + time.Second - 1) / time.Second)
		header.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
		header.Set(headerRetryAfterMs, strconv.FormatInt(p.retryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(p.body())
	if p.outcome == route.NotRun {
		event.RequestNotRun.Log(s.deps.Logger, zap.String("request", p.requestID), zap.String("reason", p.text))
	}
	s.deps.Scope.Tagged(map[string]string{"outcome": string(p.outcome)}).Counter("requests_failed").Inc(1)
}

// problemFromError turns a runner's error into an error response.
func problemFromError(err error, requestID string) problem {
	p := problem{status: http.StatusBadGateway, outcome: route.Unknown, text: err.Error(), requestID: requestID}
	var failure *route.Error
	if !errors.As(err, &failure) {
		return p
	}
	p.outcome = failure.Outcome()
	p.retryAfter = failure.RetryAfter()
	switch failure.Outcome() {
	case route.NotRun:
		p.status = http.StatusServiceUnavailable
	case route.Quarantined:
		p.status = http.StatusUnprocessableEntity
	case route.Claimed:
		p.status = http.StatusConflict
	case route.Unknown:
		p.status = http.StatusBadGateway
	}
	return p
}

// findingsOf returns the findings in an error, nil if it has none.
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

// writeJSON sends value as the response.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
