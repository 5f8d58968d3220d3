package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/routes"
)

const (
	// maxBuffered is the largest answer that is read whole before it is passed
	// on, in bytes; an answer that breaks off before is asked for again.
	maxBuffered = 256 << 10
	// maxRefusals bounds how often endpoints that did not run a request are
	// replaced by others.
	maxRefusals = 6
	// noEndpointRetry is when to come back while a service has no endpoint: one
	// that crashed is back after some seconds.
	noEndpointRetry = 500 * time.Millisecond
	// fullRetry is when to come back while all endpoints are full.
	fullRetry = 100 * time.Millisecond
	// answerMargin is what is left of the time limit for answering the caller.
	answerMargin = 5 * time.Millisecond
)

type (
	// Parts is what a relay works with.
	Parts struct {
		Fleet    *fleet.Fleet
		Sender   Sender
		Suspects Suspects
		// Domain is the node's failure domain.
		Domain string
		Scope  tally.Scope
		Logger *zap.Logger
	}

	// Relay serves requests at one node.
	Relay struct {
		fleet    *fleet.Fleet
		sender   Sender
		suspects Suspects
		domain   string
		logger   *zap.Logger
		scope    tally.Scope
	}

	// run is the state of one request.
	run struct {
		*Relay
		request Request
		route   routes.Route
		service string
		state   Attempts
		results chan attemptEnd
		open    int
		// sentTo are the endpoints that it was sent to, in order.
		sentTo []string
		told   <-chan struct{}
	}

	// watched is a stream whose end tells of crashes.
	watched struct {
		io.ReadCloser
		ended func(bytes int, err error)
		bytes int
	}

	// cancelling is a stream whose attempts end when it is closed.
	cancelling struct {
		io.ReadCloser
		cancel context.CancelFunc
	}

	// attemptEnd is the end of one attempt.
	attemptEnd struct {
		// n counts the request's attempts from 1 on.
		n      int
		target fleet.Target
		reply  Reply
		body   []byte
		// told is closed once other nodes know of a crash, nil without one.
		told <-chan struct{}
	}
)

var (
	errNoEndpoint = errors.New("the service has no endpoint")
	errUnsigned   = errors.New("the answer bears no signature")
)

// Close ends the stream.
func (c *cancelling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// Read notes how the stream ends.
func (w *watched) Read(buffer []byte) (int, error) {
	n, err := w.ReadCloser.Read(buffer)
	w.bytes += n
	if err != nil {
		w.ended(w.bytes, err)
	}
	return n, err
}

// New returns a relay.
func New(parts Parts) *Relay {
	return &Relay{
		fleet: parts.Fleet, sender: parts.Sender, suspects: parts.Suspects,
		domain: parts.Domain, logger: parts.Logger, scope: parts.Scope,
	}
}

// Serve runs a request until it is answered or given up. The context ends when
// the caller leaves.
func (r *Relay) Serve(ctx context.Context, request Request, route routes.Route) End {
	begun := time.Now()
	limit := begun.Add(route.Timeout - answerMargin)
	if route.Timeout == 0 {
		limit = request.Deadline
	}
	if !request.Deadline.IsZero() && request.Deadline.Add(-answerMargin).Before(limit) {
		limit = request.Deadline.Add(-answerMargin)
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	x := &run{
		Relay: r, request: request, route: route, service: route.Service(request.ID),
		results: make(chan attemptEnd, route.Attempts()+maxRefusals+1),
		state: Attempts{
			Repeatable: route.Repeatable(), Most: route.Attempts(), Limit: limit,
		},
	}
	end := x.run(ctx)
	whole, ok := end.(Whole)
	if !ok && x.told != nil {
		// The caller may be back through another node within a millisecond.
		<-x.told
	}
	if ok && whole.Stream != nil {
		whole.Stream = &cancelling{ReadCloser: whole.Stream, cancel: cancel}
		end = whole
	} else {
		cancel()
	}
	r.record(request, route, x, end, time.Since(begun))
	return end
}

func (x *run) run(ctx context.Context) End {
	if end := x.start(ctx); end != nil {
		return end
	}
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return x.timedOut(ctx)
		case <-hedge.C:
			if x.state.MayHedge() {
				// An attempt that can't be started leaves the first one to go on.
				_ = x.start(ctx)
			}
		case done := <-x.results:
			x.open--
			if done.told != nil {
				x.told = done.told
			}
			if end := x.conclude(ctx, done); end != nil {
				return end
			}
		}
	}
}

// conclude decides what one attempt's end means; nil goes on.
func (x *run) conclude(ctx context.Context, done attemptEnd) End {
	switch reply := done.reply.(type) {
	case Answer:
		if reply.Status >= 500 && x.state.AnotherAfterError() {
			x.state.Exclude = append(x.state.Exclude, done.target.ID())
			if x.start(ctx) == nil {
				return nil
			}
		}
		if done.body == nil && reply.Body != nil {
			if x.route.Resumable && reply.Streamed {
				reply.Body = newResuming(ctx, x, reply)
			}
			return Whole{Status: reply.Status, Header: reply.Header, Stream: reply.Body}
		}
		return Whole{Status: reply.Status, Header: reply.Header, Body: done.body}
	case NotRun:
		x.state.NoteNotRun(done.target.ID(), reply)
	case Lost:
		x.state.NoteLost(done.target.ID())
	}
	cause := causeOf(done.reply)
	event.AttemptFailed.Log(x.logger, zap.String("request", x.request.ID), zap.String("endpoint", done.target.ID()),
		zap.Int("sent", x.state.Sent), zap.Bool("may_have_run", x.state.MayHaveRun), zap.Error(cause))
	switch x.state.Next(time.Now()) {
	case TryAnother:
		if end := x.start(ctx); end == nil || x.open > 0 {
			return nil
		}
	case GiveUp:
	}
	if x.open > 0 {
		return nil
	}
	return x.state.End(cause)
}

// start sends the request to one more endpoint, or returns the final answer.
func (x *run) start(ctx context.Context) End {
	if left, barred := x.suspects.Barred(x.request); barred {
		return x.state.Barred(left)
	}
	states := x.fleet.Serving(x.service)
	chosen, ok := fleet.Pick(states, x.domain, x.state.Exclude, rand.IntN(len(states)+1))
	if !ok && len(states) > 0 && x.state.Repeatable {
		// All were tried: one that only was full may have room by now.
		chosen, ok = fleet.Pick(states, x.domain, nil, rand.IntN(len(states)))
	}
	if !ok {
		return x.state.End(errNoEndpoint)
	}
	x.state.Sent++
	x.open++
	target := chosen.Target()
	x.sentTo = append(x.sentTo, target.ID())
	x.fleet.Begin(target.ID())
	go x.attempt(ctx, target, x.request, x.state.Sent)
	return nil
}

// attempt sends the request and reads a short answer whole; n counts attempts.
func (x *run) attempt(ctx context.Context, target fleet.Target, request Request, n int) {
	crashes := x.suspects.Crashes(request)
	reply := x.sender.Send(ctx, target, request)
	var body []byte
	if answer, ok := reply.(Answer); ok {
		body, reply = x.collect(answer)
	}
	x.fleet.End(target.ID(), resultOf(ctx, reply))
	var told <-chan struct{}
	switch r := reply.(type) {
	case Lost:
		told = x.brokeOff(ctx, target, request, crashes)
	case Answer:
		if r.Body != nil {
			r.Body = &watched{ReadCloser: r.Body, ended: func(bytes int, err error) {
				if errors.Is(err, io.EOF) {
					x.answered(request, crashes)
				} else if bytes == 0 {
					if told := x.brokeOff(ctx, target, request, crashes); told != nil {
						<-told
					}
				}
			}}
			reply = r
		} else if r.Signed {
			x.answered(request, crashes)
		}
	}
	x.results <- attemptEnd{n: n, target: target, reply: reply, body: body, told: told}
}

// brokeOff tells of an attempt that ended without a byte of its answer.
func (x *run) brokeOff(ctx context.Context, target fleet.Target, request Request, crashes int) <-chan struct{} {
	if ctx.Err() != nil {
		return nil
	}
	return x.suspects.BrokeOff(ctx, target, request, crashes)
}

// answered clears a request that had crashes.
func (x *run) answered(request Request, crashes int) {
	if crashes > 0 {
		x.suspects.Answered(request)
	}
}

// collect reads a short answer; a long or streamed one is left to its reader.
func (x *run) collect(answer Answer) ([]byte, Reply) {
	if answer.Status < 300 && !answer.Signed {
		_ = answer.Body.Close()
		return nil, Lost{Cause: errUnsigned}
	}
	if answer.Streamed || answer.Length > maxBuffered {
		return nil, answer
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	_ = answer.Body.Close()
	if err != nil {
		return nil, Lost{Cause: fmt.Errorf("reading the answer: %w", err)}
	}
	if len(body) > maxBuffered {
		return nil, Lost{Cause: fmt.Errorf("an answer without a length is over %d bytes", maxBuffered)}
	}
	answer.Body = nil
	if body == nil {
		body = []byte{}
	}
	return body, answer
}

func (x *run) hedgeDelay() time.Duration {
	if x.route.TargetLatency > 0 {
		return x.route.TargetLatency
	}
	return time.Hour
}

func (x *run) timedOut(ctx context.Context) End {
	if errors.Is(ctx.Err(), context.Canceled) {
		return Failed{Cause: errors.New("the caller left")}
	}
	if !x.state.MayHaveRun && x.open == 0 {
		return Refused{RetryAfter: fullRetry, Cause: ctx.Err()}
	}
	return Failed{TimedOut: true, Cause: ctx.Err()}
}

func (r *Relay) record(request Request, route routes.Route, x *run, end End, took time.Duration) {
	outcome, cause := "answered", error(nil)
	switch e := end.(type) {
	case Whole:
	case Refused:
		outcome, cause = "refused", e.Cause
	case Failed:
		outcome, cause = "failed", e.Cause
	}
	scope := r.scope.Tagged(map[string]string{"outcome": outcome})
	scope.Counter("requests").Inc(1)
	r.scope.Timer("request_time").Record(took)
	if outcome == "answered" {
		return
	}
	event.RequestEnded.Log(r.logger, zap.String("request", request.ID), zap.String("route", route.Name),
		zap.String("service", x.service), zap.String("outcome", outcome), zap.Int("sent", x.state.Sent),
		zap.Strings("endpoints", x.sentTo), zap.Duration("timeout", route.Timeout), zap.Duration("took", took), zap.Error(cause))
}

func resultOf(ctx context.Context, reply Reply) fleet.Result {
	switch r := reply.(type) {
	case Answer:
		return fleet.Worked
	case NotRun:
		if r.Full {
			return fleet.Full
		}
		return fleet.Failed
	default:
		if ctx.Err() != nil {
			return fleet.Withdrawn
		}
		return fleet.Failed
	}
}

func causeOf(reply Reply) error {
	switch r := reply.(type) {
	case NotRun:
		return r.Cause
	case Lost:
		return r.Cause
	default:
		return nil
	}
}
