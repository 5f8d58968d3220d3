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
		Engine: model.Options{Version: 1, TokenTime: 20 * time.Millisecond},
	}
	testDeclaration = demo.Declaration{
		Serve: 1, Trainers: []string{trainer}, Groups: stepGroups, Samples: stepSamples, MaxTokens: stepTokens,
		MaxBehind: 1,
	}
)

// stepResult is the outcome of a trainer's request for a step.
type stepResult struct {
	step caller.Step
	err  error
}

// requestStep requests a step in the background.
func (f *fleet) requestStep(step uint64) <-chan stepResult {
	results := make(chan stepResult, 1)
	go func() {
		got, err := f.client.Step(f.ctx, trainer, step, loads.Prompts(trainer, step, stepGroups))
		results <- stepResult{step: got, err: err}
	}()
	return results
}

// awaitStep waits for a requested step, checks and returns it.
func (f *fleet) awaitStep(checker *stepChecker, results <-chan stepResult, step, servedVersion uint64) caller.Step {
	f.t.Helper()
	r := <-results
	if r.err != nil {
		f.t.Fatalf("step %d: %v", step, r.err)
	}
	checker.check(f.t, r.step, loads.Prompts(trainer, step, stepGroups), stepSamples, servedVersion, 1)
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
		"frozen for 2 s while the platform is down": func(f *fleet, keeper *process) {
			f.Platform().SetFaults(objapi.Faults{Down: true})
			keeper.signal(syscall.SIGSTOP)
			time.AfterFunc(2*time.Second, func() { keeper.signal(syscall.SIGCONT) })
			time.AfterFunc(3*time.Second, func() { f.Platform().SetFaults(objapi.Faults{}) })
		},
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			f.apply(testDeclaration)
			checker := newStepChecker()
			f.awaitStep(checker, f.requestStep(1), 1, 1)
			second := f.requestStep(2)
			keeper := f.keeperOf(2)
			inject(f, keeper)
			f.awaitStep(checker, second, 2, 1)
			keeper.signal(syscall.SIGCONT)
			f.awaitStep(checker, f.requestStep(3), 3, 1)
		})
	}
}

func TestStepRequestedAgain(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	checker := newStepChecker()
	requested := loads.Prompts(trainer, 1, stepGroups)
	first, err := f.client.Step(f.ctx, trainer, 1, requested)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("requested again at every node", func(t *testing.T) {
		for _, n := range f.nodes {
			again, err := f.client.StepAt(f.ctx, n.url, trainer, 1, requested)
			if err != nil || again.Summary() != first.Summary() {
				t.Fatalf("got %v %v, want %v", again.Summary(), err, first.Summary())
			}
		}
	})
	t.Run("after the keeper is killed", func(t *testing.T) {
		f.kill(f.keeperOf(1))
		again, err := f.client.Step(f.ctx, trainer, 1, requested)
		if err != nil || again.Summary() != first.Summary() {
			t.Fatalf("got %v %v, want %v", again.Summary(), err, first.Summary())
		}
	})
	checker.check(t, first, requested, stepSamples, 1, 1)
	f.awaitStep(checker, f.requestStep(2), 2, 1)
}

func TestStepPlatformFails(t *testing.T) {
	cases := map[string]objapi.Faults{
		"down during a step":                   {Down: true},
		"unresponsive during a step":           {Unresponsive: true},
		"slow":                                 {DelayMs: 300},
		"loses the seal's answer":              {LoseAnswers: 1, LoseKind: "steps"},
		"loses the answers to the bulk writes": {LoseAnswers: 2, LoseKind: "step_data"},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			f.apply(testDeclaration)
			checker := newStepChecker()
			f.awaitStep(checker, f.requestStep(1), 1, 1)
			f.Platform().SetFaults(faults)
			second := f.requestStep(2)
			time.AfterFunc(3*time.Second, func() { f.Platform().SetFaults(objapi.Faults{}) })
			f.awaitStep(checker, second, 2, 1)
			f.awaitStep(checker, f.requestStep(3), 3, 1)
		})
	}
}

func TestStepEndpointFails(t *testing.T) {
	cases := map[string]struct {
		inject  func(f *fleet)
		fencing string
	}{
		"sampler crashes during a group": {inject: func(f *fleet) { f.Samplers()[0].Crash() }},
		"samplers crash again and again": {inject: func(f *fleet) {
			// Each sample is in flight at several crashes.
			for i := range 5 * len(f.Samplers()) {
				f.Samplers()[i%len(f.Samplers())].Crash()
				time.Sleep(100 * time.Millisecond)
			}
		}},
		"connections stall": {inject: func(f *fleet) {
			for _, e := range f.Samplers() {
				e.SetFaults(model.Faults{Stall: true})
			}
		}},
		"switch fails partway": {inject: func(f *fleet) {
			f.Samplers()[1].SetFaults(model.Faults{PartialSwitch: true})
			next := testDeclaration
			next.Serve, next.Stage = 2, 2
			f.apply(next)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			d := testDeclaration
			d.Fencing = c.fencing
			f.apply(d)
			checker := newStepChecker()
			f.awaitStep(checker, f.requestStep(1), 1, 1)
			second := f.requestStep(2)
			f.keeperOf(2)
			c.inject(f)
			f.awaitStep(checker, second, 2, 1)
			f.awaitStep(checker, f.requestStep(3), 3, 1)
		})
	}
}

func TestStepBadInput(t *testing.T) {
	f := startFleet(t, demo.Size{Nodes: 2, Samplers: 2, Quotes: 1, Plains: 1, Engine: model.Options{Version: 1}})
	f.apply(testDeclaration)
	checker := newStepChecker()
	f.awaitStep(checker, f.requestStep(1), 1, 1)
	f.awaitStep(checker, f.requestStep(2), 2, 1)
	requested := loads.Prompts(trainer, 2, stepGroups)
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
	again, err := f.client.Step(f.ctx, trainer, 2, requested)
	if err != nil || again.Summary().Step != 2 {
		t.Fatalf("step 2 is no longer available: %v", err)
	}
}
