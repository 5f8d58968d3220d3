package integ

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/fakes/objapi"
	"github.com/currantloft/currantloft/loads"
)

const (
	stepGroups  = 4
	stepSamples = 3
	stepTokens  = 40
	trainer     = "tickets"
)

var (
	smallFleet = demo.Size{
		Nodes: 5, Samplers: 4, Quotes: 2, Plains: 2, Heartbeat: 200 * time.Millisecond,
		Engine: model.Options{Version: 1, Token: 20 * time.Millisecond},
	}
	declared = demo.Declaration{
		Serve: 1, Trainers: []string{trainer}, Groups: stepGroups, Samples: stepSamples, MaxTokens: stepTokens,
		MaxBehind: 1,
	}
)

// stepResult is what a trainer got.
type stepResult struct {
	step caller.Step
	err  error
}

// ask begins to ask for a step.
func (f *fleet) ask(step uint64) <-chan stepResult {
	results := make(chan stepResult, 1)
	go func() {
		got, err := f.client.Step(f.ctx, trainer, step, loads.Prompts(trainer, step, stepGroups))
		results <- stepResult{step: got, err: err}
	}()
	return results
}

// take waits for a step and checks it.
func (f *fleet) take(l *ledger, results <-chan stepResult, step, served uint64) caller.Step {
	f.t.Helper()
	r := <-results
	if r.err != nil {
		f.t.Fatalf("step %d: %v", step, r.err)
	}
	l.take(f.t, r.step, loads.Prompts(trainer, step, stepGroups), stepSamples, served, 1)
	return r.step
}

func TestStepKeeperFails(t *testing.T) {
	cases := map[string]func(f *fleet, keeper *process){
		"killed": func(f *fleet, keeper *process) { f.kill(keeper) },
		"frozen": func(_ *fleet, keeper *process) { keeper.signal(syscall.SIGSTOP) },
		"killed while the platform is down": func(f *fleet, keeper *process) {
			f.Platform().SetFaults(objapi.Faults{Down: true})
			f.kill(keeper)
			time.AfterFunc(2*time.Second, func() { f.Platform().SetFaults(objapi.Faults{}) })
		},
		"frozen and back while the platform is down": func(f *fleet, keeper *process) {
			f.Platform().SetFaults(objapi.Faults{Down: true})
			keeper.signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { keeper.signal(syscall.SIGCONT) })
			time.AfterFunc(3*time.Second, func() { f.Platform().SetFaults(objapi.Faults{}) })
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			f.apply(declared)
			l := newLedger()
			f.take(l, f.ask(1), 1, 1)
			second := f.ask(2)
			keeper := f.keeperOf(2)
			fail(f, keeper)
			f.take(l, second, 2, 1)
			keeper.signal(syscall.SIGCONT)
			f.take(l, f.ask(3), 3, 1)
		})
	}
}

func TestStepDeliveryCut(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(declared)
	l := newLedger()
	asked := loads.Prompts(trainer, 1, stepGroups)
	first, err := f.client.Step(f.ctx, trainer, 1, asked)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("asked again at every node", func(t *testing.T) {
		for _, n := range f.nodes {
			again, err := f.client.StepAt(f.ctx, n.url, trainer, 1, asked)
			if err != nil || again.Summary() != first.Summary() {
				t.Fatalf("got %v %v, want %v", again.Summary(), err, first.Summary())
			}
		}
	})
	t.Run("after the keeper's death", func(t *testing.T) {
		f.kill(f.keeperOf(1))
		again, err := f.client.Step(f.ctx, trainer, 1, asked)
		if err != nil || again.Summary() != first.Summary() {
			t.Fatalf("got %v %v, want %v", again.Summary(), err, first.Summary())
		}
	})
	l.take(t, first, asked, stepSamples, 1, 1)
	f.take(l, f.ask(2), 2, 1)
}

func TestStepPlatformFails(t *testing.T) {
	cases := map[string]objapi.Faults{
		"down for a whole step":                {Down: true},
		"silent for a whole step":              {Silent: true},
		"slow":                                 {LatencyMs: 300},
		"loses the seal's answer":              {LoseAnswers: 1, LoseKind: "steps"},
		"loses the answers to the bulk writes": {LoseAnswers: 2, LoseKind: "step_data"},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			f.apply(declared)
			l := newLedger()
			f.take(l, f.ask(1), 1, 1)
			f.Platform().SetFaults(faults)
			second := f.ask(2)
			time.AfterFunc(3*time.Second, func() { f.Platform().SetFaults(objapi.Faults{}) })
			f.take(l, second, 2, 1)
			f.take(l, f.ask(3), 3, 1)
		})
	}
}

func TestStepEndpointFails(t *testing.T) {
	cases := map[string]struct {
		fail    func(f *fleet)
		fencing string
	}{
		"sampler crashes in a group": {fail: func(f *fleet) { f.Samplers()[0].Crash() }},
		"connections go silent": {fail: func(f *fleet) {
			for _, e := range f.Samplers() {
				e.SetFaults(model.Faults{Hush: true})
			}
		}},
		"switch fails partway": {fail: func(f *fleet) {
			f.Samplers()[1].SetFaults(model.Faults{PartialSwitch: true})
			next := declared
			next.Serve, next.Stage = 2, 2
			f.apply(next)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			d := declared
			d.Fencing = c.fencing
			f.apply(d)
			l := newLedger()
			f.take(l, f.ask(1), 1, 1)
			second := f.ask(2)
			f.keeperOf(2)
			c.fail(f)
			f.take(l, second, 2, 1)
			f.take(l, f.ask(3), 3, 1)
		})
	}
}

func TestStepBadInput(t *testing.T) {
	f := startFleet(t, demo.Size{Nodes: 2, Samplers: 2, Quotes: 1, Plains: 1, Engine: model.Options{Version: 1}})
	f.apply(declared)
	l := newLedger()
	f.take(l, f.ask(1), 1, 1)
	f.take(l, f.ask(2), 2, 1)
	asked := loads.Prompts(trainer, 2, stepGroups)
	cases := map[string]struct {
		trainer string
		step    uint64
		groups  int
		status  int
	}{
		"unknown trainer": {trainer: "nobody", step: 1, groups: 1, status: 404},
		"step gone":       {trainer: trainer, step: 1, groups: stepGroups, status: 409},
		"step far ahead":  {trainer: trainer, step: 9, groups: stepGroups, status: 409},
		"other groups":    {trainer: trainer, step: 2, groups: 1, status: 409},
		"too many groups": {trainer: trainer, step: 3, groups: stepGroups + 1, status: 400},
		"no groups":       {trainer: trainer, step: 3, groups: 0, status: 400},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(f.ctx, 5*time.Second)
			defer cancel()
			_, err := f.client.StepAt(ctx, f.nodes[1].url, c.trainer, c.step, loads.Prompts(trainer, 2, c.groups))
			assertStatus(t, err, c.status)
		})
	}
	again, err := f.client.Step(f.ctx, trainer, 2, asked)
	if err != nil || again.Summary().Step != 2 {
		t.Fatalf("step 2 is gone: %v", err)
	}
}
