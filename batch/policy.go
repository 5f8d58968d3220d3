package batch

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

type (
	// Policy says which waiting items go first and where: Longest, or one of those
	// that it is compared with. All keep to free places and fitting weights.
	Policy interface{ policy() }

	// Longest is the policy in use, see Plan.
	Longest struct{}

	// Arrival takes items in order of arrival and places them as Longest does.
	Arrival struct{}

	// LeastBusy takes items as Longest does and places each where the least share
	// of the slots is busy.
	LeastBusy struct{}

	// Random is the baseline: order of arrival, any endpoint that has room.
	Random struct{}
)

func (Longest) policy()   {}
func (Arrival) policy()   {}
func (LeastBusy) policy() {}
func (Random) policy()    {}

// orderBy returns the order in which a policy takes items.
func orderBy(policy Policy, waiting []Waiting) []int {
	switch policy.(type) {
	case Arrival, Random:
		order := make([]int, len(waiting))
		for i := range order {
			order[i] = i
		}
		sort.SliceStable(order, func(i, j int) bool { return waiting[order[i]].Due.Before(waiting[order[j]].Due) })
		return order
	case Longest, LeastBusy:
		return orderOf(waiting)
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// chooseBy returns the seat where a policy puts an item, -1 for none.
func chooseBy(policy Policy, w Waiting, seats []seat, capacity int, home string) int {
	switch policy.(type) {
	case LeastBusy:
		best, bestShare := -1, 0.0
		for i := range seats {
			share := float64(seats[i].state.Busy()) / float64(max(1, seats[i].state.Entry.Slots))
			if seats[i].open(w) && (best < 0 || share < bestShare) {
				best, bestShare = i, share
			}
		}
		return best
	case Random:
		var open []int
		for i := range seats {
			if seats[i].open(w) {
				open = append(open, i)
			}
		}
		if len(open) == 0 {
			return -1
		}
		return open[rand.IntN(len(open))]
	case Longest, Arrival:
		return choose(w, seats, capacity, home)
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// open reports whether an item may go there at all.
func (s *seat) open(w Waiting) bool {
	return s.free > 0 && !s.state.Paused && !s.state.Full && fits(w, s.state)
}
