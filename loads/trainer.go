package loads

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/steps"
)

// trainerRun is the state of one trainer during a run.
type trainerRun struct {
	plan    Plan
	trainer Trainer
	client  *caller.Client
	report  TrainerReport
	stepMs  *hdrhistogram.Histogram
	ageMs   *hdrhistogram.Histogram
	seenIDs map[string]bool
}

// runTrainer requests one step after another until the plan's duration is over.
func runTrainer(ctx context.Context, plan Plan, t Trainer, client *caller.Client) TrainerReport {
	r := &trainerRun{
		plan: plan, trainer: t, client: client,
		report: TrainerReport{Trainer: t.Name, VersionsBehind: make(map[uint64]int)},
		stepMs: newHistogram(), ageMs: newHistogram(), seenIDs: make(map[string]bool),
	}
	started := time.Now()
	var waited time.Duration
	for step := t.FirstStep; time.Since(started) < plan.Duration; step++ {
		requestedAt := time.Now()
		if err := r.step(ctx, step); err != nil {
			r.report.Problem = err.Error()
			break
		}
		took := time.Since(requestedAt)
		waited += took
		_ = r.stepMs.RecordValue(took.Microseconds())
		time.Sleep(t.ThinkTime)
	}
	r.report.IdleShare = waited.Seconds() / time.Since(started).Seconds()
	r.report.StepMs, r.report.AgeMs = quantiles(r.stepMs), quantiles(r.ageMs)
	return r.report
}

func (r *trainerRun) step(ctx context.Context, step uint64) error {
	groups := Prompts(r.trainer.Name, step, r.trainer.Groups)
	if len(r.plan.Direct) > 0 {
		r.report.Steps++
		r.report.Samples += stepDirect(ctx, r.plan.Direct, r.trainer, groups)
		return ctx.Err()
	}
	got, err := r.client.Step(ctx, r.trainer.Name, step, groups)
	if err != nil {
		return err
	}
	r.report.Steps++
	r.report.Requests += got.Attempts()
	r.recordStep(got)
	return nil
}

// recordStep counts duplicate, mislabelled and missing samples of a complete step and
// records the staleness of each sample.
func (r *trainerRun) recordStep(step caller.Step) {
	now := time.Now()
	newest := uint64(0)
	samples := 0
	for _, g := range step.Groups() {
		for _, s := range g.Samples {
			samples++
			if r.seenIDs[s.ID] {
				r.report.Duplicates++
			}
			r.seenIDs[s.ID] = true
			if r.trainer.CheckLabel != nil && !r.trainer.CheckLabel(s) {
				r.report.Mislabelled++
			}
			for _, v := range s.Versions {
				newest = max(newest, v.Version)
			}
		}
	}
	for _, g := range step.Groups() {
		for _, s := range g.Samples {
			oldest := newest
			for _, v := range s.Versions {
				oldest = min(oldest, v.Version)
			}
			r.report.VersionsBehind[newest-oldest]++
			_ = r.ageMs.RecordValue(now.Sub(time.UnixMilli(s.StartedAt)).Microseconds())
		}
	}
	r.report.Samples += samples
	if samples < r.trainer.Groups*r.trainer.Samples {
		r.report.ShortSteps++
	}
}

// Prompts returns the groups of a step that a trainer of this package requests.
func Prompts(trainer string, step uint64, groups int) []steps.GroupRequest {
	requests := make([]steps.GroupRequest, 0, groups)
	for i := range groups {
		requests = append(requests, steps.GroupRequest{
			Group:  fmt.Sprintf("g%d", i),
			Prompt: fmt.Sprintf("trainer %s step %d group %d: read the ticket and say what to do", trainer, step, i),
		})
	}
	return requests
}

// stepDirect is the baseline of a step: it sends each sample to a random engine and
// returns how many were generated completely.
func stepDirect(ctx context.Context, engines []string, t Trainer, groups []steps.GroupRequest) int {
	var tasks sync.WaitGroup
	var mu sync.Mutex
	complete := 0
	for _, g := range groups {
		for i := range t.Samples {
			tasks.Go(func() {
				request := caller.Request{Prompt: g.Prompt, MaxTokens: t.MaxTokens, Seed: uint64(i)}
				if sendDirect(ctx, engines, request).outcome == "answered" {
					mu.Lock()
					defer mu.Unlock()
					complete++
				}
			})
		}
	}
	tasks.Wait()
	return complete
}

var directClient = engine.NewClient(nil)

// sendDirect sends a request to a random engine.
func sendDirect(ctx context.Context, engines []string, request caller.Request) requestResult {
	if request.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Timeout)
		defer cancel()
	}
	stream, err := directClient.Start(ctx, engines[rand.IntN(len(engines))], engine.Request{
		Stream:    fmt.Sprintf("direct-%x", rand.Uint64()),
		Prompt:    request.Prompt,
		MaxTokens: request.MaxTokens,
		Seed:      request.Seed,
	})
	if err != nil {
		return requestResult{outcome: "lost", detail: err.Error()}
	}
	defer stream.Close()
	tokens := 0
	for {
		chunk, err := stream.Next()
		if err != nil {
			return requestResult{outcome: "lost", detail: err.Error()}
		}
		tokens += len(chunk.Tokens)
		if chunk.Done {
			return requestResult{outcome: "answered", tokens: tokens}
		}
	}
}
