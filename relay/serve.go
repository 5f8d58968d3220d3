package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/routes"
)

const (
	// maxBufferedBytes is the size of the largest answer that is read completely
	// before it is forwarded; an answer that ends early can then be retried.
	maxBufferedBytes = 256 << 10
	// maxRefusals limits how many attempts that did not run are retried on
	// another endpoint.
	maxRefusals = 6
	// noEndpointRetryAfter is the retry delay if a service has no endpoint or none
	// has run the request, and none was full: an endpoint that crashed restarts
	// within a few seconds.
	noEndpointRetryAfter = 500 * time.Millisecond
	// fullRetryAfter is the retry delay if an endpoint was full, or if the request
	// timed out without having run.
	fullRetryAfter = 100 * time.Millisecond
	// answerMargin is how long before the deadline a request is abandoned, so that
	// the answer reaches the caller in time.
	answerMargin = 5 * time.Millisecond
)

type (
	// Deps holds the dependencies of a Relay.
	Deps struct {
		Fleet    *fleet.Fleet
		Sender   Sender
		Suspects Suspects
		Origins  Origins
		// Usage counts requests by team, nil for none.
		Usage Usage
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
		origins  Origins
		usage    Usage
		domain   string
		logger   *zap.Logger
		scope    tally.Scope
	}

	// activeRequest is the state of one request.
	activeRequest struct {
		*Relay
		request Request
		route   routes.Route
		service string
		// software is the only software that may continue the stream, empty before its
		// first event.
		software fleet.Software
		attempts Attempts
		usage    *usageCount
		results  chan attemptResult
		inFlight int
		// cancels ends the attempts, by their position less one.
		cancels []context.CancelFunc
		// sentTo lists the IDs of the endpoints that it was sent to, in order.
		sentTo []string
		// notified is closed once the peers are notified of the last crash.
		notified <-chan struct{}
	}

	// observedStream calls onData when a read returns bytes, and onEnd when a read returns
	// an error or io.EOF, to detect crashed endpoints.
	observedStream struct {
		io.ReadCloser
		onData func()
		onEnd  func(bytes int, err error)
		bytes  int
	}

	// cancelOnClose cancels the request's attempts when the stream is closed.
	cancelOnClose struct {
		io.ReadCloser
		cancel context.CancelFunc
	}

	// attemptResult is the result of one attempt.
	attemptResult struct {
		// number is the attempt's position within the request, from 1.
		number int
		target fleet.Target
		reply  Reply
		body   []byte
		// notified is closed once the peers are notified of a crash, nil without one.
		notified <-chan struct{}
	}
)

var (
	errNoEndpoint = errors.New("the service has no endpoint")
	errUnsigned   = errors.New("the answer bears no signature")
	errUnproven   = errors.New("the endpoint does not state that the request has not run")
)

// Close closes the stream and cancels the request's attempts.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// Read reads from the stream. It calls onData if there are bytes, and onEnd with the number of bytes read so
// far and the error, including io.EOF.
func (o *observedStream) Read(buffer []byte) (int, error) {
	n, err := o.ReadCloser.Read(buffer)
	o.bytes += n
	if n > 0 {
		o.onData()
	}
	if err != nil {
		o.onEnd(o.bytes, err)
	}
	return n, err
}

// Hold returns what the answer takes of a budget.
func (o *observedStream) Hold() *intact.Hold { return intact.HoldOf(o.ReadCloser) }

// New returns a Relay with the given dependencies.
func New(deps Deps) *Relay {
	return &Relay{
		fleet: deps.Fleet, sender: deps.Sender, suspects: deps.Suspects, origins: deps.Origins, usage: deps.Usage,
		domain: deps.Domain, logger: deps.Logger, scope: deps.Scope,
	}
}

// Serve runs a request until it is answered or abandoned. The context ends when
// the caller disconnects.
func (r *Relay) Serve(ctx context.Context, request Request, route routes.Route) Outcome {
	started := time.Now()
	deadline := started.Add(route.Timeout - answerMargin)
	if route.Timeout == 0 {
		deadline = request.Deadline
	}
	if !request.Deadline.IsZero() && request.Deadline.Add(-answerMargin).Before(deadline) {
		deadline = request.Deadline.Add(-answerMargin)
	}
	request.Repeatable = route.Repeatable()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	active := &activeRequest{
		Relay: r, request: request, route: route, service: route.Service(request.ID), usage: newUsageCount(r.usage, request, route),
		results: make(chan attemptResult, route.Attempts()+maxRefusals+1),
		attempts: Attempts{
			Repeatable: route.Repeatable(), MaxRuns: route.Attempts(), Deadline: deadline,
		},
	}
	outcome := active.pinResumed(ctx)
	if outcome == nil {
		outcome = active.run(ctx)
	}
	answered, ok := outcome.(Answered)
	if !ok && active.notified != nil {
		// The caller may retry through another node within a millisecond. That node
		// must have received the crash notification by then.
		<-active.notified
	}
	if ok && answered.Stream != nil {
		answered.Stream = &cancelOnClose{ReadCloser: answered.Stream, cancel: cancel}
		outcome = answered
	} else {
		cancel()
	}
	r.record(request, route, active, outcome, time.Since(started))
	return outcome
}

func (active *activeRequest) run(ctx context.Context) Outcome {
	if outcome := active.startAttempt(ctx); outcome != nil {
		return outcome
	}
	hedge := time.NewTimer(active.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return active.timedOut(ctx)
		case <-hedge.C:
			if active.attempts.MayHedge() {
				// If no second attempt can start, the first one continues.
				_ = active.startAttempt(ctx)
			}
		case result := <-active.results:
			active.inFlight--
			if result.notified != nil {
				active.notified = result.notified
			}
			if outcome := active.applyResult(ctx, result); outcome != nil {
				return outcome
			}
		}
	}
}

// applyResult records the result of one attempt and tries another endpoint if
// that is allowed. It returns the outcome for the caller, or nil while the
// request continues.
func (active *activeRequest) applyResult(ctx context.Context, result attemptResult) Outcome {
	switch reply := result.reply.(type) {
	case Answer:
		if reply.Unproven {
			if reply.Body != nil {
				_ = reply.Body.Close()
			}
			active.attempts.RecordLost(result.target.ID())
			break
		}
		if reply.Status >= 500 && active.attempts.MayRetryAfterError() {
			active.attempts.RecordLost(result.target.ID())
			if active.startAttempt(ctx) == nil {
				return nil
			}
		}
		active.cancelOthers(result.number)
		if result.body == nil && reply.Body != nil {
			if active.hasEvents(reply) {
				reply.Body = newEventStream(ctx, active, reply, result.target)
			}
			return Answered{Status: reply.Status, Header: reply.Header, Stream: reply.Body}
		}
		return Answered{Status: reply.Status, Header: reply.Header, Body: result.body}
	case NotRun:
		active.attempts.RecordNotRun(result.target.ID(), reply)
	case Lost:
		active.attempts.RecordLost(result.target.ID())
	}
	cause := causeOf(result.reply)
	event.AttemptFailed.Log(active.logger, zap.String("request", active.request.ID), zap.String("endpoint", result.target.ID()),
		zap.Int("sent", active.attempts.Sent), zap.Bool("may_have_run", active.attempts.MayHaveRun), zap.Error(cause))
	switch active.attempts.Next(time.Now()) {
	case TryAnotherEndpoint:
		if outcome := active.startAttempt(ctx); outcome == nil || active.inFlight > 0 {
			return nil
		}
	case GiveUp:
	}
	if active.inFlight > 0 {
		return nil
	}
	return active.attempts.FinalOutcome(cause)
}

// startAttempt sends the request to one more endpoint, or returns the final
// outcome if it can't.
func (active *activeRequest) startAttempt(ctx context.Context) Outcome {
	if remaining, quarantined := active.suspects.Quarantined(active.request); quarantined {
		return active.attempts.QuarantinedOutcome(remaining)
	}
	target, err := active.reserve(ctx)
	if err != nil {
		return active.attempts.FinalOutcome(err)
	}
	active.attempts.Sent++
	active.inFlight++
	active.sentTo = append(active.sentTo, target.ID())
	attemptCtx, cancel := context.WithCancel(ctx)
	active.cancels = append(active.cancels, cancel)
	go active.runAttempt(attemptCtx, target, active.request, active.attempts.Sent)
	return nil
}

// cancelOthers ends all attempts but one, whose answer the caller gets. The endpoints would
// go on working on them.
func (active *activeRequest) cancelOthers(number int) {
	for i, cancel := range active.cancels {
		if i != number-1 {
			cancel()
		}
	}
}

// runAttempt sends the request, buffers a short answer and delivers the result.
func (active *activeRequest) runAttempt(ctx context.Context, target fleet.Target, request Request, number int) {
	crashes := active.suspects.Crashes(request)
	sentAt := time.Now()
	if active.route.Kind != routes.Streaming {
		active.usage.sent(sentAt)
	}
	reply := active.sender.Send(ctx, target, request)
	if _, notRun := reply.(NotRun); notRun {
		active.usage.notRun(sentAt)
	}
	var body []byte
	if answer, ok := reply.(Answer); ok {
		body, reply = active.bufferShortAnswer(answer)
	}
	active.fleet.End(target.ID(), fleetResult(ctx, reply))
	var notified <-chan struct{}
	switch answer := reply.(type) {
	case Lost:
		notified = active.reportDisconnect(ctx, target, request, crashes)
	case Answer:
		if answer.Body != nil {
			answer.Body = &observedStream{ReadCloser: answer.Body, onData: active.onStreamData(answer), onEnd: func(bytes int, err error) {
				if errors.Is(err, io.EOF) {
					active.clearCrashes(request)
				} else if bytes == 0 {
					if notified := active.reportDisconnect(ctx, target, request, crashes); notified != nil {
						<-notified
					}
				}
			}}
			reply = answer
		} else if answer.Signed {
			active.clearCrashes(request)
		}
	}
	active.results <- attemptResult{number: number, target: target, reply: reply, body: body, notified: notified}
}

// hasEvents reports whether an answer consists of events that are forwarded one by one.
func (active *activeRequest) hasEvents(answer Answer) bool {
	return active.route.Kind == routes.Streaming && answer.Streamed && answer.Status < 300
}

// onStreamData returns what is called when an answer that is forwarded while it is read has
// brought bytes. Events are counted where they are read.
func (active *activeRequest) onStreamData(answer Answer) func() {
	if active.route.Kind != routes.Streaming || active.hasEvents(answer) {
		return func() {}
	}
	return active.usage.firstEvent
}

// reportDisconnect reports a lost attempt, or a stream that ended before its
// first byte, as a possible crash, unless the request itself was cancelled.
func (active *activeRequest) reportDisconnect(ctx context.Context, target fleet.Target, request Request, crashes int) <-chan struct{} {
	if ctx.Err() != nil {
		return nil
	}
	return active.suspects.Disconnected(ctx, target, request, crashes)
}

// clearCrashes clears the recorded crashes of a request that was answered, also those
// recorded since the attempt was sent: a request that crashes endpoints gets no answer
// from any of them.
func (active *activeRequest) clearCrashes(request Request) {
	if active.suspects.Crashes(request) > 0 {
		active.suspects.Answered(request)
	}
}

// bufferShortAnswer reads a short answer into memory, also an error that is an event
// stream; the body of a long answer or of a successful stream stays unread. It returns
// Lost for a successful answer without a signature, for one that ends early, and for one
// that turns out to be too long.
func (active *activeRequest) bufferShortAnswer(answer Answer) ([]byte, Reply) {
	if answer.Status < 300 && !answer.Signed {
		_ = answer.Body.Close()
		return nil, Lost{Cause: errUnsigned}
	}
	if answer.Streamed && answer.Status < 300 || answer.Length > maxBufferedBytes {
		return nil, answer
	}
	body, err := intact.ReadAll(answer.Body, maxBufferedBytes)
	_ = answer.Body.Close()
	if err != nil {
		return nil, Lost{Cause: fmt.Errorf("reading the answer: %w", err)}
	}
	answer.Body = nil
	return body, answer
}

// hedgeDelay returns the target latency of the route. Without one it returns an
// hour, so that the request is in effect not hedged.
func (active *activeRequest) hedgeDelay() time.Duration {
	if active.route.TargetLatency > 0 {
		return active.route.TargetLatency
	}
	return time.Hour
}

func (active *activeRequest) timedOut(ctx context.Context) Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return Failed{Cause: errors.New("the caller left")}
	}
	if !active.attempts.MayHaveRun && active.inFlight == 0 {
		return Refused{RetryAfter: fullRetryAfter, Cause: ctx.Err()}
	}
	return Failed{TimedOut: true, Cause: ctx.Err()}
}

// record counts a finished request by outcome and logs one that was not
// answered.
func (r *Relay) record(request Request, route routes.Route, active *activeRequest, outcome Outcome, took time.Duration) {
	label, cause := "answered", error(nil)
	switch e := outcome.(type) {
	case Answered:
	case Refused:
		label, cause = "refused", e.Cause
	case Failed:
		label, cause = "failed", e.Cause
	}
	scope := r.scope.Tagged(map[string]string{"outcome": label})
	scope.Counter("requests").Inc(1)
	r.scope.Timer("request_time").Record(took)
	if label == "answered" {
		return
	}
	event.RequestNotAnswered.Log(r.logger, zap.String("request", request.ID), zap.String("route", route.Name),
		zap.String("service", active.service), zap.String("outcome", label), zap.Int("sent", active.attempts.Sent),
		zap.Strings("endpoints", active.sentTo), zap.Duration("timeout", route.Timeout), zap.Duration("took", took), event.Team(request.Team), zap.Error(cause))
}

func fleetResult(ctx context.Context, reply Reply) fleet.Result {
	switch r := reply.(type) {
	case Answer:
		return fleet.Answered
	case NotRun:
		if r.Full {
			return fleet.Full
		}
		return fleet.Failed
	case Lost:
		if ctx.Err() != nil || r.PathLost {
			return fleet.Cancelled
		}
	}
	return fleet.Failed
}

func causeOf(reply Reply) error {
	switch r := reply.(type) {
	case NotRun:
		return r.Cause
	case Lost:
		return r.Cause
	case Answer:
		if r.Unproven {
			return fmt.Errorf("status %d: %w", r.Status, errUnproven)
		}
	}
	return nil
}
