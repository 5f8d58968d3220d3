package permit

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantloft/currantloft/wirepb"
)

const (
	estimateDecay   = 0.9
	deviationFactor = 2
)

// estimate tracks the service time of requests of one priority by moving averages.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
}

// add records one observed service time.
func (e *estimate) add(run time.Duration) {
	if e.mean == 0 {
		e.mean = run
		return
	}
	diff := max(run-e.mean, e.mean-run)
	e.mean = ewma(e.mean, run)
	e.deviation = ewma(e.deviation, diff)
}

// upperBound returns the time within which most requests complete.
func (e *estimate) upperBound() time.Duration { return e.mean + deviationFactor*e.deviation }

func ewma(old, next time.Duration) time.Duration {
	return time.Duration(estimateDecay*float64(old) + (1-estimateDecay)*float64(next))
}

// estimateOf returns the estimate for a priority.
func (c *Cell) estimateOf(priority wirepb.Priority) *estimate {
	e := c.serviceTimes[priority]
	if e == nil {
		e = &estimate{}
		c.serviceTimes[priority] = e
	}
	return e
}

// checkAdmission returns an error if the request is quarantined, has no endpoint,
// finds the queue full, or would miss its deadline.
func (c *Cell) checkAdmission(w *waiter) error {
	if w.request.Alone && c.quarantined[w.request.Fingerprint] {
		return quarantineError()
	}
	ready, unknown := c.countReady(w.request.Exclude)
	if ready == 0 && unknown == 0 {
		return c.noneReadyError()
	}
	load := c.load()
	if load.Queued >= maxQueue {
		return &RefusedError{reason: "the queue of " + c.name + " is full", retryDelay: c.expectedWait(load.Queued)}
	}
	ahead := load.Queued
	if w.request.Priority == wirepb.Priority_PRIORITY_INTERACTIVE {
		ahead = len(c.interactive)
	}
	wait := c.expectedWait(ahead)
	if load.InFlight < load.Capacity {
		wait = 0
	}
	return c.checkDeadline(w, wait)
}

// checkDeadline returns an error if a request that starts after the wait would
// miss its deadline.
func (c *Cell) checkDeadline(w *waiter, wait time.Duration) error {
	need := wait + c.estimateOf(w.request.Priority).upperBound()
	remaining := w.request.Deadline.Sub(c.now())
	if need <= remaining {
		return nil
	}
	reason := fmt.Sprintf("the expected %s exceed the %s that are left", need.Round(time.Millisecond),
		remaining.Round(time.Millisecond))
	return &RefusedError{reason: reason, retryDelay: max(minRetryAfter, wait)}
}

// expectedWait estimates the queueing time of a request behind the given number
// of others.
func (c *Cell) expectedWait(ahead int) time.Duration {
	mean := c.estimateOf(wirepb.Priority_PRIORITY_INTERACTIVE).mean
	if mean == 0 {
		mean = c.estimateOf(wirepb.Priority_PRIORITY_TRAINER).mean
	}
	return time.Duration(float64(mean) * float64(ahead+1) / float64(max(1, c.load().Capacity)))
}

func (c *Cell) countReady(exclude []string) (ready, unknown int) {
	for _, e := range c.endpoints {
		switch {
		case slices.Contains(exclude, e.name):
		case e.ready:
			ready++
		case !e.reported && c.now().Sub(e.created) < firstReportTimeout:
			unknown++
		}
	}
	return ready, unknown
}

func (c *Cell) noneReadyError() error {
	return &RefusedError{reason: "no endpoint of " + c.name + " is ready", retryDelay: defaultRetryAfter}
}
