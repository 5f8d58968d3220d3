// Package loads generates load on a running system and reports the results. The
// load consists of open-loop callers, whose latency counts from the time at
// which a request was due, and of trainers that request one step after another.
//
// As a baseline for comparison, the same plan can be sent directly to the engines,
// each request to a random one.
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
	histogramMinMicros = 1
	histogramMaxMicros = 10 * 60 * 1_000_000
	histogramDigits    = 3
	maxInFlight        = 20_000
)

type (
	// Callers describes an open-loop load of interactive requests.
	Callers struct {
		// Service is the model service that gets the requests.
		Service string
		// Rate is the mean rate of requests.
		Rate float64
		// MaxTokens is the maximum number of tokens in an answer.
		MaxTokens int
		// Prompts is the number of different prompts.
		Prompts int
		// Timeout bounds each request; 0 means the service's own limit.
		Timeout time.Duration
	}

	// Trainer describes the load of one trainer.
	Trainer struct {
		// Name is the trainer's name in the configuration.
		Name string
		// FirstStep is the number of the first step.
		FirstStep uint64
		// Groups is the number of groups in a step.
		Groups int
		// Samples is the number of samples in a group.
		Samples int
		// MaxTokens is the maximum number of tokens in a sample. Only the baseline
		// uses it; otherwise the configuration sets it.
		MaxTokens int
		// ThinkTime is how long the trainer works on a step before it requests the next.
		ThinkTime time.Duration
		// CheckLabel reports whether a sample is labelled with the versions that
		// generated it; nil skips the check.
		CheckLabel func(steps.Sample) bool
	}

	// Plan describes the load of a run and its targets.
	Plan struct {
		// Nodes are base URLs of nodes, from which callers get node addresses.
		Nodes []string
		// Domain is the callers' failure domain.
		Domain string
		// Duration is how long new requests and steps are started.
		Duration time.Duration
		// Callers is the interactive load; nil means none.
		Callers *Callers
		// Trainers are the loads of trainers.
		Trainers []Trainer
		// Direct are base URLs of engines to use instead of the nodes, for the
		// baseline.
		Direct []string
		// Seed makes arrival times, prompts and seeds repeatable.
		Seed uint64
	}

	// callersResult collects the results of interactive requests.
	callersResult struct {
		mu       sync.Mutex
		latency  *hdrhistogram.Histogram
		outcomes map[string]int
		tokens   int
	}
)

// Run executes the plan and waits until all started requests and steps have ended.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if len(plan.Nodes)+len(plan.Direct) == 0 {
		return nil, errors.New("no nodes and no engines given")
	}
	client := caller.New(plan.Nodes, plan.Domain)
	defer client.Close()
	report := &Report{Mode: "currantloft"}
	if len(plan.Direct) > 0 {
		report.Mode = "direct"
	}
	started := time.Now()
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
	report.WallMs = time.Since(started).Milliseconds()
	return report, ctx.Err()
}

// runCallers sends each request when it is due, without waiting for the answers
// to earlier ones. If maxInFlight requests are in flight, it waits until one
// has ended.
func runCallers(ctx context.Context, plan Plan, client *caller.Client) *CallersReport {
	t := &callersResult{latency: newHistogram(), outcomes: make(map[string]int)}
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	slots := make(chan struct{}, maxInFlight)
	var tasks sync.WaitGroup
	started := time.Now()
	due := started
	sent := 0
	for due.Sub(started) < plan.Duration && ctx.Err() == nil {
		time.Sleep(time.Until(due))
		arrival := due
		prompt := fmt.Sprintf("prompt %d", random.IntN(max(1, plan.Callers.Prompts)))
		seed := random.Uint64()
		slots <- struct{}{}
		sent++
		tasks.Go(func() {
			defer func() { <-slots }()
			t.record(arrival, sendRequest(ctx, plan, client, prompt, seed))
		})
		due = due.Add(time.Duration(random.ExpFloat64() / plan.Callers.Rate * float64(time.Second)))
	}
	tasks.Wait()
	return t.report(sent, time.Since(started))
}

// requestResult is the result of one request.
type requestResult struct {
	outcome string
	tokens  int
	detail  string
}

func sendRequest(ctx context.Context, plan Plan, client *caller.Client, prompt string, seed uint64) requestResult {
	c := plan.Callers
	request := caller.Request{Prompt: prompt, MaxTokens: c.MaxTokens, Seed: seed, Timeout: c.Timeout}
	if len(plan.Direct) > 0 {
		return sendDirect(ctx, plan.Direct, request)
	}
	answer, err := client.Tokens(ctx, c.Service, request)
	if err == nil {
		return requestResult{outcome: "answered", tokens: len(answer.Tokens())}
	}
	var callErr *caller.Error
	if errors.As(err, &callErr) && callErr.Outcome() != "" {
		return requestResult{outcome: callErr.Outcome(), detail: err.Error()}
	}
	client.ExpireAddresses()
	return requestResult{outcome: "lost", detail: err.Error()}
}

func (t *callersResult) record(due time.Time, result requestResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[result.outcome]++
	if result.outcome != "answered" {
		return
	}
	t.tokens += result.tokens
	_ = t.latency.RecordValue(time.Since(due).Microseconds())
}

func (t *callersResult) report(sent int, wall time.Duration) *CallersReport {
	return &CallersReport{
		Sent:            sent,
		Outcomes:        t.outcomes,
		LatencyMs:       quantiles(t.latency),
		TokensPerSecond: float64(t.tokens) / wall.Seconds(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits)
}
