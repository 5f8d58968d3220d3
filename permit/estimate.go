package permit

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantloft/currantloft/wirepb"
)

const (
	estimateKeep   = 0.9
	spreadsAllowed = 2
)

// estimate follows the time that requests of one priority take.
type estimate struct {
	mean   time.Duration
	spread time.Duration
}

// add takes one observed time into account.
func (e *estimate) add(run time.Duration) {
	if e.mean == 0 {
		e.mean = run
		return
	}
	off := max(run-e.mean, e.mean-run)
	e.mean = blend(e.mean, run)
	e.spread = blend(e.spread, off)
}

// enough returns the time in which most requests are done.
func (e *estimate) enough() time.Duration { return e.mean + spreadsAllowed*e.spread }

func blend(old, next time.Duration) time.Duration {
	return time.Duration(estimateKeep*float64(old) + (1-estimateKeep)*float64(next))
}

// estimateOf returns the estimate for a priority.
func (c *Cell) estimateOf(priority wirepb.Priority) *estimate {
	e := c.service[priority]
	if e == nil {
		e = &estimate{}
		c.service[priority] = e
	}
	return e
}

// refuseEarly judges whether the request can make its deadline.
func (c *Cell) refuseEarly(w *waiter) error {
	if w.ask.Alone && c.barred[w.ask.Fingerprint] {
		return barredError()
	}
	ready, unknown := c.countReady(w.ask.Exclude)
	if ready == 0 && unknown == 0 {
		return c.noneReady()
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
	return c.refuseLate(w, wait)
}

// refuseLate refuses a request that would not be done in time if it began after
// the wait.
func (c *Cell) refuseLate(w *waiter, wait time.Duration) error {
	need := wait + c.estimateOf(w.ask.Priority).enough()
	left := w.ask.Deadline.Sub(c.now())
	if need <= left {
		return nil
	}
	reason := fmt.Sprintf("the expected %s exceed the %s that are left", need.Round(time.Millisecond),
		left.Round(time.Millisecond))
	return &RefusedError{reason: reason, retry: max(minRetry, wait)}
}

// expectedWait estimates how long a request waits behind the given number.
func (c *Cell) expectedWait(ahead int) time.Duration {
	mean := c.estimateOf(wirepb.Priority_PRIORITY_INTERACTIVE).mean
	if mean == 0 {
		mean = c.estimateOf(wirepb.Priority_PRIORITY_TRAINER).mean
	}
	return time.Duration(float64(mean) * float64(ahead+1) / float64(max(1, c.load().Capacity)))
}

func (c *Cell) countReady(exclude []string) (ready, unknown int) {
	for _, p := range c.places {
		switch {
		case slices.Contains(exclude, p.name):
		case p.ready:
			ready++
		case !p.reported && c.now().Sub(p.born) < unknownPatience:
			unknown++
		}
	}
	return ready, unknown
}

func (c *Cell) noneReady() error {
	return &RefusedError{reason: "no endpoint of " + c.name + " is ready", retry: defaultRetry}
}
