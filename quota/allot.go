package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// poolTime is how much of a limit may add up unused, as a time: the items of a
	// training step come all at once.
	poolTime = 750 * time.Millisecond
	// maxNext limits how long a host waits before it asks again: a limit may end, and
	// hosts that are ahead may no longer ask.
	maxNext = 500 * time.Millisecond
	// waiterLifetime is how long a host that does not ask again keeps its place.
	waiterLifetime = 2 * maxNext
	// roundingError is how much of a permit may be missing after the addition of
	// fractions.
	roundingError = 1e-6
)

type (
	// Allotter hands out the permits of the endpoints that this host allots. Hosts
	// whose needs are not met take turns. It is safe for concurrent use.
	//
	// It is designed for a few hosts that send most requests, which change with each
	// training step, among many that send none.
	Allotter struct {
		book *Book
		now  func() time.Time

		mu         sync.Mutex
		allotments map[string]*allotment
	}

	// allotment is what is left of one endpoint's permits.
	allotment struct {
		updatedAt time.Time
		pool      float64
		// waiters are the hosts whose needs were not met, in the order of their turns.
		waiters []waiter
	}

	waiter struct {
		host    string
		askedAt time.Time
	}
)

// NewAllotter returns an allotter that takes the limits from a book.
func NewAllotter(book *Book, now func() time.Time) *Allotter {
	return &Allotter{book: book, now: now, allotments: make(map[string]*allotment)}
}

// Ask answers a host's need and records what that host knows of the limit. An endpoint
// that is new to the allotter has no permits yet: another host may have allotted them
// until now.
func (a *Allotter) Ask(host string, need Need) Grant {
	a.book.Learn(need.Fact)
	fact := a.book.Fact(need.Endpoint)
	rate, ok := fact.Limit.Rate()
	if !ok || need.Count == 0 {
		return Grant{Fact: fact}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	all := a.allotments[need.Endpoint]
	if all == nil {
		a.dropIdle(now)
		all = &allotment{updatedAt: now}
		a.allotments[need.Endpoint] = all
	}
	count, next := all.ask(host, need.Count, max(rate, minRate), now)
	return Grant{Fact: fact, Count: count, Next: next}
}

// dropIdle drops the allotments of endpoints that nobody asks for. They are created
// empty when somebody asks again, so that dropping one grants nothing. The caller holds
// the lock.
func (a *Allotter) dropIdle(now time.Time) {
	maps.DeleteFunc(a.allotments, func(_ string, all *allotment) bool { return now.Sub(all.updatedAt) > retention })
}

// ask grants a host up to count permits, or returns when it can expect the next one. A
// permit is left for each host whose turn is before.
func (all *allotment) ask(host string, count int, rate float64, now time.Time) (granted int, next time.Duration) {
	all.pool = min(1+rate*poolTime.Seconds(), all.pool+rate*now.Sub(all.updatedAt).Seconds())
	all.updatedAt = now
	all.waiters = slices.DeleteFunc(all.waiters, func(w waiter) bool { return now.Sub(w.askedAt) > waiterLifetime })
	turn := slices.IndexFunc(all.waiters, func(w waiter) bool { return w.host == host })
	if turn < 0 {
		turn = len(all.waiters)
		all.waiters = append(all.waiters, waiter{host: host})
	}
	all.waiters[turn].askedAt = now
	available := int(all.pool + roundingError)
	if available <= turn {
		missing := float64(turn+1) - all.pool
		return 0, min(maxNext, time.Duration(missing/rate*float64(time.Second)))
	}
	// What is left after one permit for each waiting host goes to this one in part, so
	// that the others find some too.
	granted = min(count, 1+max(0, available-len(all.waiters))/len(all.waiters))
	all.pool = max(0, all.pool-float64(granted))
	all.waiters = slices.Delete(all.waiters, turn, turn+1)
	if granted < count {
		all.waiters = append(all.waiters, waiter{host: host, askedAt: now})
	}
	return granted, 0
}
