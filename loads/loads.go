// Package loads puts load on a running system and reports what came of it:
// open-loop callers, whose latency counts from the moment a request was due,
// and trainers that take step after step.
//
// The same plan can be sent straight to the endpoints, each request to one at
// random: the plain baseline that a run is compared with.
//
// # Usage
//
//	report, err := loads.Run(ctx, plan)
//	report.WriteTable(os.Stdout)
package loads

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/steps"
)

const (
	histogramMin    = 1
	histogramMax    = 10 * 60 * 1_000_000
	histogramDigits = 3
	maxInFlight     = 20_000
)

type (
	// Callers describe an open-loop load of interactive requests.
	Callers struct {
		// Service is the model service that is asked.
		Service string
		// PerSecond is the rate of arrivals.
		PerSecond float64
		// MaxTokens bounds each answer.
		MaxTokens int
		// Prompts is how many different prompts there are.
		Prompts int
		// Timeout bounds each request.
		Timeout time.Duration
	}

	// Trainer describes one trainer job.
	Trainer struct {
		// Name is the declared trainer.
		Name string
		// FirstStep is the number of the first step.
		FirstStep uint64
		// Groups, Samples and MaxTokens size a step; for the baseline.
		Groups int
		// Samples is the number of samples in a group.
		Samples int
		// MaxTokens bounds a sample; for the baseline.
		MaxTokens int
		// Think is how long the trainer works on a step before it asks again.
		Think time.Duration
		// Label says whether a sample's label is true, nil if nobody can tell.
		Label func(steps.Sample) bool
	}

	// Plan says what load to put on which nodes.
	Plan struct {
		// Nodes are base addresses of nodes to ask.
		Nodes []string
		// Domain is the callers' failure domain.
		Domain string
		// Duration is how long new work is begun.
		Duration time.Duration
		// Callers is the interactive load, nil for none.
		Callers *Callers
		// Trainers are the trainer jobs.
		Trainers []Trainer
		// Direct are engines to use in place of the nodes, for the baseline.
		Direct []string
		// Seed makes arrivals repeatable.
		Seed uint64
	}

	// tally collects what came of interactive requests.
	tally struct {
		mu       sync.Mutex
		latency  *hdrhistogram.Histogram
		outcomes map[string]int
		tokens   int
	}
)

// Run carries the plan out and waits until all that was begun has ended.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if len(plan.Nodes)+len(plan.Direct) == 0 {
		return nil, errors.New("name at least one node")
	}
	client := caller.New(plan.Nodes, plan.Domain)
	defer client.Close()
	report := &Report{Mode: "currantloft"}
	if len(plan.Direct) > 0 {
		report.Mode = "direct"
	}
	begun := time.Now()
	var tasks sync.WaitGroup
	var mu sync.Mutex
	if plan.Callers != nil {
		tasks.Go(func() { report.Callers = runCallers(ctx, plan, client) })
	}
	for _, t := range plan.Trainers {
		tasks.Go(func() {
			result := runTrainer(ctx, plan, t, client)
			mu.Lock()
			defer mu.Unlock()
			report.Trainers = append(report.Trainers, result)
		})
	}
	tasks.Wait()
	report.WallMs = time.Since(begun).Milliseconds()
	return report, ctx.Err()
}

// runCallers sends requests when they are due, whatever became of earlier ones.
func runCallers(ctx context.Context, plan Plan, client *caller.Client) *CallersReport {
	t := &tally{latency: newHistogram(), outcomes: make(map[string]int)}
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	slots := make(chan struct{}, maxInFlight)
	var tasks sync.WaitGroup
	begun := time.Now()
	due := begun
	sent := 0
	for due.Sub(begun) < plan.Duration && ctx.Err() == nil {
		time.Sleep(time.Until(due))
		at := due
		prompt := fmt.Sprintf("prompt %d", random.IntN(max(1, plan.Callers.Prompts)))
		seed := random.Uint64()
		slots <- struct{}{}
		sent++
		tasks.Go(func() {
			defer func() { <-slots }()
			t.note(at, ask(ctx, plan, client, prompt, seed))
		})
		due = due.Add(time.Duration(random.ExpFloat64() / plan.Callers.PerSecond * float64(time.Second)))
	}
	tasks.Wait()
	return t.report(sent, time.Since(begun))
}

// asked is what came of one request.
type asked struct {
	outcome string
	tokens  int
	detail  string
}

func ask(ctx context.Context, plan Plan, client *caller.Client, prompt string, seed uint64) asked {
	c := plan.Callers
	request := caller.Request{Prompt: prompt, MaxTokens: c.MaxTokens, Seed: seed, Timeout: c.Timeout}
	if len(plan.Direct) > 0 {
		return askDirect(ctx, plan.Direct, request)
	}
	answer, err := client.Tokens(ctx, c.Service, request)
	if err == nil {
		return asked{outcome: "answered", tokens: len(answer.Tokens())}
	}
	var refused *caller.Error
	if errors.As(err, &refused) && refused.Outcome() != "" {
		return asked{outcome: refused.Outcome(), detail: err.Error()}
	}
	client.Forget()
	return asked{outcome: "lost", detail: err.Error()}
}

func (t *tally) note(due time.Time, a asked) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[a.outcome]++
	if a.outcome != "answered" {
		return
	}
	t.tokens += a.tokens
	_ = t.latency.RecordValue(time.Since(due).Microseconds())
}

func (t *tally) report(sent int, wall time.Duration) *CallersReport {
	return &CallersReport{
		Sent:            sent,
		Outcomes:        t.outcomes,
		LatencyMs:       quantiles(t.latency),
		TokensPerSecond: float64(t.tokens) / wall.Seconds(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}
