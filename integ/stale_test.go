package integ

import (
	"testing"
	"time"

	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/loads"
)

// assertFresh requests a step and checks its attempt number and that no sample is
// older than the bound.
func assertFresh(t *testing.T, f *fleet, step uint64, attempt uint32, bound time.Duration) {
	t.Helper()
	requested := loads.Prompts(trainer, step, stepGroups)
	got, err := f.client.Step(f.ctx, trainer, step, requested)
	if err != nil {
		t.Fatal(err)
	}
	if got.Summary().Attempt != attempt {
		t.Errorf("got attempt %d, want %d", got.Summary().Attempt, attempt)
	}
	for _, g := range got.Groups() {
		for _, s := range g.Samples {
			if age := time.Since(time.UnixMilli(s.StartedAt)); age > bound {
				t.Errorf("sample %s is %s old, the bound is %s", s.ID, age, bound)
			}
		}
	}
}

func TestSealedStepExpires(t *testing.T) {
	const bound = 2 * time.Second
	f := startFleet(t, smallFleet)
	d := testDeclaration
	d.MaxAge = bound.String()
	f.apply(d)
	assertFresh(t, f, 1, 1, bound)
	time.Sleep(bound)
	t.Run("the next response is a new attempt", func(t *testing.T) { assertFresh(t, f, 1, 2, bound) })
	t.Run("a new attempt after the keeper is killed", func(t *testing.T) {
		f.kill(f.keeperOf(1))
		time.Sleep(bound)
		assertFresh(t, f, 1, 3, bound)
	})
	t.Run("the next step", func(t *testing.T) { assertFresh(t, f, 2, 1, bound) })
}

func TestVersionChangeDuringStep(t *testing.T) {
	cases := map[string]struct {
		behind int
		extra  string
	}{
		"no version may be behind":         {behind: 0},
		"the old version is not accepted":  {behind: 5, extra: "accept = 2-"},
		"one version behind is acceptable": {behind: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			d := testDeclaration
			d.MaxBehind, d.Stage = c.behind, 2
			f.apply(d)
			checker := newStepChecker()
			f.awaitStep(checker, f.requestStep(1), 1, 1)
			second := f.requestStep(2)
			f.keeperOf(2)
			d.Serve, d.ExtraLines = 2, c.extra
			f.apply(d)
			r := <-second
			if r.err != nil {
				t.Fatal(r.err)
			}
			behind := uint64(c.behind)
			if c.extra != "" {
				behind = 0
			}
			checker.check(t, r.step, loads.Prompts(trainer, 2, stepGroups), stepSamples, 2, behind)
		})
	}
}

func TestWeightsEverywhereWithin8s(t *testing.T) {
	const bound = 8 * time.Second
	f := startFleet(t, demo.Size{
		Nodes: 5, Samplers: 10, Quotes: 2, Plains: 1, Heartbeat: 200 * time.Millisecond,
		Engine: model.Options{Version: 1},
	})
	d := testDeclaration
	d.Stage = 2
	f.apply(d)
	f.eventually("every sampler has been ordered to load version 2", func() bool { return f.samplersOrderedToLoad(2) >= len(f.Samplers()) })
	start := time.Now()
	d.Serve = 2
	f.apply(d)
	f.eventually("every sampler serves version 2", func() bool { return f.samplersServing(2) == len(f.Samplers()) })
	if took := time.Since(start); took > bound {
		t.Errorf("took %s, want at most %s", took, bound)
	}
}

func (f *fleet) samplersOrderedToLoad(version uint64) int {
	n := 0
	for _, e := range f.Samplers() {
		for _, o := range e.Orders() {
			if o.Kind == engine.OrderLoad && o.Version == version {
				n++
				break
			}
		}
	}
	return n
}

func (f *fleet) samplersServing(version uint64) int {
	n := 0
	for _, e := range f.Samplers() {
		if e.Version() == version {
			n++
		}
	}
	return n
}

func TestOrderWithOldFencingToken(t *testing.T) {
	for _, fencing := range []string{"checked", "ignored"} {
		t.Run(fencing, func(t *testing.T) {
			size := smallFleet
			size.Engine.IgnoreFence = fencing == "ignored"
			f := startFleet(t, size)
			d := testDeclaration
			d.Fencing, d.Serve, d.Stage = fencing, 2, 2
			f.apply(d)
			f.eventually("every sampler serves version 2", func() bool { return f.samplersServing(2) == len(f.Samplers()) })
			client := engine.NewClient(nil)
			defer client.Close()
			for _, e := range f.Samplers() {
				order := engine.Order{Operation: "old", Fence: 0, Kind: engine.OrderSwitch, Version: 1}
				err := client.SendOrder(f.ctx, e.URL(), order)
				if refused := err != nil; refused != (fencing == "checked") {
					t.Fatalf("an order with an old fencing token got error %v", err)
				}
			}
			checker := newStepChecker()
			f.awaitStep(checker, f.requestStep(1), 1, 2)
			f.eventually("every sampler serves version 2 again", func() bool { return f.samplersServing(2) == len(f.Samplers()) })
		})
	}
}

func TestSamplersRestartWithOldWeights(t *testing.T) {
	f := startFleet(t, smallFleet)
	d := testDeclaration
	d.Serve, d.Stage, d.MaxBehind = 2, 2, 0
	f.apply(d)
	f.eventually("every sampler serves version 2", func() bool { return f.samplersServing(2) == len(f.Samplers()) })
	checker := newStepChecker()
	first := f.requestStep(1)
	f.keeperOf(1)
	f.Samplers()[0].Crash()
	f.Samplers()[1].Crash()
	f.awaitStep(checker, first, 1, 2)
	f.eventually("every sampler serves version 2 again", func() bool { return f.samplersServing(2) == len(f.Samplers()) })
	f.awaitStep(checker, f.requestStep(2), 2, 2)
}
