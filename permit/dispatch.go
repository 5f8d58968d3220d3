package permit

import (
	"fmt"
	"time"

	"github.com/currantloft/currantloft/wirepb"
)

// recheck judges waiters again whose endpoints nothing is heard of.
func (c *Cell) recheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch()
}

// refuseEarly judges whether the request can make its deadline.
func (c *Cell) refuseEarly(w *waiter) error {
	if w.ask.Alone && c.barred[w.ask.Fingerprint] {
		return barredError()
	}
	ready, unknown := c.countReady(w.ask.Exclude)
	if ready == 0 && unknown == 0 {
		return &RefusedError{reason: "no endpoint of " + c.name + " is ready", retry: defaultRetry}
	}
	load := c.load()
	if load.Queued >= maxQueue {
		return &RefusedError{reason: "the queue of " + c.name + " is full", retry: c.expectedWait(load.Queued)}
	}
	ahead := load.Queued
	if w.ask.Priority == wirepb.Priority_PRIORITY_INTERACTIVE {
		ahead = len(c.interactive)
	}
	wait := c.expectedWait(ahead)
	if load.InFlight < load.Capacity {
		wait = 0
	}
	need := wait + c.service[w.ask.Priority]/2
	if left := w.ask.Deadline.Sub(c.now()); need > left {
		reason := fmt.Sprintf("the expected %s exceed the %s that are left", need.Round(time.Millisecond),
			left.Round(time.Millisecond))
		return &RefusedError{reason: reason, retry: max(minRetry, wait)}
	}
	return nil
}

// expectedWait estimates how long a request waits behind the given number.
func (c *Cell) expectedWait(ahead int) time.Duration {
	capacity := max(1, c.load().Capacity)
	mean := c.service[wirepb.Priority_PRIORITY_INTERACTIVE]
	if trainer := c.service[wirepb.Priority_PRIORITY_TRAINER]; mean == 0 {
		mean = trainer
	}
	return time.Duration(float64(mean) * float64(ahead+1) / float64(capacity))
}

func (c *Cell) countReady(exclude []string) (ready, unknown int) {
	for _, p := range c.places {
		switch {
		case contains(exclude, p.name):
		case p.ready:
			ready++
		case !p.reported && c.now().Sub(p.born) < unknownPatience:
			unknown++
		}
	}
	return ready, unknown
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
	c.refuseHopeless()
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

func (c *Cell) dispatchInteractive() bool {
	for _, w := range c.interactive {
		if p := c.choose(w.ask); p != nil {
			c.interactive = remove(c.interactive, w)
			c.streak++
			c.grant(w, p)
			return true
		}
	}
	return false
}

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
	p.lastPriority = w.ask.Priority
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
		w.refused <- &RefusedError{reason: "no endpoint of " + c.name + " is ready", retry: defaultRetry}
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
