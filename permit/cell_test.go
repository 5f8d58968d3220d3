package permit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	interactive = wirepb.Priority_PRIORITY_INTERACTIVE
	training    = wirepb.Priority_PRIORITY_TRAINER
)

// newTestCell returns a cell whose endpoints are all ready.
func newTestCell(t interface {
	Helper()
	Fatal(args ...any)
}, endpoints, window int, reserve bool,
) *Cell {
	t.Helper()
	text := "[pool p]\nserve = 1\n"
	for i := range endpoints {
		text += fmt.Sprintf("[endpoint e%d]\npool = p\nurl = http://127.0.0.1:%d\ndomain = a\n", i, 1000+i)
	}
	set, err := specs.Parse([]specs.File{specs.NewFile("x.ini", []byte(text))})
	if err != nil {
		t.Fatal(err)
	}
	c := NewCell("cell")
	c.Configure(Layout{Endpoints: set.Endpoints(), Window: window, Reserve: reserve})
	for _, e := range set.Endpoints() {
		c.Report(e.Name(), Report{Ready: true, Incarnation: 1})
	}
	return c
}

func newRequest(priority wirepb.Priority, share string, weight int) Request {
	return Request{Priority: priority, Share: share, Weight: weight, Deadline: time.Now().Add(time.Minute)}
}

// acquireAsync requests a permit in the background, waits until the cell counts it,
// and returns the channel that delivers the grant.
func acquireAsync(c *Cell, request Request) <-chan *Grant {
	grants := make(chan *Grant, 1)
	queued := c.Load().Queued + c.Load().InFlight
	go func() {
		if g, err := c.Acquire(context.Background(), request); err == nil {
			grants <- g
		}
	}()
	for c.Load().Queued+c.Load().InFlight == queued {
		time.Sleep(100 * time.Microsecond)
	}
	return grants
}

func answeredResult() Result {
	return Result{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Run: 10 * time.Millisecond, Tokens: 10}
}

func TestInteractiveBeforeTrainers(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	first := <-acquireAsync(c, newRequest(training, "t", 1))
	trainer := acquireAsync(c, newRequest(training, "t", 1))
	caller := acquireAsync(c, newRequest(interactive, "q", 1))
	first.Done(answeredResult())
	select {
	case g := <-caller:
		g.Done(answeredResult())
	case <-trainer:
		t.Fatal("the trainer was served before the caller")
	}
	(<-trainer).Done(answeredResult())
}

func TestTrainerIsNotStarved(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	holder := <-acquireAsync(c, newRequest(interactive, "q", 1))
	trainer := acquireAsync(c, newRequest(training, "t", 1))
	var callers []<-chan *Grant
	for range 2 * maxInteractiveStreak {
		callers = append(callers, acquireAsync(c, newRequest(interactive, "q", 1)))
	}
	holder.Done(answeredResult())
	served := 0
	for {
		select {
		case g := <-trainer:
			g.Done(answeredResult())
			if served > maxInteractiveStreak {
				t.Errorf("the trainer waited for %d callers, want at most %d", served, maxInteractiveStreak)
			}
			return
		case g := <-callers[served]:
			served++
			g.Done(answeredResult())
		}
	}
}

func TestTrainersShareByWeight(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	holder := <-acquireAsync(c, newRequest(training, "x", 1))
	got := make(chan string, 100)
	for range 30 {
		for share, weight := range map[string]int{"light": 1, "heavy": 3} {
			grants := acquireAsync(c, newRequest(training, share, weight))
			go func() {
				g := <-grants
				got <- share
				g.Done(answeredResult())
			}()
		}
	}
	holder.Done(answeredResult())
	counts := map[string]int{}
	for range 20 {
		counts[<-got]++
	}
	if counts["heavy"] < 14 || counts["heavy"] > 16 {
		t.Errorf("of 20 grants the share of weight 3 got %d, want 15", counts["heavy"])
	}
}

func TestUnservableRequestIsRefusedImmediately(t *testing.T) {
	cases := map[string]func(c *Cell) Request{
		"no endpoint is ready": func(c *Cell) Request {
			c.Report("e0", Report{})
			return newRequest(interactive, "q", 1)
		},
		"the only endpoint is excluded": func(*Cell) Request {
			a := newRequest(interactive, "q", 1)
			a.Exclude = []string{"e0"}
			return a
		},
		"the deadline is too short": func(c *Cell) Request {
			g := <-acquireAsync(c, newRequest(interactive, "q", 1))
			g.Done(Result{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Run: time.Second, Tokens: 1})
			a := newRequest(interactive, "q", 1)
			a.Deadline = time.Now().Add(10 * time.Millisecond)
			return a
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCell(t, 1, 1, false)
			start := time.Now()
			_, err := c.Acquire(context.Background(), prepare(c))
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.RetryAfter() <= 0 {
				t.Fatalf("got %v, want a refusal with a retry delay", err)
			}
			if took := time.Since(start); took > 100*time.Millisecond {
				t.Errorf("refused after %s", took)
			}
		})
	}
}

func TestQueuedRequestThatWouldBeLateIsRefused(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	now := time.Now()
	c.now = func() time.Time { return now }
	for range 5 {
		g := <-acquireAsync(c, newRequest(interactive, "q", 1))
		g.Done(Result{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Run: 100 * time.Millisecond, Tokens: 10})
	}
	holder := <-acquireAsync(c, newRequest(interactive, "q", 1))
	refused := make(chan error, 1)
	go func() {
		late := newRequest(interactive, "q", 1)
		late.Deadline = now.Add(250 * time.Millisecond)
		_, err := c.Acquire(context.Background(), late)
		refused <- err
	}()
	for c.Load().Queued == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	now = now.Add(200 * time.Millisecond)
	holder.Done(answeredResult())
	var r *RefusedError
	if err := <-refused; !errors.As(err, &r) {
		t.Errorf("got %v with 50 ms left for 100 ms of work, want a refusal", err)
	}
}

func TestWindowsStayFullAtConstantCost(t *testing.T) {
	const endpoints, window = 3, 4
	c := newTestCell(t, endpoints, window, false)
	first := <-acquireAsync(c, newRequest(training, "t", 1))
	first.Done(answeredResult())
	for range 20 {
		var grants []*Grant
		for range endpoints * window {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			g, err := c.Acquire(ctx, newRequest(training, "t", 1))
			cancel()
			if err != nil {
				t.Fatalf("%d permits granted, want %d: %v", len(grants), endpoints*window, c.EndpointStates())
			}
			grants = append(grants, g)
		}
		for _, g := range grants {
			g.Done(answeredResult())
		}
	}
}

func TestRefusedWhenNoEndpointReports(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	c.endpoints["e0"].ready, c.endpoints["e0"].reported = false, false
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*firstReportTimeout)
	defer cancel()
	_, err := c.Acquire(ctx, newRequest(interactive, "q", 1))
	var refused *RefusedError
	if !errors.As(err, &refused) || time.Since(start) > 3*firstReportTimeout {
		t.Errorf("got %v after %s, want a refusal after %s", err, time.Since(start), firstReportTimeout)
	}
}

func TestAloneRequestIsIsolatedAndQuarantined(t *testing.T) {
	c := newTestCell(t, 2, 2, false)
	a := newRequest(interactive, "q", 1)
	a.Alone, a.Fingerprint = true, 7
	alone := <-acquireAsync(c, a)
	second := acquireAsync(c, a)
	other := <-acquireAsync(c, newRequest(interactive, "q", 1))
	if other.Endpoint() == alone.Endpoint() {
		t.Error("another request was sent to the endpoint that must run one alone")
	}
	alone.Done(Result{Outcome: wirepb.Outcome_OUTCOME_CRASHED})
	if _, err := c.Acquire(context.Background(), a); err == nil {
		t.Error("a request that crashed an endpoint alone got another permit")
	}
	select {
	case <-second:
		t.Error("a waiting copy of the crashing request got a permit")
	default:
	}
}

func TestInFlightStaysWithinWindowProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const endpoints, window = 3, 4
		c := newTestCell(t, endpoints, window, rapid.Bool().Draw(t, "reserve"))
		var grants []*Grant
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				ctx, cancel := context.WithCancel(context.Background())
				a := newRequest(rapid.SampledFrom([]wirepb.Priority{interactive, training}).Draw(t, "priority"), "s", 1)
				a.Prefix = rapid.Uint64Range(0, 3).Draw(t, "prefix")
				a.Alone = rapid.IntRange(0, 5).Draw(t, "alone") == 0
				cancelled := time.AfterFunc(time.Millisecond, cancel)
				if g, err := c.Acquire(ctx, a); err == nil {
					grants = append(grants, g)
				}
				cancelled.Stop()
				cancel()
			},
			"done": func(t *rapid.T) {
				if len(grants) == 0 {
					return
				}
				i := rapid.IntRange(0, len(grants)-1).Draw(t, "which")
				outcome := wirepb.Outcome(rapid.Int32Range(0, 5).Draw(t, "outcome"))
				grants[i].Done(Result{Outcome: outcome, Run: time.Millisecond, Tokens: 3})
				grants = append(grants[:i], grants[i+1:]...)
			},
			"report": func(t *rapid.T) {
				name := fmt.Sprintf("e%d", rapid.IntRange(0, endpoints-1).Draw(t, "endpoint"))
				c.Report(name, Report{Ready: rapid.Bool().Draw(t, "ready"), Incarnation: 1})
			},
			"": func(t *rapid.T) {
				if load := c.Load(); load.InFlight != len(grants) || load.Queued != 0 {
					t.Fatalf("%d in flight and %d queued, want %d and 0", load.InFlight, load.Queued, len(grants))
				}
				for _, p := range c.EndpointStates() {
					if p.InFlight > window {
						t.Fatalf("%d in flight at %s, the window is %d", p.InFlight, p.Endpoint, window)
					}
				}
			},
		})
	})
}
