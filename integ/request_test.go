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

// quotes sends requests as a patient caller does and counts those that never
// got their whole answer.
type quotes struct {
	mu     sync.Mutex
	tasks  sync.WaitGroup
	stop   context.CancelFunc
	whole  int
	failed []error
}

// startQuotes keeps callers busy until finish.
func (f *fleet) startQuotes(callers int) *quotes {
	ctx, stop := context.WithCancel(f.ctx)
	q := &quotes{stop: stop}
	for i := range callers {
		q.tasks.Go(func() {
			client := caller.New(f.urls(), demo.Domain(i))
			defer client.Close()
			for n := 0; ctx.Err() == nil; n++ {
				err := patient(f.ctx, client, fmt.Sprintf("quote %d", n%10), uint64(i*1000+n))
				q.mu.Lock()
				if err != nil {
					q.failed = append(q.failed, err)
				} else {
					q.whole++
				}
				q.mu.Unlock()
			}
		})
	}
	return q
}

// patient asks again, where it is told to, until the answer is whole.
func patient(ctx context.Context, client *caller.Client, prompt string, seed uint64) error {
	request := caller.Request{Prompt: prompt, MaxTokens: 16, Seed: seed, Timeout: 3 * time.Second}
	var err error
	for range 6 {
		limited, cancel := context.WithTimeout(ctx, 4*time.Second)
		_, err = client.Tokens(limited, "quote", request)
		cancel()
		if err == nil {
			return nil
		}
		wait := 50 * time.Millisecond
		var refused *caller.Error
		if errors.As(err, &refused) {
			wait = max(wait, refused.RetryAfter())
		}
		client.Forget()
		time.Sleep(wait)
	}
	return err
}

// finish stops the callers and checks that none was left without an answer.
func (q *quotes) finish(t testing.TB, least int) {
	t.Helper()
	q.stop()
	q.tasks.Wait()
	if len(q.failed) > 0 || q.whole < least {
		t.Fatalf("%d whole, want at least %d; %d failed: %v", q.whole, least, len(q.failed), errors.Join(q.failed...))
	}
}

func (q *quotes) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.whole
}

func TestQuotesUnderFailure(t *testing.T) {
	cases := map[string]func(f *fleet){
		"node killed":          func(f *fleet) { f.kill(f.nodes[1]) },
		"node frozen and back": func(f *fleet) { freeze(f, f.nodes[2], 2*time.Second) },
		"endpoint crashes":     func(f *fleet) { f.Quotes()[0].Crash() },
		"endpoint crashes twice": func(f *fleet) {
			f.Quotes()[0].Crash()
			time.Sleep(time.Second)
			f.Quotes()[0].Crash()
		},
		"endpoint connections go silent": func(f *fleet) { f.Quotes()[1].SetFaults(model.Faults{Hush: true}) },
		"platform down":                  func(f *fleet) { f.Platform().SetFaults(objapi.Faults{Down: true}) },
		"node killed and endpoint crashes": func(f *fleet) {
			f.kill(f.nodes[0])
			f.Quotes()[1].Crash()
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, demo.Size{
				Nodes: 5, Samplers: 2, Quotes: 3, Plains: 1, Heartbeat: 200 * time.Millisecond,
				Engine: model.Options{Version: 1, Token: 2 * time.Millisecond},
			})
			f.apply(declared)
			q := f.startQuotes(6)
			f.eventually("callers are served", func() bool { return q.count() > 20 })
			fail(f)
			before := q.count()
			f.eventually("callers are served after the failure", func() bool { return q.count() > before+200 })
			q.finish(t, before+200)
		})
	}
}

func freeze(f *fleet, n *process, d time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { n.signal(syscall.SIGCONT) })
}

func TestRollingStopCutsNothing(t *testing.T) {
	f := startFleet(t, demo.Size{
		Nodes: 5, Samplers: 2, Quotes: 3, Plains: 1, Heartbeat: 200 * time.Millisecond,
		Engine: model.Options{Version: 1, Token: 2 * time.Millisecond},
	})
	f.apply(declared)
	ctx, stop := context.WithCancel(f.ctx)
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var cut []error
	for i := range 6 {
		tasks.Go(func() {
			client := caller.New(f.urls(), demo.Domain(i))
			defer client.Close()
			for n := 0; ctx.Err() == nil; n++ {
				_, err := client.Tokens(f.ctx, "quote", caller.Request{Prompt: fmt.Sprint(n), MaxTokens: 16})
				if err != nil {
					mu.Lock()
					cut = append(cut, err)
					mu.Unlock()
				}
			}
		})
	}
	var taken []stepResult
	tasks.Go(func() {
		for ctx.Err() == nil {
			taken = append(taken, <-f.ask(uint64(len(taken)+1)))
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
	if len(taken) < 5 {
		t.Errorf("the trainer got %d steps", len(taken))
	}
	l := newLedger()
	for i, r := range taken {
		results := make(chan stepResult, 1)
		results <- r
		f.take(l, results, uint64(i+1), 1)
	}
	if len(cut) > 0 {
		t.Fatalf("%d requests had no whole answer: %v", len(cut), errors.Join(cut...))
	}
}

func TestNonIdempotentRunsOnce(t *testing.T) {
	cases := map[string]struct {
		fail     func(f *fleet)
		answered bool
	}{
		"no failure":              {fail: func(*fleet) {}, answered: true},
		"platform loses answers":  {fail: func(f *fleet) { f.Platform().SetFaults(objapi.Faults{LoseAnswers: 3}) }, answered: true},
		"platform down":           {fail: func(f *fleet) { f.Platform().SetFaults(objapi.Faults{Down: true}) }},
		"platform silent":         {fail: func(f *fleet) { f.Platform().SetFaults(objapi.Faults{Silent: true}) }},
		"platform slow":           {fail: func(f *fleet) { f.Platform().SetFaults(objapi.Faults{LatencyMs: 200}) }, answered: true},
		"endpoints slow to reply": {fail: func(f *fleet) { slowPlains(f, 800*time.Millisecond) }, answered: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			f.apply(declared)
			c.fail(f)
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

func slowPlains(f *fleet, d time.Duration) {
	for _, p := range f.Plains() {
		p.SetDelay(d)
	}
}

// sendEverywhere sends one request id to every node at once, three times over,
// and counts whole answers.
func (f *fleet) sendEverywhere(id string) int {
	var tasks sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for range 3 {
		for _, n := range f.nodes {
			tasks.Go(func() {
				_, err := f.client.Plain(f.ctx, n.url, "billing", "invoices", id, []byte(`{"kwh":7}`))
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

// runs returns how often the endpoints ran a request id.
func (f *fleet) runs(id string) int {
	n := 0
	for _, p := range f.Plains() {
		n += p.Runs()[id]
	}
	return n
}

func TestNonIdempotentNodeDies(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(declared)
	slowPlains(f, 500*time.Millisecond)
	go func() { _, _ = f.client.Plain(f.ctx, f.nodes[0].url, "billing", "x", "bill-2", []byte("{}")) }()
	f.eventually("the request runs", func() bool { return f.runs("bill-2") == 1 })
	f.kill(f.nodes[0])
	for _, n := range f.nodes[1:] {
		_, err := f.client.Plain(f.ctx, n.url, "billing", "x", "bill-2", []byte("{}"))
		assertStatus(t, err, 409)
	}
	if n := f.runs("bill-2"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func TestNotRunIsTrue(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(declared)
	f.Platform().SetFaults(objapi.Faults{Down: true})
	for i := range 20 {
		id := fmt.Sprintf("n-%d", i)
		_, err := f.client.Plain(f.ctx, f.nodes[i%len(f.nodes)].url, "billing", "x", id, []byte("{}"))
		assertNotRun(t, err)
		if n := f.runs(id); n != 0 {
			t.Fatalf("%s was said not to have run and ran %d times", id, n)
		}
	}
	f.Platform().SetFaults(objapi.Faults{})
	f.eventually("a refused request can be sent again", func() bool {
		_, err := f.client.Plain(f.ctx, f.nodes[0].url, "billing", "x", "n-0", []byte("{}"))
		return err == nil
	})
	if n := f.runs("n-0"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func assertNotRun(t testing.TB, err error) {
	t.Helper()
	var refused *caller.Error
	if !errors.As(err, &refused) || refused.Outcome() != "not_run" || refused.RetryAfter() <= 0 {
		t.Fatalf("got %v, want not_run with a time to come back", err)
	}
}

func TestCrashingRequestIsContained(t *testing.T) {
	const endpointsLostAtMost = 2
	f := startFleet(t, demo.Size{
		Nodes: 5, Samplers: 2, Quotes: 6, Plains: 1, Heartbeat: 200 * time.Millisecond,
		Engine: model.Options{Version: 1, Token: 2 * time.Millisecond},
	})
	f.apply(declared)
	q := f.startQuotes(8)
	f.eventually("callers are served", func() bool { return q.count() > 20 })
	barred := 0
	for i := range 10 {
		request := caller.Request{Prompt: model.CrashMark + " me", MaxTokens: 16}
		_, err := f.client.TokensAt(f.ctx, f.nodes[i%len(f.nodes)].url, "quote", request)
		var refused *caller.Error
		if errors.As(err, &refused) && refused.Outcome() == "quarantined" {
			barred++
		}
	}
	crashes := 0
	for _, e := range f.Quotes() {
		crashes += e.Crashes()
	}
	if crashes > endpointsLostAtMost {
		t.Errorf("%d endpoints lost, want at most %d", crashes, endpointsLostAtMost)
	}
	if barred < 9 {
		t.Errorf("%d of 10 tries were answered as quarantined, want at least 9", barred)
	}
	before := q.count()
	f.eventually("innocent callers are served", func() bool { return q.count() > before+100 })
	q.finish(t, before)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	const bound = 3 * time.Second
	cases := map[string]func(f *fleet) *plain.Service{
		"the endpoint says so": func(f *fleet) *plain.Service {
			f.Plains()[0].SetLeaving(true)
			return f.Plains()[0]
		},
		"the endpoint says so and the platform is down": func(f *fleet) *plain.Service {
			f.Platform().SetFaults(objapi.Faults{Down: true})
			f.Plains()[0].SetLeaving(true)
			return f.Plains()[0]
		},
		"an operator says so": func(f *fleet) *plain.Service {
			if err := f.client.MarkEndpoint(f.ctx, f.nodes[3].url, "billing-1", true); err != nil {
				f.t.Fatal(err)
			}
			return f.Plains()[0]
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, smallFleet)
			d := declared
			f.apply(d)
			leaving := leave(f)
			time.Sleep(bound)
			before := len(leaving.Runs())
			for i := range 40 {
				header := fmt.Sprintf("after-%d", i)
				_, _ = f.client.PlainIdempotent(f.ctx, f.nodes[i%len(f.nodes)].url, "billing", "x", header, []byte("{}"))
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

func TestAllStopAtOnceCutsNothing(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(declared)
	f.stopAllInFlight()
}

// stopAllInFlight sends SIGTERM to all nodes while requests are in flight and
// checks that each gets its answer.
func (f *fleet) stopAllInFlight() {
	f.t.Helper()
	slowPlains(f, 2*time.Second)
	var tasks sync.WaitGroup
	errs := make([]error, 10)
	for i := range errs {
		tasks.Go(func() {
			id := fmt.Sprint("late-", i)
			_, errs[i] = f.client.Plain(f.ctx, f.nodes[i%len(f.nodes)].url, "billing", "x", id, []byte("{}"))
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
