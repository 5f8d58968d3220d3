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
	"fmt"
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
	unknownPatience = 2 * time.Second
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
		service     map[wirepb.Priority]time.Duration
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
		service:  make(map[wirepb.Priority]time.Duration),
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
	return nil
}

// refuseEarly judges whether the request can make its deadline.
func (c *Cell) refuseEarly(w *waiter) error {
	if w.ask.Alone && c.barred[w.ask.Fingerprint] {
		return barredError()
	}
	ready, unknown := c.countReady(w.ask.Exclude)
	if ready == 0 && unknown == 0 {
		return &RefusedError{reason: "no endpoint of " + c.name + " is ready", retry: defaultRetry}
	}
	load := c.load()
	if load.Queued >= maxQueue {
		return &RefusedError{reason: "the queue of " + c.name + " is full", retry: c.expectedWait(load.Queued)}
	}
	ahead := load.Queued
	if w.ask.Priority == wirepb.Priority_PRIORITY_INTERACTIVE {
		ahead = len(c.interactive)
	}
	wait := c.expectedWait(ahead)
	if load.InFlight < load.Capacity {
		wait = 0
	}
	need := wait + c.service[w.ask.Priority]/2
	if left := w.ask.Deadline.Sub(c.now()); need > left {
		reason := fmt.Sprintf("the expected %s exceed the %s that are left", need.Round(time.Millisecond),
			left.Round(time.Millisecond))
		return &RefusedError{reason: reason, retry: max(minRetry, wait)}
	}
	return nil
}

// expectedWait estimates how long a request waits behind the given number.
func (c *Cell) expectedWait(ahead int) time.Duration {
	capacity := max(1, c.load().Capacity)
	mean := c.service[wirepb.Priority_PRIORITY_INTERACTIVE]
	if trainer := c.service[wirepb.Priority_PRIORITY_TRAINER]; mean == 0 {
		mean = trainer
	}
	return time.Duration(float64(mean) * float64(ahead+1) / float64(capacity))
}

func (c *Cell) countReady(exclude []string) (ready, unknown int) {
	for _, p := range c.places {
		switch {
		case contains(exclude, p.name):
		case p.ready:
			ready++
		case !p.reported && c.now().Sub(p.born) < unknownPatience:
			unknown++
		}
	}
	return ready, unknown
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
	if result.Outcome == wirepb.Outcome_OUTCOME_ANSWERED {
		c.observe(g.place, result)
	}
	c.dispatch()
}

// barIfCrashed refuses at once whoever waits to run the same request again.
func (c *Cell) barIfCrashed(ask Ask, result Result) {
	if result.Outcome != wirepb.Outcome_OUTCOME_CRASHED || ask.Fingerprint == 0 {
		return
	}
	c.barred[ask.Fingerprint] = true
	for _, w := range append(c.trainers.all(), c.interactive...) {
		if w.ask.Alone && w.ask.Fingerprint == ask.Fingerprint {
			c.interactive = remove(c.interactive, w)
			c.trainers.remove(w)
			w.refused <- barredError()
		}
	}
}

func barredError() error {
	return &RefusedError{reason: "the request crashed an endpoint that ran it alone", barred: true}
}

// observe keeps the mean time of requests per priority; a request with tokens
// belongs to whichever kind the cell serves.
func (c *Cell) observe(p *place, result Result) {
	const keep = 0.9
	old := c.service[p.lastPriority]
	if old == 0 {
		c.service[p.lastPriority] = result.Run
		return
	}
	c.service[p.lastPriority] = time.Duration(keep*float64(old) + (1-keep)*float64(result.Run))
}

// dispatch gives out places for as long as a waiter can have one.
func (c *Cell) dispatch() {
	c.refuseHopeless()
	for c.dispatchOne() {
	}
}

func (c *Cell) dispatchOne() bool {
	trainersFirst := c.streak >= maxStreak && c.trainers.len() > 0
	if !trainersFirst && c.dispatchInteractive() {
		return true
	}
	if c.dispatchTrainer() {
		c.streak = 0
		return true
	}
	return trainersFirst && c.dispatchInteractive()
}

func (c *Cell) dispatchInteractive() bool {
	for _, w := range c.interactive {
		if p := c.choose(w.ask); p != nil {
			c.interactive = remove(c.interactive, w)
			c.streak++
			c.grant(w, p)
			return true
		}
	}
	return false
}

func (c *Cell) dispatchTrainer() bool {
	for _, w := range c.trainers.heads() {
		if p := c.choose(w.ask); p != nil {
			c.trainers.take(w)
			c.grant(w, p)
			return true
		}
	}
	return false
}

func (c *Cell) grant(w *waiter, p *place) {
	p.inFlight++
	p.lastPriority = w.ask.Priority
	if w.ask.Alone {
		p.alone = true
		c.aloneOut++
	}
	grant := &Grant{cell: c, place: p, ask: w.ask, incarnation: p.incarnation}
	p.started[grant] = c.now()
	w.granted <- grant
}

// refuseHopeless answers waiters whose endpoints have all gone.
func (c *Cell) refuseHopeless() {
	refuse := func(w *waiter) bool {
		ready, unknown := c.countReady(w.ask.Exclude)
		if ready > 0 || unknown > 0 {
			return false
		}
		w.refused <- &RefusedError{reason: "no endpoint of " + c.name + " is ready", retry: defaultRetry}
		return true
	}
	kept := c.interactive[:0]
	for _, w := range c.interactive {
		if !refuse(w) {
			kept = append(kept, w)
		}
	}
	c.interactive = kept
	for _, w := range c.trainers.all() {
		if refuse(w) {
			c.trainers.remove(w)
		}
	}
}

func insertByDeadline(queue []*waiter, w *waiter) []*waiter {
	at := len(queue)
	for at > 0 && queue[at-1].ask.Deadline.After(w.ask.Deadline) {
		at--
	}
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = w
	return queue
}

func remove(queue []*waiter, w *waiter) []*waiter {
	for i, other := range queue {
		if other == w {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}
