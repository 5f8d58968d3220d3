// Package reach decides over which path a host connects to an endpoint: directly, or
// through another host.
//
// A host that loses its own links to endpoints is still reached by callers and by the
// other hosts, most of which reach the endpoints. The book records for each path how
// connecting over it went, here and as other hosts report, and notices paths over which
// nothing is heard any more. It does no input or output.
//
// A failed connection alone says nothing of its cause. A path counts as broken only
// while another path to the same endpoint works; otherwise the endpoint is down.
//
// # Usage
//
//	book := reach.NewBook(time.Now)
//	attempt := book.Begin(address, domain, request, hosts)
//	for path, patience, ok := attempt.Next(); ok; path, patience, ok = attempt.Next() {
//		if failure := connect(path, patience); failure != nil {
//			attempt.Failed(path, *failure)
//			continue
//		}
//		book.Connected(path)
//	}
package reach

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// connectPatience limits connecting over one path while there are others. A
	// connection takes a few milliseconds, and a lost packet is sent again only after a
	// second.
	connectPatience = 100 * time.Millisecond
	// lastPatience limits connecting over the only path.
	lastPatience = 400 * time.Millisecond
	// hostPatience limits connecting through another host, which has to connect itself.
	hostPatience = connectPatience + 80*time.Millisecond
	// maxHosts limits the other hosts that one attempt asks.
	maxHosts = 4
	// maxWitnesses is how many other hosts must fail to reach an endpoint until it counts
	// as down. Hosts that reach hardly any endpoint don't count.
	maxWitnesses = 2
	// failureMemory is how long a path that has failed is not tried again by attempts.
	failureMemory = 300 * time.Millisecond
	// downMemory is how long an endpoint that several hosts have found down is not tried.
	downMemory = 500 * time.Millisecond
	// silentMemory is how long a host that does not answer is not asked.
	silentMemory = time.Second
	// minIsolated is the number of endpoints that only other hosts reach from which on
	// those not tried since are presumed to be out of reach too.
	minIsolated = 2
	// minLossTime is the least time between the first and the last of the failures that
	// make a path lost, so that one lost packet does not.
	minLossTime = 80 * time.Millisecond
	// silenceLimit is how long nothing may come over a path that is in use until the path
	// is checked. Short answers take some tens of milliseconds.
	silenceLimit = 150 * time.Millisecond
	// checkInterval is the least time between two checks of a path that is silent or has
	// failed, and soundCheckInterval the same after a check that succeeded: a silent
	// endpoint is slow then.
	checkInterval      = 120 * time.Millisecond
	soundCheckInterval = time.Second
	// recheckInterval is how often a broken direct path is checked.
	recheckInterval = 500 * time.Millisecond
	// searchInterval is how often a direct path is checked over which connections fail while
	// no other host is known to reach the endpoint: it is down, or the hosts that reach it
	// are still to be found. That ends searchTime after the last request for it.
	searchInterval = time.Second
	searchTime     = 3 * time.Second
	// maxRechecks limits the checks of broken paths that begin at the same time.
	maxRechecks = 2
	// linkRetention is how long an unused path is remembered.
	linkRetention = time.Minute
)

// ErrNotConnected reports that no byte of a request was written, since there was no
// connection.
var ErrNotConnected = errors.New("not connected")

// ErrPathLost reports that an attempt was given up because its path is broken, while
// another one works.
var ErrPathLost = errors.New("the path to the endpoint is broken")

type (
	// Path is a way to connect to an endpoint.
	Path struct {
		// Host is the name of the host through which the path goes, empty for the direct
		// path.
		Host string
		// Address is the endpoint's address.
		Address string
	}

	// Host is another host through which a path may go.
	Host struct {
		Name, Domain string
		// Unreached is the number of endpoints that the host says only others reach.
		Unreached uint32
	}

	// Failure says why a connection could not be opened.
	Failure struct {
		// Refused reports whether the endpoint's address refused the connection.
		Refused bool
		// Isolated reports whether the host on the path reaches hardly any endpoint.
		Isolated bool
		// Silent reports whether the host on the path has not answered.
		Silent bool
		// ReachedBy is a host that reaches the endpoint as the host on the path says, empty
		// if it knows none.
		ReachedBy string
	}

	// Book records the paths of one host. It is safe for concurrent use.
	Book struct {
		now func() time.Time

		mu sync.Mutex
		// links holds the paths to each address.
		links map[string]map[string]*link
		// busy holds the paths in use, and failing those over which connections have
		// failed since they last succeeded.
		busy, failing map[Path]*link
		// connectedAt is when a direct connection was last opened.
		connectedAt time.Time
		// avoid holds until when hosts are not asked, and down until when endpoints that no
		// host reaches are not tried, by address.
		avoid, down map[string]time.Time
	}

	// link is what is known of one path.
	link struct {
		// connectedAt is when a connection was last opened, failedAt when that last
		// failed, and lostAt when it first failed since.
		connectedAt, failedAt, lostAt time.Time
		failures                      int
		// heardAt is when a byte last came over the path, and usedAt when it was last used.
		heardAt, usedAt time.Time
		// checkedAt is when a check of the path last began.
		checkedAt time.Time
		// wantedAt is when a request last asked for the path.
		wantedAt time.Time
		inFlight int
	}
)

// NewBook returns an empty book with the given clock.
func NewBook(now func() time.Time) *Book {
	return &Book{
		now: now, links: make(map[string]map[string]*link), busy: make(map[Path]*link), failing: make(map[Path]*link),
		avoid: make(map[string]time.Time), down: make(map[string]time.Time),
	}
}

// Direct returns the direct path to an address.
func Direct(address string) Path { return Path{Address: address} }

// IsDirect reports whether the path goes through no other host.
func (p Path) IsDirect() bool { return p.Host == "" }

// link returns the record of a path. The caller holds the lock.
func (b *Book) link(p Path) *link {
	links := b.links[p.Address]
	if links == nil {
		links = make(map[string]*link)
		b.links[p.Address] = links
	}
	l := links[p.Host]
	if l == nil {
		l = &link{usedAt: b.now()}
		links[p.Host] = l
	}
	return l
}

// Connected records that a connection was opened over a path.
func (b *Book) Connected(p Path) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	l := b.link(p)
	l.connectedAt, l.heardAt, l.usedAt = now, now, now
	l.failures, l.lostAt = 0, time.Time{}
	delete(b.failing, p)
	delete(b.down, p.Address)
	if p.IsDirect() {
		b.connectedAt = now
	} else {
		delete(b.avoid, p.Host)
	}
}

// Failed records that a connection could not be opened over a path.
func (b *Book) Failed(p Path, f Failure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	l := b.link(p)
	if l.failures == 0 {
		l.lostAt = now
	}
	l.failures++
	l.failedAt, l.usedAt = now, now
	b.failing[p] = l
	if !p.IsDirect() && f.Silent {
		b.avoid[p.Host] = now.Add(silentMemory)
	}
}

// Start records that a request was sent over a path.
func (b *Book) Start(p Path) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, now := b.link(p), b.now()
	if l.inFlight == 0 {
		// What was heard before says nothing of this request.
		l.heardAt = now
	}
	l.inFlight++
	l.usedAt = now
	b.busy[p] = l
}

// Done records that the request has ended.
func (b *Book) Done(p Path) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(p)
	if l.inFlight--; l.inFlight == 0 {
		delete(b.busy, p)
	}
}

// Heard records that bytes came over a path.
func (b *Book) Heard(p Path) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link(p).heardAt = b.now()
}

// HeardWithin reports whether bytes came over a path, or a connection was opened, within
// the given time.
func (b *Book) HeardWithin(p Path, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now().Sub(b.link(p).heardAt) < within
}

// Broken reports whether a path is broken: connections have failed over it since they
// last succeeded, while one over another path to the same endpoint has succeeded.
func (b *Book) Broken(p Path) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.broken(p)
}

// Lost reports whether a path is broken, and has failed more than once.
func (b *Book) Lost(p Path) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost(p)
}

// JustFailed reports whether connecting over a path has failed too recently to try again.
func (b *Book) JustFailed(p Path) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.failing[p]
	return l != nil && b.now().Sub(l.failedAt) < failureMemory
}

// ReachedBy returns a host through which an endpoint was reached since the direct path
// fails, empty for none.
func (b *Book) ReachedBy(address string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	host, _ := b.reachedBy(Direct(address))
	return host
}

// BrokenPaths returns the broken direct paths, each with a host that reaches the endpoint.
func (b *Book) BrokenPaths() map[Path]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	paths := make(map[Path]string)
	for p := range b.failing {
		if host, ok := b.reachedBy(p); ok && p.IsDirect() {
			paths[p] = host
		}
	}
	return paths
}

func (b *Book) broken(p Path) bool {
	_, ok := b.reachedBy(p)
	return ok
}

// reachedBy returns the host over which an endpoint was reached since connections fail
// over the path. The caller holds the lock.
func (b *Book) reachedBy(p Path) (string, bool) {
	l := b.failing[p]
	if l == nil {
		return "", false
	}
	for host, other := range b.links[p.Address] {
		if host != p.Host && other.failures == 0 && !other.connectedAt.Before(l.lostAt) {
			return host, true
		}
	}
	return "", false
}

func (b *Book) lost(p Path) bool {
	l := b.failing[p]
	return b.broken(p) && l.failures > 1 && l.failedAt.Sub(l.lostAt) >= minLossTime
}

// Unreached returns the number of endpoints that other hosts reach and this one has lost.
func (b *Book) Unreached() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for p := range b.failing {
		if p.IsDirect() && b.lost(p) {
			n++
		}
	}
	return n
}

// Isolated reports whether this host reaches hardly any endpoint: it has lost several
// that other hosts reach, and has reached none since.
func (b *Book) Isolated() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, isolated := b.isolatedSince()
	return isolated
}

// isolatedSince returns since when the host reaches no endpoint. The caller holds the
// lock.
func (b *Book) isolatedSince() (time.Time, bool) {
	var since time.Time
	broken := 0
	for p, l := range b.failing {
		if !p.IsDirect() || !b.broken(p) {
			continue
		}
		broken++
		if since.IsZero() || l.lostAt.Before(since) {
			since = l.lostAt
		}
	}
	if broken == 0 || broken < min(minIsolated, len(b.links)) || b.connectedAt.After(since) {
		return time.Time{}, false
	}
	return since, true
}

// Watching reports whether DueChecks may return paths later on.
func (b *Book) Watching() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.busy)+len(b.failing) > 0
}

// DueChecks returns the paths to check now, by opening a connection: those in use that are
// silent, and direct ones over which connections fail, so that the host uses them again
// once they work, or finds another path.
func (b *Book) DueChecks() []Path {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var due []Path
	for p, l := range b.busy {
		interval := soundCheckInterval
		if l.failures > 0 {
			interval = checkInterval
		}
		if now.Sub(l.heardAt) >= silenceLimit && now.Sub(l.checkedAt) >= interval {
			due = append(due, p)
		}
	}
	var broken []Path
	for p, l := range b.failing {
		if !p.IsDirect() || slices.Contains(due, p) {
			continue
		}
		age := now.Sub(l.checkedAt)
		if b.broken(p) && age >= recheckInterval || age >= searchInterval && now.Sub(l.wantedAt) < searchTime {
			broken = append(broken, p)
		}
	}
	slices.SortFunc(due, comparePaths)
	slices.SortFunc(broken, func(x, y Path) int {
		return cmp.Or(b.failing[x].checkedAt.Compare(b.failing[y].checkedAt), comparePaths(x, y))
	})
	due = append(due, broken[:min(maxRechecks, len(broken))]...)
	for _, p := range due {
		b.link(p).checkedAt = now
	}
	return due
}

func comparePaths(x, y Path) int {
	return cmp.Or(strings.Compare(x.Address, y.Address), strings.Compare(x.Host, y.Host))
}

// BeginCheck reports whether a path that has failed should be checked now, as no check of
// it has begun lately.
func (b *Book) BeginCheck(p Path) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, now := b.link(p), b.now()
	if l.failures == 0 || now.Sub(l.checkedAt) < soundCheckInterval {
		return false
	}
	l.checkedAt = now
	return true
}

// Forget drops the records of endpoints that are gone, and of paths that have not been
// used for long.
func (b *Book) Forget(exists func(address string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for address, links := range b.links {
		for host, l := range links {
			if l.inFlight == 0 && (!exists(address) || now.Sub(l.usedAt) > linkRetention) {
				delete(links, host)
				delete(b.failing, Path{Host: host, Address: address})
			}
		}
		if len(links) == 0 {
			delete(b.links, address)
		}
	}
	past := func(_ string, until time.Time) bool { return now.After(until) }
	maps.DeleteFunc(b.avoid, past)
	maps.DeleteFunc(b.down, past)
}
