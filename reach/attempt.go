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
	tried     map[string]bool
	witnesses int
}

// Begin begins an attempt to connect to an endpoint of the given failure domain, directly
// or through one of the hosts. The key spreads attempts over equal hosts.
func (b *Book) Begin(address, domain, key string, hosts func() []Host) *Attempt {
	return &Attempt{book: b, address: address, domain: domain, key: key, hosts: hosts, tried: make(map[string]bool)}
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
	if !a.tried[""] && b.usable(direct) {
		a.tried[""] = true
		if len(a.hosts()) == 0 {
			return direct, lastPatience, true
		}
		return direct, connectPatience, true
	}
	if a.witnesses < maxWitnesses && len(a.tried) <= maxHosts {
		if host, ok := a.nextHost(); ok {
			a.tried[host] = true
			return Path{Host: host, Address: a.address}, hostPatience, true
		}
	}
	if l := b.link(direct); !a.tried[""] && b.now().Sub(l.failedAt) >= failureMemory {
		a.tried[""] = true
		return direct, connectPatience, true
	}
	return Path{}, 0, false
}

// Failed records that a connection could not be opened over a path that Next returned.
func (a *Attempt) Failed(p Path, f Failure) {
	a.book.Failed(p, f)
	if !p.IsDirect() && !f.Isolated && !f.Silent {
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
// reached, then one in its failure domain, then any. The caller holds the lock.
func (a *Attempt) nextHost() (string, bool) {
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
		return "", false
	}
	rank := func(h Host) int {
		l := links[h.Name]
		switch {
		case l != nil && l.failures == 0 && !l.connectedAt.IsZero():
			return 0
		case h.Domain == a.domain:
			return 1
		default:
			return 2
		}
	}
	best := slices.MinFunc(candidates, func(x, y Host) int { return rank(x) - rank(y) })
	var names []string
	for _, h := range candidates {
		if rank(h) == rank(best) {
			names = append(names, h.Name)
		}
	}
	return rendez.First(a.key, names)
}
