package quota

import (
	"maps"
	"sync"
	"time"
)

const (
	// askerLifetime is how long a host counts among those that share an endpoint's
	// permits after it last asked.
	askerLifetime = 500 * time.Millisecond
	// poolTime is how much of a limit may add up while nobody asks, as a time. At least
	// one permit may.
	poolTime = 250 * time.Millisecond
	// maxNext limits how long a host waits before it asks again: a limit may end, and
	// other hosts may no longer ask.
	maxNext = 500 * time.Millisecond
	// roundingError is how much of a permit may be missing after the addition of
	// fractions.
	roundingError = 1e-6
)

type (
	// Allotter hands out the permits of the endpoints that this host allots. Hosts
	// that ask at the same time get equal parts. It is safe for concurrent use.
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
		// pool is for any host, the askers' credits are theirs.
		pool   float64
		askers map[string]*asker
	}

	asker struct {
		credit  float64
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
		all = &allotment{updatedAt: now, askers: make(map[string]*asker)}
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

// ask grants a host up to count permits, or returns when it can expect the next one.
func (all *allotment) ask(host string, count int, rate float64, now time.Time) (granted int, next time.Duration) {
	all.accrue(rate, now)
	who := all.askers[host]
	if who == nil {
		who = &asker{}
		all.askers[host] = who
	}
	who.askedAt = now
	granted = min(count, int(who.credit+all.pool+roundingError))
	if granted > 0 {
		all.pool = max(0, all.pool-max(0, float64(granted)-who.credit))
		who.credit = max(0, who.credit-float64(granted))
	}
	if granted == count {
		// A host that needs no more leaves its part to the others.
		all.pool = min(capacityOf(rate), all.pool+who.credit)
		delete(all.askers, host)
	}
	if granted > 0 {
		return granted, 0
	}
	missing := (1 - who.credit - all.pool) * float64(len(all.askers)) / rate
	return 0, min(maxNext, time.Duration(missing*float64(time.Second)))
}

// accrue adds the permits since the last call: in equal parts to the hosts that have
// asked recently, to the pool if there are none. The credit of other hosts is dropped.
func (all *allotment) accrue(rate float64, now time.Time) {
	added := rate * now.Sub(all.updatedAt).Seconds()
	all.updatedAt = now
	maps.DeleteFunc(all.askers, func(_ string, who *asker) bool { return now.Sub(who.askedAt) > askerLifetime })
	capacity := capacityOf(rate)
	if len(all.askers) == 0 {
		all.pool = min(capacity, all.pool+added)
		return
	}
	for _, who := range all.askers {
		who.credit = min(capacity, who.credit+added/float64(len(all.askers)))
	}
}

// capacityOf returns how many permits may add up unused.
func capacityOf(rate float64) float64 { return max(1, rate*poolTime.Seconds()) }
