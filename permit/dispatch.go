package permit

import (
	"github.com/currantloft/currantloft/wirepb"
)

// refuseStillUnservable runs firstReportTimeout after a request arrived that
// found no ready endpoint. It refuses waiting requests that no endpoint can
// serve.
func (c *Cell) refuseStillUnservable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseUnservable()
	c.dispatch()
}

// quarantineIfCrashed quarantines a request that ran alone on an endpoint and
// crashed it. Waiting copies that must run alone are refused.
func (c *Cell) quarantineIfCrashed(request Request, result Result) {
	if result.Outcome != wirepb.Outcome_OUTCOME_CRASHED || request.Fingerprint == 0 {
		return
	}
	c.quarantined[request.Fingerprint] = true
	for _, w := range append(c.trainers.all(), c.interactive...) {
		if w.request.Alone && w.request.Fingerprint == request.Fingerprint {
			c.interactive = remove(c.interactive, w)
			c.trainers.remove(w)
			w.refused <- quarantineError()
		}
	}
}

func quarantineError() error {
	return &RefusedError{reason: "the request crashed an endpoint that ran it alone", quarantined: true}
}

// dispatch grants slots until no waiting request can be served.
func (c *Cell) dispatch() {
	for c.dispatchOne() {
	}
}

func (c *Cell) dispatchOne() bool {
	trainersFirst := c.interactiveStreak >= maxInteractiveStreak && c.trainers.len() > 0
	if !trainersFirst && c.dispatchInteractive() {
		return true
	}
	if c.dispatchTrainer() {
		c.interactiveStreak = 0
		return true
	}
	return trainersFirst && c.dispatchInteractive()
}

// dispatchInteractive serves the waiter with the earliest deadline among those
// that have a free slot. Requests that would miss their deadline are refused.
func (c *Cell) dispatchInteractive() bool {
	for i := 0; i < len(c.interactive); {
		w := c.interactive[i]
		e := c.choose(w.request)
		if e == nil && w.request.acceptsAnyEndpoint() {
			return false
		}
		if e == nil {
			i++
			continue
		}
		c.interactive = append(c.interactive[:i], c.interactive[i+1:]...)
		if err := c.checkDeadline(w, 0); err != nil {
			w.refused <- err
			continue
		}
		c.interactiveStreak++
		c.grant(w, e)
		return true
	}
	return false
}

// acceptsAnyEndpoint reports whether the request can use every free slot. If
// such a request finds none, the requests behind it find none either.
func (r Request) acceptsAnyEndpoint() bool { return !r.Alone && len(r.Exclude) == 0 }

func (c *Cell) dispatchTrainer() bool {
	for _, w := range c.trainers.heads() {
		if e := c.choose(w.request); e != nil {
			c.trainers.dequeue(w)
			c.grant(w, e)
			return true
		}
	}
	return false
}

func (c *Cell) grant(w *waiter, e *endpoint) {
	e.inFlight++
	if w.request.Alone {
		e.alone = true
		c.aloneInFlight++
	}
	grant := &Grant{cell: c, endpoint: e, request: w.request, incarnation: e.incarnation}
	e.started[grant] = c.now()
	w.granted <- grant
}

// refuseUnservable refuses waiting requests that no endpoint can serve any more.
func (c *Cell) refuseUnservable() {
	refuseIfUnservable := func(w *waiter) bool {
		ready, unknown := c.countReady(w.request.Exclude)
		if ready > 0 || unknown > 0 {
			return false
		}
		w.refused <- c.noneReadyError()
		return true
	}
	remaining := c.interactive[:0]
	for _, w := range c.interactive {
		if !refuseIfUnservable(w) {
			remaining = append(remaining, w)
		}
	}
	c.interactive = remaining
	for _, w := range c.trainers.all() {
		if refuseIfUnservable(w) {
			c.trainers.remove(w)
		}
	}
}

func insertByDeadline(queue []*waiter, w *waiter) []*waiter {
	i := len(queue)
	for i > 0 && queue[i-1].request.Deadline.After(w.request.Deadline) {
		i--
	}
	queue = append(queue, nil)
	copy(queue[i+1:], queue[i:])
	queue[i] = w
	return queue
}

func remove(queue []*waiter, w *waiter) []*waiter {
	for i, queued := range queue {
		if queued == w {
			return append(queue[:i], queue[i+1:]...)
		}
	}
	return queue
}
