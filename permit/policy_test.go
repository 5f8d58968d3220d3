package permit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	nodeCount        = 8
	endpointCount    = 10
	endpointWindow   = 8
	tokensPerRequest = 32
	trialTime        = 6 * time.Second
	answerLimit      = time.Second
	trainerCount     = 120
	reportLag        = 2 * time.Second
)

type (
	// policy selects the endpoint for a request that arrived at a node.
	policy interface {
		name() string
		acquire(ctx context.Context, node int, request Request) (endpoint int, done func(Result), err error)
	}

	// independent is policy (a): each node takes the less loaded of two random
	// endpoints, by delayed load reports and its own requests in flight.
	independent struct {
		mu           sync.Mutex
		reportedLoad [endpointCount]int
		inFlight     [nodeCount][endpointCount]int
	}

	// split is policy (b): each node has a fixed share of every endpoint's window.
	split struct{ cells [nodeCount]*Cell }

	// keeper is policy (c): four cells, each scheduled by one keeper.
	keeper struct{ cells []*Cell }

	// random is the baseline.
	random struct{}
)

func (*independent) name() string { return "(a) each node alone" }
func (*split) name() string       { return "(b) split windows" }
func (*keeper) name() string      { return "(c) a keeper a cell" }
func (*random) name() string      { return "baseline, random" }

func (*random) acquire(context.Context, int, Request) (int, func(Result), error) {
	return rand.IntN(endpointCount), func(Result) {}, nil
}

func (a *independent) acquire(_ context.Context, node int, _ Request) (int, func(Result), error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	best := rand.IntN(endpointCount)
	if other := rand.IntN(endpointCount); a.load(node, other) < a.load(node, best) {
		best = other
	}
	a.inFlight[node][best]++
	return best, func(Result) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.inFlight[node][best]--
	}, nil
}

func (a *independent) load(node, endpoint int) int {
	return a.reportedLoad[endpoint] + a.inFlight[node][endpoint]
}

// pollLoads refreshes the delayed load reports.
func (a *independent) pollLoads(ctx context.Context, client *engine.Client, engines []*model.Engine) {
	for ctx.Err() == nil {
		for i, e := range engines {
			if status, err := client.Status(ctx, e.URL()); err == nil {
				a.mu.Lock()
				a.reportedLoad[i] = status.Running + status.Waiting
				a.mu.Unlock()
			}
		}
		time.Sleep(reportLag / 4)
	}
}

func (s *split) acquire(ctx context.Context, node int, request Request) (int, func(Result), error) {
	return acquireFrom(ctx, s.cells[node], request)
}

func (k *keeper) acquire(ctx context.Context, _ int, request Request) (int, func(Result), error) {
	first, second := k.cells[rand.IntN(len(k.cells))], k.cells[rand.IntN(len(k.cells))]
	if utilizationOf(second.Load()) < utilizationOf(first.Load()) {
		first = second
	}
	return acquireFrom(ctx, first, request)
}

func utilizationOf(l Load) float64 { return float64(l.Queued+l.InFlight) / float64(max(1, l.Capacity)) }

func acquireFrom(ctx context.Context, c *Cell, request Request) (int, func(Result), error) {
	grant, err := c.Acquire(ctx, request)
	if err != nil {
		return 0, nil, err
	}
	var index int
	_, _ = fmt.Sscanf(grant.Endpoint(), "e%d", &index)
	return index, grant.Done, nil
}

// cellsOf returns n cells with the endpoints divided among them.
func cellsOf(b *testing.B, n, window int) []*Cell {
	b.Helper()
	unsplit := newTestCell(b, endpointCount, window, true)
	cells := make([]*Cell, n)
	for i := range cells {
		var part []specs.Endpoint
		for j, e := range unsplit.layout.Endpoints {
			if j%n == i {
				part = append(part, e)
			}
		}
		cells[i] = NewCell(fmt.Sprint(i))
		cells[i].Configure(Layout{Endpoints: part, Window: window, Reserve: true})
		for _, e := range part {
			cells[i].Report(e.Name(), Report{Ready: true, Incarnation: 1})
		}
	}
	return cells
}

// trial runs one load against one policy.
type trial struct {
	policy  policy
	client  *engine.Client
	engines []*model.Engine

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	sent    int
	refused int
	inTime  int
	samples int
	lastID  int
}

// request runs one request and reports whether it completed within the limit.
func (t *trial) request(ctx context.Context, priority wirepb.Priority, node int, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	deadline, _ := ctx.Deadline()
	endpoint, done, err := t.policy.acquire(ctx, node, Request{Priority: priority, Share: "s", Weight: 1, Deadline: deadline})
	if err != nil {
		return false
	}
	t.mu.Lock()
	t.lastID++
	id := fmt.Sprint("r", t.lastID)
	t.mu.Unlock()
	start := time.Now()
	relay := engine.NewRelay(t.client, t.engines[endpoint].URL(), engine.Request{
		Stream: id, Prompt: id, MaxTokens: tokensPerRequest,
	}, 10*time.Second, 0, func(engine.Chunk) error { return nil })
	reason, _ := relay.Run(ctx)
	outcome := wirepb.Outcome_OUTCOME_ANSWERED
	if reason != engine.EndComplete {
		outcome = wirepb.Outcome_OUTCOME_CANCELLED
		t.client.Cancel(ctx, t.engines[endpoint].URL(), id)
	}
	done(Result{Outcome: outcome, Run: time.Since(start), Tokens: tokensPerRequest})
	return reason == engine.EndComplete
}

// run drives the policy with open-loop callers and closed-loop trainers.
func (t *trial) run(perSecond float64, trainers int) string {
	ctx, cancel := context.WithTimeout(context.Background(), trialTime)
	defer cancel()
	var tasks sync.WaitGroup
	for i := range trainers {
		tasks.Go(func() {
			for ctx.Err() == nil {
				if t.request(ctx, training, i%nodeCount, trialTime) {
					t.mu.Lock()
					t.samples++
					t.mu.Unlock()
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(1, 1))
	for due := time.Now(); ctx.Err() == nil; due = due.Add(time.Duration(random.ExpFloat64() / perSecond * 1e9)) {
		time.Sleep(time.Until(due))
		at, node := due, random.IntN(nodeCount)
		t.sent++
		tasks.Go(func() {
			ok := t.request(context.Background(), interactive, node, answerLimit)
			t.mu.Lock()
			defer t.mu.Unlock()
			if !ok {
				t.refused++
				return
			}
			t.inTime++
			_ = t.latency.RecordValue(time.Since(at).Microseconds())
		})
	}
	tasks.Wait()
	return fmt.Sprintf("%-22s sent %5d  in time %5.1f%%  p50 %6.1f ms  p99 %6.1f ms  samples/s %6.1f",
		t.policy.name(), t.sent, 100*float64(t.inTime)/float64(t.sent), float64(t.latency.ValueAtQuantile(50))/1000,
		float64(t.latency.ValueAtQuantile(99))/1000, float64(t.samples)/trialTime.Seconds())
}

// BenchmarkPolicies compares the policies for scheduling requests onto engines
// that have no priorities, under the same load. It writes
// docs/figures/policies.txt.
func BenchmarkPolicies(b *testing.B) {
	// One token step of a full batch takes 2 ms * (1 + 0.02 * 8).
	const answerTime = 24 * 2.32 / 1000
	capacity := endpointCount * endpointWindow / answerTime
	cases := []struct {
		name     string
		factor   float64
		trainers int
		slow     bool
	}{
		{name: "callers at a quarter of the capacity beside trainers at full load", factor: 0.25, trainers: trainerCount},
		{name: "the same, one endpoint ten times slower", factor: 0.25, trainers: trainerCount, slow: true},
		{name: "callers at 1.5 times the capacity", factor: 1.5},
		{name: "callers at 3 times the capacity", factor: 3},
	}
	var out strings.Builder
	for range b.N {
		for _, c := range cases {
			fmt.Fprintf(&out, "## %s\n", c.name)
			for _, newPolicy := range []func() policy{
				func() policy { return &random{} },
				func() policy { return &independent{} },
				func() policy { return splitPolicy(b) },
				func() policy { return &keeper{cells: cellsOf(b, 4, endpointWindow)} },
			} {
				fmt.Fprintln(&out, runPolicy(b, newPolicy(), c.factor*capacity, c.trainers, c.slow))
			}
		}
	}
	if err := os.WriteFile("../docs/figures/policies.txt", []byte(out.String()), 0o600); err != nil {
		b.Fatal(err)
	}
	b.Log("\n" + out.String())
}

func splitPolicy(b *testing.B) *split {
	b.Helper()
	s := &split{}
	for i := range s.cells {
		s.cells[i] = cellsOf(b, 1, max(1, endpointWindow/nodeCount))[0]
	}
	return s
}

func runPolicy(b *testing.B, p policy, perSecond float64, trainers int, slow bool) string {
	b.Helper()
	t := &trial{policy: p, client: engine.NewClient(nil), latency: hdrhistogram.New(1, 60_000_000, 3)}
	defer t.client.Close()
	for i := range endpointCount {
		e, err := model.Start("127.0.0.1:0", model.Options{
			Version: 1, TokenTime: 2 * time.Millisecond, BatchSize: endpointWindow, ChunkTokens: 8, ReportLag: reportLag,
		})
		if err != nil {
			b.Fatal(err)
		}
		defer e.Close()
		if slow && i == 0 {
			e.SetFaults(model.Faults{Slow: 10})
		}
		t.engines = append(t.engines, e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a, ok := p.(*independent); ok {
		go a.pollLoads(ctx, t.client, t.engines)
	}
	return t.run(perSecond, trainers)
}
