package batch

import (
	"slices"
	"sort"
	"time"

	"github.com/currantloft/currantloft/fleet"
)

const (
	// defaultEventInterval is the time between two events of a stream at an
	// endpoint whose interval is unknown; on the users' engines it is 37 ms.
	defaultEventInterval = 40 * time.Millisecond
	// defaultStride is the number of tokens in one event if it is not configured.
	defaultStride = 50
	// slowdownPerRequest is the share by which each running request slows down all
	// others, by its own work and its context of a few thousand tokens.
	slowdownPerRequest = 0.005
	// mediumItemShare is the share of an engine's slots that may be busy when an
	// item of medium length is placed: a full engine is a twelfth slower, and the
	// longest items decide when a step ends.
	mediumItemShare = 0.8
	// Items of fewer than shortItemEvents events are short. They are placed only
	// while fewer than shortItemShare of an engine's slots are busy: they can wait
	// for each other and still end long before the step.
	shortItemEvents = 20
	shortItemShare  = 0.5
	// limitedFillShare replaces the shares of shorter items while an endpoint of the
	// service limits requests, since then slots are scarce at the others.
	limitedFillShare = mediumItemShare
	// promptReadCost is the cost of reading a prompt once more: a thousand tokens
	// at 300 a millisecond, and the same again for the requests that wait behind
	// it.
	promptReadCost = 7 * time.Millisecond
	// contextCost is what each thousand tokens in an engine's memory add to the
	// time of one event: half a microsecond per decoding step on the users'
	// engines.
	contextCost = 25 * time.Microsecond
	// maxMemoryShare is how full an engine's memory may be expected to get. Beyond
	// that the engine preempts the newest request and reads it again, which costs
	// preemptionCost.
	maxMemoryShare = 0.9
	preemptionCost = 1500 * time.Millisecond
	// avoidCost ranks the endpoint where an item just failed behind the others.
	avoidCost = 2 * time.Second
	// Items of at least longItemEvents events prefer the newest weights: such an
	// item may not end before its batch does, and its partial output can be resumed
	// in the next batch only if its weights are new enough.
	longItemEvents = 60
	// oldVersionCost is the cost of placing such an item on older weights.
	oldVersionCost = 400 * time.Millisecond
	// permitCost is the cost of using a permit of an endpoint with a limit for an item
	// that is not long: there requests are scarce and slots are not.
	permitCost = 400 * time.Millisecond
	// moveCost is the cost of moving a running item: a new request, and reading the
	// partial output.
	moveCost = 120 * time.Millisecond
	// minMoveSpeedup is by what factor another endpoint must be faster: the
	// observed event intervals of equal engines differ by a tenth, and those of
	// the slow kind by a third.
	minMoveSpeedup = 1.2
	// minRunTime is how long an item runs on an endpoint before it may be moved.
	minRunTime = time.Second
	// maxMovesPerPass limits the items that one pass moves.
	maxMovesPerPass = 6
)

type (
	// WaitingItem describes a waiting item for placement.
	WaitingItem struct {
		// Index identifies the item to the caller of Plan.
		Index int
		// Batch and Group identify the batch and the group of the item.
		Batch, Group string
		Model        string
		MinVersion   int
		// PinnedVersion is the one weight version that may continue the item, 0 for
		// any.
		PinnedVersion int
		// Software wrote the partial output and is the only one that may continue it;
		// empty without partial output.
		Software fleet.Software
		// Events is the estimated number of events left to generate.
		Events int
		// Tokens is the estimated engine memory that the item takes at its end, in
		// tokens.
		Tokens int
		// Due is when its batch's results are due.
		Due time.Time
		// AvoidEndpoint is the endpoint where it failed last.
		AvoidEndpoint string
	}

	// Placement assigns an item to an endpoint.
	Placement struct {
		Index  int
		Target fleet.Target
	}

	// Memory describes the engines' memory, in tokens.
	Memory struct {
		// Capacity is the memory of one engine, 0 if unknown.
		Capacity int
		// Used is how much the running items will take at their end, by endpoint ID.
		Used map[string]int
	}

	// GroupEndpoints maps groups to the endpoints where they run, so that each
	// endpoint reads a shared prompt only once.
	GroupEndpoints map[string]string

	// RunningItem describes a running item for moves.
	RunningItem struct {
		WaitingItem
		// Endpoint is the ID of the endpoint where it runs.
		Endpoint string
		// DoneEvents is the number of events generated so far.
		DoneEvents int
		// RunTime is how long it has run there.
		RunTime time.Duration
	}

	candidate struct {
		state         fleet.State
		free          int
		eventInterval time.Duration
		used          int
	}

	// candidateList holds the endpoints of one pass, with what is read of them for each
	// item.
	candidateList struct {
		list []candidate
		// limited reports whether an endpoint limits requests.
		limited bool
		models  map[string]*modelVersions
	}

	// modelVersions holds the weight versions of one model.
	modelVersions struct {
		// versions is the version at each candidate, noVersion if the model is missing
		// or its weights are being changed there.
		versions []int
		newest   int
	}
)

// noVersion marks an endpoint that can't generate output of a model now.
const noVersion = -1

// Plan places waiting items on endpoints. It orders them by the due time of
// their batch, then by the longest item of their group, then by their own
// length, longest first, since the longest items decide when a group is
// complete. Each item is placed where it is expected to end first, so that long
// items get the fast endpoints. A group stays on one endpoint where that costs
// little.
//
// It is designed for steps whose items all come at once, a few of them several
// times as long as the others, and for engines that hardly slow down as they
// fill, of which one in five runs several times slower for a few seconds.
func Plan(waiting []WaitingItem, states []fleet.State, memory Memory, groupEndpoints GroupEndpoints) []Placement {
	return PlanWithPolicy(LongestFirst{}, waiting, states, memory, groupEndpoints)
}

// PlanWithPolicy places waiting items like Plan, by the given policy.
func PlanWithPolicy(policy Policy, waiting []WaitingItem, states []fleet.State, memory Memory, groupEndpoints GroupEndpoints) []Placement {
	candidates := candidatesOf(states, memory)
	var placed []Placement
	for _, i := range itemOrder(policy, waiting) {
		w := waiting[i]
		best := chooseEndpoint(policy, w, candidates, memory.Capacity, groupEndpoints[w.Batch+"/"+w.Group])
		if best < 0 {
			continue
		}
		c := &candidates.list[best]
		c.free--
		c.used += w.Tokens
		c.state = c.state.Reserve()
		groupEndpoints[w.Batch+"/"+w.Group] = c.state.Entry.ID
		placed = append(placed, Placement{Index: w.Index, Target: c.state.Target()})
	}
	return placed
}

// PlanMoves returns the indices of the running items that would end sooner on
// another endpoint.
//
// It is designed for endpoints that become slow while long items run on them, and
// for items that were expected to be short, and so were placed on a slow
// endpoint, but prove to be long.
func PlanMoves(running []RunningItem, states []fleet.State, memory Memory) []int {
	candidates := candidatesOf(states, memory)
	list := candidates.list
	byEndpoint := make(map[string]*candidate, len(list))
	for i := range list {
		byEndpoint[list[i].state.Entry.ID] = &list[i]
	}
	var moves []int
	for _, r := range running {
		current := byEndpoint[r.Endpoint]
		if current == nil || current.state.EventInterval == 0 || r.RunTime < minRunTime || len(moves) >= maxMovesPerPass {
			continue
		}
		r.AvoidEndpoint = r.Endpoint
		best := fastestCandidate(r.WaitingItem, candidates, memory.Capacity, "")
		// A move takes one more request, which an endpoint with a limit has for items that
		// don't run yet.
		if best < 0 || list[best].state.Entry.ID == r.Endpoint || list[best].state.Limited {
			continue
		}
		if float64(current.eventInterval) < minMoveSpeedup*float64(list[best].eventInterval) {
			continue
		}
		gain := time.Duration(r.remainingEvents()) * (current.eventInterval - list[best].eventInterval)
		if gain > moveCost+moveCost/2*time.Duration(r.DoneEvents)/defaultStride {
			list[best].free--
			list[best].used += r.Tokens
			moves = append(moves, r.Index)
		}
	}
	return moves
}

// remainingEvents estimates the number of events left: by the estimate of the
// length, but at least half as many as were generated, so that items beyond
// their estimate count as unfinished.
func (r RunningItem) remainingEvents() int { return max(r.Events, r.DoneEvents/2) }

func candidatesOf(states []fleet.State, memory Memory) *candidateList {
	median := medianEventInterval(states)
	candidates := &candidateList{list: make([]candidate, 0, len(states)), models: make(map[string]*modelVersions)}
	for _, s := range states {
		eventInterval := s.EventInterval
		if eventInterval == 0 {
			eventInterval = median
		}
		free := s.Entry.Slots - s.Busy()
		if s.Limited {
			free = min(free, s.Permits)
			candidates.limited = true
		}
		candidates.list = append(candidates.list, candidate{state: s, free: free, eventInterval: eventInterval, used: memory.Used[s.Entry.ID]})
	}
	return candidates
}

// versionsOf returns the weight versions of a model. They don't change within a pass.
func (l *candidateList) versionsOf(model string) *modelVersions {
	if m := l.models[model]; m != nil {
		return m
	}
	m := &modelVersions{versions: make([]int, len(l.list))}
	for i := range l.list {
		state := &l.list[i].state
		version, ok := state.Entry.Versions[model]
		m.newest = max(m.newest, version)
		if !ok || state.ChangingModel == model {
			version = noVersion
		}
		m.versions[i] = version
	}
	l.models[model] = m
	return m
}

// medianEventInterval returns the lower median of the known event intervals.
func medianEventInterval(states []fleet.State) time.Duration {
	var eventIntervals []time.Duration
	for _, s := range states {
		if s.EventInterval > 0 {
			eventIntervals = append(eventIntervals, s.EventInterval)
		}
	}
	if len(eventIntervals) == 0 {
		return defaultEventInterval
	}
	sort.Slice(eventIntervals, func(i, j int) bool { return eventIntervals[i] < eventIntervals[j] })
	return eventIntervals[(len(eventIntervals)-1)/2]
}

func orderLongestFirst(waiting []WaitingItem) []int {
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

// fastestCandidate returns the index of the endpoint where an item is expected
// to end first, -1 for none.
func fastestCandidate(w WaitingItem, candidates *candidateList, capacity int, preferred string) int {
	fill := maxFillShare(w.Events)
	if candidates.limited {
		fill = max(fill, limitedFillShare)
	}
	model := candidates.versionsOf(w.Model)
	best, bestCost := -1, time.Duration(0)
	for i := range candidates.list {
		version := model.versions[i]
		if version == noVersion || version < w.MinVersion || w.PinnedVersion != 0 && version != w.PinnedVersion {
			continue
		}
		c := &candidates.list[i]
		if !c.available() || float64(c.state.Busy()) >= fill*float64(c.state.Entry.Slots) || !c.continues(w) {
			continue
		}
		slowdown := 1 + slowdownPerRequest*float64(c.state.Busy())
		cost := time.Duration(float64(max(1, w.Events)) * float64(c.eventInterval) * slowdown)
		cost += time.Duration(w.Events*c.used/1000) * contextCost
		if capacity > 0 && float64(c.used+w.Tokens) > maxMemoryShare*float64(capacity) {
			cost += preemptionCost
		}
		if c.state.Entry.ID != preferred {
			cost += promptReadCost
		}
		if w.Events >= longItemEvents && version < model.newest {
			cost += oldVersionCost
		}
		if c.state.Limited && w.Events < longItemEvents {
			cost += permitCost
		}
		if c.state.Entry.ID == w.AvoidEndpoint {
			cost += avoidCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// maxFillShare returns the share of an engine's busy slots at which items of
// this length are no longer placed on it.
func maxFillShare(events int) float64 {
	switch {
	case events >= longItemEvents:
		return 1
	case events >= shortItemEvents:
		return mediumItemShare
	default:
		return shortItemShare
	}
}

// anew returns the item without its partial output.
func (w WaitingItem) anew() WaitingItem {
	w.PinnedVersion, w.Software = 0, ""
	return w
}

// pinned reports whether the item's partial output limits the endpoints that may
// continue it.
func (w WaitingItem) pinned() bool { return w.PinnedVersion != 0 || w.Software != "" }

// versionUnavailable reports whether no endpoint can continue the item's partial output,
// while one can generate it anew.
func (w WaitingItem) versionUnavailable(states []fleet.State) bool {
	if !w.pinned() {
		return false
	}
	other := false
	for _, state := range states {
		if state.Paused {
			continue
		}
		if versionFits(w, state) {
			return false
		}
		other = other || versionFits(w.anew(), state)
	}
	return other
}

// crowdedOut reports whether the endpoints that can continue the item's partial output
// take no requests now, while another one could start it anew.
func (w WaitingItem) crowdedOut(states []fleet.State) bool {
	if !w.pinned() {
		return false
	}
	other := false
	for _, state := range states {
		if state.Paused || state.Full || state.Exhausted() || state.Busy() >= state.Entry.Slots {
			continue
		}
		if versionFits(w, state) {
			return false
		}
		other = other || versionFits(w.anew(), state)
	}
	return other
}

// restartDelay returns how long the item waits for an endpoint that can continue its
// partial output before it is generated anew, which takes as long as regeneration. The
// delay doubles with each restart, so that an item whose endpoints fail often gets on. It
// returns false if the item has no partial output or need not wait, or if no other
// endpoint can start it.
func (w WaitingItem) restartDelay(states []fleet.State, regeneration time.Duration, restarts int) (time.Duration, bool) {
	if !w.versionUnavailable(states) && !w.crowdedOut(states) {
		return 0, false
	}
	known := slices.ContainsFunc(states, func(s fleet.State) bool {
		s.ChangingModel = ""
		return versionFits(w, s)
	})
	switch {
	case !known:
		return minRestartDelay, true
	default:
		return min(max(minRestartDelay<<min(restarts, maxRestartShift), regeneration), maxRestartDelay), true
	}
}

// versionFits reports whether an endpoint's weights and software may generate the item's
// output.
func versionFits(w WaitingItem, state fleet.State) bool {
	version, ok := state.Entry.Versions[w.Model]
	if !ok || version < w.MinVersion || state.ChangingModel == w.Model {
		return false
	}
	if w.Software != "" && !state.Entry.Software().Continues(w.Software) {
		return false
	}
	return w.PinnedVersion == 0 || version == w.PinnedVersion
}
