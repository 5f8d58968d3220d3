package orders

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
)

// engines returns endpoints with the given versions of models a and b.
func engines(versions ...[2]int) []fleet.State {
	states := make([]fleet.State, len(versions))
	for i, v := range versions {
		states[i] = fleet.State{Entry: fleet.Entry{
			ID: fmt.Sprintf("e%02d", i), Slots: 8, Versions: map[string]int{"a": v[0], "b": v[1]},
		}}
	}
	return states
}

func planned(loads []PlannedLoad) map[string]string {
	got := make(map[string]string)
	for _, l := range loads {
		got[l.State.Entry.ID] = fmt.Sprintf("%s%d", l.Desired.Model, l.Desired.Version)
	}
	return got
}

func TestPlan(t *testing.T) {
	desiredVersions := func(a, b int) []DesiredVersion {
		return []DesiredVersion{{Model: "a", Version: a}, {Model: "b", Version: b}}
	}
	t.Run("no new version, no load", func(t *testing.T) {
		check.Equal(t, "loads", planned(Plan(engines([2]int{1, 1}, [2]int{1, 1}), desiredVersions(1, 1), nil)), map[string]string{})
	})
	t.Run("endpoint continues with its model", func(t *testing.T) {
		states := engines([2]int{5, 1}, [2]int{1, 5})
		check.Equal(t, "loads", planned(Plan(states, desiredVersions(7, 5), nil)), map[string]string{"e00": "a7"})
	})
	t.Run("endpoints two versions behind load first", func(t *testing.T) {
		states := engines([2]int{5, 1}, [2]int{4, 1}, [2]int{1, 5}, [2]int{1, 5})
		check.Equal(t, "loads", planned(Plan(states, desiredVersions(6, 5), nil)), map[string]string{"e01": "a6"})
	})
	t.Run("half stay one version behind", func(t *testing.T) {
		states := engines([2]int{6, 1}, [2]int{5, 1}, [2]int{1, 5}, [2]int{1, 5})
		check.Equal(t, "loads", planned(Plan(states, desiredVersions(6, 5), nil)), map[string]string{})
	})
	t.Run("simultaneous loads are limited", func(t *testing.T) {
		states := engines([2]int{1, 1}, [2]int{1, 1}, [2]int{1, 1}, [2]int{1, 1}, [2]int{1, 1},
			[2]int{1, 1}, [2]int{1, 1}, [2]int{1, 1}, [2]int{1, 1})
		check.Equal(t, "loads", len(Plan(states, desiredVersions(3, 3), nil)), 2)
		check.Equal(t, "with one loading", len(Plan(states, desiredVersions(3, 3), Loading{"e00": true})), 1)
	})
}

func TestMaxConcurrentLoads(t *testing.T) {
	for endpoints, want := range map[int]int{1: 1, 9: 2, 11: 2, 45: 9, 48: 10} {
		check.Equal(t, fmt.Sprintf("of %d", endpoints), MaxConcurrentLoads(endpoints), want)
	}
}

// TestNoModelStarves carries out all planned loads while two trainers name versions
// in random order, and checks that each model always has an endpoint that may serve
// its step. It guards against a plan that loads all endpoints of one model, in the
// order of names, before those of the other.
func TestNoModelStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "endpoints")
		states := engines(make([][2]int, n)...)
		for i := range states {
			states[i].Entry.Versions = map[string]int{"a": 1, "b": 1}
		}
		named := map[string]int{"a": 1, "b": 1}
		for range rapid.IntRange(1, 20).Draw(t, "names") {
			model := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")
			named[model]++
			for range n + 1 {
				loads := Plan(states, []DesiredVersion{{Model: "a", Version: named["a"]}, {Model: "b", Version: named["b"]}}, nil)
				for _, l := range loads {
					for i := range states {
						if states[i].Entry.ID == l.State.Entry.ID {
							states[i].Entry.Versions[l.Desired.Model] = l.Desired.Version
						}
					}
				}
			}
			for model, version := range named {
				if !served(states, model, version-1) {
					t.Fatalf("no endpoint may serve model %s at version %d", model, version)
				}
			}
		}
	})
}

func TestEndpointShares(t *testing.T) {
	desiredVersions := func(weights ...float64) []DesiredVersion {
		list := make([]DesiredVersion, len(weights))
		for i, w := range weights {
			list[i].Weight = w
		}
		return list
	}
	check.Equal(t, "no demand", endpointShares(9, desiredVersions(0, 0)), []int{5, 4})
	check.Equal(t, "by demand", endpointShares(9, desiredVersions(1, 2)), []int{3, 6})
	check.Equal(t, "bounded", endpointShares(9, desiredVersions(1, 90)), []int{3, 6})
	// A service has no endpoint until its first entry arrives; dividing by zero
	// crashed a process then.
	check.Equal(t, "no endpoint", endpointShares(0, desiredVersions(5)), []int{0})
	check.Equal(t, "one model", endpointShares(11, desiredVersions(5)), []int{11})
	check.Equal(t, "fewer endpoints than models", endpointShares(2, desiredVersions(1, 1, 1)), []int{1, 1, 0})
}

func served(states []fleet.State, model string, least int) bool {
	for _, s := range states {
		if s.Entry.Versions[model] >= least {
			return true
		}
	}
	return false
}

// TestPolicies plans the loads of a new version while four endpoints have the
// previous one and one endpoint has an older one, which can't serve the step.
func TestPolicies(t *testing.T) {
	var states []fleet.State
	for i, version := range []int{8, 8, 8, 8, 7} {
		states = append(states, fleet.State{Entry: fleet.Entry{
			ID: string(rune('a' + i)), Slots: 4, Versions: map[string]int{"m": version},
		}})
	}
	for _, tc := range []struct {
		policy Policy
		want   int
	}{
		{KeepHalf{}, 1}, // one of five may load at once
		{Needed{}, 1},
		{Eager{}, 5},
	} {
		loads := PlanWithPolicy(tc.policy, states, []DesiredVersion{{Model: "m", Version: 9}}, Loading{})
		if len(loads) != tc.want || loads[0].State.Entry.ID != "e" {
			t.Errorf("%T: %d loads, the first on endpoint %v, want %d loads, the first on e", tc.policy, len(loads), loads[0].State.Entry.ID, tc.want)
		}
	}
	if loads := PlanWithPolicy(Needed{}, states[:4], []DesiredVersion{{Model: "m", Version: 9}}, Loading{}); len(loads) != 0 {
		t.Errorf("%d unnecessary loads", len(loads))
	}
}
