package reach

import (
	"slices"
	"time"

	"github.com/currantloft/currantloft/rendez"
)

// Attempt selects the paths for one attempt to connect to an endpoint, one after another.
// It is for one goroutine.
type Attempt struct {
	book    *Book
	address string
	domain  string
	key     string
	hosts   func() []Host
	// tried holds the hosts of the paths that were tried, empty for the direct path.
	tried map[string]bool
	// witnesses counts the hosts that reach other endpoints and have failed.
	witnesses int
	search    bool
	// hint is a host that is said to reach the endpoint, empty for none.
	hint string
	// impaired is true if the host of the last path has lost endpoints itself.
	impaired bool
}

// Begin begins an attempt to connect to an endpoint of the given failure domain, directly
// or through one of the hosts. The key spreads attempts over equal hosts.
func (b *Book) Begin(address, domain, key string, hosts func() []Host) *Attempt {
	return &Attempt{book: b, address: address, domain: domain, key: key, hosts: hosts, tried: make(map[string]bool)}
}

// BeginSearch begins an attempt to find another path to an endpoint after one has failed.
// It asks more hosts than a request can wait for.
func (b *Book) BeginSearch(failed Path, hosts func() []Host) *Attempt {
	return &Attempt{
		book: b, address: failed.Address, key: failed.Address, hosts: hosts, tried: map[string]bool{failed.Host: true}, search: true,
	}
}

// Next returns the next path, and how long connecting over it may take. It returns false
// if no path is left, or if too many hosts have found the endpoint down.
//
// It is designed for hosts that lose their links to some or all endpoints for seconds,
// most often together with the other hosts of their failure domain, while callers go on
// sending them requests with short deadlines.
func (a *Attempt) Next() (Path, time.Duration, bool) {
	b := a.book
	b.mu.Lock()
	defer b.mu.Unlock()
	direct := Direct(a.address)
	if !a.search {
		b.link(direct).wantedAt = b.now()
	}
	if len(a.tried) == 0 && b.now().Before(b.down[a.address]) {
		return Path{}, 0, false
	}
	if !a.tried[""] && b.usable(direct) {
		a.tried[""] = true
		if len(a.hosts()) == 0 {
			return direct, lastPatience, true
		}
		return direct, connectPatience, true
	}
	if (a.search || a.witnesses < maxWitnesses) && len(a.tried) <= maxHosts {
		if host, ok := a.nextHost(); ok {
			a.tried[host.Name] = true
			a.impaired = host.Unreached > 0
			return Path{Host: host.Name, Address: a.address}, hostPatience, true
		}
	}
	if l := b.link(direct); !a.tried[""] && b.now().Sub(l.failedAt) >= failureMemory {
		a.tried[""] = true
		return direct, connectPatience, true
	}
	if len(a.tried) > 0 {
		b.recordDown(a.address, a.search)
	}
	return Path{}, 0, false
}

// recordDown records that no host was found that reaches an endpoint. While hosts search
// for one, requests need not. The caller holds the lock.
func (b *Book) recordDown(address string, searched bool) {
	memory := downMemory
	if searched {
		memory = searchInterval + downMemory
	}
	if until := b.now().Add(memory); until.After(b.down[address]) && b.failing[Direct(address)] != nil {
		b.down[address] = until
	}
}

// Failed records that a connection could not be opened over a path that Next returned.
func (a *Attempt) Failed(p Path, f Failure) {
	a.book.Failed(p, f)
	if a.hint = f.ReachedBy; a.hint != "" {
		return
	}
	if !p.IsDirect() && !f.Isolated && !f.Silent && !a.impaired {
		a.witnesses++
	}
}

// usable reports whether attempts begin with the direct path: it is not broken, has not
// just failed, and the host has not lost all others since it last worked. The caller holds
// the lock.
func (b *Book) usable(direct Path) bool {
	l := b.link(direct)
	if l.failures > 0 {
		return !b.broken(direct) && b.now().Sub(l.failedAt) >= failureMemory
	}
	since, isolated := b.isolatedSince()
	return !isolated || l.connectedAt.After(since)
}

// nextHost returns the best host that was not tried: one over which the endpoint was
// reached, then one that has lost no endpoint, in the endpoint's failure domain first,
// then any; a search asks those last that have failed to reach the endpoint. The caller holds the lock.
func (a *Attempt) nextHost() (Host, bool) {
	var candidates []Host
	b, now := a.book, a.book.now()
	links := b.links[a.address]
	for _, h := range a.hosts() {
		l := links[h.Name]
		failed := l != nil && l.failures > 0 && now.Sub(l.failedAt) < failureMemory
		if !a.tried[h.Name] && !failed && !now.Before(b.avoid[h.Name]) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return Host{}, false
	}
	rank := func(h Host) int {
		l := links[h.Name]
		switch {
		case h.Name == a.hint:
			return 0
		case l != nil && l.failures == 0 && !l.connectedAt.IsZero():
			return 0
		case a.search && l != nil && l.failures > 0:
			// The next search asks those that the last ones have not asked.
			return 4
		case h.Unreached > 0:
			return 3
		case h.Domain == a.domain:
			return 1
		default:
			return 2
		}
	}
	best := slices.MinFunc(candidates, func(x, y Host) int { return rank(x) - rank(y) })
	candidates = slices.DeleteFunc(candidates, func(h Host) bool { return rank(h) > rank(best) })
	// Of these, those that have never failed, or whose failure is the oldest.
	failedAt := func(h Host) time.Time {
		if l := links[h.Name]; l != nil && l.failures > 0 {
			return l.failedAt
		}
		return time.Time{}
	}
	best = slices.MinFunc(candidates, func(x, y Host) int { return failedAt(x).Compare(failedAt(y)) })
	candidates = slices.DeleteFunc(candidates, func(h Host) bool { return failedAt(h).After(failedAt(best)) })
	names := make([]string, 0, len(candidates))
	for _, h := range candidates {
		names = append(names, h.Name)
	}
	first, ok := rendez.First(a.key, names)
	return candidates[slices.Index(names, first)], ok
}
