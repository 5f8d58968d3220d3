package batch

import (
	"sort"
	"time"

	"github.com/currantloft/currantloft/fleet"
)

const (
	// slowPace is how many times the median pace an endpoint's pace may be before
	// new work avoids it.
	slowPace = 1.6
	// perSlots is the share of an engine's slots that one node fills at most;
	// a full engine refuses.
	perSlots = 1.0
)

type (
	// Waiting is an item that waits to run, for decisions.
	Waiting struct {
		// Index tells the item to the caller of Plan.
		Index int
		// Batch and Group name what it belongs to.
		Batch, Group string
		Model        string
		MinVersion   int
		// Only is the one version that it may go on with, 0 for any.
		Only int
		// Length is the estimate of what is left to generate, in tokens.
		Length int
		// Due is when its batch's results are due.
		Due time.Time
		// Avoid is the endpoint where it failed last.
		Avoid string
	}

	// Placement puts an item on an endpoint.
	Placement struct {
		Index  int
		Target fleet.Target
	}

	// Homes remembers where groups run, so that a shared prompt is read once.
	Homes map[string]string

	seat struct {
		state fleet.State
		free  int
		slow  bool
	}
)

// Plan places waiting items on endpoints. Batches that are due first go first,
// in a batch the group with the longest item, in a group the longest item: the
// longest items decide when a group is whole. A group stays on one endpoint
// while that has room. Endpoints that were measured slow get work only when the
// others are full.
//
// Load pattern: a step's items come all at once, a few are several times as
// long as the others, engines hardly slow down as they fill, and one engine in
// five runs several times slower for some seconds.
func Plan(waiting []Waiting, states []fleet.State, homes Homes) []Placement {
	seats := seatsOf(states)
	order := orderOf(waiting)
	var placed []Placement
	for _, i := range order {
		w := waiting[i]
		best := choose(w, seats, homes[w.Batch+"/"+w.Group])
		if best < 0 {
			continue
		}
		s := &seats[best]
		s.free--
		s.state.Mine++
		homes[w.Batch+"/"+w.Group] = s.state.Entry.ID
		placed = append(placed, Placement{Index: w.Index, Target: s.state.Target()})
	}
	return placed
}

func seatsOf(states []fleet.State) []seat {
	median := medianPace(states)
	seats := make([]seat, 0, len(states))
	for _, s := range states {
		free := int(float64(s.Entry.Slots)*perSlots) - s.Busy()
		seats = append(seats, seat{
			state: s, free: free,
			slow: s.Pace > 0 && median > 0 && float64(s.Pace) > slowPace*float64(median),
		})
	}
	return seats
}

// medianPace returns the lower median of the paces that are known.
func medianPace(states []fleet.State) time.Duration {
	var paces []time.Duration
	for _, s := range states {
		if s.Pace > 0 {
			paces = append(paces, s.Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	sort.Slice(paces, func(i, j int) bool { return paces[i] < paces[j] })
	return paces[(len(paces)-1)/2]
}

func orderOf(waiting []Waiting) []int {
	longest := make(map[string]int)
	for _, w := range waiting {
		key := w.Batch + "/" + w.Group
		longest[key] = max(longest[key], w.Length)
	}
	order := make([]int, len(waiting))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := waiting[order[i]], waiting[order[j]]
		if !a.Due.Equal(b.Due) {
			return a.Due.Before(b.Due)
		}
		la, lb := longest[a.Batch+"/"+a.Group], longest[b.Batch+"/"+b.Group]
		if la != lb {
			return la > lb
		}
		if a.Group != b.Group {
			return a.Group < b.Group
		}
		return a.Length > b.Length
	})
	return order
}

// choose returns the best seat for an item, -1 for none.
func choose(w Waiting, seats []seat, home string) int {
	best, bestCost := -1, 0.0
	for i := range seats {
		s := &seats[i]
		if s.free <= 0 || s.state.Paused || s.state.Loading || !fits(w, s.state.Entry) {
			continue
		}
		cost := float64(s.state.Busy()) / float64(max(1, s.state.Entry.Slots))
		if s.state.Entry.ID == home {
			cost -= homeWorth
		}
		if s.slow {
			cost += slowCost
		}
		if s.state.Entry.ID == w.Avoid {
			cost += avoidCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

const (
	// homeWorth is how much fuller, as a share of its slots, the endpoint that
	// has read a group's prompt may be than another.
	homeWorth = 0.4
	// slowCost and avoidCost rank endpoints behind all others.
	slowCost  = 4.0
	avoidCost = 2.0
)

// fits reports whether an endpoint's weights may generate for the item.
func fits(w Waiting, entry fleet.Entry) bool {
	version, ok := entry.Versions[w.Model]
	if !ok || version < w.MinVersion {
		return false
	}
	return w.Only == 0 || version == w.Only
}
