// Package permit schedules requests onto endpoints.
//
// Engines admit every request and have no priorities, so requests are queued
// and prioritized before they reach an engine. A cell is a group of a few
// endpoints of one backend in one failure domain. Each cell has one keeper: the
// node that owns it, selected by rendezvous hashing. A node requests a permit
// from the keeper, calls the endpoint itself, and reports the result to the
// keeper. The keeper maintains the queue, a concurrency window per endpoint
// that adapts to completion times, the affinity of prompts to endpoints, and
// the fair shares of trainers.
//
// Interactive requests are served first. After maxInteractiveStreak of them in
// a row a waiting trainer is served, to prevent starvation. A request that
// cannot meet its deadline is refused immediately with a retry delay.
//
// # Usage
//
//	cell := permit.NewCell("pool/forecast/a/0")
//	cell.Configure(permit.Layout{Endpoints: endpoints, Window: 8})
//	cell.Report("forecast-1", permit.Report{Ready: true, Incarnation: 7})
//	grant, err := cell.Acquire(ctx, request)
//	defer grant.Done(result)
package permit

import (
	"context"
	"sync"
	"time"

	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// maxInteractiveStreak is the number of interactive requests in a row after
	// which a waiting trainer is served.
	maxInteractiveStreak = 15
	maxQueue             = 8192
	// One slot in reserveDivisor of a window, and at least one, is reserved for
	// interactive requests.
	reserveDivisor    = 4
	defaultRetryAfter = time.Second
	minRetryAfter     = 100 * time.Millisecond
	// firstReportTimeout is how long a new endpoint that has not reported yet
	// counts as possibly ready.
	firstReportTimeout = time.Second
)

type (
	// Layout is the configuration of a cell.
	Layout struct {
		// Endpoints are the endpoints of the cell.
		Endpoints []specs.Endpoint
		// Window is the maximum number of requests in flight at one endpoint.
		Window int
		// Reserve sets aside part of each window for interactive requests.
		Reserve bool
	}

	// Report is the latest status of an endpoint.
	Report struct {
		// Ready is true if the endpoint accepts requests.
		Ready bool
		// Leaving is true if the endpoint is shutting down: it gets no new requests,
		// but has not failed.
		Leaving bool
		// Incarnation identifies the current process of the endpoint.
		Incarnation uint64
	}

	// Request describes a request for a permit.
	Request struct {
		// Priority distinguishes interactive callers from trainers.
		Priority wirepb.Priority
		// Share names the trainer or service, for fair sharing.
		Share string
		// Weight is the trainer's weight in fair sharing.
		Weight int
		// Deadline is the time by which the answer must be complete.
		Deadline time.Time
		// Prefix identifies the start of the prompt, 0 for none.
		Prefix uint64
		// Exclude lists endpoints that were already tried.
		Exclude []string
		// Fingerprint identifies the request's content. It is 0 for the work of trainers,
		// which is owed whatever crashes while it runs.
		Fingerprint uint64
		// Alone requires an endpoint that runs no other request at the same time.
		// A cell runs one such request at a time.
		Alone bool
	}

	// Result is the result of a request that had a permit.
	Result struct {
		// Outcome classifies how the request ended.
		Outcome wirepb.Outcome
		// Run is the time that the endpoint took.
		Run time.Duration
		// Tokens counts the tokens of the answer, 0 for a plain service.
		Tokens int
	}

	// Load is a snapshot of a cell's load.
	Load struct {
		// Queued counts waiting requests.
		Queued int `json:"queued"`
		// InFlight counts permits that are in use.
		InFlight int `json:"in_flight"`
		// Capacity is the sum of the windows of ready endpoints.
		Capacity int `json:"capacity"`
	}

	// RefusedError reports that no permit was granted and nothing was run.
	RefusedError struct {
		reason      string
		retryDelay  time.Duration
		quarantined bool
	}

	// Grant holds a slot at an endpoint until Done is called.
	Grant struct {
		cell        *Cell
		endpoint    *endpoint
		request     Request
		incarnation uint64
		once        sync.Once
	}

	waiter struct {
		request Request
		arrived time.Time
		granted chan *Grant
		refused chan error
	}

	// Cell grants the slots of its endpoints. It is safe for concurrent use.
	Cell struct {
		name string
		now  func() time.Time

		mu                sync.Mutex
		layout            Layout
		endpoints         map[string]*endpoint
		interactive       []*waiter
		trainers          *fairQueue
		interactiveStreak int
		quarantined       map[uint64]bool
		aloneInFlight     int
		serviceTimes      map[wirepb.Priority]*estimate
		lastAcquire       time.Time
	}
)

// NewCell returns a cell without endpoints.
func NewCell(name string) *Cell {
	return &Cell{
		name:         name,
		now:          time.Now,
		endpoints:    make(map[string]*endpoint),
		trainers:     newFairQueue(),
		quarantined:  make(map[uint64]bool),
		serviceTimes: make(map[wirepb.Priority]*estimate),
		lastAcquire:  time.Now(),
	}
}

// Error returns the reason for the refusal.
func (e *RefusedError) Error() string { return "no permit: " + e.reason }

// Quarantined reports whether the request crashed an endpoint that ran it alone.
func (e *RefusedError) Quarantined() bool { return e.quarantined }

// RetryAfter returns the delay after which to retry.
func (e *RefusedError) RetryAfter() time.Duration { return e.retryDelay }

// Name returns the cell's name.
func (c *Cell) Name() string { return c.name }

// Configure applies a layout to the cell.
func (c *Cell) Configure(layout Layout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layout = layout
	endpoints := make(map[string]*endpoint, len(layout.Endpoints))
	for _, spec := range layout.Endpoints {
		e := c.endpoints[spec.Name()]
		if e == nil || e.url != spec.URL() {
			e = newEndpoint(spec, layout.Window)
		}
		e.maxWindow = float64(layout.Window)
		e.window = min(e.window, e.maxWindow)
		endpoints[spec.Name()] = e
	}
	c.endpoints = endpoints
	c.refuseUnservable()
	c.dispatch()
}

// Report applies the latest status of an endpoint.
func (c *Cell) Report(endpoint string, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[endpoint]
	if e == nil {
		return
	}
	e.report(report)
	c.refuseUnservable()
	c.dispatch()
}

// Load returns a snapshot of the cell's load.
func (c *Cell) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load()
}

// LastAcquire returns the time of the last call of Acquire.
func (c *Cell) LastAcquire() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAcquire
}

// EndpointStates returns a snapshot of each endpoint, for dumps.
func (c *Cell) EndpointStates() []EndpointState {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make([]EndpointState, 0, len(c.endpoints))
	for _, spec := range c.layout.Endpoints {
		if e := c.endpoints[spec.Name()]; e != nil {
			states = append(states, e.state())
		}
	}
	return states
}

// Acquire waits for a slot. Its error is a *RefusedError or the context's error.
func (c *Cell) Acquire(ctx context.Context, request Request) (*Grant, error) {
	w := &waiter{request: request, arrived: c.now(), granted: make(chan *Grant, 1), refused: make(chan error, 1)}
	if err := c.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case grant := <-w.granted:
		return grant, nil
	case err := <-w.refused:
		return nil, err
	case <-ctx.Done():
		c.cancelWait(w)
		return nil, ctx.Err()
	}
}

// Endpoint returns the endpoint's name.
func (g *Grant) Endpoint() string { return g.endpoint.name }

// URL returns the endpoint's address.
func (g *Grant) URL() string { return g.endpoint.url }

// Incarnation returns the endpoint's last reported incarnation, 0 if unknown.
func (g *Grant) Incarnation() uint64 { return g.incarnation }

// Done releases the slot. Calls after the first have no effect.
func (g *Grant) Done(result Result) {
	g.once.Do(func() { g.cell.release(g, result) })
}

func (c *Cell) enqueue(w *waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAcquire = c.now()
	if err := c.checkAdmission(w); err != nil {
		return err
	}
	if w.request.Priority == wirepb.Priority_PRIORITY_INTERACTIVE {
		c.interactive = insertByDeadline(c.interactive, w)
	} else {
		c.trainers.push(w)
	}
	c.dispatch()
	if ready, _ := c.countReady(w.request.Exclude); ready == 0 {
		time.AfterFunc(firstReportTimeout, c.refuseStillUnservable)
	}
	return nil
}

func (c *Cell) load() Load {
	load := Load{Queued: len(c.interactive) + c.trainers.len()}
	for _, e := range c.endpoints {
		load.InFlight += e.inFlight
		if e.ready {
			load.Capacity += int(e.window)
		}
	}
	return load
}

// cancelWait removes a waiter whose context ended and releases a slot that was
// granted to it in the meantime.
func (c *Cell) cancelWait(w *waiter) {
	c.mu.Lock()
	c.interactive = remove(c.interactive, w)
	c.trainers.remove(w)
	c.mu.Unlock()
	select {
	case grant := <-w.granted:
		grant.Done(Result{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
	default:
	}
}

func (c *Cell) release(g *Grant, result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(g.endpoint.started, g)
	g.endpoint.release(g.request.Alone, result)
	if g.request.Alone {
		c.aloneInFlight--
		c.quarantineIfCrashed(g.request, result)
	}
	if !g.endpoint.ready {
		c.refuseUnservable()
	}
	if result.Outcome == wirepb.Outcome_OUTCOME_ANSWERED {
		c.estimateOf(g.request.Priority).add(result.Run)
	}
	c.dispatch()
}
