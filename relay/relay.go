// Package relay serves one request of a caller: it selects an endpoint, decides
// when to try another one, and returns the final outcome for the caller.
//
// # Usage
//
//	r := relay.New(relay.Deps{Fleet: fleet, Sender: sender, Suspects: suspects, ...})
//	switch outcome := r.Serve(ctx, request, route).(type) {
//	case relay.Answered: // forward the answer
//	case relay.Refused: // the request has not run and never will
//	case relay.Failed: // the request may have run
//	}
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/currantloft/currantloft/fleet"
)

// ErrNotPermitted reports that a request was no longer permitted when it was about to be
// written. That says nothing of the endpoint.
var ErrNotPermitted = errors.New("the request is not permitted any more")

type (
	// Request is one request of a caller, or an item of a batch.
	Request struct {
		// ID identifies this attempt of the caller.
		ID     string
		Host   string
		Method string
		// Target is the path with the query.
		Target string
		// Header holds the headers that are forwarded to the endpoint.
		Header http.Header
		Body   []byte
		// Deadline is the caller's own deadline; the zero time means none.
		Deadline time.Time
		// LastEventID is the ID of the last event that the caller has received, -1 for none.
		LastEventID int
		// Resumes is the ID of the attempt that brought the first event of a stream which
		// the caller resumes, empty for a new stream.
		Resumes string
		// Repeatable reports whether the request may be sent again after an attempt that may
		// have run.
		Repeatable bool
		// Team is the team whose key the request bears, empty without teams.
		Team string
		// Caller is a hash of the request's headers that identifies the caller. It is
		// the same for all attempts of one caller.
		Caller uint64
		// Permitted is asked right before bytes of the request are written to the endpoint;
		// nil means always. If it reports false, the request has not run, and the cause of
		// the reply is ErrNotPermitted.
		Permitted func() bool
	}

	// Reply is the result of one attempt at an endpoint: Answer, NotRun or Lost.
	Reply interface{ isReply() }

	// Answer is an endpoint's answer. Its body has not been read yet.
	Answer struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
		// Length is the body's length in bytes, -1 if the endpoint does not state it.
		Length int64
		// Unframed reports whether the end of the body is not stated: it ends with the
		// connection.
		Unframed bool
		// Unproven reports whether callers read the status as the promise that the request
		// has not run, which the endpoint does not state.
		Unproven bool
		// Signed reports whether the answer has the endpoint's signature.
		Signed bool
		// Signature is that signature, empty for none.
		Signature string
		// Streamed reports whether the body is an event stream.
		Streamed bool
		// Version is the weight version that generates the answer, 0 if not stated.
		Version int
	}

	// NotRun means that the endpoint has not run the request.
	NotRun struct {
		// Sent is false if no byte was written to the endpoint.
		Sent bool
		// Full reports whether the endpoint has no free slot.
		Full bool
		// Moved reports whether another endpoint now listens at the address.
		Moved bool
		Cause error
	}

	// Lost means that the request may have run but no answer arrived.
	Lost struct {
		Cause error
		// PathLost reports whether only the path to the endpoint broke, which says
		// nothing of the endpoint.
		PathLost bool
	}

	// Sender sends one attempt to an endpoint.
	Sender interface {
		Send(ctx context.Context, target fleet.Target, request Request) Reply
	}

	// Suspects tracks the requests that crash endpoints.
	Suspects interface {
		// Crashes returns how many endpoints in a row a request has crashed.
		Crashes(request Request) int
		// Quarantined reports whether a request is quarantined, and for how much longer.
		Quarantined(request Request) (time.Duration, bool)
		// Disconnected reports an attempt that was lost, or a stream that ended before
		// its first byte. crashesAtStart is the request's crash count when the
		// attempt started. The returned channel is closed once the peers are
		// notified, or after a short timeout if some are unreachable. It is nil if
		// there is no new crash to report.
		Disconnected(ctx context.Context, target fleet.Target, request Request, crashesAtStart int) <-chan struct{}
		// Answered reports an answer to a request that has crashes on record.
		Answered(request Request)
	}

	// Origins remembers which software began each stream.
	Origins interface {
		// Lookup returns the software that began the stream whose first event the attempt
		// has brought, also if that was at another host.
		Lookup(ctx context.Context, attempt string) (fleet.Software, bool)
		// Sole returns the software at which all streams of a service have begun in the
		// given time. It reports false if there may have been several.
		Sole(ctx context.Context, service string, within time.Duration) (fleet.Software, bool)
		// Record records that software for this host and others.
		Record(attempt string, software fleet.Software)
	}

	// Outcome is the final outcome for the caller: Answered, Refused or Failed.
	Outcome interface{ isOutcome() }

	// Answered is an endpoint's answer. Body is nil if the answer is streamed: the
	// caller then reads Stream and must close it.
	Answered struct {
		Status int
		Header http.Header
		Body   []byte
		Stream io.ReadCloser
	}

	// Refused means that the request has not run and never will.
	Refused struct {
		// RetryAfter is how long the caller should wait before it retries.
		RetryAfter time.Duration
		Cause      error
	}

	// Failed means that the request may have run.
	Failed struct {
		// TimedOut reports whether the request reached its deadline.
		TimedOut bool
		Cause    error
	}
)

func (Answer) isReply() {}
func (NotRun) isReply() {}
func (Lost) isReply()   {}

func (Answered) isOutcome() {}
func (Refused) isOutcome()  {}
func (Failed) isOutcome()   {}
