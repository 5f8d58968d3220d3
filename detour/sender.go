package detour

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/orders"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/relay"
)

const (
	// soundTime is how long ago a path must have worked for a request that may run only
	// once to use an open connection: bytes that vanish may have run.
	soundTime = time.Second
	// maxSuspects limits the paths that wait to be checked.
	maxSuspects = 16
	// shortDeadline is the time to the caller's deadline below which a request does not
	// wait for a second failure of its path.
	shortDeadline = 2 * time.Second
)

type (
	// Transport sends requests over given paths.
	Transport interface {
		// SendOver sends a request. Its reply is a relay.NotRun that wraps
		// reach.ErrNotConnected if there was no connection.
		SendOver(ctx context.Context, path reach.Path, target fleet.Target, request relay.Request) relay.Reply
		// FetchReportOver requests an endpoint's report. Its error wraps
		// reach.ErrNotConnected if there was no connection.
		FetchReportOver(ctx context.Context, path reach.Path, target fleet.Target) (orders.Report, error)
		// SendOrder sends an order directly.
		SendOrder(ctx context.Context, target fleet.Target, order orders.Order) orders.Outcome
		// CloseIdle closes the open connections over a path that no request uses.
		CloseIdle(path reach.Path)
		// Forget drops the connections of endpoints that are gone.
		Forget(exists func(address string) bool)
	}

	// SenderDeps are the dependencies of a Sender.
	SenderDeps struct {
		Book      *reach.Book
		Dialer    *Dialer
		Transport Transport
		// Hosts returns the hosts through which this one may connect.
		Hosts func() []reach.Host
		// Known reports whether an endpoint listens at the address.
		Known func(address string) bool
		// OnUnreached is called when the number of endpoints that only other hosts reach
		// has changed, and every announceInterval while there are some.
		OnUnreached func(ctx context.Context, endpoints int)
		Scope       tally.Scope
		Logger      *zap.Logger
	}

	// Sender sends requests to endpoints. It is safe for concurrent use.
	Sender struct {
		deps SenderDeps
		wake chan struct{}
		// suspects holds paths that are to be checked.
		suspects chan reach.Path

		mu      sync.Mutex
		flights map[*flight]struct{}
		// broken holds the broken direct paths that were logged.
		broken map[reach.Path]bool
	}
)

var (
	_ relay.Sender          = (*Sender)(nil)
	_ orders.EndpointClient = (*Sender)(nil)

	errNoPath = errors.New("no host reaches the endpoint")
)

// NewSender returns a sender. Run must run for broken paths to be noticed while requests
// wait.
func NewSender(deps SenderDeps) *Sender {
	return &Sender{
		deps: deps, wake: make(chan struct{}, 1), suspects: make(chan reach.Path, maxSuspects), flights: make(map[*flight]struct{}), broken: make(map[reach.Path]bool),
	}
}

// Send sends one attempt to an endpoint, over another path if one fails.
func (s *Sender) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	attempt := s.deps.Book.Begin(target.Address(), target.Domain(), request.ID, s.deps.Hosts)
	var last relay.Reply = relay.NotRun{Cause: fmt.Errorf("endpoint %s: %w", target.ID(), errNoPath)}
	for path, patience, ok := attempt.Next(); ok; path, patience, ok = attempt.Next() {
		reply, f := s.sendOver(ctx, path, patience, target, request)
		lost, isLost := reply.(relay.Lost)
		switch {
		case ctx.Err() != nil:
			return s.settle(last, reply)
		case !f.connected.Load():
			attempt.Failed(path, f.failure(reply))
			if _, mayHaveRun := last.(relay.Lost); !mayHaveRun {
				last = reply
			}
		case isLost && f.lost.Load():
			last = relay.Lost{Cause: lost.Cause, PathLost: true}
		default:
			return s.settle(last, reply)
		}
	}
	return last
}

// settle returns the reply of an attempt's last try. If an earlier try may have run, a
// refusal doesn't show that the request has not run.
func (s *Sender) settle(earlier, reply relay.Reply) relay.Reply {
	if _, mayHaveRun := earlier.(relay.Lost); !mayHaveRun {
		return reply
	}
	if refused, ok := reply.(relay.NotRun); ok {
		return relay.Lost{Cause: refused.Cause, PathLost: true}
	}
	return reply
}

// sendOver sends a request over one path.
func (s *Sender) sendOver(
	ctx context.Context, path reach.Path, patience time.Duration, target fleet.Target, request relay.Request,
) (relay.Reply, *flight) {
	if !request.Repeatable && !s.deps.Book.HeardWithin(path, soundTime) {
		s.deps.Transport.CloseIdle(path)
	}
	f := s.begin(ctx, path, request)
	stop := f.limitConnecting(patience)
	reply := s.deps.Transport.SendOver(f.ctx, path, target, request)
	stop()
	s.count(path, f)
	answer, ok := reply.(relay.Answer)
	if !ok || answer.Body == nil {
		f.end()
		return reply, f
	}
	f.answered.Store(true)
	answer.Body = &flightBody{ReadCloser: answer.Body, flight: f}
	return answer, f
}

// FetchReport requests an endpoint's report, over another path if one fails.
func (s *Sender) FetchReport(ctx context.Context, target fleet.Target) (orders.Report, error) {
	attempt := s.deps.Book.Begin(target.Address(), target.Domain(), target.ID(), s.deps.Hosts)
	err := fmt.Errorf("endpoint %s: %w", target.ID(), errNoPath)
	for path, patience, ok := attempt.Next(); ok; path, patience, ok = attempt.Next() {
		f := s.begin(ctx, path, relay.Request{Repeatable: true})
		stop := f.limitConnecting(patience)
		var report orders.Report
		report, err = s.deps.Transport.FetchReportOver(f.ctx, path, target)
		stop()
		f.end()
		s.count(path, f)
		switch {
		case err == nil || ctx.Err() != nil:
			return report, err
		case !f.connected.Load():
			attempt.Failed(path, failureOf(path, err))
		case !f.lost.Load():
			return orders.Report{}, err
		}
	}
	return orders.Report{}, err
}

// SendOrder sends an order to an endpoint. It goes over the direct path only: an endpoint
// tells the senders of orders apart by the hosts that they come from.
func (s *Sender) SendOrder(ctx context.Context, target fleet.Target, order orders.Order) orders.Outcome {
	return s.deps.Transport.SendOrder(ctx, target, order)
}

func (s *Sender) count(path reach.Path, f *flight) {
	kind := "direct"
	if !path.IsDirect() {
		kind = "detour"
	}
	s.deps.Scope.Tagged(map[string]string{"path": kind, "connected": boolTag(f.connected.Load())}).Counter("endpoint_attempts").Inc(1)
}

// flight is one request on its way over a path.
type flight struct {
	sender *Sender
	path   reach.Path
	ctx    context.Context
	cancel context.CancelFunc
	// abandonable reports whether the request may be sent again over another path. In a
	// hurry, one failure of its path suffices.
	abandonable, hurry bool
	connected          atomic.Bool
	answered           atomic.Bool
	// lost reports whether the flight was given up since its path is broken.
	lost    atomic.Bool
	ended   atomic.Bool
	mu      sync.Mutex
	heardAt time.Time
}

func (s *Sender) begin(ctx context.Context, path reach.Path, request relay.Request) *flight {
	f := &flight{
		sender: s, path: path, abandonable: request.Repeatable, heardAt: time.Now(),
		hurry: !request.Deadline.IsZero() && time.Until(request.Deadline) < shortDeadline,
	}
	ctx, f.cancel = context.WithCancel(ctx)
	f.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { f.connected.Store(true) },
	})
	s.deps.Book.Start(path)
	s.mu.Lock()
	s.flights[f] = struct{}{}
	s.mu.Unlock()
	// The body of an answer that nobody wants any more may never be closed.
	context.AfterFunc(ctx, f.end)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return f
}

// limitConnecting ends the flight if it has no connection after the given time. The
// returned function ends the limit.
func (f *flight) limitConnecting(patience time.Duration) func() {
	timer := time.AfterFunc(patience, func() {
		if !f.connected.Load() {
			f.cancel()
		}
	})
	return func() { timer.Stop() }
}

// failure returns why the flight has got no connection.
func (f *flight) failure(reply relay.Reply) reach.Failure {
	notRun, _ := reply.(relay.NotRun)
	return failureOf(f.path, notRun.Cause)
}

func (f *flight) end() {
	if f.ended.Swap(true) {
		return
	}
	f.cancel()
	f.sender.deps.Book.Done(f.path)
	f.sender.mu.Lock()
	delete(f.sender.flights, f)
	f.sender.mu.Unlock()
}

func (f *flight) heard() {
	f.mu.Lock()
	f.heardAt = time.Now()
	f.mu.Unlock()
}

func (f *flight) silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.heardAt)
}
