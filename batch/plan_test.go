package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/fleet"
)

const (
	testModel = "tickets"
	testSlots = 10
)

func engineState(id string, version, mine int, pace time.Duration) fleet.State {
	return fleet.State{
		Entry: fleet.Entry{ID: id, Slots: testSlots, Versions: map[string]int{testModel: version}},
		Mine:  mine, Pace: pace,
	}
}

func waitingItem(index int, group string, events int) Waiting {
	return Waiting{Index: index, Batch: "b", Group: group, Model: testModel, MinVersion: 2, Events: events}
}

// placements returns where each item goes, by index.
func placements(waiting []Waiting, states []fleet.State) map[int]string {
	at := make(map[int]string)
	for _, p := range Plan(waiting, states, Memory{}, make(Homes)) {
		at[p.Index] = p.Target.ID()
	}
	return at
}

func TestPlan(t *testing.T) {
	fast, slow := 40*time.Millisecond, 130*time.Millisecond
	t.Run("long items take the fast endpoint", func(t *testing.T) {
		states := []fleet.State{engineState("fast", 2, testSlots-1, fast), engineState("slow", 2, 0, slow)}
		got := placements([]Waiting{waitingItem(0, "a", 5), waitingItem(1, "b", 90)}, states)
		check.Equal(t, "places", got, map[int]string{0: "slow", 1: "fast"})
	})
	t.Run("old weights serve nothing", func(t *testing.T) {
		got := placements([]Waiting{waitingItem(0, "a", 5)}, []fleet.State{engineState("old", 1, 0, fast)})
		check.Equal(t, "places", got, map[int]string{})
	})
	t.Run("changing weights serve other models only", func(t *testing.T) {
		changing := engineState("changing", 2, 0, fast)
		changing.Changing = testModel
		got := placements([]Waiting{waitingItem(0, "a", 5)}, []fleet.State{changing})
		check.Equal(t, "places", got, map[int]string{})
		changing.Changing = "another"
		got = placements([]Waiting{waitingItem(0, "a", 5)}, []fleet.State{changing})
		check.Equal(t, "places", got, map[int]string{0: "changing"})
	})
	t.Run("a full endpoint gets nothing", func(t *testing.T) {
		got := placements([]Waiting{waitingItem(0, "a", 5)}, []fleet.State{engineState("full", 2, testSlots, fast)})
		check.Equal(t, "places", got, map[int]string{})
	})
	t.Run("the last places are for long items", func(t *testing.T) {
		got := placements([]Waiting{waitingItem(0, "a", 5), waitingItem(1, "b", 90)},
			[]fleet.State{engineState("one", 2, testSlots-2, fast)})
		check.Equal(t, "places", got, map[int]string{1: "one"})
	})
	t.Run("short items leave half to others", func(t *testing.T) {
		got := placements([]Waiting{waitingItem(0, "a", 5), waitingItem(1, "b", 30)},
			[]fleet.State{engineState("one", 2, testSlots/2, fast)})
		check.Equal(t, "places", got, map[int]string{1: "one"})
	})
	t.Run("a group stays together", func(t *testing.T) {
		states := []fleet.State{engineState("one", 2, 0, fast), engineState("two", 2, 0, fast)}
		got := placements([]Waiting{waitingItem(0, "a", 5), waitingItem(1, "a", 4), waitingItem(2, "a", 3)}, states)
		if got[0] != got[1] || got[1] != got[2] {
			t.Errorf("the group was split: %v", got)
		}
	})
	t.Run("single version goes on with its own", func(t *testing.T) {
		w := waitingItem(0, "a", 5)
		w.Only = 2
		got := placements([]Waiting{w}, []fleet.State{engineState("new", 3, 0, fast), engineState("same", 2, 4, slow)})
		check.Equal(t, "places", got, map[int]string{0: "same"})
	})
	t.Run("an earlier due time goes first", func(t *testing.T) {
		late, soon := waitingItem(0, "a", 90), waitingItem(1, "b", 70)
		late.Due, soon.Due = time.UnixMilli(2000), time.UnixMilli(1000)
		got := placements([]Waiting{late, soon}, []fleet.State{engineState("one", 2, testSlots-1, fast)})
		check.Equal(t, "places", got, map[int]string{1: "one"})
	})
}

func runningItem(events, done int, since time.Duration) Running {
	return Running{Waiting: waitingItem(7, "a", events), Endpoint: "slow", Done: done, Since: since}
}

func TestMoves(t *testing.T) {
	states := []fleet.State{
		engineState("slow", 2, 1, 130*time.Millisecond), engineState("fast", 2, 0, 40*time.Millisecond),
	}
	t.Run("a long item leaves a slow endpoint", func(t *testing.T) {
		check.Equal(t, "moves", Moves([]Running{runningItem(80, 5, 2*time.Second)}, states, Memory{}), []int{7})
	})
	t.Run("a tenth faster is no reason", func(t *testing.T) {
		alike := []fleet.State{
			engineState("slow", 2, 1, 42*time.Millisecond), engineState("fast", 2, 0, 38*time.Millisecond),
		}
		check.Equal(t, "moves", Moves([]Running{runningItem(150, 30, 2*time.Second)}, alike, Memory{}), nil)
	})
	t.Run("one that is nearly done stays", func(t *testing.T) {
		check.Equal(t, "moves", Moves([]Running{runningItem(1, 2, 2*time.Second)}, states, Memory{}), nil)
	})
	t.Run("one that has just come stays", func(t *testing.T) {
		check.Equal(t, "moves", Moves([]Running{runningItem(80, 0, 100*time.Millisecond)}, states, Memory{}), nil)
	})
	t.Run("one that has outrun its estimate goes", func(t *testing.T) {
		check.Equal(t, "moves", Moves([]Running{runningItem(0, 60, 6*time.Second)}, states, Memory{}), []int{7})
	})
	t.Run("no place, no move", func(t *testing.T) {
		full := []fleet.State{states[0], engineState("fast", 2, testSlots, 40*time.Millisecond)}
		check.Equal(t, "moves", Moves([]Running{runningItem(80, 5, 2*time.Second)}, full, Memory{}), nil)
	})
}

// TestPlanSpreadsMemory places long items on engines whose memory holds two.
func TestPlanSpreadsMemory(t *testing.T) {
	var waiting []Waiting
	for i := range 6 {
		w := waitingItem(i, string(rune('a'+i)), 150)
		w.Tokens = 11000
		waiting = append(waiting, w)
	}
	states := []fleet.State{
		engineState("one", 2, 0, 40*time.Millisecond), engineState("two", 2, 0, 40*time.Millisecond),
		engineState("three", 2, 0, 43*time.Millisecond),
	}
	used := make(map[string]int)
	for _, p := range Plan(waiting, states, Memory{Capacity: 32560}, make(Homes)) {
		used[p.Target.ID()]++
	}
	check.Equal(t, "items at each engine", used, map[string]int{"one": 2, "two": 2, "three": 2})
}

// TestPlanOfAStep replays the load of a trainer's step: 27 groups of 4 at once,
// one item in twelve five times as long, one engine in five three times slower.
// A random placement in order of arrival is the baseline.
func TestPlanOfAStep(t *testing.T) {
	chosen := stepTime(func(w []Waiting, s []fleet.State) []Placement { return Plan(w, s, Memory{}, make(Homes)) })
	baseline := stepTime(inOrder)
	t.Logf("groups waited for are whole after %v, in order of arrival after %v", chosen, baseline)
	if chosen > baseline*9/10 {
		t.Errorf("the plan takes %v, the baseline %v: want a tenth less at least", chosen, baseline)
	}
}

// inOrder places items in order of arrival on endpoints in turn.
func inOrder(waiting []Waiting, states []fleet.State) []Placement {
	var placed []Placement
	free := make([]int, len(states))
	for i, s := range states {
		free[i] = s.Entry.Slots - s.Mine
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

// stepTime simulates a step and returns when nine tenths of its groups are whole.
func stepTime(place func([]Waiting, []fleet.State) []Placement) time.Duration {
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
			states[i].Pace *= 3
		}
	}
	at := make(map[string]int)
	for i, s := range states {
		at[s.Entry.ID] = i
	}
	var waiting []Waiting
	var lengths []int
	for i := range groups * size {
		length := 8 + (i*37)%23
		if i%12 == 5 {
			length *= 5
		}
		lengths = append(lengths, length)
		// The estimate is off by up to a half.
		waiting = append(waiting, waitingItem(i, string(rune('A'+i/size)), length*(2+(i*13)%3)/3))
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
	whole := 0
	for now := time.Duration(0); ; now += tick {
		kept := runs[:0]
		for _, r := range runs {
			if r.ends > now {
				kept = append(kept, r)
				continue
			}
			states[r.engine].Mine--
			if left[r.item/size]--; left[r.item/size] == 0 {
				whole++
			}
		}
		runs = kept
		if whole*10 >= groups*9 {
			return now
		}
		placed := make(map[int]bool)
		for _, p := range place(waiting, states) {
			e := at[p.Target.ID()]
			states[e].Mine++
			placed[p.Index] = true
			runs = append(runs, run{item: p.Index, engine: e, ends: now + time.Duration(lengths[p.Index])*states[e].Pace})
		}
		rest := waiting[:0:0]
		for _, w := range waiting {
			if !placed[w.Index] {
				rest = append(rest, w)
			}
		}
		waiting = rest
	}
}

func TestFlushIn(t *testing.T) {
	book := func(finished ...string) *Book {
		b := NewBook(itemsOf(4, 2))
		for _, id := range finished {
			b.Finish(Result{Item: id})
		}
		return b
	}
	far := 5 * time.Second
	check.Equal(t, "nothing pending", FlushIn(book(), 1, 0, far), time.Hour)
	check.Equal(t, "half a group waits", FlushIn(book("i0"), 1, 0, far), flushIdle)
	check.Equal(t, "what the trainer waits for", FlushIn(book("i0", "i1"), 1, 0, far), flushSoon)
	check.Equal(t, "a group too few", FlushIn(book("i0", "i1"), 2, 0, far), flushIdle)
	check.Equal(t, "all items", FlushIn(book("i0", "i1", "i2", "i3"), 9, 0, far), flushSoon)
	check.Equal(t, "near the due time", FlushIn(book("i0"), 2, 0, flushDue/2), flushSoon)
	check.Equal(t, "has waited", FlushIn(book("i0"), 2, 2*flushIdle, far), time.Duration(0))
}

// TestBackup sends what runs at one node to the one that would take over, piece
// by piece, and checks that a job there goes on after the last event.
func TestBackup(t *testing.T) {
	r, store := newRing(), shelf.New()
	b := newKeeper(t, r, store, &instant{held: make(map[string]chan struct{})}, "b")
	s := submissionOf(t, "s", "i0", "i1")
	j := &job{
		sub: s, book: NewBook(s.Items), items: make([]itemState, 2),
		running: map[int]*itemRun{0: {}}, sent: make(map[string]int),
	}
	generate := func(from, to int) {
		for n := from; n < to; n++ {
			j.items[0].texts = append(j.items[0].texts, fmt.Sprint(n))
			j.items[0].last = n
		}
		j.items[0].versions = []int{1}
	}
	generate(0, backupEvents)
	check.Equal(t, "the first piece", b.Backup(j.newRests()), true)
	generate(backupEvents, 2*backupEvents)
	second := j.newRests()
	check.Equal(t, "it starts where the first ended", second[0].From, backupEvents)
	check.Equal(t, "the second piece", b.Backup(second), true)
	check.Equal(t, "nothing new", len(j.newRests()), 0)
	j.book.Finish(Result{Item: "i1", Text: "all", Versions: []int{1}})
	check.Equal(t, "a whole item", b.Backup(j.newRests()), true)
	taken := b.newJob(Head{ID: "s"}, s)
	b.mu.Lock()
	whole, begun := b.useRests(taken)
	b.mu.Unlock()
	check.Equal(t, "whole", whole, 1)
	check.Equal(t, "begun", begun, 1)
	check.Equal(t, "texts", len(taken.items[0].texts), 2*backupEvents)
	check.Equal(t, "last event", taken.items[0].last, 2*backupEvents-1)
	lost := []Rest{{Item: "i2", From: 5, Texts: []string{"x"}}}
	check.Equal(t, "a piece without the ones before", b.Backup(lost), false)
}

func TestRests(t *testing.T) {
	now := time.UnixMilli(0)
	put := func(versions ...int) *rests {
		r := newRests()
		r.put("i0", rest{texts: []string{"a"}, last: 0, versions: versions, at: now})
		return r
	}
	taken := func(r *rests, minVersion int, single bool, at time.Time) bool {
		_, ok := r.take("i0", minVersion, single, at)
		return ok
	}
	check.Equal(t, "new enough", taken(put(3), 3, false, now), true)
	check.Equal(t, "too old", taken(put(2, 3), 3, false, now), false)
	check.Equal(t, "two versions", taken(put(3, 4), 3, true, now), false)
	check.Equal(t, "unknown version", taken(put(), 1, false, now), false)
	check.Equal(t, "too late", taken(put(3), 3, false, now.Add(2*restLife)), false)
	r := put(3)
	r.take("i0", 3, false, now)
	check.Equal(t, "taken twice", taken(r, 3, false, now), false)
	check.Equal(t, "bytes left", r.bytes, 0)
}
