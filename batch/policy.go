package batch

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

type (
	// Policy decides in which order waiting items are placed and on which
	// endpoints. LongestFirst is the default, the others are for comparison. All
	// of them respect free slots and weight versions.
	Policy interface{ policy() }

	// LongestFirst is the default policy, see Plan.
	LongestFirst struct{}

	// ArrivalOrder places items by the due time of their batch, then in order of
	// arrival, on the endpoint that LongestFirst would use.
	ArrivalOrder struct{}

	// LeastBusy places items in the order of LongestFirst, each on the endpoint
	// with the smallest share of busy slots.
	LeastBusy struct{}

	// Random is the baseline: the order of ArrivalOrder, any endpoint with a free
	// slot.
	Random struct{}
)

func (LongestFirst) policy() {}
func (ArrivalOrder) policy() {}
func (LeastBusy) policy()    {}
func (Random) policy()       {}

// itemOrder returns the order in which a policy places items.
func itemOrder(policy Policy, waiting []WaitingItem) []int {
	switch policy.(type) {
	case ArrivalOrder, Random:
		order := make([]int, len(waiting))
		for i := range order {
			order[i] = i
		}
		sort.SliceStable(order, func(i, j int) bool { return waiting[order[i]].Due.Before(waiting[order[j]].Due) })
		return order
	case LongestFirst, LeastBusy:
		return orderLongestFirst(waiting)
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// chooseEndpoint returns the index of the endpoint on which a policy places an
// item, -1 for none.
func chooseEndpoint(policy Policy, w WaitingItem, candidates *candidateList, capacity int, preferred string) int {
	list := candidates.list
	switch policy.(type) {
	case LeastBusy:
		best, bestShare := -1, 0.0
		for i := range list {
			share := float64(list[i].state.Busy()) / float64(max(1, list[i].state.Entry.Slots))
			if list[i].usable(w) && (best < 0 || share < bestShare) {
				best, bestShare = i, share
			}
		}
		return best
	case Random:
		var available []int
		for i := range list {
			if list[i].usable(w) {
				available = append(available, i)
			}
		}
		if len(available) == 0 {
			return -1
		}
		return available[rand.IntN(len(available))]
	case LongestFirst, ArrivalOrder:
		return fastestCandidate(w, candidates, capacity, preferred)
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// usable reports whether the item may be placed on the candidate at all.
func (c *candidate) usable(w WaitingItem) bool {
	return c.available() && versionFits(w, c.state)
}

// available reports whether the candidate takes another request now.
func (c *candidate) available() bool { return c.free > 0 && !c.state.Paused && !c.state.Full }

// continues reports whether the candidate may continue the item's partial output.
func (c *candidate) continues(w WaitingItem) bool {
	return w.Software == "" || c.state.Entry.Software().Continues(w.Software)
}
