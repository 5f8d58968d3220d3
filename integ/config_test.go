package integ

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/fakes/objapi"
)

const inForceBound = 7 * time.Second

// assertInForce checks that every node has the generation in force within the bound.
func (f *fleet) assertInForce(generation uint64, since time.Time) {
	f.t.Helper()
	if _, err := f.client.AwaitGeneration(f.ctx, f.urls(), generation); err != nil {
		f.t.Fatal(err)
	}
	if took := time.Since(since); took > inForceBound {
		f.t.Errorf("in force everywhere after %s, want at most %s", took, inForceBound)
	}
}

func TestConcurrentApplies(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	var tasks sync.WaitGroup
	errs := make([]error, len(f.nodes))
	for i, n := range f.nodes {
		tasks.Go(func() {
			d := testDeclaration
			d.MaxTokens = 100 + i
			request := active.Request{OperationID: fmt.Sprint("racer-", i), Base: f.generation, Files: f.Files(d)}
			_, errs[i] = f.client.Apply(f.ctx, n.url, request)
		})
	}
	tasks.Wait()
	won := 0
	for _, err := range errs {
		var conflict *caller.ConflictError
		switch {
		case err == nil:
			won++
		case !errors.As(err, &conflict) || len(conflict.Changes()) == 0:
			t.Errorf("got %v, want a conflict that lists the changes", err)
		}
	}
	if won != 1 {
		t.Fatalf("%d of %d concurrent applies were accepted, want 1", won, len(errs))
	}
	f.assertInForce(f.generation+1, time.Now())
}

func TestApplyUnderPlatformFaults(t *testing.T) {
	cases := map[string]struct {
		faults   objapi.Faults
		accepted bool
	}{
		"answer lost after effect": {faults: objapi.Faults{LoseAnswers: 1, LoseKind: "config"}, accepted: true},
		"slow":                     {faults: objapi.Faults{DelayMs: 400}, accepted: true},
		"down":                     {faults: objapi.Faults{Down: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			f.apply(testDeclaration)
			f.Platform().SetFaults(c.faults)
			d := testDeclaration
			d.MaxTokens = 99
			request := active.Request{OperationID: "second", Base: f.generation, Files: f.Files(d)}
			applied, err := f.client.Apply(f.ctx, f.nodes[2].url, request)
			if c.accepted != (err == nil) {
				t.Fatalf("got %v, accepted should be %t", err, c.accepted)
			}
			f.Platform().SetFaults(objapi.Faults{})
			if !c.accepted {
				applied, err = f.client.Apply(f.ctx, f.nodes[3].url, request)
				if err != nil {
					t.Fatal(err)
				}
			}
			if applied.Generation != f.generation+1 {
				t.Fatalf("accepted as generation %d, want %d", applied.Generation, f.generation+1)
			}
			f.assertInForce(applied.Generation, time.Now())
		})
	}
}

func TestOutageRightAfterAcceptance(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	d := testDeclaration
	d.MaxTokens = 77
	applied, err := f.client.Apply(f.ctx, f.nodes[1].url,
		active.Request{OperationID: "last", Base: f.generation, Files: f.Files(d)})
	f.Platform().SetFaults(objapi.Faults{Down: true})
	if err != nil {
		t.Fatal(err)
	}
	f.assertInForce(applied.Generation, time.Now())
	t.Run("nodes restarted one by one during the outage", func(t *testing.T) {
		for _, n := range f.nodes {
			f.kill(n)
			f.start(n)
			f.awaitAnswer(n)
			f.assertInForce(applied.Generation, time.Now())
		}
	})
}

func TestFrozenNodeCatchesUpFromPeers(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	frozen := f.nodes[4]
	frozen.signal(syscall.SIGSTOP)
	d := testDeclaration
	d.MaxTokens = 55
	applied, err := f.client.Apply(f.ctx, f.nodes[0].url,
		active.Request{OperationID: "while-cut", Base: f.generation, Files: f.Files(d)})
	if err != nil {
		t.Fatal(err)
	}
	f.Platform().SetFaults(objapi.Faults{Down: true})
	f.eventually("the frozen node is considered dead", func() bool {
		status, err := f.client.Status(f.ctx, f.nodes[0].url)
		if err != nil {
			return false
		}
		for _, m := range status.Members {
			if m.Name == frozen.name {
				return m.State == "dead"
			}
		}
		return false
	})
	frozen.signal(syscall.SIGCONT)
	f.assertInForce(applied.Generation, time.Now())
	f.awaitMembers(len(f.nodes))
}

func TestNodeWithoutConfigurationRejectsRequests(t *testing.T) {
	f := startFleet(t, demo.Size{Nodes: 2, Samplers: 1, Quotes: 1, Plains: 1})
	_, err := f.client.TokensAt(f.ctx, f.nodes[0].url, "quote", caller.Request{Prompt: "x", MaxTokens: 4})
	assertNotRun(t, err)
}

func TestPlatformCutFromOneNode(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	f.nodes[0].platformProxy.Stop()
	d := testDeclaration
	d.MaxTokens = 44
	applied, err := f.client.Apply(f.ctx, f.nodes[1].url,
		active.Request{OperationID: "cut", Base: f.generation, Files: f.Files(d)})
	if err != nil {
		t.Fatal(err)
	}
	f.assertInForce(applied.Generation, time.Now())
	checker := newStepChecker()
	f.awaitStep(checker, f.requestStep(1), 1, 1)
	f.awaitStep(checker, f.requestStep(2), 2, 1)
}
