package relay

import (
	"errors"
	"time"
)

var errQuarantined = errors.New("the request crashed endpoints before")

// Decision is the decision after an attempt without an answer.
type Decision int

// Decisions after an attempt without an answer.
const (
	// GiveUp ends the request.
	GiveUp Decision = iota
	// TryAnotherEndpoint sends the request to another endpoint.
	TryAnotherEndpoint
)

// Attempts is the state of a request's attempts. Its methods decide whether
// another attempt may be made and what the outcome of the request is.
//
// It is designed for endpoints that crash, refuse requests, lose answers or
// become slow while others of the same service have free slots.
type Attempts struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// MaxRuns is the largest number of endpoints that may run the request.
	MaxRuns int
	// Deadline is the deadline for answering the caller.
	Deadline time.Time
	// Sent counts all attempts, NotRun those that are confirmed not to have run.
	Sent   int
	NotRun int
	// MayHaveRun reports whether at least one attempt may have run.
	MayHaveRun bool
	// Full reports whether an endpoint refused because it had no free slot.
	Full bool
	// NextPermit is when an endpoint that limits requests is expected to take one more,
	// 0 if no attempt was held back for that reason.
	NextPermit time.Duration
	// Exclude lists the IDs of the endpoints that were tried.
	Exclude []string
}

// RecordNotRun records an attempt that is confirmed not to have run.
func (a *Attempts) RecordNotRun(endpoint string, reply NotRun) {
	a.NotRun++
	a.Full = a.Full || reply.Full
	a.Exclude = append(a.Exclude, endpoint)
}

// RecordLost records an attempt that may have run, or that has run and failed.
func (a *Attempts) RecordLost(endpoint string) {
	a.MayHaveRun = true
	a.Exclude = append(a.Exclude, endpoint)
}

// possibleRuns returns how many endpoints may have run the request.
func (a *Attempts) possibleRuns() int { return a.Sent - a.NotRun }

// Next decides what to do after an attempt without an answer.
func (a *Attempts) Next(now time.Time) Decision {
	switch {
	case !now.Before(a.Deadline), a.NotRun > maxRefusals:
		return GiveUp
	case a.MayHaveRun && !a.Repeatable:
		return GiveUp
	case a.possibleRuns() >= a.MaxRuns:
		return GiveUp
	default:
		return TryAnotherEndpoint
	}
}

// MayHedge reports whether a request that is slower than its target latency may
// also be sent to a second endpoint.
func (a *Attempts) MayHedge() bool { return a.Repeatable && a.possibleRuns() < a.MaxRuns }

// MayRetryAfterError reports whether another endpoint may be tried after one
// answered with a server error.
func (a *Attempts) MayRetryAfterError() bool { return a.Repeatable && a.possibleRuns() < a.MaxRuns }

// QuarantinedOutcome returns the outcome of a quarantined request: Refused with
// a retry delay if it is repeatable and no attempt may have run, otherwise
// Failed. A request that is not repeatable is Failed even without an attempt of
// its own, since an earlier copy of it may have run on an endpoint that it
// crashed.
func (a *Attempts) QuarantinedOutcome(remaining time.Duration) Outcome {
	if a.Repeatable && !a.MayHaveRun {
		return Refused{RetryAfter: remaining, Cause: errQuarantined}
	}
	return Failed{Cause: errQuarantined}
}

// FinalOutcome returns the outcome for the caller once no further attempt is made.
func (a *Attempts) FinalOutcome(cause error) Outcome {
	switch {
	case a.MayHaveRun:
		return Failed{Cause: cause}
	case a.NextPermit > 0:
		return Refused{RetryAfter: max(a.NextPermit, fullRetryAfter), Cause: cause}
	case a.Full:
		return Refused{RetryAfter: fullRetryAfter, Cause: cause}
	default:
		return Refused{RetryAfter: noEndpointRetryAfter, Cause: cause}
	}
}
