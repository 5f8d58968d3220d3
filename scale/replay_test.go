package scale

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/routes"
)

const (
	replayTick     = 100 * time.Millisecond
	replayInterval = 40 * time.Millisecond
	replayDue      = 7500 * time.Millisecond
	replayPeriod   = 4 * time.Second
	replaySlots    = 8
)

type (
	// engine is an endpoint of the replay.
	engine struct {
		id, domain string
		readyAt    time.Duration
		draining   bool
		running    []*item
		// slowUntil and downUntil are when it runs at full speed and again at all.
		slowUntil, downUntil time.Duration
	}

	item struct {
		batch *replayBatch
		// left is the time that it still needs at an endpoint of the usual speed.
		left time.Duration
	}

	replayBatch struct {
		model   string
		due     time.Duration
		waiting []*item
		open    int
	}

	// replay is a small model of a platform with its endpoints and trainers.
	replay struct {
		now     time.Duration
		planner *Planner
		engines []*engine
		wanted  map[string]int
		batches []*replayBatch
		late    int
		calls   []Order
		nextID  int
		// outcome returns the platform's answer to an order, nil for Done.
		outcome func(Order) Outcome
		// items returns how many items each of two trainers submits at a time.
		items func(now time.Duration, trainer int) int
	}
)

var replayScaling = routes.Scaling{MinReplicas: 1, MaxReplicas: 12, Boot: 4 * time.Second}

// newReplay returns a replay with the given number of endpoints in each of three domains.
func newReplay(each int, items func(now time.Duration, trainer int) int) *replay {
	r := &replay{
		planner: NewPlanner(Service{Name: "s", Scaling: replayScaling, Models: 2, Slots: replaySlots}),
		wanted:  make(map[string]int), items: items,
	}
	for _, domain := range []string{"a", "b", "c"} {
		r.wanted[domain] = each
		for range each {
			r.add(domain)
		}
	}
	return r
}

func (r *replay) add(domain string) {
	r.nextID++
	r.engines = append(r.engines, &engine{id: fmt.Sprintf("e%03d", r.nextID), domain: domain, readyAt: r.now + replayScaling.Boot})
	if r.now == 0 {
		r.engines[len(r.engines)-1].readyAt = 0
	}
}

// run plays the given time. A planner that is not scaled only observes.
func (r *replay) run(length time.Duration, scaled bool) {
	for end := r.now + length; r.now < end; r.now += replayTick {
		if r.now%replayPeriod == 0 {
			r.submit()
		}
		r.serve()
		if r.now%(5*replayTick) == 0 {
			r.planner.Observe(r.observation())
			if scaled {
				r.order()
			}
		}
	}
}

// submit submits a batch of each trainer. One item in eight is four times as long as the others.
func (r *replay) submit() {
	for trainer := range 2 {
		b := &replayBatch{model: fmt.Sprint("m", trainer), due: r.now + replayDue}
		for i := range r.items(r.now, trainer) {
			length := 30 * replayInterval
			if i%8 == 0 {
				length *= 4
			}
			b.waiting = append(b.waiting, &item{batch: b, left: length})
		}
		slices.SortFunc(b.waiting, func(x, y *item) int { return int(y.left - x.left) })
		b.open = len(b.waiting)
		r.batches = append(r.batches, b)
	}
}

// serve lets items start and run for a tick. Items move from endpoints that are slow or down.
func (r *replay) serve() {
	for _, e := range r.engines {
		if r.hampered(e) && r.freest() != nil && !r.hampered(r.freest()) {
			for _, it := range e.running {
				it.batch.waiting = append([]*item{it}, it.batch.waiting...)
			}
			e.running = nil
		}
	}
	for _, b := range r.batches {
		for len(b.waiting) > 0 {
			e := r.freest()
			if e == nil {
				break
			}
			e.running = append(e.running, b.waiting[0])
			b.waiting = b.waiting[1:]
		}
	}
	for _, e := range r.engines {
		step := replayTick
		if r.now < e.slowUntil {
			step = replayTick * 2 / 7
		}
		if r.now < e.downUntil {
			step = 0
		}
		e.running = slices.DeleteFunc(e.running, func(it *item) bool {
			it.left -= step
			if it.left <= 0 {
				it.batch.open--
			}
			return it.left <= 0
		})
	}
	r.engines = slices.DeleteFunc(r.engines, func(e *engine) bool { return e.draining && len(e.running) == 0 })
	r.batches = slices.DeleteFunc(r.batches, func(b *replayBatch) bool {
		if b.open == 0 && r.now > b.due {
			r.late++
		}
		return b.open == 0
	})
}

// hampered reports whether an endpoint is slow or down.
func (r *replay) hampered(e *engine) bool { return r.now < e.slowUntil || r.now < e.downUntil }

// freest returns the ready endpoint with most free slots, nil if there is none. Those at
// full speed go first.
func (r *replay) freest() *engine {
	var best *engine
	for _, e := range r.engines {
		if e.draining || r.now < e.readyAt || r.now < e.downUntil || len(e.running) >= replaySlots {
			continue
		}
		if best == nil || r.hampered(best) && !r.hampered(e) || r.hampered(best) == r.hampered(e) && len(e.running) < len(best.running) {
			best = e
		}
	}
	return best
}

func (r *replay) observation() Observation {
	o := Observation{At: r.now, Complete: true}
	for _, e := range r.engines {
		if r.now < e.readyAt {
			continue
		}
		state := Endpoint{
			ID: e.id, Domain: e.domain, Slots: replaySlots, Busy: len(e.running), Draining: e.draining,
			EventInterval: replayInterval, Failing: r.now < e.downUntil,
		}
		if r.now < e.slowUntil {
			state.EventInterval = replayInterval * 7 / 2
		}
		o.Endpoints = append(o.Endpoints, state)
	}
	for _, b := range r.batches {
		w := Work{Model: b.model, Waiting: len(b.waiting), Running: b.open - len(b.waiting), Due: b.due - r.now}
		left := time.Duration(0)
		for _, it := range b.waiting {
			left += it.left
		}
		for _, e := range r.engines {
			for _, it := range e.running {
				if it.batch == b {
					left += it.left
				}
			}
		}
		w.Tokens = int(left/replayInterval) * defaultStride
		o.Work = append(o.Work, w)
	}
	return o
}

// order sends the orders that are due to the platform of the replay.
func (r *replay) order() {
	for _, order := range r.planner.Due(r.now) {
		r.calls = append(r.calls, order)
		outcome := Done
		if r.outcome != nil {
			outcome = r.outcome(order)
		}
		if outcome == Done {
			r.provide(order)
		}
		r.planner.Record(order, outcome, r.now)
	}
}

// provide starts endpoints or drains those with least work.
func (r *replay) provide(order Order) {
	r.wanted[order.Domain] = order.Count
	var present []*engine
	for _, e := range r.engines {
		if e.domain == order.Domain && !e.draining {
			present = append(present, e)
		}
	}
	slices.SortStableFunc(present, func(a, b *engine) int { return len(a.running) - len(b.running) })
	for i := order.Count; i < len(present); i++ {
		present[i-order.Count].draining = true
	}
	for range order.Count - len(present) {
		r.add(order.Domain)
	}
}

// lose removes the endpoints of a domain without work being finished elsewhere first.
func (r *replay) lose(domain string, n int) {
	r.engines = slices.DeleteFunc(r.engines, func(e *engine) bool {
		if e.domain != domain || n == 0 {
			return false
		}
		n--
		for _, it := range e.running {
			it.batch.waiting = append(it.batch.waiting, it)
		}
		return true
	})
}

// unevenDemand raises the larger trainer's batches for two minutes.
func unevenDemand(now time.Duration, trainer int) int {
	if trainer == 0 && now >= time.Minute && now < 3*time.Minute {
		return 160
	}
	return 16
}

func steadyDemand(_ time.Duration, trainer int) int { return 40 - 16*trainer }

// total returns the desired number of all domains.
func (r *replay) total() int {
	n := 0
	for _, d := range r.planner.State().Domains {
		n += d.Desired
	}
	return n
}

// TestUnevenDemand guards against batches that miss their due times because the number of
// endpoints stays what it was.
func TestUnevenDemand(t *testing.T) {
	fixed := newReplay(3, unevenDemand)
	fixed.run(4*time.Minute, false)
	scaled := newReplay(3, unevenDemand)
	scaled.run(4*time.Minute, true)
	t.Logf("late batches: %d fixed, %d scaled, %d calls, %d endpoints", fixed.late, scaled.late, len(scaled.calls), scaled.total())
	if fixed.late < 20 {
		t.Errorf("the fixed endpoints are late with %d batches only, the replay shows nothing", fixed.late)
	}
	// The first batches come before an endpoint that was ordered for them can serve.
	if scaled.late > 3 {
		t.Errorf("%d late batches, want those of the first boot only", scaled.late)
	}
	scaled.run(8*time.Minute, true)
	check.Equal(t, "endpoints after the demand has gone", scaled.total(), 9)
}

// TestCalmDay guards against orders where the present endpoints suffice, also while some
// of them are slow, crash or flap.
func TestCalmDay(t *testing.T) {
	r := newReplay(6, steadyDemand)
	for i := range 20 {
		r.engines[i%len(r.engines)].slowUntil = r.now + 8*time.Second
		r.engines[(i+5)%len(r.engines)].downUntil = r.now + 4500*time.Millisecond
		r.run(15*time.Second, true)
	}
	check.Equal(t, "calls", r.calls, nil)
	check.Equal(t, "late", r.late, 0)
}

// TestNoFlapping guards against a number that follows each batch up and down.
func TestNoFlapping(t *testing.T) {
	r := newReplay(3, func(now time.Duration, trainer int) int {
		// Steps of different sizes follow each other, as at a trainer that evaluates at times.
		return []int{120, 90, 30, 10, 60}[int(now/replayPeriod)%5] / (trainer + 1)
	})
	r.run(time.Minute, true)
	settled := len(r.calls)
	if settled == 0 {
		t.Error("nothing was ordered in the first minute, the replay shows nothing")
	}
	r.run(10*time.Minute, true)
	check.Equal(t, "calls after the first minute", len(r.calls)-settled, 0)
}

// TestNoFlappingWithSlowEndpoints guards against a number that follows endpoints which
// become slow or crash again and again.
func TestNoFlappingWithSlowEndpoints(t *testing.T) {
	r := newReplay(6, func(time.Duration, int) int { return 48 })
	for i := range 12 {
		for k := range 4 {
			r.engines[(7*i+3*k)%len(r.engines)].slowUntil = r.now + 8*time.Second
			r.engines[(5*i+4*k)%len(r.engines)].downUntil = r.now + 4500*time.Millisecond
		}
		r.run(24*time.Second, true)
	}
	t.Logf("%d calls, %d endpoints", len(r.calls), r.total())
	raised := r.total() - 18
	if raised == 0 || len(r.calls) > 2*raised {
		t.Errorf("%d calls to add %d endpoints", len(r.calls), raised)
	}
}

// TestUnavailable guards against orders to a domain that has no endpoints now, and against
// a shortage that is left alone because of it.
func TestUnavailable(t *testing.T) {
	r := newReplay(3, unevenDemand)
	var refusedAt []time.Duration
	r.outcome = func(order Order) Outcome {
		if order.Domain == "a" {
			refusedAt = append(refusedAt, r.now)
			return Unavailable
		}
		return Done
	}
	r.run(3*time.Minute, true)
	for i := 1; i < len(refusedAt); i++ {
		if refusedAt[i]-refusedAt[i-1] < unavailableDelay {
			t.Errorf("ordered again %v after a refusal", refusedAt[i]-refusedAt[i-1])
		}
	}
	if len(refusedAt) == 0 || r.wanted["a"] != 3 {
		t.Errorf("%d refusals and %d endpoints, want some and 3", len(refusedAt), r.wanted["a"])
	}
	if r.wanted["b"] < 6 || r.wanted["c"] < 6 {
		t.Errorf("the other domains have %v, want at least 6 each", r.wanted)
	}
	if r.late > 5 {
		t.Errorf("%d late batches", r.late)
	}
}

// TestLostEndpoints guards against lost endpoints that nobody replaces, and against calls
// for those that are back soon.
func TestLostEndpoints(t *testing.T) {
	r := newReplay(6, steadyDemand)
	r.run(20*time.Second, true)
	r.lose("b", 3)
	r.run(8*time.Second, true)
	check.Equal(t, "calls while they may come back", r.calls, nil)
	r.run(10*time.Second, true)
	check.Equal(t, "calls", r.calls, []Order{{Service: "s", Domain: "b", Count: 6, Reason: AsFound}})
	r.run(time.Minute, true)
	check.Equal(t, "calls once they are replaced", len(r.calls), 1)
}

// TestSlowEndpoints guards against slow endpoints that count as if they had their usual speed.
func TestSlowEndpoints(t *testing.T) {
	r := newReplay(3, func(time.Duration, int) int { return 34 })
	r.run(30*time.Second, true)
	before := r.total()
	for _, e := range r.engines[:4] {
		e.slowUntil = r.now + time.Minute
	}
	r.run(5*time.Second, true)
	if after := r.total(); after <= before {
		t.Errorf("%d endpoints desired, %d before four became slow", after, before)
	}
}
