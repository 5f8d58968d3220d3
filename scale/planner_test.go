package scale

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/routes"
)

func TestSlotsNeeded(t *testing.T) {
	for _, tc := range []struct {
		name string
		work Work
		want float64
	}{
		// 100 events of 40 ms in a quarter of 16 s need one slot.
		{"in time", Work{Waiting: 4, Tokens: 5000, Due: 16 * time.Second}, 1},
		{"no more than items", Work{Waiting: 4, Tokens: 500000, Due: 16 * time.Second}, 4},
		{"late", Work{Waiting: 4, Running: 1, Tokens: 50, Due: -time.Second}, 5},
		{"unknown length", Work{Running: 7}, 7},
	} {
		check.Equal(t, tc.name, tc.work.slotsNeeded(defaultStride, 40*time.Millisecond), tc.want)
	}
}

// observed returns an observation with the given numbers of ready endpoints in the domains
// a, b and so on.
func observed(at time.Duration, items int, ready ...int) Observation {
	o := Observation{At: at, Complete: true, Work: []Work{{Waiting: items}}}
	for i, n := range ready {
		for k := range n {
			o.Endpoints = append(o.Endpoints, Endpoint{ID: fmt.Sprint(i, "-", k), Domain: string(rune('a' + i)), Slots: 8})
		}
	}
	return o
}

func counts(p *Planner) map[string]int {
	got := make(map[string]int)
	for _, d := range p.State().Domains {
		got[d.Domain] = d.Desired
	}
	return got
}

func TestRaise(t *testing.T) {
	scaling := routes.Scaling{MinReplicas: 1, MaxReplicas: 5, DomainPrices: map[string]float64{"a": 1.2, "b": 1, "c": 1.1}}
	plan := func(items int, ready ...int) map[string]int {
		p := NewPlanner(Service{Name: "s", Slots: 8, Scaling: scaling})
		p.Observe(observed(time.Hour, items, ready...))
		return counts(p)
	}
	check.Equal(t, "enough", plan(12, 1, 1, 1), map[string]int{"a": 1, "b": 1, "c": 1})
	check.Equal(t, "cheapest first", plan(18, 1, 1, 1), map[string]int{"a": 1, "b": 2, "c": 1})
	check.Equal(t, "fewest first", plan(32, 1, 3, 2), map[string]int{"a": 2, "b": 3, "c": 2})
	check.Equal(t, "no more than permitted", plan(9000, 1, 1, 1), map[string]int{"a": 5, "b": 5, "c": 5})
	check.Equal(t, "more than permitted as found", plan(9000, 7, 1), map[string]int{"a": 7, "b": 5})
	check.Equal(t, "one model has a share only", func() map[string]int {
		p := NewPlanner(Service{Name: "s", Slots: 8, Scaling: scaling, Models: 3})
		o := observed(time.Hour, 16, 1, 1, 2)
		o.Work[0].Model = "m"
		p.Observe(o)
		return counts(p)
	}(), map[string]int{"a": 2, "b": 3, "c": 2})
}

func TestMinimum(t *testing.T) {
	p := NewPlanner(Service{Name: "s", Slots: 8, Scaling: routes.Scaling{MinReplicas: 3, MaxReplicas: 5}})
	p.Observe(observed(time.Hour, 0, 2, 4))
	check.Equal(t, "orders", p.Due(time.Hour), []Order{{Service: "s", Domain: "a", Count: 3, Reason: Minimum}})
}

// TestDrainingWorkIsDemand guards against the loss of capacity of endpoints that leave while
// their work goes on.
func TestDrainingWorkIsDemand(t *testing.T) {
	p := NewPlanner(Service{Name: "s", Slots: 8, Scaling: routes.Scaling{MinReplicas: 1, MaxReplicas: 5}})
	o := observed(time.Hour, 10, 2)
	p.Observe(o)
	check.Equal(t, "before", counts(p), map[string]int{"a": 2})
	o.Endpoints[0].Draining = true
	o.At += time.Second
	p.Observe(o)
	// The one that leaves is expected to be replaced.
	check.Equal(t, "desired", counts(p), map[string]int{"a": 2})
	o.At += overdueMargin + time.Second
	check.Equal(t, "orders", p.Due(o.At), []Order{{Service: "s", Domain: "a", Count: 2, Reason: AsFound}})
}

// TestOrdersAfterFailures guards against orders that are forgotten or repeated too often.
func TestOrdersAfterFailures(t *testing.T) {
	now := time.Hour
	p := NewPlanner(Service{Name: "s", Slots: 8, Scaling: routes.Scaling{MinReplicas: 1, MaxReplicas: 9, Boot: 4 * time.Second}})
	p.Observe(observed(now, 0, 1))
	now += 4 * time.Second
	p.Observe(observed(now, 10, 1))
	want := []Order{{Service: "s", Domain: "a", Count: 2, Reason: Load}}
	check.Equal(t, "first", p.Due(now), want)
	p.Record(want[0], NotSent, now)
	check.Equal(t, "at once after a failure", p.Due(now), nil)
	now += minRetryDelay
	check.Equal(t, "after the pause", p.Due(now), want)
	p.Record(want[0], Unknown, now)
	check.Equal(t, "before the longer pause has passed", p.Due(now+minRetryDelay), nil)
	now += 2 * minRetryDelay
	check.Equal(t, "after an unknown outcome", p.Due(now), want)
	p.Record(want[0], Done, now)
	check.Equal(t, "after it was taken", p.Due(now+time.Second), nil)
}

// TestNewHolderWaits guards against a new holder that cancels endpoints which its
// predecessor has ordered and that don't serve yet.
func TestNewHolderWaits(t *testing.T) {
	p := NewPlanner(Service{Name: "s", Slots: 8, Scaling: routes.Scaling{MinReplicas: 1, MaxReplicas: 9, Boot: 4 * time.Second}})
	for at := time.Hour; at < time.Hour+4*time.Second; at += time.Second {
		p.Observe(observed(at, 100, 1))
		check.Equal(t, "orders", p.Due(at), nil)
	}
}

// TestBounds observes random work and endpoints, and answers orders at random. It guards
// against numbers outside the bounds, and against lowering below the first number, below
// the endpoints that have work, too often or without knowing all work.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scaling := routes.Scaling{MinReplicas: 1, MaxReplicas: 6, Boot: 4 * time.Second}
		p := NewPlanner(Service{Name: "s", Slots: 8, Models: 2, Scaling: scaling})
		ready, at := []int{2, 3}, time.Hour
		first := map[string]int{"a": 2, "b": 3}
		before, loweredAt := map[string]int{"a": 2, "b": 3}, make(map[string]time.Duration)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			o := observed(at, rapid.SampledFrom([]int{0, 0, 0, 10, 60, 500}).Draw(t, "items"), ready...)
			o.Complete = rapid.IntRange(0, 20).Draw(t, "complete") > 0
			busy := map[string]int{}
			for i := range o.Endpoints {
				if rapid.IntRange(0, 3).Draw(t, "busy") == 0 {
					o.Endpoints[i].Busy = 1
					busy[o.Endpoints[i].Domain]++
				}
			}
			p.Observe(o)
			for domain, count := range counts(p) {
				if count < scaling.MinReplicas || count > scaling.MaxReplicas {
					t.Fatalf("%d endpoints desired in %s", count, domain)
				}
				if count < before[domain] {
					if count < max(first[domain], busy[domain]) || count < before[domain]-1 || !o.Complete || at-loweredAt[domain] < lowerDelay {
						t.Fatalf("%s lowered from %d to %d with %d busy, complete %v, after %v", domain, before[domain], count, busy[domain], o.Complete, at-loweredAt[domain])
					}
					loweredAt[domain] = at
				}
			}
			for _, order := range p.Due(at) {
				outcome := rapid.SampledFrom([]Outcome{Done, Done, Done, Unavailable, NotSent, Unknown}).Draw(t, "outcome")
				p.Record(order, outcome, at)
				if outcome == Done {
					ready[order.Domain[0]-'a'] = order.Count
				}
			}
			before = counts(p)
			at += time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
		}
	})
}
