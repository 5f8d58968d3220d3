package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
)

const (
	testModel = "tickets"
	testSlots = 10
)

func engineState(id string, version, ownInFlight int, eventInterval time.Duration) fleet.State {
	return fleet.State{
		Entry:       fleet.Entry{ID: id, Slots: testSlots, Versions: map[string]int{testModel: version}},
		OwnInFlight: ownInFlight, EventInterval: eventInterval,
	}
}

func newWaitingItem(index int, group string, events int) WaitingItem {
	return WaitingItem{Index: index, Batch: "b", Group: group, Model: testModel, MinVersion: 2, Events: events}
}

// placements returns the endpoint of each placed item, by index.
func placements(waiting []WaitingItem, states []fleet.State) map[int]string {
	at := make(map[int]string)
	for _, p := range Plan(waiting, states, Memory{}, make(GroupEndpoints)) {
		at[p.Index] = p.Target.ID()
	}
	return at
}

func TestPlan(t *testing.T) {
	fast, slow := 40*time.Millisecond, 130*time.Millisecond
	t.Run("long items take the fast endpoint", func(t *testing.T) {
		states := []fleet.State{engineState("fast", 2, testSlots-1, fast), engineState("slow", 2, 0, slow)}
		got := placements([]WaitingItem{newWaitingItem(0, "a", 5), newWaitingItem(1, "b", 90)}, states)
		check.Equal(t, "placements", got, map[int]string{0: "slow", 1: "fast"})
	})
	t.Run("old weights get no items", func(t *testing.T) {
		got := placements([]WaitingItem{newWaitingItem(0, "a", 5)}, []fleet.State{engineState("old", 1, 0, fast)})
		check.Equal(t, "placements", got, map[int]string{})
	})
	t.Run("endpoint that loads weights gets only other models", func(t *testing.T) {
		changing := engineState("changing", 2, 0, fast)
		changing.ChangingModel = testModel
		got := placements([]WaitingItem{newWaitingItem(0, "a", 5)}, []fleet.State{changing})
		check.Equal(t, "placements", got, map[int]string{})
		changing.ChangingModel = "another"
		got = placements([]WaitingItem{newWaitingItem(0, "a", 5)}, []fleet.State{changing})
		check.Equal(t, "placements", got, map[int]string{0: "changing"})
	})
	t.Run("an endpoint with a limit gets as many items as it has permits", func(t *testing.T) {
		limited := engineState("limited", 2, 0, fast)
		limited.Limited, limited.Permits = true, 1
		got := placements([]WaitingItem{newWaitingItem(0, "a", 90), newWaitingItem(1, "b", 80)}, []fleet.State{limited})
		check.Equal(t, "placements", got, map[int]string{0: "limited"})
	})
	t.Run("short items take more slots while other endpoints are limited", func(t *testing.T) {
		busy := engineState("busy", 2, testSlots*limitedFillShare-1, fast)
		got := placements([]WaitingItem{newWaitingItem(0, "a", 5)}, []fleet.State{busy})
		check.Equal(t, "placements without a limit", got, map[int]string{})
		limited := engineState("limited", 2, 0, fast)
		limited.Limited = true
		got = placements([]WaitingItem{newWaitingItem(0, "a", 5), newWaitingItem(1, "a", 5)}, []fleet.State{busy, limited})
		check.Equal(t, "placements beside a limited endpoint", got, map[int]string{0: "busy"})
	})
	t.Run("a full endpoint gets nothing", func(t *testing.T) {
		got := placements([]WaitingItem{newWaitingItem(0, "a", 5)}, []fleet.State{engineState("full", 2, testSlots, fast)})
		check.Equal(t, "placements", got, map[int]string{})
	})
	t.Run("last slots are reserved for long items", func(t *testing.T) {
		got := placements([]WaitingItem{newWaitingItem(0, "a", 5), newWaitingItem(1, "b", 90)},
			[]fleet.State{engineState("one", 2, testSlots-2, fast)})
		check.Equal(t, "placements", got, map[int]string{1: "one"})
	})
	t.Run("short items fill only half of the slots", func(t *testing.T) {
		got := placements([]WaitingItem{newWaitingItem(0, "a", 5), newWaitingItem(1, "b", 30)},
			[]fleet.State{engineState("one", 2, testSlots/2, fast)})
		check.Equal(t, "placements", got, map[int]string{1: "one"})
	})
	t.Run("a group stays together", func(t *testing.T) {
		states := []fleet.State{engineState("one", 2, 0, fast), engineState("two", 2, 0, fast)}
		got := placements([]WaitingItem{newWaitingItem(0, "a", 5), newWaitingItem(1, "a", 4), newWaitingItem(2, "a", 3)}, states)
		if got[0] != got[1] || got[1] != got[2] {
			t.Errorf("the group was split: %v", got)
		}
	})
	t.Run("single-version item resumes on its own version", func(t *testing.T) {
		w := newWaitingItem(0, "a", 5)
		w.PinnedVersion = 2
		got := placements([]WaitingItem{w}, []fleet.State{engineState("new", 3, 0, fast), engineState("same", 2, 4, slow)})
		check.Equal(t, "placements", got, map[int]string{0: "same"})
	})
	t.Run("partial output goes on at its own software", func(t *testing.T) {
		w := newWaitingItem(0, "a", 5)
		w.Software = "pool/v1"
		old, newer := engineState("old", 2, 4, slow), engineState("newer", 2, 0, fast)
		old.Entry.Service, old.Entry.SoftwareVersion = "pool", "v1"
		newer.Entry.Service, newer.Entry.SoftwareVersion = "pool", "v2"
		got := placements([]WaitingItem{w}, []fleet.State{newer, old})
		check.Equal(t, "placements", got, map[int]string{0: "old"})
		got = placements([]WaitingItem{w}, []fleet.State{newer})
		check.Equal(t, "placements without the own software", got, map[int]string{})
	})
	t.Run("an earlier due time goes first", func(t *testing.T) {
		late, soon := newWaitingItem(0, "a", 90), newWaitingItem(1, "b", 70)
		late.Due, soon.Due = time.UnixMilli(2000), time.UnixMilli(1000)
		got := placements([]WaitingItem{late, soon}, []fleet.State{engineState("one", 2, testSlots-1, fast)})
		check.Equal(t, "placements", got, map[int]string{1: "one"})
	})
}

func newRunningItem(events, done int, runTime time.Duration) RunningItem {
	return RunningItem{WaitingItem: newWaitingItem(7, "a", events), Endpoint: "slow", DoneEvents: done, RunTime: runTime}
}

func TestPlanMoves(t *testing.T) {
	states := []fleet.State{
		engineState("slow", 2, 1, 130*time.Millisecond), engineState("fast", 2, 0, 40*time.Millisecond),
	}
	t.Run("a long item leaves a slow endpoint", func(t *testing.T) {
		check.Equal(t, "moves", PlanMoves([]RunningItem{newRunningItem(80, 5, 2*time.Second)}, states, Memory{}), []int{7})
	})
	t.Run("a tenth faster is not enough", func(t *testing.T) {
		alike := []fleet.State{
			engineState("slow", 2, 1, 42*time.Millisecond), engineState("fast", 2, 0, 38*time.Millisecond),
		}
		check.Equal(t, "moves", PlanMoves([]RunningItem{newRunningItem(150, 30, 2*time.Second)}, alike, Memory{}), nil)
	})
	t.Run("nearly complete item stays", func(t *testing.T) {
		check.Equal(t, "moves", PlanMoves([]RunningItem{newRunningItem(1, 2, 2*time.Second)}, states, Memory{}), nil)
	})
	t.Run("item that has just started stays", func(t *testing.T) {
		check.Equal(t, "moves", PlanMoves([]RunningItem{newRunningItem(80, 0, 100*time.Millisecond)}, states, Memory{}), nil)
	})
	t.Run("item that has exceeded its estimate moves", func(t *testing.T) {
		check.Equal(t, "moves", PlanMoves([]RunningItem{newRunningItem(0, 60, 6*time.Second)}, states, Memory{}), []int{7})
	})
	t.Run("no move without a free slot", func(t *testing.T) {
		full := []fleet.State{states[0], engineState("fast", 2, testSlots, 40*time.Millisecond)}
		check.Equal(t, "moves", PlanMoves([]RunningItem{newRunningItem(80, 5, 2*time.Second)}, full, Memory{}), nil)
	})
}

// TestPlanSpreadsMemory places six long items on three engines, each with
// memory for two.
func TestPlanSpreadsMemory(t *testing.T) {
	var waiting []WaitingItem
	for i := range 6 {
		w := newWaitingItem(i, string(rune('a'+i)), 150)
		w.Tokens = 11000
		waiting = append(waiting, w)
	}
	states := []fleet.State{
		engineState("one", 2, 0, 40*time.Millisecond), engineState("two", 2, 0, 40*time.Millisecond),
		engineState("three", 2, 0, 43*time.Millisecond),
	}
	used := make(map[string]int)
	for _, p := range Plan(waiting, states, Memory{Capacity: 32560}, make(GroupEndpoints)) {
		used[p.Target.ID()]++
	}
	check.Equal(t, "items at each engine", used, map[string]int{"one": 2, "two": 2, "three": 2})
}

// TestPlanBeatsArrivalOrder simulates a trainer's step: 27 groups of 4 items
// submitted at once, one item in twelve five times as long, one engine in five
// three times slower. Placement in order of arrival on one endpoint after the
// other is the baseline.
func TestPlanBeatsArrivalOrder(t *testing.T) {
	planned := stepTime(func(w []WaitingItem, s []fleet.State) []Placement { return Plan(w, s, Memory{}, make(GroupEndpoints)) })
	baseline := stepTime(inOrder)
	t.Logf("desired groups are complete after %v, in order of arrival after %v", planned, baseline)
	if planned > baseline*9/10 {
		t.Errorf("plan takes %v, baseline %v: want at least a tenth less", planned, baseline)
	}
}

// inOrder places items in order of arrival on one endpoint after the other.
func inOrder(waiting []WaitingItem, states []fleet.State) []Placement {
	var placed []Placement
	free := make([]int, len(states))
	for i, s := range states {
		free[i] = s.Entry.Slots - s.OwnInFlight
	}
	for n, w := range waiting {
		for k := range states {
			i := (n + k) % len(states)
			if free[i] > 0 {
				free[i]--
				placed = append(placed, Placement{Index: w.Index, Target: states[i].Target()})
				break
			}
		}
	}
	return placed
}

// stepTime simulates a step and returns when nine tenths of its groups are
// complete.
func stepTime(place func([]WaitingItem, []fleet.State) []Placement) time.Duration {
	const (
		engines, slots = 5, 16
		groups, size   = 27, 4
		tick           = 10 * time.Millisecond
	)
	states := make([]fleet.State, engines)
	for i := range states {
		states[i] = engineState(string(rune('a'+i)), 2, 0, 38*time.Millisecond)
		states[i].Entry.Slots = slots
		if i == 0 {
			states[i].EventInterval *= 3
		}
	}
	at := make(map[string]int)
	for i, s := range states {
		at[s.Entry.ID] = i
	}
	var waiting []WaitingItem
	var lengths []int
	for i := range groups * size {
		length := 8 + (i*37)%23
		if i%12 == 5 {
			length *= 5
		}
		lengths = append(lengths, length)
		// The estimate is off by up to a half.
		waiting = append(waiting, newWaitingItem(i, string(rune('A'+i/size)), length*(2+(i*13)%3)/3))
	}
	left := make([]int, groups)
	for i := range left {
		left[i] = size
	}
	type run struct {
		item, engine int
		ends         time.Duration
	}
	var runs []run
	complete := 0
	for now := time.Duration(0); ; now += tick {
		running := runs[:0]
		for _, r := range runs {
			if r.ends > now {
				running = append(running, r)
				continue
			}
			states[r.engine].OwnInFlight--
			if left[r.item/size]--; left[r.item/size] == 0 {
				complete++
			}
		}
		runs = running
		if complete*10 >= groups*9 {
			return now
		}
		placed := make(map[int]bool)
		for _, p := range place(waiting, states) {
			e := at[p.Target.ID()]
			states[e].OwnInFlight++
			placed[p.Index] = true
			runs = append(runs, run{item: p.Index, engine: e, ends: now + time.Duration(lengths[p.Index])*states[e].EventInterval})
		}
		unplaced := waiting[:0:0]
		for _, w := range waiting {
			if !placed[w.Index] {
				unplaced = append(unplaced, w)
			}
		}
		waiting = unplaced
	}
}

func TestFlushDelay(t *testing.T) {
	resultsOf := func(finished ...string) *ResultLog {
		results := NewResultLog(itemsOf(4, 2))
		for _, id := range finished {
			results.Finish(Result{Item: id})
		}
		return results
	}
	untilDue := 5 * time.Second
	check.Equal(t, "nothing pending", FlushDelay(resultsOf(), 1, 0, untilDue), time.Hour)
	check.Equal(t, "half a group waits", FlushDelay(resultsOf("i0"), 1, 0, untilDue), normalFlushDelay)
	check.Equal(t, "desired groups complete", FlushDelay(resultsOf("i0", "i1"), 1, 0, untilDue), urgentFlushDelay)
	check.Equal(t, "one desired group missing", FlushDelay(resultsOf("i0", "i1"), 2, 0, untilDue), normalFlushDelay)
	check.Equal(t, "all items", FlushDelay(resultsOf("i0", "i1", "i2", "i3"), 9, 0, untilDue), urgentFlushDelay)
	check.Equal(t, "near the due time", FlushDelay(resultsOf("i0"), 2, 0, flushDueMargin/2), urgentFlushDelay)
	check.Equal(t, "waited longer than the delay", FlushDelay(resultsOf("i0"), 2, 2*normalFlushDelay, untilDue), time.Duration(0))
}

// TestBackup sends the partial output of one node to the node that would take
// over, piece by piece, and checks that a job there resumes after the last
// event.
func TestBackup(t *testing.T) {
	c, store := newCluster(), memory.New()
	b := newKeeper(t, c, store, &instantEngine{held: make(map[string]chan struct{})}, "b")
	s := submissionOf(t, "s", "i0", "i1")
	j := &job{
		submission: s, results: NewResultLog(s.Items), items: make([]itemState, 2),
		running: map[int]*itemRun{0: {}}, backedUp: make(map[string]int),
	}
	generate := func(from, to int) {
		for n := from; n < to; n++ {
			j.items[0].texts = append(j.items[0].texts, fmt.Sprint(n))
			j.items[0].lastEvent = n
		}
		j.items[0].versions, j.items[0].software = []int{1}, "pool/v1"
	}
	generate(0, minBackupEvents)
	check.Equal(t, "first piece", b.StoreBackup(j.unsentPartials()), true)
	generate(minBackupEvents, 2*minBackupEvents)
	second := j.unsentPartials()
	check.Equal(t, "second piece starts where the first ended", second[0].Offset, minBackupEvents)
	check.Equal(t, "second piece", b.StoreBackup(second), true)
	check.Equal(t, "nothing new", len(j.unsentPartials()), 0)
	j.results.Finish(Result{Item: "i1", Text: "all", Versions: []int{1}})
	check.Equal(t, "complete item", b.StoreBackup(j.unsentPartials()), true)
	successor := b.newJob(Head{ID: "s"}, s)
	b.mu.Lock()
	complete, resumed := b.restorePartials(successor)
	b.mu.Unlock()
	check.Equal(t, "complete items", complete, 1)
	check.Equal(t, "resumed items", resumed, 1)
	check.Equal(t, "texts", len(successor.items[0].texts), 2*minBackupEvents)
	check.Equal(t, "last event", successor.items[0].lastEvent, 2*minBackupEvents-1)
	check.Equal(t, "software", successor.items[0].software, "pool/v1")
	incomplete := []PartialOutput{{Item: "i2", Offset: 5, Texts: []string{"x"}}}
	check.Equal(t, "piece without the earlier ones", b.StoreBackup(incomplete), false)
}

// TestBackupJoinsTwoSoftwareVersions checks that a piece of another software's output is
// not joined to what was sent before: the sender starts over.
func TestBackupJoinsTwoSoftwareVersions(t *testing.T) {
	k := newKeeper(t, newCluster(), memory.New(), &instantEngine{held: make(map[string]chan struct{})}, "b")
	first := PartialOutput{Item: "i0", Texts: []string{"0"}, LastEvent: 0, Versions: []int{1}, Software: "pool/v1"}
	check.Equal(t, "first piece", k.StoreBackup([]PartialOutput{first}), true)
	second := PartialOutput{Item: "i0", Offset: 1, Texts: []string{"1"}, LastEvent: 1, Versions: []int{1}, Software: "pool/v2"}
	check.Equal(t, "piece of another software", k.StoreBackup([]PartialOutput{second}), false)
	second.Offset, second.Texts = 0, []string{"0", "1"}
	check.Equal(t, "all of the other software's output", k.StoreBackup([]PartialOutput{second}), true)
	check.Equal(t, "software", k.partials.items["i0"].software, "pool/v2")
}

// TestBackupJoinsTwoRuns checks that an item that was started anew is sent anew, also if it
// has more events by then than were sent before.
func TestBackupJoinsTwoRuns(t *testing.T) {
	k := newKeeper(t, newCluster(), memory.New(), &instantEngine{held: make(map[string]chan struct{})}, "b")
	s := submissionOf(t, "s", "i0")
	j := &job{submission: s, results: NewResultLog(s.Items), items: make([]itemState, 1), running: map[int]*itemRun{0: {}}, backedUp: make(map[string]int)}
	generate := func(run string, events int) {
		for n := range events {
			j.items[0].texts = append(j.items[0].texts, fmt.Sprint(run, n))
		}
		j.items[0].versions, j.items[0].software, j.items[0].lastEvent = []int{1}, "pool/v1", events-1
	}
	generate("first", minBackupEvents)
	check.Equal(t, "first run", k.StoreBackup(j.unsentPartials()), true)
	j.discardOutput(0)
	generate("second", 2*minBackupEvents)
	check.Equal(t, "second run", k.StoreBackup(j.unsentPartials()), true)
	check.Equal(t, "backup", k.partials.items["i0"].texts, j.items[0].texts)
}

// TestBackupJoinsOutputOfTwoKeepers checks that a piece of one keeper's output is not joined
// to what another keeper of the same batch has sent.
func TestBackupJoinsOutputOfTwoKeepers(t *testing.T) {
	k := newKeeper(t, newCluster(), memory.New(), &instantEngine{held: make(map[string]chan struct{})}, "c")
	s := submissionOf(t, "s", "i0")
	generate := func(j *job, run string) []PartialOutput {
		state := &j.items[0]
		for range minBackupEvents {
			state.lastEvent = len(state.texts)
			state.texts = append(state.texts, fmt.Sprint(run, state.lastEvent))
		}
		state.versions, state.software = []int{1}, "pool/v1"
		return j.unsentPartials()
	}
	var jobs []*job
	for range 2 {
		jobs = append(jobs, &job{submission: s, results: NewResultLog(s.Items), items: make([]itemState, 1), running: map[int]*itemRun{0: {}}, backedUp: make(map[string]int)})
	}
	check.Equal(t, "the first keeper's output", k.StoreBackup(generate(jobs[0], "a")), true)
	check.Equal(t, "the second keeper's output", k.StoreBackup(generate(jobs[1], "b")), true)
	more := generate(jobs[0], "a")
	check.Equal(t, "more of the first keeper's", k.StoreBackup(more), false)
	check.Equal(t, "backup", k.partials.items["i0"].texts, jobs[1].items[0].texts)
	check.Equal(t, "more of the second keeper's", k.StoreBackup(generate(jobs[1], "b")), true)
	more[0].Preceding = 0
	check.Equal(t, "more than is there, from an older release", k.StoreBackup(more), false)
}

func TestPartialCachePop(t *testing.T) {
	now := time.UnixMilli(0)
	cacheOf := func(versions ...int) *partialCache {
		cache := newPartialCache()
		cache.put("i0", partial{texts: []string{"a"}, lastEvent: 0, versions: versions, software: "pool/v1", savedAt: now})
		return cache
	}
	usable := func(cache *partialCache, minVersion int, single bool, at time.Time) bool {
		_, ok := cache.pop("i0", minVersion, single, at)
		return ok
	}
	check.Equal(t, "new enough", usable(cacheOf(3), 3, false, now), true)
	check.Equal(t, "too old", usable(cacheOf(2, 3), 3, false, now), false)
	check.Equal(t, "two versions", usable(cacheOf(3, 4), 3, true, now), false)
	check.Equal(t, "unknown version", usable(cacheOf(), 1, false, now), false)
	unknown := newPartialCache()
	unknown.put("i0", partial{texts: []string{"a"}, versions: []int{3}, savedAt: now})
	check.Equal(t, "unknown software", usable(unknown, 3, false, now), false)
	unknown.put("i0", partial{texts: []string{"a"}, versions: []int{3}, complete: true, savedAt: now})
	check.Equal(t, "unknown software, complete", usable(unknown, 3, false, now), true)
	check.Equal(t, "expired", usable(cacheOf(3), 3, false, now.Add(2*partialTTL)), false)
	cache := cacheOf(3)
	cache.pop("i0", 3, false, now)
	check.Equal(t, "popped twice", usable(cache, 3, false, now), false)
	check.Equal(t, "bytes left", cache.bytes, 0)
}

// BenchmarkPlanLargeFleet plans a batch of 184 items on 3,000 engines with three models,
// of which a third have the version that the batch needs. A pass this large is needed a few
// times a second.
func BenchmarkPlanLargeFleet(b *testing.B) {
	const endpoints, items = 3000, 184
	states := make([]fleet.State, endpoints)
	for i := range states {
		versions := map[string]int{"a": 1, "b": 1, "c": 1}
		versions[string(rune('a'+i%3))] = 2
		states[i] = fleet.State{
			Entry:         fleet.Entry{ID: fmt.Sprintf("e%04d", i), Service: "pool", Slots: 8, Versions: versions},
			EventInterval: time.Duration(30+i%17) * time.Millisecond,
		}
	}
	waiting := make([]WaitingItem, items)
	for i := range waiting {
		waiting[i] = WaitingItem{Index: i, Batch: "s", Group: fmt.Sprint(i / 8), Model: "a", MinVersion: 2, Events: 5 + i%40, Tokens: 900}
	}
	for b.Loop() {
		placed := Plan(waiting, states, Memory{Capacity: 40000}, make(GroupEndpoints))
		if len(placed) != items {
			b.Fatalf("%d items placed, want %d", len(placed), items)
		}
	}
}
