package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
)

var allPolicies = []Policy{LongestFirst{}, ArrivalOrder{}, LeastBusy{}, Random{}}

// TestPolicies places a short item that arrived first and a long one on a fast
// and a slow endpoint, of which the fast one is busier.
func TestPolicies(t *testing.T) {
	states := []fleet.State{
		engineState("fast", 2, 3, 40*time.Millisecond), engineState("slow", 2, 0, 130*time.Millisecond),
	}
	waiting := []WaitingItem{newWaitingItem(0, "a", 5), newWaitingItem(1, "b", 90)}
	for _, tc := range []struct {
		policy Policy
		first  int
		long   string
	}{
		{LongestFirst{}, 1, "fast"},
		{ArrivalOrder{}, 0, "fast"},
		{LeastBusy{}, 1, "slow"},
	} {
		t.Run(fmt.Sprintf("%T", tc.policy), func(t *testing.T) {
			placed := PlanWithPolicy(tc.policy, waiting, states, Memory{}, make(GroupEndpoints))
			check.Equal(t, "first placed item", placed[0].Index, tc.first)
			for _, p := range placed {
				if p.Index == 1 {
					check.Equal(t, "endpoint of the long item", p.Target.ID(), tc.long)
				}
			}
		})
	}
}

// TestPoliciesRespectLimits checks on random states that no policy exceeds the
// free slots, uses an unavailable endpoint or places an item twice.
func TestPoliciesRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states []fleet.State
		for i := range rapid.IntRange(0, 5).Draw(t, "endpoints") {
			s := engineState(fmt.Sprint("e", i), rapid.IntRange(1, 3).Draw(t, "version"),
				rapid.IntRange(0, testSlots+1).Draw(t, "busy"), 40*time.Millisecond)
			s.Paused, s.Full = rapid.Bool().Draw(t, "paused"), rapid.Bool().Draw(t, "full")
			s.ChangingModel = rapid.SampledFrom([]string{"", testModel, "another"}).Draw(t, "changing")
			states = append(states, s)
		}
		var waiting []WaitingItem
		for i := range rapid.IntRange(0, 30).Draw(t, "items") {
			waiting = append(waiting, newWaitingItem(i, fmt.Sprint("g", i%4), rapid.IntRange(1, 150).Draw(t, "events")))
		}
		for _, policy := range allPolicies {
			taken, seen := make(map[string]int), make(map[int]bool)
			for _, p := range PlanWithPolicy(policy, waiting, states, Memory{}, make(GroupEndpoints)) {
				if seen[p.Index] {
					t.Fatalf("%T places item %d twice", policy, p.Index)
				}
				seen[p.Index] = true
				taken[p.Target.ID()]++
			}
			for _, s := range states {
				n := taken[s.Entry.ID]
				available := !s.Paused && !s.Full && s.ChangingModel != testModel && s.Entry.Versions[testModel] >= 2
				if n > 0 && (!available || n > testSlots-s.OwnInFlight) {
					t.Fatalf("%T places %d items on %+v", policy, n, s)
				}
			}
		}
	})
}
