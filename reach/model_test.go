package reach

import (
	"fmt"
	"time"
)

const (
	// connectTime is how long the model takes to connect over a link that works.
	connectTime = 2 * time.Millisecond
	// tick is how often the model's hosts look at their paths.
	tick = 50 * time.Millisecond
	// announceDelay is how long it takes until a host knows what others have lost.
	announceDelay = 700 * time.Millisecond
	// callerDeadline is the shortest deadline on the users' sites, and noticeTime how long
	// after a change of links the users expect requests to be served.
	callerDeadline = 800 * time.Millisecond
	noticeTime     = 3 * time.Second
)

// fleet is a model of hosts with links to endpoints. Its time advances with what its
// hosts do.
type fleet struct {
	now   time.Time
	hosts []*modelHost
	// endpoints are the addresses; up says which host reaches which endpoint.
	endpoints []string
	up        [][]bool
	// refuses says whether broken links refuse connections, or are silent.
	refuses   bool
	announced time.Time
}

type modelHost struct {
	fleet     *fleet
	index     int
	name      string
	book      *Book
	unreached uint32
}

func newFleet(hosts, endpoints int) *fleet {
	f := &fleet{now: time.UnixMilli(1e12)}
	for i := range hosts {
		h := &modelHost{fleet: f, index: i, name: fmt.Sprint("h", i)}
		h.book = NewBook(func() time.Time { return f.now })
		f.hosts = append(f.hosts, h)
		f.up = append(f.up, make([]bool, endpoints))
	}
	for e := range endpoints {
		f.endpoints = append(f.endpoints, fmt.Sprint("e", e))
		f.setAll(e, true)
	}
	return f
}

func (f *fleet) setAll(endpoint int, up bool) {
	for _, links := range f.up {
		links[endpoint] = up
	}
}

// reached reports whether any host reaches an endpoint.
func (f *fleet) reached(endpoint int) bool {
	for _, links := range f.up {
		if links[endpoint] {
			return true
		}
	}
	return false
}

// others returns the hosts through which a host may connect.
func (h *modelHost) others() []Host {
	var hosts []Host
	for _, other := range h.fleet.hosts {
		if other != h {
			hosts = append(hosts, Host{Name: other.name, Domain: "d", Unreached: other.unreached})
		}
	}
	return hosts
}

// connect connects directly, and reports the failure if that fails.
func (h *modelHost) connect(endpoint int, patience time.Duration) *Failure {
	f := h.fleet
	if f.up[h.index][endpoint] {
		f.now = f.now.Add(connectTime)
		return nil
	}
	if f.refuses {
		f.now = f.now.Add(connectTime)
		return &Failure{Refused: true}
	}
	f.now = f.now.Add(patience)
	return &Failure{}
}

// serve connects for another host, as a detour server does.
func (h *modelHost) serve(endpoint int, check bool) *Failure {
	direct := Direct(h.fleet.endpoints[endpoint])
	if h.book.JustFailed(direct) {
		return &Failure{Isolated: h.book.Isolated(), ReachedBy: h.book.ReachedBy(direct.Address)}
	}
	failure := h.connect(endpoint, connectPatience)
	if failure == nil {
		h.book.Connected(direct)
		return nil
	}
	h.book.Failed(direct, *failure)
	failure.Isolated, failure.ReachedBy = h.book.Isolated(), h.book.ReachedBy(direct.Address)
	if !check && h.book.BeginCheck(direct) {
		// The check runs beside the answer.
		at := h.fleet.now
		h.check(direct)
		h.fleet.now = at
	}
	return failure
}

// try connects over a path.
func (h *modelHost) try(p Path, patience time.Duration, check bool) *Failure {
	f := h.fleet
	endpoint := 0
	for f.endpoints[endpoint] != p.Address {
		endpoint++
	}
	var failure *Failure
	if p.IsDirect() {
		failure = h.connect(endpoint, patience)
	} else {
		for _, other := range f.hosts {
			if other.name == p.Host {
				failure = other.serve(endpoint, check)
			}
		}
	}
	if failure == nil {
		h.book.Connected(p)
	}
	return failure
}

// attempt makes one attempt and returns the path that worked and how long it took.
func (h *modelHost) attempt(endpoint int, key string) (Path, time.Duration, bool) {
	started := h.fleet.now
	a := h.book.Begin(h.fleet.endpoints[endpoint], "d", key, h.others)
	for p, patience, ok := a.Next(); ok; p, patience, ok = a.Next() {
		failure := h.try(p, patience, false)
		if failure == nil {
			return p, h.fleet.now.Sub(started), true
		}
		a.Failed(p, *failure)
	}
	return Path{}, h.fleet.now.Sub(started), false
}

// check checks a path, as a detour sender does.
func (h *modelHost) check(p Path) {
	failure := h.try(p, connectPatience, true)
	if failure == nil {
		return
	}
	h.book.Failed(p, *failure)
	if h.book.Broken(p) {
		return
	}
	a := h.book.BeginSearch(p, h.others)
	for other, patience, ok := a.Next(); ok; other, patience, ok = a.Next() {
		failure := h.try(other, patience, true)
		if failure == nil {
			return
		}
		a.Failed(other, *failure)
	}
}

// pass lets time pass in which hosts check paths and tell each other what they have lost.
// Checks of different hosts run at the same time.
func (f *fleet) pass(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		f.now = f.now.Add(tick)
		at, latest := f.now, f.now
		for _, h := range f.hosts {
			for _, p := range h.book.DueChecks() {
				f.now = at
				h.check(p)
				if f.now.After(latest) {
					latest = f.now
				}
			}
		}
		f.now = latest
		if f.now.Sub(f.announced) >= announceDelay {
			f.announced = f.now
			for _, h := range f.hosts {
				h.unreached = uint32(h.book.Unreached())
			}
		}
	}
}
