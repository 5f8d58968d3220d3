package permit

import "sort"

type (
	// share is the queue of one trainer or service.
	share struct {
		name    string
		virtual float64
		waiting []*waiter
	}

	// fairQueue orders waiters of several shares by their weights: a share's
	// virtual time grows by 1/weight with each grant, the lowest goes next.
	fairQueue struct {
		shares map[string]*share
		clock  float64
		count  int
	}
)

func newFairQueue() *fairQueue { return &fairQueue{shares: make(map[string]*share)} }

func (q *fairQueue) len() int { return q.count }

func (q *fairQueue) push(w *waiter) {
	s := q.shares[w.ask.Share]
	if s == nil {
		s = &share{name: w.ask.Share}
		q.shares[w.ask.Share] = s
	}
	if len(s.waiting) == 0 {
		s.virtual = max(s.virtual, q.clock)
	}
	s.waiting = append(s.waiting, w)
	q.count++
}

// heads returns the first waiter of each share, the next to be served first.
func (q *fairQueue) heads() []*waiter {
	var shares []*share
	for _, s := range q.shares {
		if len(s.waiting) > 0 {
			shares = append(shares, s)
		}
	}
	sort.Slice(shares, func(i, j int) bool {
		if shares[i].virtual != shares[j].virtual {
			return shares[i].virtual < shares[j].virtual
		}
		return shares[i].name < shares[j].name
	})
	heads := make([]*waiter, 0, len(shares))
	for _, s := range shares {
		heads = append(heads, s.waiting[0])
	}
	return heads
}

// take removes a waiter that is served and charges its share.
func (q *fairQueue) take(w *waiter) {
	s := q.shares[w.ask.Share]
	q.clock = s.virtual
	s.virtual += 1 / float64(max(1, w.ask.Weight))
	q.remove(w)
}

// remove takes a waiter out without charging its share.
func (q *fairQueue) remove(w *waiter) {
	s := q.shares[w.ask.Share]
	if s == nil {
		return
	}
	before := len(s.waiting)
	s.waiting = remove(s.waiting, w)
	q.count -= before - len(s.waiting)
}

// all returns every waiter.
func (q *fairQueue) all() []*waiter {
	var all []*waiter
	for _, s := range q.shares {
		all = append(all, s.waiting...)
	}
	return all
}
