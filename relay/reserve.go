package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/currantloft/currantloft/fleet"
)

const (
	// permitTimeout limits how long a request waits for a permit: asking the host that
	// allots them takes a few milliseconds.
	permitTimeout = 60 * time.Millisecond
	// limitRetryAfter is the retry delay if it is not known when an endpoint takes
	// another request.
	limitRetryAfter = 250 * time.Millisecond
)

var errLimited = errors.New("the endpoints take no more requests now")

// reserve selects the endpoint for the next attempt and records the attempt there. If
// only permits are missing, it asks for one and waits for it briefly, unless another
// attempt is in flight or the permit is known to come too late.
func (active *activeRequest) reserve(ctx context.Context) (fleet.Target, error) {
	limits := active.fleet.Limits()
	timer := time.NewTimer(permitTimeout)
	defer timer.Stop()
	for {
		changed := limits.Changed()
		states := active.serving()
		if target, ok := active.tryReserve(states); ok {
			active.attempts.NextPermit = 0
			return target, nil
		}
		wanted, ok := active.exhausted(states)
		if !ok {
			return fleet.Target{}, errNoEndpoint
		}
		limits.Want(wanted, 1)
		next := limits.NextPermit(wanted)
		active.attempts.NextPermit = next
		if next == 0 {
			active.attempts.NextPermit = limitRetryAfter
		}
		if active.inFlight > 0 || next > permitTimeout {
			return fleet.Target{}, errLimited
		}
		select {
		case <-changed:
		case <-timer.C:
			return fleet.Target{}, errLimited
		case <-ctx.Done():
			return fleet.Target{}, ctx.Err()
		}
	}
}

// tryReserve selects an endpoint that may get the request now and records the attempt.
func (active *activeRequest) tryReserve(states []fleet.State) (fleet.Target, bool) {
	for {
		chosen, ok := fleet.Pick(states, active.domain, active.attempts.Exclude, rand.IntN(len(states)+1))
		if !ok && len(states) > 0 && active.attempts.Repeatable {
			// All endpoints were tried: one that was only full may have a free slot now.
			chosen, ok = fleet.Pick(states, active.domain, nil, rand.IntN(len(states)))
		}
		if !ok {
			return fleet.Target{}, false
		}
		if active.fleet.Begin(chosen.Entry.ID) {
			return chosen.Target(), true
		}
		// Another request has used the last permit since the states were read.
		states = active.serving()
	}
}

// exhausted returns the endpoint that would be selected if only it had a permit.
func (active *activeRequest) exhausted(states []fleet.State) (string, bool) {
	candidates := fleet.Permitted(states)
	chosen, ok := fleet.Pick(candidates, active.domain, active.attempts.Exclude, rand.IntN(len(candidates)+1))
	if !ok && active.attempts.Repeatable {
		chosen, ok = fleet.Pick(candidates, active.domain, nil, 0)
	}
	return chosen.Entry.ID, ok
}
