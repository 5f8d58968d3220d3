package route

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/currantloft/currantloft/claim"
	"github.com/currantloft/currantloft/permit"
)

const retryLater = time.Second

// Outcome says what is known of a request that has no whole answer.
type Outcome string

// Outcomes of a request.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Barred  Outcome = "quarantined"
	Claimed Outcome = "claimed"
)

// Error says why there is no whole answer and what is known.
type Error struct {
	outcome Outcome
	retry   time.Duration
	cause   error
}

// NewError returns an error with what is known of a request.
func NewError(outcome Outcome, retry time.Duration, cause error) *Error {
	return &Error{outcome: outcome, retry: retry, cause: cause}
}

// Error returns the outcome and its cause as one line.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.outcome, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Outcome returns what is known of the request.
func (e *Error) Outcome() Outcome { return e.outcome }

// RetryAfter returns when to come back, 0 for never.
func (e *Error) RetryAfter() time.Duration { return e.retry }

// Refused turns a missing permit into a final answer; the outcome is what is
// known of earlier attempts.
func Refused(err error, outcome Outcome) *Error {
	var refused *permit.RefusedError
	switch {
	case !errors.As(err, &refused):
		return NewError(outcome, retryLater, err)
	case refused.Barred():
		return NewError(Barred, 0, err)
	default:
		return NewError(outcome, refused.RetryAfter(), err)
	}
}

// TakeClaim takes a claim; its error is an *Error.
func TakeClaim(ctx context.Context, take func(context.Context) (*claim.Held, error)) (*claim.Held, error) {
	held, err := take(ctx)
	var taken *claim.TakenError
	switch {
	case errors.As(err, &taken):
		return nil, NewError(Claimed, 0, err)
	case err != nil:
		return nil, NewError(NotRun, retryLater, err)
	}
	return held, nil
}
