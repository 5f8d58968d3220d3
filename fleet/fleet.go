// Package fleet keeps what a node knows of the endpoints: what they say of
// themselves in the platform's store, and what this node has seen of them.
//
// # Usage
//
//	f := fleet.New(clock)
//	f.Put(entry)
//	target, ok := f.Pick(service, exclude)
//	f.Begin(target.ID())
//	defer f.End(target.ID(), fleet.Worked)
package fleet

import (
	"sort"
	"sync"
	"time"
)

const (
	// loadLife is how long a reported load counts; engines report it as of some
	// hundred milliseconds ago.
	loadLife = time.Second
	// firstPause and maxPause bound how long an endpoint that failed is passed
	// over; an endpoint that crashed is back after some seconds.
	firstPause = 200 * time.Millisecond
	maxPause   = 2 * time.Second
	// changeLimit is for how long an endpoint that changes weights is passed over
	// without news of it: a load takes 0.9 s on the users' engines, and has run for
	// some time by the first refusal.
	changeLimit = 600 * time.Millisecond
	// paceWeight is the share of a new measurement in the running mean.
	paceWeight = 0.2
	// paceLife is how long a measured pace counts: slow spells last some seconds.
	paceLife = 4 * time.Second
	// LapseGrace is how long an entry may be missing after the store was away
	// before its endpoint is taken as gone: entries are back within two seconds.
	LapseGrace = 2 * time.Second
)

// Result says how a piece of work at an endpoint went.
type Result int

// Results.
const (
	// Worked means that the endpoint answered.
	Worked Result = iota
	// Full means that it refused for want of room.
	Full
	// Failed means that it broke off, could not be reached or went silent.
	Failed
	// Withdrawn means that the work was taken away from it.
	Withdrawn
)

type (
	// Entry is what an endpoint says of itself.
	Entry struct {
		// ID names one start of an endpoint, or several under the same id.
		ID string
		// Born is the Unix millisecond of the start, 0 if it isn't told.
		Born    int64
		Service string
		Address string
		Domain  string
		Slots   int
		// Draining endpoints take no new work.
		Draining bool
		// Versions holds the weight version of each model, empty for plain services.
		Versions map[string]int
	}

	// Load is what an endpoint said of its queue.
	Load struct {
		Running, Waiting, Slots int
	}

	// Target is one endpoint to send work to.
	Target struct {
		id, address, domain string
	}

	// State is what a node knows of one endpoint, for decisions.
	State struct {
		Entry Entry
		// Mine is the work of this node that is in flight there.
		Mine int
		// Others is the work of other nodes there, as last reported.
		Others int
		// Pace is the time between two events of a stream there, 0 if unknown.
		Pace time.Duration
		// Paused endpoints have failed and are passed over for a while.
		Paused bool
		// Full endpoints have just refused work for want of room.
		Full bool
		// Changing is the model whose weights the endpoint changes, as far as its
		// refusals tell, empty for none. Requests for other models are served.
		Changing string
	}

	// Fleet is safe for concurrent use.
	Fleet struct {
		mu        sync.Mutex
		endpoints map[string]*endpoint
		now       func() time.Time
		changed   chan struct{}
	}

	endpoint struct {
		entry       Entry
		mine        int
		load        Load
		loadAt      time.Time
		mineAtLoad  int
		failures    int
		pausedUntil time.Time
		fullUntil   time.Time
		// changing is the model whose weights it changes until changingUntil at most.
		changing      string
		changingUntil time.Time
		pace          time.Duration
		paceAt        time.Time
		goneAt        time.Time
	}
)

// New returns an empty fleet; now tells the time.
func New(now func() time.Time) *Fleet {
	return &Fleet{endpoints: make(map[string]*endpoint), now: now, changed: make(chan struct{})}
}

// ID returns the endpoint's id.
func (t Target) ID() string { return t.id }

// Address returns where the endpoint listens.
func (t Target) Address() string { return t.address }

// Domain returns the endpoint's failure domain.
func (t Target) Domain() string { return t.domain }

// NewTarget returns a target.
func NewTarget(id, address, domain string) Target {
	return Target{id: id, address: address, domain: domain}
}

// Changed returns a channel that is closed at the next change of an entry.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Put stores an entry. A later start under the same id forgets what was seen of
// the earlier one. It reports whether anything but the beat has changed.
func (f *Fleet) Put(entry Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[entry.ID]
	if e != nil && e.goneAt.IsZero() && same(e.entry, entry) {
		return false
	}
	if e == nil || e.entry.Born != entry.Born || e.entry.Address != entry.Address {
		mine := 0
		if e != nil {
			mine = e.mine
		}
		e = &endpoint{mine: mine}
		f.endpoints[entry.ID] = e
	}
	e.setEntry(entry)
	e.goneAt = time.Time{}
	f.announce()
	return true
}

// setEntry takes an entry; a changed version ends the change of that model.
func (e *endpoint) setEntry(entry Entry) {
	if entry.Versions[e.changing] != e.entry.Versions[e.changing] {
		e.changing, e.changingUntil = "", time.Time{}
	}
	e.entry = entry
}

// Remove forgets an endpoint after the given grace, 0 for at once.
func (f *Fleet) Remove(id string, grace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	if e.goneAt.IsZero() || grace == 0 {
		e.goneAt = f.now().Add(grace)
	}
	f.announce()
}

// Serving returns the states of a service's endpoints that may get work, by id.
func (f *Fleet) Serving(service string) []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var states []State
	for id, e := range f.endpoints {
		if !e.goneAt.IsZero() && !now.Before(e.goneAt) {
			if e.mine == 0 {
				delete(f.endpoints, id)
			}
			continue
		}
		if e.entry.Service != service || e.entry.Draining {
			continue
		}
		states = append(states, e.state(now))
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Entry.ID < states[j].Entry.ID })
	return states
}

// All returns the states of all endpoints, by id.
func (f *Fleet) All() []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := make([]State, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		states = append(states, e.state(f.now()))
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Entry.ID < states[j].Entry.ID })
	return states
}

// Begin notes work that is sent to an endpoint.
func (f *Fleet) Begin(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.mine++
	}
}

// End notes how that work ended.
func (f *Fleet) End(id string, result Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	e.mine--
	now := f.now()
	switch result {
	case Worked:
		e.failures = 0
		e.pausedUntil = time.Time{}
	case Full:
		e.fullUntil = now.Add(firstPause)
	case Failed:
		pause := min(maxPause, firstPause<<min(e.failures, 6))
		e.failures++
		e.pausedUntil = now.Add(pause)
	case Withdrawn:
	}
}

// Refuse notes that an endpoint refused work for a model. One that has room, by
// the load that it told with the refusal, changes that model's weights.
func (f *Fleet) Refuse(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	e.mine--
	now := f.now()
	room := !e.loadAt.IsZero() && now.Sub(e.loadAt) < loadLife && e.load.Running+e.load.Waiting < e.load.Slots
	if room {
		e.changing, e.changingUntil = model, now.Add(changeLimit)
		return
	}
	e.fullUntil = now.Add(firstPause)
}

// Loaded notes what an endpoint said of its load.
func (f *Fleet) Loaded(id string, load Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.load, e.loadAt, e.mineAtLoad = load, f.now(), e.mine
	}
}

// Paced notes the time between two events of a stream.
func (f *Fleet) Paced(id string, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	now := f.now()
	if e.pace == 0 || now.Sub(e.paceAt) > paceLife {
		e.pace = gap
	} else {
		e.pace += time.Duration(paceWeight * float64(gap-e.pace))
	}
	e.paceAt = now
}

// SawVersion notes the weight version that an answer named.
func (f *Fleet) SawVersion(id, model string, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil || e.entry.Versions[model] == version {
		return
	}
	versions := make(map[string]int, len(e.entry.Versions)+1)
	for m, v := range e.entry.Versions {
		versions[m] = v
	}
	versions[model] = version
	entry := e.entry
	entry.Versions = versions
	e.setEntry(entry)
	f.announce()
}

func (f *Fleet) announce() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (e *endpoint) state(now time.Time) State {
	s := State{
		Entry: e.entry, Mine: e.mine,
		Paused: now.Before(e.pausedUntil), Full: now.Before(e.fullUntil),
	}
	if now.Before(e.changingUntil) {
		s.Changing = e.changing
	}
	if now.Sub(e.loadAt) < loadLife {
		s.Others = max(0, e.load.Running+e.load.Waiting-e.mineAtLoad)
	}
	if now.Sub(e.paceAt) < paceLife {
		s.Pace = e.pace
	}
	return s
}

// Target returns where to send work for the endpoint.
func (s State) Target() Target {
	return Target{id: s.Entry.ID, address: s.Entry.Address, domain: s.Entry.Domain}
}

// Busy returns the work that is known to be there.
func (s State) Busy() int { return s.Mine + s.Others }

func same(a, b Entry) bool {
	if a.Born != b.Born || a.Service != b.Service || a.Address != b.Address || a.Domain != b.Domain ||
		a.Slots != b.Slots || a.Draining != b.Draining || len(a.Versions) != len(b.Versions) {
		return false
	}
	for model, version := range a.Versions {
		if b.Versions[model] != version {
			return false
		}
	}
	return true
}

// Version returns the version of a model that an endpoint has; false says that
// the endpoint is gone.
func (f *Fleet) Version(id, model string) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil || !e.goneAt.IsZero() {
		return 0, false
	}
	return e.entry.Versions[model], true
}
