package permit

import (
	"github.com/currantloft/currantloft/wirepb"
)

// recheck judges waiters again whose endpoints nothing is heard of.
func (c *Cell) recheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseHopeless()
	c.dispatch()
}

// barIfCrashed refuses at once whoever waits to run the same request again.
func (c *Cell) barIfCrashed(ask Ask, result Result) {
	if result.Outcome != wirepb.Outcome_OUTCOME_CRASHED || ask.Fingerprint == 0 {
		return
	}
	c.barred[ask.Fingerprint] = true
	for _, w := range append(c.trainers.all(), c.interactive...) {
		if w.ask.Alone && w.ask.Fingerprint == ask.Fingerprint {
			c.interactive = remove(c.interactive, w)
			c.trainers.remove(w)
			w.refused <- barredError()
		}
	}
}

func barredError() error {
	return &RefusedError{reason: "the request crashed an endpoint that ran it alone", barred: true}
}

// dispatch gives out places for as long as a waiter can have one.
func (c *Cell) dispatch() {
	for c.dispatchOne() {
	}
}

func (c *Cell) dispatchOne() bool {
	trainersFirst := c.streak >= maxStreak && c.trainers.len() > 0
	if !trainersFirst && c.dispatchInteractive() {
		return true
	}
	if c.dispatchTrainer() {
		c.streak = 0
		return true
	}
	return trainersFirst && c.dispatchInteractive()
}

// dispatchInteractive serves the waiter with the earliest deadline that a place
// can be found for. Those that would not be done in time are refused now.
func (c *Cell) dispatchInteractive() bool {
	for i := 0; i < len(c.interactive); {
		w := c.interactive[i]
		p := c.choose(w.ask)
		if p == nil && w.ask.plain() {
			return false
		}
		if p == nil {
			i++
			continue
		}
		c.interactive = append(c.interactive[:i], c.interactive[i+1:]...)
		if err := c.refuseLate(w, 0); err != nil {
			w.refused <- err
			continue
		}
		c.streak++
		c.grant(w, p)
		return true
	}
	return false
}

// plain reports whether any free place will do, so that a place that is not
// found for this request is not there for others either.
func (a Ask) plain() bool { return !a.Alone && len(a.Exclude) == 0 }

func (c *Cell) dispatchTrainer() bool {
	for _, w := range c.trainers.heads() {
		if p := c.choose(w.ask); p != nil {
			c.trainers.take(w)
			c.grant(w, p)
			return true
		}
	}
	return false
}

func (c *Cell) grant(w *waiter, p *place) {
	p.inFlight++
	if w.ask.Alone {
		p.alone = true
		c.aloneOut++
	}
	grant := &Grant{cell: c, place: p, ask: w.ask, incarnation: p.incarnation}
	p.started[grant] = c.now()
	w.granted <- grant
}

// refuseHopeless answers waiters whose endpoints have all gone.
func (c *Cell) refuseHopeless() {
	refuse := func(w *waiter) bool {
		ready, unknown := c.countReady(w.ask.Exclude)
		if ready > 0 || unknown > 0 {
			return false
		}
		w.refused <- c.noneReady()
		return true
	}
	kept := c.interactive[:0]
	for _, w := range c.interactive {
		if !refuse(w) {
			kept = append(kept, w)
		}
	}
	c.interactive = kept
	for _, w := range c.trainers.all() {
		if refuse(w) {
			c.trainers.remove(w)
		}
	}
}

func insertByDeadline(queue []*waiter, w *waiter) []*waiter {
	at := len(queue)
	for at > 0 && queue[at-1].ask.Deadline.After(w.ask.Deadline) {
		at--
	}
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = w
	return queue
}

func remove(queue []*waiter, w *waiter) []*waiter {
	for i, other := range queue {
		if other == w {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}
