package permit

import "sort"

type (
	// share is the queue of one trainer or service.
	share struct {
		name        string
		virtualTime float64
		waiting     []*waiter
	}

	// fairQueue orders waiters of several shares by weighted fair queueing: a
	// share's virtual time grows by 1/weight with each grant, and the share with
	// the lowest virtual time is served next.
	fairQueue struct {
		shares       map[string]*share
		virtualClock float64
		count        int
	}
)

func newFairQueue() *fairQueue { return &fairQueue{shares: make(map[string]*share)} }

func (q *fairQueue) len() int { return q.count }

func (q *fairQueue) push(w *waiter) {
	s := q.shares[w.request.Share]
	if s == nil {
		s = &share{name: w.request.Share}
		q.shares[w.request.Share] = s
	}
	if len(s.waiting) == 0 {
		s.virtualTime = max(s.virtualTime, q.virtualClock)
	}
	s.waiting = append(s.waiting, w)
	q.count++
}

// heads returns the first waiter of each share, in the order of service.
func (q *fairQueue) heads() []*waiter {
	var shares []*share
	for _, s := range q.shares {
		if len(s.waiting) > 0 {
			shares = append(shares, s)
		}
	}
	sort.Slice(shares, func(i, j int) bool {
		if shares[i].virtualTime != shares[j].virtualTime {
			return shares[i].virtualTime < shares[j].virtualTime
		}
		return shares[i].name < shares[j].name
	})
	heads := make([]*waiter, 0, len(shares))
	for _, s := range shares {
		heads = append(heads, s.waiting[0])
	}
	return heads
}

// dequeue removes a waiter that is served and charges its share for it.
func (q *fairQueue) dequeue(w *waiter) {
	s := q.shares[w.request.Share]
	q.virtualClock = s.virtualTime
	s.virtualTime += 1 / float64(max(1, w.request.Weight))
	q.remove(w)
}

// remove removes a waiter without charging its share.
func (q *fairQueue) remove(w *waiter) {
	s := q.shares[w.request.Share]
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
