// Package fleet tracks the endpoints that a node sends work to: the entries that
// they publish in the platform's store, and this node's own observations of them.
//
// # Usage
//
//	f := fleet.New(clock)
//	f.Put(entry)
//	state, ok := fleet.Pick(f.Serving(service), domain, exclude, rand.Int())
//	target := state.Target()
//	if f.Begin(target.ID()) {
//		defer f.End(target.ID(), fleet.Answered)
//	}
package fleet

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/currantloft/currantloft/quota"
)

const (
	// loadMaxAge is how long a reported load is used. Engines report loads that are
	// a few hundred milliseconds old.
	loadMaxAge = time.Second
	// initialPause and maxPause limit how long an endpoint that failed is avoided;
	// an endpoint that crashed restarts within a few seconds. A full endpoint is
	// avoided for initialPause.
	initialPause = 200 * time.Millisecond
	maxPause     = 2 * time.Second
	// weightChangeTimeout is how long an endpoint that is changing weights is
	// avoided, unless it reports the new version earlier. Loading weights takes
	// 0.9 s on the users' engines and is already under way at the first refusal.
	weightChangeTimeout = 600 * time.Millisecond
	// eventIntervalSmoothing is the weight of a new sample in the moving average.
	eventIntervalSmoothing = 0.2
	// eventIntervalMaxAge is how long the moving average is used after its last
	// sample: slow phases of an endpoint last a few seconds.
	eventIntervalMaxAge = 4 * time.Second
	// stallIntervals is how many times the usual interval a stream may deliver no event.
	stallIntervals = 4
	// stallMemory is how long the usual interval is used for that.
	stallMemory = 30 * time.Second
	// RemovalGrace is how long an entry may be missing after the store was
	// unavailable before its endpoint is removed: entries reappear within two
	// seconds.
	RemovalGrace = 2 * time.Second
)

// Result is the result of one request at an endpoint.
type Result int

// Results.
const (
	// Answered means that the endpoint answered.
	Answered Result = iota
	// Full means that the endpoint refused because it had no free slot.
	Full
	// Failed means that the connection broke, stalled or could not be opened.
	Failed
	// Cancelled means that this node cancelled the request.
	Cancelled
)

type (
	// Entry is what an endpoint publishes about itself.
	Entry struct {
		// ID identifies the endpoint. A restarted endpoint may reuse its ID.
		ID string
		// StartedMs is the endpoint's start in Unix milliseconds, 0 if not stated.
		StartedMs int64 `json:"Born"`
		Service   string
		Address   string
		Domain    string
		Slots     int
		// SoftwareVersion is the version of the endpoint's software, empty if unknown.
		SoftwareVersion string
		// Draining endpoints get no new requests.
		Draining bool
		// Versions holds the weight version of each model, empty for plain services.
		Versions map[string]int
	}

	// Software identifies the software that wrote the events of a stream. Only endpoints
	// with the same one may continue the stream. The empty value is not known; nothing
	// continues it.
	Software string

	// Load is an endpoint's report of its queue.
	Load struct {
		Running, Waiting, Slots int
	}

	// Target is one endpoint to send requests to.
	Target struct {
		id, address, domain string
		software            Software
		startedMs           int64
	}

	// State is a snapshot of one endpoint, the input for selecting an endpoint.
	State struct {
		Entry Entry
		// OwnInFlight counts this node's requests in flight at the endpoint.
		OwnInFlight int `json:"Mine"`
		// PeerInFlight counts the peers' requests in flight there, as last reported.
		PeerInFlight int `json:"Others"`
		// EventInterval is the mean time between two events of a stream, 0 if
		// unknown.
		EventInterval time.Duration `json:"Pace"`
		// Paused endpoints failed recently and are avoided until their pause ends.
		Paused bool
		// Full endpoints recently refused a request because they had no free slot.
		Full bool
		// Leaving endpoints have said so in their answers, or drain, and get no requests.
		Leaving bool
		// Limited endpoints take only as many requests as this node has permits for.
		Limited bool
		Permits int
		// ChangingModel is the model whose weights the endpoint is changing, inferred
		// from its refusals; empty for none. Requests for other models are served.
		ChangingModel string `json:"Changing"`
	}

	// Fleet is safe for concurrent use.
	Fleet struct {
		mu        sync.Mutex
		endpoints map[string]*endpoint
		// members holds the sorted IDs of each service's endpoints, without services
		// whose endpoints have changed since it was read.
		members map[string][]string
		// software holds each service's history.
		software map[string]*softwareHistory
		now      func() time.Time
		changed  chan struct{}
		limits   *quota.Book
		// leaving holds what endpoints' answers have said, by ID.
		leaving   map[string]leavingFact
		onLeaving func(target Target, origin string)
	}

	endpoint struct {
		entry          Entry
		inFlight       int
		load           Load
		loadAt         time.Time
		inFlightAtLoad int
		failures       int
		pausedUntil    time.Time
		fullUntil      time.Time
		// changingModel is the model whose weights the endpoint is changing, until
		// changingUntil at most.
		changingModel   string
		changingUntil   time.Time
		eventInterval   time.Duration
		eventIntervalAt time.Time
		removeAt        time.Time
	}
)

// New returns an empty fleet with the given clock.
func New(now func() time.Time) *Fleet {
	return &Fleet{
		endpoints: make(map[string]*endpoint), members: make(map[string][]string), now: now, changed: make(chan struct{}), limits: quota.NewBook(now, nil),
		leaving: make(map[string]leavingFact), software: make(map[string]*softwareHistory),
	}
}

// Limits returns the request rates that endpoints allow. They outlive the endpoints'
// entries.
func (f *Fleet) Limits() *quota.Book { return f.limits }

// ID returns the endpoint's id.
func (t Target) ID() string { return t.id }

// Address returns where the endpoint listens.
func (t Target) Address() string { return t.address }

// Domain returns the endpoint's failure domain.
func (t Target) Domain() string { return t.domain }

// Software returns the endpoint's software.
func (t Target) Software() Software { return t.software }

// StartedMs returns when the endpoint started, in Unix milliseconds, 0 if not stated.
func (t Target) StartedMs() int64 { return t.startedMs }

// NewTarget returns a target.
func NewTarget(id, address, domain string) Target {
	return Target{id: id, address: address, domain: domain}
}

// WithStart returns the target with its start.
func (t Target) WithStart(startedMs int64) Target {
	t.startedMs = startedMs
	return t
}

// Software returns the endpoint's software: its service with the version. An endpoint
// that states no version has the same software as itself only.
func (e Entry) Software() Software {
	if e.SoftwareVersion == "" {
		return Software(e.Service + "/?" + e.ID + "/" + strconv.FormatInt(e.StartedMs, 10))
	}
	return Software(e.Service + "/" + e.SoftwareVersion)
}

// Service returns the service of the software's endpoints.
func (s Software) Service() string {
	service, _, _ := strings.Cut(string(s), "/")
	return service
}

// Continues reports whether this software may continue what another one wrote.
func (s Software) Continues(written Software) bool { return s != "" && s == written }

// Changed returns a channel that is closed at the next change of an entry.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Put stores an entry and reports whether it differs from the previous one. A
// restart under the same ID discards the observations of the earlier start.
func (f *Fleet) Put(entry Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[entry.ID]
	if e != nil && e.removeAt.IsZero() && sameEntry(e.entry, entry) {
		return false
	}
	f.recordKnown(entry.Service)
	if e != nil && e.entry.Software() != entry.Software() {
		f.recordGone(e.entry, f.now())
	}
	if e == nil || e.entry.StartedMs != entry.StartedMs || e.entry.Address != entry.Address {
		inFlight := 0
		if e != nil {
			inFlight = e.inFlight
		}
		e = &endpoint{inFlight: inFlight}
		f.endpoints[entry.ID] = e
		delete(f.members, entry.Service)
	}
	if e.entry.Service != entry.Service {
		delete(f.members, e.entry.Service)
		delete(f.members, entry.Service)
	}
	e.setEntry(entry)
	e.removeAt = time.Time{}
	f.notifyChange()
	return true
}

// setEntry stores an entry. A new version of the changing model ends its change.
func (e *endpoint) setEntry(entry Entry) {
	if entry.Versions[e.changingModel] != e.entry.Versions[e.changingModel] {
		e.changingModel, e.changingUntil = "", time.Time{}
	}
	e.entry = entry
}

// Remove removes an endpoint after the given grace period, immediately for 0. A
// second call does not extend the period.
func (f *Fleet) Remove(id string, grace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	if e.removeAt.IsZero() || grace == 0 {
		e.removeAt = f.now().Add(grace)
	}
	f.notifyChange()
}

// Serving returns the states of a service's endpoints that may get requests,
// sorted by ID.
func (f *Fleet) Serving(service string) []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	ids := f.membersOf(service)
	states := make([]State, 0, len(ids))
	for _, id := range ids {
		e := f.endpoints[id]
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			if e.inFlight == 0 {
				f.recordGone(e.entry, e.removeAt)
				delete(f.endpoints, id)
				delete(f.members, service)
			}
			continue
		}
		if f.leaves(e.entry) {
			continue
		}
		states = append(states, f.state(e, now))
	}
	return states
}

// membersOf returns the sorted IDs of a service's endpoints. The caller holds the lock
// and must not change the result.
//
// A fleet of thousands of endpoints is read for each request and each pass of the
// scheduler, and rarely changes its members.
func (f *Fleet) membersOf(service string) []string {
	ids, ok := f.members[service]
	if ok {
		return ids
	}
	for id, e := range f.endpoints {
		if e.entry.Service == service {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	f.members[service] = ids
	return ids
}

// HasAddress reports whether an endpoint listens at the address.
func (f *Fleet) HasAddress(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e.entry.Address == address {
			return true
		}
	}
	return false
}

// All returns the states of all endpoints, sorted by ID.
func (f *Fleet) All() []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := make([]State, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		states = append(states, f.state(e, f.now()))
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Entry.ID < states[j].Entry.ID })
	return states
}

// Begin records a request that is about to be sent to an endpoint. It returns false if
// the endpoint leaves, or limits requests and this node has no permit for another one; the
// request must not be sent then.
func (f *Fleet) Begin(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e != nil && f.leaves(e.entry) || !f.limits.Take(id) {
		return false
	}
	if e != nil {
		e.inFlight++
	}
	return true
}

// End records the result of that request.
func (f *Fleet) End(id string, result Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	e.inFlight--
	now := f.now()
	switch result {
	case Answered:
		e.failures = 0
		e.pausedUntil = time.Time{}
	case Full:
		e.fullUntil = now.Add(initialPause)
	case Failed:
		pause := min(maxPause, initialPause<<min(e.failures, 6))
		e.failures++
		e.pausedUntil = now.Add(pause)
	case Cancelled:
	}
}

// RecordRefusal records, in place of End, that an endpoint refused a request for
// a model. If the load that it reported with the refusal shows a free slot, it
// is considered to be changing that model's weights, otherwise to be full.
func (f *Fleet) RecordRefusal(id, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	e.inFlight--
	now := f.now()
	hasFreeSlot := !e.loadAt.IsZero() && now.Sub(e.loadAt) < loadMaxAge && e.load.Running+e.load.Waiting < e.load.Slots
	if hasFreeSlot {
		e.changingModel, e.changingUntil = model, now.Add(weightChangeTimeout)
		return
	}
	e.fullUntil = now.Add(initialPause)
}

// RecordLoad records an endpoint's report of its load.
func (f *Fleet) RecordLoad(id string, load Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		e.load, e.loadAt, e.inFlightAtLoad = load, f.now(), e.inFlight
	}
}

// RecordEventInterval records the time between two events of a stream.
func (f *Fleet) RecordEventInterval(id string, interval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil {
		return
	}
	now := f.now()
	if e.eventInterval == 0 || now.Sub(e.eventIntervalAt) > eventIntervalMaxAge {
		e.eventInterval = interval
	} else {
		e.eventInterval += time.Duration(eventIntervalSmoothing * float64(interval-e.eventInterval))
	}
	e.eventIntervalAt = now
}

// StallLimit returns how long a stream of an endpoint may deliver no event: stallIntervals
// of the usual interval there, or of the slowest endpoint of its service if that is not
// known, within the given limits.
func (f *Fleet) StallLimit(id string, shortest, longest time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, now := f.endpoints[id], f.now()
	if e == nil {
		return shortest
	}
	interval := e.usualInterval(now)
	if interval == 0 {
		for _, id := range f.membersOf(e.entry.Service) {
			interval = max(interval, f.endpoints[id].usualInterval(now))
		}
	}
	return max(shortest, min(longest, stallIntervals*interval))
}

// usualInterval returns the mean time between two events of the endpoint's streams, 0 if
// it has not been observed lately.
func (e *endpoint) usualInterval(now time.Time) time.Duration {
	if now.Sub(e.eventIntervalAt) > stallMemory {
		return 0
	}
	return e.eventInterval
}

// RecordVersion records the weight version stated in an answer.
func (f *Fleet) RecordVersion(id, model string, version int) {
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
	f.notifyChange()
}

func (f *Fleet) notifyChange() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// state returns an endpoint's state. The caller holds the lock.
func (f *Fleet) state(e *endpoint, now time.Time) State {
	s := State{
		Entry: e.entry, OwnInFlight: e.inFlight,
		Paused: now.Before(e.pausedUntil), Full: now.Before(e.fullUntil), Leaving: f.leaves(e.entry),
	}
	if permits := f.limits.Permits(e.entry.ID); permits != quota.Unlimited {
		s.Limited, s.Permits = true, permits
	}
	if now.Before(e.changingUntil) {
		s.ChangingModel = e.changingModel
	}
	if now.Sub(e.loadAt) < loadMaxAge {
		s.PeerInFlight = max(0, e.load.Running+e.load.Waiting-e.inFlightAtLoad)
	}
	if now.Sub(e.eventIntervalAt) < eventIntervalMaxAge {
		s.EventInterval = e.eventInterval
	}
	return s
}

// Target returns the endpoint's target.
func (s State) Target() Target {
	return Target{
		id: s.Entry.ID, address: s.Entry.Address, domain: s.Entry.Domain, software: s.Entry.Software(), startedMs: s.Entry.StartedMs,
	}
}

// Exhausted reports whether the endpoint limits requests and this node has no permit.
func (s State) Exhausted() bool { return s.Limited && s.Permits <= 0 }

// Reserve returns the state with one more request in flight.
func (s State) Reserve() State {
	s.OwnInFlight++
	s.Permits--
	return s
}

// Busy returns the number of requests in flight at the endpoint: this node's
// and, as last reported, its peers'.
func (s State) Busy() int { return s.OwnInFlight + s.PeerInFlight }

func sameEntry(a, b Entry) bool {
	if a.StartedMs != b.StartedMs || a.Service != b.Service || a.Address != b.Address || a.Domain != b.Domain ||
		a.Slots != b.Slots || a.SoftwareVersion != b.SoftwareVersion || a.Draining != b.Draining || len(a.Versions) != len(b.Versions) {
		return false
	}
	for model, version := range a.Versions {
		if b.Versions[model] != version {
			return false
		}
	}
	return true
}

// Version returns the version of a model that an endpoint has, 0 if it states
// none. It returns false if the endpoint is unknown or its entry is missing,
// also within the grace period.
func (f *Fleet) Version(id, model string) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[id]
	if e == nil || !e.removeAt.IsZero() {
		return 0, false
	}
	return e.entry.Versions[model], true
}

// Permitted returns the states of the endpoints that lack a permit as if they had no
// limit, to select those to ask permits for.
func Permitted(states []State) []State {
	var permitted []State
	for _, s := range states {
		if s.Exhausted() {
			s.Limited = false
			permitted = append(permitted, s)
		}
	}
	return permitted
}

// WantPermits asks for a permit for each of the targets.
func (f *Fleet) WantPermits(targets []Target) {
	counts := make(map[string]int)
	for _, t := range targets {
		counts[t.id]++
	}
	for id, n := range counts {
		f.limits.Want(id, n)
	}
}
