// Package demo runs a fleet with fakes of all external systems in one process: nodes, a
// quote service, a plain service and two trainers that request steps while the weights
// change. It checks invariants and prints the results in a table.
//
// # Usage
//
//	err := demo.Run(ctx, os.Stdout)
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
	demoNodes             = 8
	demoSamplers          = 10
	demoQuotes            = 4
	demoDuration          = 8 * time.Second
	versionChangeDelay    = 3 * time.Second
	demoGroups            = 8
	demoSamples           = 4
	demoMaxTokens         = 48
	demoRequestsPerSecond = 20
	firstVersion          = 1
	nextVersion           = 2
)

// errInvariant reports that at least one invariant was violated.
var errInvariant = errors.New("an invariant did not hold, see the table")

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
	client := caller.New(fleet.NodeURLs(), "a")
	defer client.Close()
	declaration := Declaration{
		Serve: firstVersion, Stage: nextVersion, Trainers: []string{"tickets", "forecast"},
		Groups: demoGroups, Samples: demoSamples, MaxTokens: demoMaxTokens, MaxBehind: 1,
	}
	took, err := fleet.Apply(ctx, client, "demo-1", 0, declaration)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "generation 1 in force at %d nodes after %s\n", demoNodes, took.Round(time.Millisecond))
	var report *loads.Report
	var changeErr error
	var tasks sync.WaitGroup
	tasks.Go(func() { report, err = loads.Run(ctx, demoPlan(fleet)) })
	tasks.Go(func() {
		time.Sleep(versionChangeDelay)
		declaration.Serve = nextVersion
		took, changeErr = fleet.Apply(ctx, client, "demo-2", 1, declaration)
	})
	tasks.Wait()
	if err := errors.Join(err, changeErr); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "generation 2 (weights %d) in force at %d nodes after %s\n",
		nextVersion, demoNodes, took.Round(time.Millisecond))
	if err := report.WriteTable(out); err != nil {
		return err
	}
	return checkInvariants(fleet, report, out)
}

func demoPlan(fleet *Fleet) loads.Plan {
	plan := loads.Plan{
		Nodes: fleet.NodeURLs(), Domain: "a", Duration: demoDuration, Seed: 1,
		Callers: &loads.Callers{Service: "quote", Rate: demoRequestsPerSecond, MaxTokens: demoMaxTokens, Prompts: 20},
	}
	for _, name := range []string{"tickets", "forecast"} {
		plan.Trainers = append(plan.Trainers, loads.Trainer{
			Name: name, FirstStep: 1, Groups: demoGroups, Samples: demoSamples, MaxTokens: demoMaxTokens,
			ThinkTime: 200 * time.Millisecond, CheckLabel: labelMatches,
		})
	}
	return plan
}

// Apply puts a declaration in force at every node and returns how long that took after
// its acceptance.
func (f *Fleet) Apply(
	ctx context.Context, client *caller.Client, operation string, base uint64, d Declaration,
) (time.Duration, error) {
	request := active.Request{OperationID: operation, Base: base, Files: f.Files(d)}
	for {
		applied, err := client.Apply(ctx, f.NodeURLs()[0], request)
		var callErr *caller.Error
		var conflict *caller.ConflictError
		if errors.As(err, &callErr) || errors.As(err, &conflict) {
			return 0, err
		}
		if err == nil {
			accepted := time.Now()
			_, err := client.AwaitGeneration(ctx, f.NodeURLs(), applied.Generation)
			return time.Since(accepted), err
		}
		// The node may not be listening yet.
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// checkInvariants prints each invariant and whether it held. It returns an error if
// one did not.
func checkInvariants(fleet *Fleet, report *loads.Report, out io.Writer) error {
	failed := false
	reportInvariant := func(name string, violations int) {
		status := "held"
		if violations > 0 {
			status = fmt.Sprintf("BROKEN %d times", violations)
			failed = true
		}
		_, _ = fmt.Fprintf(out, "  %-58s %s\n", name, status)
	}
	doubled, short, stalledTrainers, mislabelled := 0, 0, 0, 0
	for _, t := range report.Trainers {
		doubled += t.Duplicates
		short += t.ShortSteps
		mislabelled += t.Mislabelled
		if t.Steps < 3 || t.Problem != "" {
			stalledTrainers++
		}
	}
	lost := report.Callers.Sent - report.Callers.Outcomes["answered"]
	reportInvariant("every quote request answered completely", lost)
	reportInvariant("every sample delivered once", doubled)
	reportInvariant("every sample labelled with the versions that generated it", mislabelled)
	reportInvariant("every step delivered completely", short)
	reportInvariant("every trainer received at least 3 steps", stalledTrainers)
	reportInvariant("every sampler serves the declared weights", countSamplersNotServing(fleet, nextVersion))
	if failed {
		return errInvariant
	}
	return nil
}

// labelMatches reports whether a sample is labelled with the versions encoded in its
// tokens.
func labelMatches(s steps.Sample) bool {
	actual := model.TrueVersions(s.Text)
	index := 0
	for _, v := range s.Versions {
		for range v.Tokens {
			if index >= len(actual) || actual[index] != v.Version {
				return false
			}
			index++
		}
	}
	return index == len(actual)
}

func countSamplersNotServing(fleet *Fleet, version uint64) int {
	n := 0
	for _, e := range fleet.Samplers() {
		if e.Version() != version {
			n++
		}
	}
	return n
}
