package route

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/currantloft/currantloft/claim"
	"github.com/currantloft/currantloft/permit"
)

const defaultRetryAfter = time.Second

// Outcome classifies a request without a complete response by whether it may
// have run and why it failed.
type Outcome string

// Outcomes of a request.
const (
	// NotRun means that no attempt was written to an endpoint, or that endpoints
	// rejected those that were.
	NotRun Outcome = "not_run"
	// Unknown means that an attempt may have run.
	Unknown Outcome = "unknown"
	// Quarantined means that the request is quarantined, since it crashed endpoints.
	Quarantined Outcome = "quarantined"
	// Claimed means that the id of a non-idempotent request was claimed before.
	Claimed Outcome = "claimed"
)

// Error reports why a request has no complete response, and its outcome.
type Error struct {
	outcome    Outcome
	retryAfter time.Duration
	cause      error
}

// NewError returns an error with the outcome of a request. A retryAfter of 0 means
// that the caller should not retry.
func NewError(outcome Outcome, retryAfter time.Duration, cause error) *Error {
	return &Error{outcome: outcome, retryAfter: retryAfter, cause: cause}
}

// Error returns the outcome and its cause as one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.outcome, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Outcome returns the outcome of the request.
func (e *Error) Outcome() Outcome { return e.outcome }

// RetryAfter returns the delay before a retry, 0 if the caller should not retry.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// FromPermitError converts the error of a permit request to a final error. The outcome is
// that of the earlier attempts.
func FromPermitError(err error, outcome Outcome) *Error {
	var refused *permit.RefusedError
	switch {
	case !errors.As(err, &refused):
		return NewError(outcome, defaultRetryAfter, err)
	case refused.Quarantined():
		return NewError(Quarantined, 0, err)
	default:
		return NewError(outcome, refused.RetryAfter(), err)
	}
}

// TakeClaim calls claimRequest to claim a request. Its error is an *Error.
func TakeClaim(ctx context.Context, claimRequest func(context.Context) (*claim.Claim, error)) (*claim.Claim, error) {
	requestClaim, err := claimRequest(ctx)
	var taken *claim.TakenError
	switch {
	case errors.As(err, &taken):
		return nil, NewError(Claimed, 0, err)
	case err != nil:
		return nil, NewError(NotRun, defaultRetryAfter, err)
	}
	return requestClaim, nil
}
