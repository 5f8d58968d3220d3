// Package relay serves one request of a caller from an endpoint: which endpoint
// gets it, when another one does, and what the caller is told at the end.
//
// # Usage
//
//	r := relay.New(relay.Parts{Fleet: fleet, Sender: sender, Suspects: suspects, ...})
//	switch end := r.Serve(ctx, request, route).(type) {
//	case relay.Whole: // pass the answer on
//	case relay.Refused: // it has not run and never will
//	case relay.Failed: // it may have run
//	}
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/currantloft/currantloft/fleet"
)

type (
	// Request is one request of a caller, or an item of a batch.
	Request struct {
		// ID names this attempt of the caller.
		ID     string
		Host   string
		Method string
		// Target is the path with the query.
		Target string
		// Header holds what is passed on.
		Header http.Header
		Body   []byte
		// Deadline is when the caller gives up, the zero time for never.
		Deadline time.Time
		// After is the last event that was received, -1 to begin at the start.
		After int
		// Caller tells callers apart by what they say of themselves, the same for
		// each attempt.
		Caller uint64
	}

	// Reply is what became of one attempt at an endpoint: Answer, NotRun or Lost.
	Reply interface{ reply() }

	// Answer is an endpoint's answer, with the body still to be read.
	Answer struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
		// Length is the body's length, -1 if it isn't told.
		Length int64
		// Signed says that the answer bears the endpoint's signature.
		Signed bool
		// Streamed says that the body is a series of events.
		Streamed bool
		// Version is the weight version that generates, 0 if it isn't told.
		Version int
	}

	// NotRun says that the endpoint has not run the request.
	NotRun struct {
		// Sent is false if not a byte was written to the endpoint.
		Sent bool
		// Full says that the endpoint has no room now.
		Full bool
		// Moved says that another endpoint has the address.
		Moved bool
		Cause error
	}

	// Lost says that the request may have run and there is no answer.
	Lost struct{ Cause error }

	// Sender sends one attempt to an endpoint.
	Sender interface {
		Send(ctx context.Context, target fleet.Target, request Request) Reply
	}

	// Suspects knows the requests that crash endpoints.
	Suspects interface {
		// Crashes returns how many endpoints a request has crashed one after another.
		Crashes(request Request) int
		// Barred reports whether a request is not run any more, and for how long.
		Barred(request Request) (time.Duration, bool)
		// BrokeOff tells of an attempt that ended without a byte of its answer and
		// began when the count was atStart. What it returns is closed once other
		// nodes know, soon also if some can't be reached; nil if there is no news.
		BrokeOff(ctx context.Context, target fleet.Target, request Request, atStart int) <-chan struct{}
		// Answered tells of an answer to a request with crashes.
		Answered(request Request)
	}

	// End is what the caller is told: Whole, Refused or Failed.
	End interface{ end() }

	// Whole is an endpoint's answer. Body is nil for answers that are read as
	// they come from Stream, which must be closed.
	Whole struct {
		Status int
		Header http.Header
		Body   []byte
		Stream io.ReadCloser
	}

	// Refused says that the request has not run and never will.
	Refused struct {
		// RetryAfter is when to come back.
		RetryAfter time.Duration
		Cause      error
	}

	// Failed says that the request may have run.
	Failed struct {
		// TimedOut says that time ran out.
		TimedOut bool
		Cause    error
	}
)

func (Answer) reply() {}
func (NotRun) reply() {}
func (Lost) reply()   {}

func (Whole) end()   {}
func (Refused) end() {}
func (Failed) end()  {}
