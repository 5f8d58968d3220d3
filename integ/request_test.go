package integ

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/fakes/objapi"
	"github.com/currantloft/currantloft/fakes/plain"
)

// quoteCallers sends quote requests with retries and counts the completed ones and
// those that failed in all attempts.
type quoteCallers struct {
	mu        sync.Mutex
	tasks     sync.WaitGroup
	stop      context.CancelFunc
	completed int
	failed    []error
}

// startQuoteCallers starts callers that send requests until finish is called.
func (f *fleet) startQuoteCallers(count int) *quoteCallers {
	ctx, stop := context.WithCancel(f.ctx)
	q := &quoteCallers{stop: stop}
	for i := range count {
		q.tasks.Go(func() {
			client := caller.New(f.urls(), demo.Domain(i))
			defer client.Close()
			for n := 0; ctx.Err() == nil; n++ {
				err := callWithRetries(f.ctx, client, fmt.Sprintf("quote %d", n%10), uint64(i*1000+n))
				q.mu.Lock()
				if err != nil {
					q.failed = append(q.failed, err)
				} else {
					q.completed++
				}
				q.mu.Unlock()
			}
		})
	}
	return q
}

// callWithRetries sends a request up to six times until it is completed.
// Between attempts it waits 50 ms, or longer if the answer carries a longer
// retry time.
func callWithRetries(ctx context.Context, client *caller.Client, prompt string, seed uint64) error {
	request := caller.Request{Prompt: prompt, MaxTokens: 16, Seed: seed, Timeout: 3 * time.Second}
	var err error
	for range 6 {
		callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		_, err = client.Tokens(callCtx, "quote", request)
		cancel()
		if err == nil {
			return nil
		}
		wait := 50 * time.Millisecond
		var callErr *caller.Error
		if errors.As(err, &callErr) {
			wait = max(wait, callErr.RetryAfter())
		}
		client.ExpireAddresses()
		time.Sleep(wait)
	}
	return err
}

// finish stops the callers and checks that no request failed and that at least
// minCompleted were completed.
func (q *quoteCallers) finish(t testing.TB, minCompleted int) {
	t.Helper()
	q.stop()
	q.tasks.Wait()
	if len(q.failed) > 0 || q.completed < minCompleted {
		t.Fatalf("%d requests completed, want at least %d; %d failed: %v", q.completed, minCompleted, len(q.failed), errors.Join(q.failed...))
	}
}

func (q *quoteCallers) completedCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.completed
}

func TestQuotesUnderFailure(t *testing.T) {
	cases := map[string]func(f *fleet){
		"node killed":         func(f *fleet) { f.kill(f.nodes[1]) },
		"node frozen for 2 s": func(f *fleet) { suspendFor(f, f.nodes[2], 2*time.Second) },
		"endpoint crashes":    func(f *fleet) { f.Quotes()[0].Crash() },
		"endpoint crashes twice": func(f *fleet) {
			f.Quotes()[0].Crash()
			time.Sleep(time.Second)
			f.Quotes()[0].Crash()
		},
		"endpoint connections stall": func(f *fleet) { f.Quotes()[1].SetFaults(model.Faults{Stall: true}) },
		"platform down":              func(f *fleet) { f.Platform().SetFaults(objapi.Faults{Down: true}) },
		"node killed and endpoint crashes": func(f *fleet) {
			f.kill(f.nodes[0])
			f.Quotes()[1].Crash()
		},
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, demo.Size{
				Nodes: 5, Samplers: 2, Quotes: 3, Plains: 1, Heartbeat: 200 * time.Millisecond,
				Engine: model.Options{Version: 1, TokenTime: 2 * time.Millisecond},
			})
			f.apply(testDeclaration)
			callers := f.startQuoteCallers(6)
			f.eventually("callers are served", func() bool { return callers.completedCount() > 20 })
			inject(f)
			before := callers.completedCount()
			f.eventually("callers are served after the failure", func() bool { return callers.completedCount() > before+200 })
			callers.finish(t, before+200)
		})
	}
}

func suspendFor(f *fleet, n *process, d time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { n.signal(syscall.SIGCONT) })
}

func TestRollingRestartLosesNoRequest(t *testing.T) {
	f := startFleet(t, demo.Size{
		Nodes: 5, Samplers: 2, Quotes: 3, Plains: 1, Heartbeat: 200 * time.Millisecond,
		Engine: model.Options{Version: 1, TokenTime: 2 * time.Millisecond},
	})
	f.apply(testDeclaration)
	ctx, stop := context.WithCancel(f.ctx)
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var failed []error
	for i := range 6 {
		tasks.Go(func() {
			client := caller.New(f.urls(), demo.Domain(i))
			defer client.Close()
			for n := 0; ctx.Err() == nil; n++ {
				_, err := client.Tokens(f.ctx, "quote", caller.Request{Prompt: fmt.Sprint(n), MaxTokens: 16})
				if err != nil {
					mu.Lock()
					failed = append(failed, err)
					mu.Unlock()
				}
			}
		})
	}
	var received []stepResult
	tasks.Go(func() {
		for ctx.Err() == nil {
			received = append(received, <-f.requestStep(uint64(len(received)+1)))
		}
	})
	for _, n := range f.nodes {
		n.signal(syscall.SIGTERM)
		if err := f.awaitExit(n); err != nil {
			t.Errorf("%s: %v", n.name, err)
		}
		f.start(n)
		f.awaitAnswer(n)
		f.awaitMembers(len(f.nodes))
	}
	stop()
	tasks.Wait()
	if len(received) < 5 {
		t.Errorf("the trainer got %d steps, want at least 5", len(received))
	}
	checker := newStepChecker()
	for i, r := range received {
		results := make(chan stepResult, 1)
		results <- r
		f.awaitStep(checker, results, uint64(i+1), 1)
	}
	if len(failed) > 0 {
		t.Fatalf("%d requests were not completed: %v", len(failed), errors.Join(failed...))
	}
}

func TestNonIdempotentRunsOnce(t *testing.T) {
	cases := map[string]struct {
		inject   func(f *fleet)
		answered bool
	}{
		"no failure":              {inject: func(*fleet) {}, answered: true},
		"platform loses answers":  {inject: func(f *fleet) { f.Platform().SetFaults(objapi.Faults{LoseAnswers: 3}) }, answered: true},
		"platform down":           {inject: func(f *fleet) { f.Platform().SetFaults(objapi.Faults{Down: true}) }},
		"platform unresponsive":   {inject: func(f *fleet) { f.Platform().SetFaults(objapi.Faults{Unresponsive: true}) }},
		"platform slow":           {inject: func(f *fleet) { f.Platform().SetFaults(objapi.Faults{DelayMs: 200}) }, answered: true},
		"endpoints slow to reply": {inject: func(f *fleet) { delayPlains(f, 800*time.Millisecond) }, answered: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			f.apply(testDeclaration)
			c.inject(f)
			answered := f.sendEverywhere("bill-1")
			runs := f.runs("bill-1")
			if runs > 1 || answered > 1 || answered > runs {
				t.Fatalf("ran %d times, answered %d times", runs, answered)
			}
			if c.answered && answered != 1 {
				t.Fatalf("answered %d times, want 1", answered)
			}
			f.Platform().SetFaults(objapi.Faults{})
			if !c.answered && runs != 0 {
				t.Fatalf("ran %d times without a claim", runs)
			}
		})
	}
}

func delayPlains(f *fleet, d time.Duration) {
	for _, p := range f.Plains() {
		p.SetDelay(d)
	}
}

// sendEverywhere sends three requests with the same id to every node at once and
// returns how many were answered.
func (f *fleet) sendEverywhere(id string) int {
	var tasks sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for range 3 {
		for _, n := range f.nodes {
			tasks.Go(func() {
				_, err := f.client.CallPlain(f.ctx, n.url, "billing", "invoices", id, []byte(`{"kwh":7}`))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					answered++
				}
			})
		}
	}
	tasks.Wait()
	return answered
}

// runs returns how often the endpoints ran the request with an id.
func (f *fleet) runs(id string) int {
	n := 0
	for _, p := range f.Plains() {
		n += p.Runs()[id]
	}
	return n
}

func TestNonIdempotentNodeDies(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	delayPlains(f, 500*time.Millisecond)
	go func() { _, _ = f.client.CallPlain(f.ctx, f.nodes[0].url, "billing", "x", "bill-2", []byte("{}")) }()
	f.eventually("the request runs", func() bool { return f.runs("bill-2") == 1 })
	f.kill(f.nodes[0])
	for _, n := range f.nodes[1:] {
		_, err := f.client.CallPlain(f.ctx, n.url, "billing", "x", "bill-2", []byte("{}"))
		assertStatus(t, err, 409)
	}
	if n := f.runs("bill-2"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func TestRequestsReportedAsNotRunDidNotRun(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	f.Platform().SetFaults(objapi.Faults{Down: true})
	for i := range 20 {
		id := fmt.Sprintf("n-%d", i)
		_, err := f.client.CallPlain(f.ctx, f.nodes[i%len(f.nodes)].url, "billing", "x", id, []byte("{}"))
		assertNotRun(t, err)
		if n := f.runs(id); n != 0 {
			t.Fatalf("%s was reported as not run but ran %d times", id, n)
		}
	}
	f.Platform().SetFaults(objapi.Faults{})
	f.eventually("a refused request can be sent again", func() bool {
		_, err := f.client.CallPlain(f.ctx, f.nodes[0].url, "billing", "x", "n-0", []byte("{}"))
		return err == nil
	})
	if n := f.runs("n-0"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func assertNotRun(t testing.TB, err error) {
	t.Helper()
	var callErr *caller.Error
	if !errors.As(err, &callErr) || callErr.Outcome() != "not_run" || callErr.RetryAfter() <= 0 {
		t.Fatalf("got %v, want not_run with a retry time", err)
	}
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	const maxEndpointsLost = 2
	f := startFleet(t, demo.Size{
		Nodes: 5, Samplers: 2, Quotes: 6, Plains: 1, Heartbeat: 200 * time.Millisecond,
		Engine: model.Options{Version: 1, TokenTime: 2 * time.Millisecond},
	})
	f.apply(testDeclaration)
	callers := f.startQuoteCallers(8)
	f.eventually("callers are served", func() bool { return callers.completedCount() > 20 })
	quarantined := 0
	for i := range 10 {
		request := caller.Request{Prompt: model.CrashMark + " me", MaxTokens: 16}
		_, err := f.client.TokensAt(f.ctx, f.nodes[i%len(f.nodes)].url, "quote", request)
		var callErr *caller.Error
		if errors.As(err, &callErr) && callErr.Outcome() == "quarantined" {
			quarantined++
		}
	}
	crashes := 0
	for _, e := range f.Quotes() {
		crashes += e.Crashes()
	}
	if crashes > maxEndpointsLost {
		t.Errorf("%d endpoints lost, want at most %d", crashes, maxEndpointsLost)
	}
	if quarantined < 9 {
		t.Errorf("%d of 10 requests were answered as quarantined, want at least 9", quarantined)
	}
	before := callers.completedCount()
	f.eventually("other callers are served", func() bool { return callers.completedCount() > before+100 })
	callers.finish(t, before)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	const bound = 3 * time.Second
	cases := map[string]func(f *fleet) *plain.Service{
		"the endpoint announces that it leaves": func(f *fleet) *plain.Service {
			f.Plains()[0].SetLeaving(true)
			return f.Plains()[0]
		},
		"the endpoint announces that it leaves while the platform is down": func(f *fleet) *plain.Service {
			f.Platform().SetFaults(objapi.Faults{Down: true})
			f.Plains()[0].SetLeaving(true)
			return f.Plains()[0]
		},
		"an operator marks the endpoint as leaving": func(f *fleet) *plain.Service {
			if err := f.client.MarkEndpoint(f.ctx, f.nodes[3].url, "billing-1", true); err != nil {
				f.t.Fatal(err)
			}
			return f.Plains()[0]
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			d := testDeclaration
			f.apply(d)
			leaving := leave(f)
			time.Sleep(bound)
			before := len(leaving.Runs())
			for i := range 40 {
				id := fmt.Sprintf("after-%d", i)
				_, _ = f.client.CallPlainIdempotent(f.ctx, f.nodes[i%len(f.nodes)].url, "billing", "x", id, []byte("{}"))
			}
			if n := len(leaving.Runs()); n != before {
				t.Fatalf("%d requests were sent to the leaving endpoint", n-before)
			}
			if n := len(f.Plains()[1].Runs()); n < 40 {
				t.Fatalf("%d of 40 requests ran at the other endpoint", n)
			}
		})
	}
}

func TestSimultaneousStopLosesNoRequest(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	f.stopAllInFlight()
}

// stopAllInFlight sends SIGTERM to all nodes while requests are in flight and
// checks that each request is answered.
func (f *fleet) stopAllInFlight() {
	f.t.Helper()
	delayPlains(f, 2*time.Second)
	var tasks sync.WaitGroup
	errs := make([]error, 10)
	for i := range errs {
		tasks.Go(func() {
			id := fmt.Sprint("late-", i)
			_, errs[i] = f.client.CallPlain(f.ctx, f.nodes[i%len(f.nodes)].url, "billing", "x", id, []byte("{}"))
		})
	}
	f.eventually("all requests run", func() bool {
		n := 0
		for i := range errs {
			n += f.runs(fmt.Sprint("late-", i))
		}
		return n == len(errs)
	})
	for _, n := range f.nodes {
		n.signal(syscall.SIGTERM)
	}
	for _, n := range f.nodes {
		if err := f.awaitExit(n); err != nil {
			f.t.Errorf("%s: %v", n.name, err)
		}
	}
	tasks.Wait()
	if err := errors.Join(errs...); err != nil {
		f.t.Fatal(err)
	}
}
