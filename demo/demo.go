// Package demo runs the main job on stand-ins embedded in one process: nodes,
// quotes, a plain service and two trainers that take steps across a change of
// weights. It checks what must always hold and says so in a table.
//
// # Usage
//
//	ok, err := demo.Run(ctx, os.Stdout)
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/loads"
	"github.com/currantloft/currantloft/steps"
)

const (
	demoNodes    = 8
	demoSamplers = 10
	demoQuotes   = 4
	demoTime     = 8 * time.Second
	changeAfter  = 3 * time.Second
	demoGroups   = 8
	demoSamples  = 4
	demoTokens   = 48
	demoRate     = 20
	firstVersion = 1
	nextVersion  = 2
)

// errBroken says that something that must always hold did not.
var errBroken = errors.New("an invariant did not hold, see the table")

// Run runs the demo and writes its table. It returns an error if an invariant
// did not hold.
func Run(ctx context.Context, out io.Writer) error {
	fleet, err := StartFleet(ctx, Size{
		Nodes: demoNodes, Samplers: demoSamplers, Quotes: demoQuotes, Plains: 2,
		Engine: model.Options{Version: firstVersion},
	}, zap.NewNop())
	if err != nil {
		return err
	}
	err = runOn(ctx, fleet, out)
	return errors.Join(err, fleet.Close())
}

func runOn(ctx context.Context, fleet *Fleet, out io.Writer) error {
	client := caller.New(fleet.URLs(), "a")
	defer client.Close()
	declared := Declaration{
		Serve: firstVersion, Stage: nextVersion, Trainers: []string{"tickets", "forecast"},
		Groups: demoGroups, Samples: demoSamples, MaxTokens: demoTokens, MaxBehind: 1,
	}
	took, err := fleet.Apply(ctx, client, "demo-1", 0, declared)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "generation 1 in force at %d nodes after %s\n", demoNodes, took.Round(time.Millisecond))
	var report *loads.Report
	var changed error
	var tasks sync.WaitGroup
	tasks.Go(func() { report, err = loads.Run(ctx, demoPlan(fleet)) })
	tasks.Go(func() {
		time.Sleep(changeAfter)
		declared.Serve = nextVersion
		took, changed = fleet.Apply(ctx, client, "demo-2", 1, declared)
	})
	tasks.Wait()
	if err := errors.Join(err, changed); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "generation 2 (weights %d) in force at %d nodes after %s\n",
		nextVersion, demoNodes, took.Round(time.Millisecond))
	if err := report.WriteTable(out); err != nil {
		return err
	}
	return check(fleet, report, out)
}

func demoPlan(fleet *Fleet) loads.Plan {
	plan := loads.Plan{
		Nodes: fleet.URLs(), Domain: "a", Duration: demoTime, Seed: 1,
		Callers: &loads.Callers{Service: "quote", PerSecond: demoRate, MaxTokens: demoTokens, Prompts: 20},
	}
	for _, name := range []string{"tickets", "forecast"} {
		plan.Trainers = append(plan.Trainers, loads.Trainer{
			Name: name, FirstStep: 1, Groups: demoGroups, Samples: demoSamples, MaxTokens: demoTokens,
			Think: 200 * time.Millisecond, Label: trueLabel,
		})
	}
	return plan
}

// Apply puts a declaration in force at every node and returns how long that
// took from its acceptance on.
func (f *Fleet) Apply(
	ctx context.Context, client *caller.Client, operation string, base uint64, d Declaration,
) (time.Duration, error) {
	request := active.Request{OperationID: operation, Base: base, Files: f.Files(d)}
	for {
		applied, err := client.Apply(ctx, f.URLs()[0], request)
		var refused *caller.Error
		var conflict *caller.ConflictError
		if errors.As(err, &refused) || errors.As(err, &conflict) {
			return 0, err
		}
		if err == nil {
			begun := time.Now()
			_, err := client.AwaitGeneration(ctx, f.URLs(), applied.Generation)
			return time.Since(begun), err
		}
		// The node may not listen yet.
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// check prints each invariant and whether it held.
func check(fleet *Fleet, report *loads.Report, out io.Writer) error {
	broken := false
	say := func(name string, bad int) {
		verdict := "held"
		if bad > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", bad)
			broken = true
		}
		_, _ = fmt.Fprintf(out, "  %-58s %s\n", name, verdict)
	}
	doubled, short, idle, wrong := 0, 0, 0, 0
	for _, t := range report.Trainers {
		doubled += t.Doubled
		short += t.Short
		wrong += t.Mislabelled
		if t.Steps < 3 || t.Problem != "" {
			idle++
		}
	}
	lost := report.Callers.Sent - report.Callers.Outcomes["answered"]
	say("every quote answered whole", lost)
	say("every sample delivered once", doubled)
	say("every sample labelled with what truly made it", wrong)
	say("every step delivered whole", short)
	say("every trainer took at least 3 steps", idle)
	say("every sampler serves the declared weights", otherVersion(fleet, nextVersion))
	if broken {
		return errBroken
	}
	return nil
}

// trueLabel compares a sample's label with what its tokens say.
func trueLabel(s steps.Sample) bool {
	truth := model.TrueVersions(s.Text)
	at := 0
	for _, v := range s.Versions {
		for range v.Tokens {
			if at >= len(truth) || truth[at] != v.Version {
				return false
			}
			at++
		}
	}
	return at == len(truth)
}

func otherVersion(fleet *Fleet, version uint64) int {
	n := 0
	for _, e := range fleet.Samplers() {
		if e.Version() != version {
			n++
		}
	}
	return n
}
