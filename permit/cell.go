// Package permit gives out places at endpoints.
//
// Engines let in all that comes and know no priorities, so order is made
// before them. Each cell, a handful of endpoints of one backend in one failure
// domain, has one keeper node, found by rendezvous hashing. Nodes ask it for a
// permit, call the endpoint themselves, and tell the keeper how it went. The
// keeper holds the queue, a window per endpoint that adapts to completion
// times, the affinity of prompts to endpoints, and the fair shares of trainers.
//
// Interactive requests go first; every so often a waiting trainer goes before
// them, so that none starves. A request that can't make its deadline is
// refused at once with the time after which to come back.
//
// # Usage
//
//	cell := permit.NewCell("pool/forecast/a/0")
//	cell.Configure(permit.Layout{Endpoints: endpoints, Window: 8})
//	cell.Report("forecast-1", permit.Report{Ready: true, Incarnation: 7})
//	grant, err := cell.Acquire(ctx, ask)
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
	maxStreak       = 15
	maxQueue        = 8192
	reserveShare    = 4
	defaultRetry    = time.Second
	minRetry        = 100 * time.Millisecond
	unknownPatience = time.Second
)

type (
	// Layout is what the configuration says of a cell.
	Layout struct {
		// Endpoints are the endpoints of the cell.
		Endpoints []specs.Endpoint
		// Window is the most requests in flight at one endpoint.
		Window int
		// Reserve keeps a share of each window for interactive requests.
		Reserve bool
	}

	// Report is what is known of an endpoint at the moment.
	Report struct {
		// Ready means that the endpoint may be given work.
		Ready bool
		// Leaving means that it must not be given work and is no failure.
		Leaving bool
		// Incarnation is the number of the endpoint's present life.
		Incarnation uint64
	}

	// Ask describes a request that wants a permit.
	Ask struct {
		// Priority says whether an interactive caller or a trainer waits.
		Priority wirepb.Priority
		// Share names the trainer or service, for fair sharing.
		Share string
		// Weight is the trainer's share.
		Weight int
		// Deadline is when the answer must be whole.
		Deadline time.Time
		// Prefix identifies the start of the prompt, 0 for none.
		Prefix uint64
		// Exclude lists endpoints that were tried.
		Exclude []string
		// Fingerprint identifies the request's content.
		Fingerprint uint64
		// Alone asks for an endpoint that runs nothing else meanwhile; a cell
		// lets one such request run at a time.
		Alone bool
	}

	// Result tells the cell how a permitted request went.
	Result struct {
		// Outcome says what is known of the request.
		Outcome wirepb.Outcome
		// Run is how long the endpoint took.
		Run time.Duration
		// Tokens counts the tokens of the answer, 0 for a plain service.
		Tokens int
	}

	// Load is a picture of a cell's load.
	Load struct {
		// Queued counts waiting requests.
		Queued int `json:"queued"`
		// InFlight counts permits that are out.
		InFlight int `json:"in_flight"`
		// Capacity is the sum of the windows of ready endpoints.
		Capacity int `json:"capacity"`
	}

	// RefusedError says that no permit was given and nothing was run.
	RefusedError struct {
		reason string
		retry  time.Duration
		barred bool
	}

	// Grant is a place at an endpoint until Done.
	Grant struct {
		cell        *Cell
		place       *place
		ask         Ask
		incarnation uint64
		once        sync.Once
	}

	waiter struct {
		ask     Ask
		arrived time.Time
		granted chan *Grant
		refused chan error
	}

	// Cell gives out the places of its endpoints. It is safe for concurrent use.
	Cell struct {
		name string
		now  func() time.Time

		mu          sync.Mutex
		layout      Layout
		places      map[string]*place
		interactive []*waiter
		trainers    *fairQueue
		streak      int
		barred      map[uint64]bool
		aloneOut    int
		service     map[wirepb.Priority]*estimate
		used        time.Time
	}
)

// NewCell returns a cell without endpoints.
func NewCell(name string) *Cell {
	return &Cell{
		name:     name,
		now:      time.Now,
		places:   make(map[string]*place),
		trainers: newFairQueue(),
		barred:   make(map[uint64]bool),
		service:  make(map[wirepb.Priority]*estimate),
		used:     time.Now(),
	}
}

// Error returns why there is no permit.
func (e *RefusedError) Error() string { return "no permit: " + e.reason }

// Barred reports whether the request crashed an endpoint that ran it alone.
func (e *RefusedError) Barred() bool { return e.barred }

// RetryAfter returns when to come back.
func (e *RefusedError) RetryAfter() time.Duration { return e.retry }

// Name returns the cell's name.
func (c *Cell) Name() string { return c.name }

// Configure takes over what the configuration says of the cell.
func (c *Cell) Configure(layout Layout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layout = layout
	keep := make(map[string]*place, len(layout.Endpoints))
	for _, e := range layout.Endpoints {
		p := c.places[e.Name()]
		if p == nil || p.url != e.URL() {
			p = newPlace(e, layout.Window)
		}
		p.limit = float64(layout.Window)
		p.window = min(p.window, p.limit)
		keep[e.Name()] = p
	}
	c.places = keep
	c.refuseHopeless()
	c.dispatch()
}

// Report takes over what is known of an endpoint.
func (c *Cell) Report(endpoint string, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.places[endpoint]
	if p == nil {
		return
	}
	p.report(report)
	c.refuseHopeless()
	c.dispatch()
}

// Load returns a picture of the cell's load.
func (c *Cell) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load()
}

// IdleSince returns when the cell was last asked for a permit.
func (c *Cell) IdleSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// Places returns a picture of each endpoint, for dumps.
func (c *Cell) Places() []PlaceState {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make([]PlaceState, 0, len(c.places))
	for _, e := range c.layout.Endpoints {
		if p := c.places[e.Name()]; p != nil {
			states = append(states, p.state())
		}
	}
	return states
}

// Acquire waits for a place. Its error is a *RefusedError or the context's.
func (c *Cell) Acquire(ctx context.Context, ask Ask) (*Grant, error) {
	w := &waiter{ask: ask, arrived: c.now(), granted: make(chan *Grant, 1), refused: make(chan error, 1)}
	if err := c.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case grant := <-w.granted:
		return grant, nil
	case err := <-w.refused:
		return nil, err
	case <-ctx.Done():
		c.withdraw(w)
		return nil, ctx.Err()
	}
}

// Endpoint returns the endpoint's name.
func (g *Grant) Endpoint() string { return g.place.name }

// URL returns the endpoint's address.
func (g *Grant) URL() string { return g.place.url }

// Incarnation returns the endpoint's life as last reported, 0 if unknown.
func (g *Grant) Incarnation() uint64 { return g.incarnation }

// Done gives the place back. Calls after the first have no effect.
func (g *Grant) Done(result Result) {
	g.once.Do(func() { g.cell.release(g, result) })
}

func (c *Cell) enqueue(w *waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.now()
	if err := c.refuseEarly(w); err != nil {
		return err
	}
	if w.ask.Priority == wirepb.Priority_PRIORITY_INTERACTIVE {
		c.interactive = insertByDeadline(c.interactive, w)
	} else {
		c.trainers.push(w)
	}
	c.dispatch()
	if ready, _ := c.countReady(w.ask.Exclude); ready == 0 {
		time.AfterFunc(unknownPatience, c.recheck)
	}
	return nil
}

func (c *Cell) load() Load {
	load := Load{Queued: len(c.interactive) + c.trainers.len()}
	for _, p := range c.places {
		load.InFlight += p.inFlight
		if p.ready {
			load.Capacity += int(p.window)
		}
	}
	return load
}

func (c *Cell) withdraw(w *waiter) {
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
	delete(g.place.started, g)
	g.place.release(g.ask.Alone, result)
	if g.ask.Alone {
		c.aloneOut--
		c.barIfCrashed(g.ask, result)
	}
	if !g.place.ready {
		c.refuseHopeless()
	}
	if result.Outcome == wirepb.Outcome_OUTCOME_ANSWERED {
		c.estimateOf(g.ask.Priority).add(result.Run)
	}
	c.dispatch()
}
