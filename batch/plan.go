package batch

import (
	"sort"
	"time"

	"github.com/currantloft/currantloft/fleet"
)

const (
	// usualPace is the time between two events of a stream at an endpoint that has
	// not been measured; on the users' engines it is 37 ms.
	usualPace = 40 * time.Millisecond
	// usualStride is how many tokens one event holds if it isn't told.
	usualStride = 50
	// perRunning is by what share one more running request stretches all others:
	// its own work and its context of some thousand tokens.
	perRunning = 0.005
	// crowdShare is the share of an engine's slots that items fill which are not
	// long: a full engine is a twelfth slower, and the longest items decide when a
	// step ends.
	crowdShare = 0.8
	// shortEvents is below how many events an item is short, shortShare what such
	// items fill: they can wait for each other and still end long before the step.
	shortEvents = 20
	shortShare  = 0.5
	// homeWorth is what reading a prompt once more costs: a thousand tokens at 300
	// a millisecond, and the same again for those that wait behind it.
	homeWorth = 7 * time.Millisecond
	// contextCost is what a thousand tokens in an engine's memory add to the time
	// of one event: the users' engines take half a microsecond a step for them.
	contextCost = 25 * time.Microsecond
	// memoryShare is how full an engine's memory may be expected to get; beyond
	// that the newest request is put back and read again, memoryCost.
	memoryShare = 0.9
	memoryCost  = 1500 * time.Millisecond
	// avoidCost ranks the endpoint where an item just failed behind the others.
	avoidCost = 2 * time.Second
	// longEvents is from how many events on an item is worth the newest weights:
	// it may not end before its batch does, and what was generated can go on in
	// the next batch only if its weights are new enough.
	longEvents = 60
	// newestWorth is what the newest weights are worth to such an item.
	newestWorth = 400 * time.Millisecond
	// moveCost is what taking a running item elsewhere costs: a new request, and
	// reading what was generated.
	moveCost = 120 * time.Millisecond
	// moveRatio is by how much an endpoint must be faster: measured paces of equal
	// engines differ by a tenth, and those of the slow kind by a third.
	moveRatio = 1.2
	// movePause is how long a moved item stays where it is.
	movePause = time.Second
	// mostMoves bounds the items that one pass moves.
	mostMoves = 6
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
		// Events is the estimate of how many events are left.
		Events int
		// Tokens is the estimate of what it takes of an engine's memory in the end.
		Tokens int
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

	// Memory is what is known of the engines' memory, in tokens.
	Memory struct {
		// Capacity is an engine's memory, 0 if it isn't told.
		Capacity int
		// Used is what the items that run at an engine will take in the end, by id.
		Used map[string]int
	}

	// Homes remembers where groups run, so that a shared prompt is read once.
	Homes map[string]string

	// Running is an item that runs, for decisions.
	Running struct {
		Waiting
		// Endpoint is where it runs.
		Endpoint string
		// Done is how many events it has.
		Done int
		// Since is how long it has run there.
		Since time.Duration
	}

	seat struct {
		state fleet.State
		free  int
		pace  time.Duration
		used  int
	}
)

// Plan places waiting items on endpoints. Batches that are due first go first,
// in a batch the group with the longest item, in a group the longest item: the
// longest items decide when a group is whole. Each item goes where it is
// expected to end first, so that long ones take the fast endpoints; a group
// stays on one endpoint where that costs little.
//
// Load pattern: a step's items come all at once, a few are several times as
// long as the others, engines hardly slow down as they fill, and one engine in
// five runs several times slower for some seconds.
func Plan(waiting []Waiting, states []fleet.State, memory Memory, homes Homes) []Placement {
	return PlanBy(Longest{}, waiting, states, memory, homes)
}

// PlanBy is Plan by another policy.
func PlanBy(policy Policy, waiting []Waiting, states []fleet.State, memory Memory, homes Homes) []Placement {
	seats := seatsOf(states, memory)
	var placed []Placement
	for _, i := range orderBy(policy, waiting) {
		w := waiting[i]
		best := chooseBy(policy, w, seats, memory.Capacity, homes[w.Batch+"/"+w.Group])
		if best < 0 {
			continue
		}
		s := &seats[best]
		s.free--
		s.used += w.Tokens
		s.state.Mine++
		homes[w.Batch+"/"+w.Group] = s.state.Entry.ID
		placed = append(placed, Placement{Index: w.Index, Target: s.state.Target()})
	}
	return placed
}

// Moves returns the running items that would end sooner elsewhere, by index.
//
// Load pattern: an endpoint turns slow while long items run on it, or an item
// that looked short, and so was put on a slow endpoint, turns out to be long.
func Moves(running []Running, states []fleet.State, memory Memory) []int {
	seats := seatsOf(states, memory)
	at := make(map[string]*seat, len(seats))
	for i := range seats {
		at[seats[i].state.Entry.ID] = &seats[i]
	}
	var moves []int
	for _, r := range running {
		here := at[r.Endpoint]
		if here == nil || here.state.Pace == 0 || r.Since < movePause || len(moves) >= mostMoves {
			continue
		}
		r.Avoid = r.Endpoint
		best := choose(r.Waiting, seats, memory.Capacity, "")
		if best < 0 || seats[best].state.Entry.ID == r.Endpoint {
			continue
		}
		if float64(here.pace) < moveRatio*float64(seats[best].pace) {
			continue
		}
		gain := time.Duration(r.left()) * (here.pace - seats[best].pace)
		if gain > moveCost+moveCost/2*time.Duration(r.Done)/usualStride {
			seats[best].free--
			seats[best].used += r.Tokens
			moves = append(moves, r.Index)
		}
	}
	return moves
}

// left estimates the events that are left; an item that has outrun its estimate
// is expected to go on for half of what it has.
func (r Running) left() int { return max(r.Events, r.Done/2) }

func seatsOf(states []fleet.State, memory Memory) []seat {
	usual := medianPace(states)
	seats := make([]seat, 0, len(states))
	for _, s := range states {
		pace := s.Pace
		if pace == 0 {
			pace = usual
		}
		seats = append(seats, seat{state: s, free: s.Entry.Slots - s.Busy(), pace: pace, used: memory.Used[s.Entry.ID]})
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
		return usualPace
	}
	sort.Slice(paces, func(i, j int) bool { return paces[i] < paces[j] })
	return paces[(len(paces)-1)/2]
}

func orderOf(waiting []Waiting) []int {
	longest := make(map[string]int)
	for _, w := range waiting {
		key := w.Batch + "/" + w.Group
		longest[key] = max(longest[key], w.Events)
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
		return a.Events > b.Events
	})
	return order
}

// choose returns the seat where an item is expected to end first, -1 for none.
func choose(w Waiting, seats []seat, capacity int, home string) int {
	newest := 0
	for i := range seats {
		newest = max(newest, seats[i].state.Entry.Versions[w.Model])
	}
	best, bestCost := -1, time.Duration(0)
	for i := range seats {
		s := &seats[i]
		crowded := float64(s.state.Busy()) >= fill(w.Events)*float64(s.state.Entry.Slots)
		if crowded || !s.open(w) {
			continue
		}
		crowd := 1 + perRunning*float64(s.state.Busy())
		cost := time.Duration(float64(max(1, w.Events)) * float64(s.pace) * crowd)
		cost += time.Duration(w.Events*s.used/1000) * contextCost
		if capacity > 0 && float64(s.used+w.Tokens) > memoryShare*float64(capacity) {
			cost += memoryCost
		}
		if s.state.Entry.ID != home {
			cost += homeWorth
		}
		if w.Events >= longEvents && s.state.Entry.Versions[w.Model] < newest {
			cost += newestWorth
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

// fill returns the share of an engine's slots that an item may fill.
func fill(events int) float64 {
	switch {
	case events >= longEvents:
		return 1
	case events >= shortEvents:
		return crowdShare
	default:
		return shortShare
	}
}

// fits reports whether an endpoint's weights may generate for the item.
func fits(w Waiting, state fleet.State) bool {
	version, ok := state.Entry.Versions[w.Model]
	if !ok || version < w.MinVersion || state.Changing == w.Model {
		return false
	}
	return w.Only == 0 || version == w.Only
}
