// Package grade decides when and where the reward calls of batch items are sent.
//
// Once the text of an item is complete, its reward call is sent to a plain service,
// which interactive requests use too; the item's result needs the signature of the
// answer. This package decides the order of the calls, their endpoints, how many run
// at once, and when a call is sent a second time. It does no I/O.
//
// # Usage
//
//	for _, p := range grade.Plan(calls, fleet.Serving(service), grade.Node{Domain: domain, Senders: 2}, now) {
//		send(calls[p.Call], p.Target)
//	}
package grade

import (
	"slices"
	"sort"
	"time"

	"github.com/currantloft/currantloft/fleet"
)

const (
	// reservedSlots is the number of an endpoint's slots that no call takes, so that
	// an interactive request finds one.
	reservedSlots = 1
	// ordinaryShare is the share of an endpoint's slots that may be busy when a call
	// is sent that can't complete a group yet.
	ordinaryShare = 0.5
	// maxInFlight limits the attempts of one call at the same time.
	maxInFlight = 2
	// retryBackoff is how long a call waits after a failed attempt, multiplied by the
	// number of failures.
	retryBackoff = 30 * time.Millisecond
	// maxRetryBackoff limits that wait.
	maxRetryBackoff = 500 * time.Millisecond
	// defaultHedgeDelay is the time without an answer after which a call of a route
	// without a target latency is sent to a second endpoint.
	defaultHedgeDelay = time.Second
	// defaultTimeout limits one attempt of a route without a timeout.
	defaultTimeout = 3 * time.Second
)

type (
	// Call is a reward call without a score.
	Call struct {
		// Due is when the results of its batch are due.
		Due time.Time
		// GroupMissing is how many items of its group have no complete text yet.
		GroupMissing int
		// Since is when its item's text was complete.
		Since time.Time
		// HedgeDelay is the time without an answer after which the call is sent to a
		// second endpoint.
		HedgeDelay time.Duration
		// InFlight lists its attempts in flight, the oldest first.
		InFlight []Attempt
		// Failed lists the endpoints where an attempt has failed.
		Failed []string
	}

	// Attempt is one attempt of a call.
	Attempt struct {
		// Endpoint is the ID of the endpoint.
		Endpoint string
		SentAt   time.Time
	}

	// Node describes the node that sends the calls.
	Node struct {
		// Domain is its failure domain.
		Domain string
		// Senders is the number of nodes that send reward calls, this one included.
		Senders int
	}

	// Placement assigns a call, by its index, to an endpoint.
	Placement struct {
		Call   int
		Target fleet.Target
	}
)

// Plan returns the attempts to start now, at most one a call. Each sender takes at most
// its part of an endpoint's slots, since a node learns of the other senders' calls only
// from the endpoint's next answer.
//
// It is designed for the end of a training step, when the texts of dozens of items
// are complete within a second, on a service that answers interactive requests in a
// few milliseconds and takes ten times as long for a reward call: calls that can
// complete a group go first, no endpoint is filled to its last slot, and calls
// without an answer go to a second endpoint, which covers endpoints that turn slow,
// go dark or lose an answer.
func Plan(calls []Call, states []fleet.State, node Node, now time.Time) []Placement {
	states = slices.Clone(states)
	var placed []Placement
	for _, i := range order(calls) {
		c := calls[i]
		if !c.WantsAttempt(now) {
			continue
		}
		best := choose(c, states, node)
		if best < 0 {
			continue
		}
		states[best] = states[best].Reserve()
		placed = append(placed, Placement{Call: i, Target: states[best].Target()})
	}
	return placed
}

// WantsAttempt reports whether a call has no attempt in flight, or one that has
// taken longer than the hedge delay.
func (c *Call) WantsAttempt(now time.Time) bool {
	n := len(c.InFlight)
	return n == 0 || n < maxInFlight && now.Sub(c.InFlight[n-1].SentAt) >= c.HedgeDelay
}

// order returns the indices of the calls in the order in which they are sent: first
// attempts before second ones, then by the due time of the batch, then calls of
// groups that miss the fewest texts, then in order of arrival.
func order(calls []Call) []int {
	indices := make([]int, len(calls))
	for i := range indices {
		indices[i] = i
	}
	sort.SliceStable(indices, func(x, y int) bool {
		a, b := &calls[indices[x]], &calls[indices[y]]
		if len(a.InFlight) != len(b.InFlight) {
			return len(a.InFlight) < len(b.InFlight)
		}
		if !a.Due.Equal(b.Due) {
			return a.Due.Before(b.Due)
		}
		if a.GroupMissing != b.GroupMissing {
			return a.GroupMissing < b.GroupMissing
		}
		return a.Since.Before(b.Since)
	})
	return indices
}

// choose returns the index of the endpoint for an attempt, -1 for none: one where
// the call has not failed, then the one with the smallest share of busy slots, then
// one in the node's own failure domain.
func choose(c Call, states []fleet.State, node Node) int {
	type rank struct {
		failed, far int
		share       float64
	}
	best, bestRank := -1, rank{}
	for i := range states {
		s := &states[i]
		if s.Paused || s.Full || s.Exhausted() || !hasRoom(s, c.GroupMissing == 0, node.Senders) || c.inFlightAt(s.Entry.ID) {
			continue
		}
		r := rank{share: float64(s.Busy()) / float64(max(1, s.Entry.Slots))}
		if slices.Contains(c.Failed, s.Entry.ID) {
			r.failed = 1
		}
		if s.Entry.Domain != node.Domain {
			r.far = 1
		}
		better := r.failed < bestRank.failed
		if r.failed == bestRank.failed {
			better = r.share < bestRank.share || r.share == bestRank.share && r.far < bestRank.far
		}
		if best < 0 || better {
			best, bestRank = i, r
		}
	}
	return best
}

func (c *Call) inFlightAt(endpoint string) bool {
	return slices.ContainsFunc(c.InFlight, func(a Attempt) bool { return a.Endpoint == endpoint })
}

// hasRoom reports whether an endpoint may get a call; urgent calls can complete a
// group. An endpoint without any request always may.
func hasRoom(s *fleet.State, urgent bool, senders int) bool {
	available := max(1, s.Entry.Slots-reservedSlots)
	limit := available
	if !urgent {
		limit = max(1, int(ordinaryShare*float64(s.Entry.Slots)))
	}
	return s.Busy() < limit && s.OwnInFlight < max(1, available/max(1, senders))
}

// HedgeDelay returns the hedge delay for a route's target latency.
func HedgeDelay(targetLatency time.Duration) time.Duration {
	if targetLatency <= 0 {
		return defaultHedgeDelay
	}
	return targetLatency
}

// Timeout returns the limit of one attempt for a route's timeout.
func Timeout(routeTimeout time.Duration) time.Duration {
	if routeTimeout <= 0 {
		return defaultTimeout
	}
	return routeTimeout
}

// Backoff returns how long a call waits after its latest failure.
func Backoff(failures int) time.Duration {
	return min(maxRetryBackoff, time.Duration(failures)*retryBackoff)
}
