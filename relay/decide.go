package relay

import (
	"errors"
	"time"
)

var errCrashes = errors.New("the request crashed endpoints before")

// Step says what follows an attempt that brought no answer.
type Step int

// Steps.
const (
	// GiveUp ends the request.
	GiveUp Step = iota
	// TryAnother sends it to another endpoint.
	TryAnother
)

// Attempts is what is known of a request's attempts, for decisions.
//
// Load pattern: endpoints that crash, refuse, lose answers or turn slow while
// others of the same service have room.
type Attempts struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Most is how many endpoints the request may run at.
	Most int
	// Limit is when the caller must be answered.
	Limit time.Time
	// Sent counts attempts, NotRun those that have certainly not run.
	Sent   int
	NotRun int
	// MayHaveRun says that at least one attempt may have run.
	MayHaveRun bool
	// Full says that an endpoint refused for want of room.
	Full bool
	// Exclude names the endpoints that were tried.
	Exclude []string
}

// NoteNotRun notes an attempt that has certainly not run.
func (a *Attempts) NoteNotRun(endpoint string, reply NotRun) {
	a.NotRun++
	a.Full = a.Full || reply.Full
	a.Exclude = append(a.Exclude, endpoint)
}

// NoteLost notes an attempt that may have run.
func (a *Attempts) NoteLost(endpoint string) {
	a.MayHaveRun = true
	a.Exclude = append(a.Exclude, endpoint)
}

// ran returns how many endpoints may have run the request.
func (a *Attempts) ran() int { return a.Sent - a.NotRun }

// Next says what follows an attempt without an answer.
func (a *Attempts) Next(now time.Time) Step {
	switch {
	case !now.Before(a.Limit), a.NotRun > maxRefusals:
		return GiveUp
	case a.MayHaveRun && !a.Repeatable:
		return GiveUp
	case a.ran() >= a.Most:
		return GiveUp
	default:
		return TryAnother
	}
}

// MayHedge reports whether a late request may run at a second endpoint.
func (a *Attempts) MayHedge() bool { return a.Repeatable && a.ran() < a.Most }

// AnotherAfterError reports whether an endpoint's own failure may be replaced
// by the answer of another.
func (a *Attempts) AnotherAfterError() bool { return a.Repeatable && a.ran() < a.Most }

// Barred returns what the caller of a request that crashes endpoints is told: one
// that asks again after any failure is told when, another only that it failed,
// since it may have run before.
func (a *Attempts) Barred(left time.Duration) End {
	if a.Repeatable && !a.MayHaveRun {
		return Refused{RetryAfter: left, Cause: errCrashes}
	}
	return Failed{Cause: errCrashes}
}

// End returns what the caller is told once no attempt is left.
func (a *Attempts) End(cause error) End {
	switch {
	case a.MayHaveRun:
		return Failed{Cause: cause}
	case a.Full:
		return Refused{RetryAfter: fullRetry, Cause: cause}
	default:
		return Refused{RetryAfter: noEndpointRetry, Cause: cause}
	}
}
