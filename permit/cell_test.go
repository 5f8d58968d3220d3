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

// newTestCell returns a cell of ready endpoints.
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

func ask(priority wirepb.Priority, share string, weight int) Ask {
	return Ask{Priority: priority, Share: share, Weight: weight, Deadline: time.Now().Add(time.Minute)}
}

// acquired asks in the background and returns where the grant will come.
func acquired(c *Cell, a Ask) <-chan *Grant {
	grants := make(chan *Grant, 1)
	queued := c.Load().Queued + c.Load().InFlight
	go func() {
		if g, err := c.Acquire(context.Background(), a); err == nil {
			grants <- g
		}
	}()
	for c.Load().Queued+c.Load().InFlight == queued {
		time.Sleep(100 * time.Microsecond)
	}
	return grants
}

func answered() Result {
	return Result{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Run: 10 * time.Millisecond, Tokens: 10}
}

func TestInteractiveGoesFirst(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	first := <-acquired(c, ask(training, "t", 1))
	trainer := acquired(c, ask(training, "t", 1))
	quote := acquired(c, ask(interactive, "q", 1))
	first.Done(answered())
	select {
	case g := <-quote:
		g.Done(answered())
	case <-trainer:
		t.Fatal("the trainer went before the caller")
	}
	(<-trainer).Done(answered())
}

func TestTrainerIsNotStarved(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	holder := <-acquired(c, ask(interactive, "q", 1))
	trainer := acquired(c, ask(training, "t", 1))
	var quotes []<-chan *Grant
	for range 2 * maxStreak {
		quotes = append(quotes, acquired(c, ask(interactive, "q", 1)))
	}
	holder.Done(answered())
	served := 0
	for {
		select {
		case g := <-trainer:
			g.Done(answered())
			if served > maxStreak {
				t.Errorf("the trainer waited for %d callers, want at most %d", served, maxStreak)
			}
			return
		case g := <-quotes[served]:
			served++
			g.Done(answered())
		}
	}
}

func TestTrainersShareByWeight(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	holder := <-acquired(c, ask(training, "x", 1))
	got := make(chan string, 100)
	for range 30 {
		for share, weight := range map[string]int{"light": 1, "heavy": 3} {
			grants := acquired(c, ask(training, share, weight))
			go func() {
				g := <-grants
				got <- share
				g.Done(answered())
			}()
		}
	}
	holder.Done(answered())
	counts := map[string]int{}
	for range 20 {
		counts[<-got]++
	}
	if counts["heavy"] < 14 || counts["heavy"] > 16 {
		t.Errorf("of 20 places the weight of 3 got %d, want 15", counts["heavy"])
	}
}

func TestHopelessIsRefusedAtOnce(t *testing.T) {
	cases := map[string]func(c *Cell) Ask{
		"no endpoint is ready": func(c *Cell) Ask {
			c.Report("e0", Report{})
			return ask(interactive, "q", 1)
		},
		"the only endpoint was tried": func(*Cell) Ask {
			a := ask(interactive, "q", 1)
			a.Exclude = []string{"e0"}
			return a
		},
		"the deadline can't be met": func(c *Cell) Ask {
			g := <-acquired(c, ask(interactive, "q", 1))
			g.Done(Result{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Run: time.Second, Tokens: 1})
			a := ask(interactive, "q", 1)
			a.Deadline = time.Now().Add(10 * time.Millisecond)
			return a
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestCell(t, 1, 1, false)
			begun := time.Now()
			_, err := c.Acquire(context.Background(), prepare(c))
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.RetryAfter() <= 0 {
				t.Fatalf("got %v, want a refusal with a time to come back", err)
			}
			if took := time.Since(begun); took > 100*time.Millisecond {
				t.Errorf("refused after %s", took)
			}
		})
	}
}

func TestNoPlaceWithoutTimeLeft(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	now := time.Now()
	c.now = func() time.Time { return now }
	for range 5 {
		g := <-acquired(c, ask(interactive, "q", 1))
		g.Done(Result{Outcome: wirepb.Outcome_OUTCOME_ANSWERED, Run: 100 * time.Millisecond, Tokens: 10})
	}
	holder := <-acquired(c, ask(interactive, "q", 1))
	refused := make(chan error, 1)
	go func() {
		late := ask(interactive, "q", 1)
		late.Deadline = now.Add(250 * time.Millisecond)
		_, err := c.Acquire(context.Background(), late)
		refused <- err
	}()
	for c.Load().Queued == 0 {
		time.Sleep(100 * time.Microsecond)
	}
	now = now.Add(200 * time.Millisecond)
	holder.Done(answered())
	var r *RefusedError
	if err := <-refused; !errors.As(err, &r) {
		t.Errorf("got %v with 50 ms left for 100 ms of work, want a refusal", err)
	}
}

func TestWindowsStayOpenAtSteadyCost(t *testing.T) {
	const endpoints, window = 3, 4
	c := newTestCell(t, endpoints, window, false)
	first := <-acquired(c, ask(training, "t", 1))
	first.Done(answered())
	for range 20 {
		var out []*Grant
		for range endpoints * window {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			g, err := c.Acquire(ctx, ask(training, "t", 1))
			cancel()
			if err != nil {
				t.Fatalf("%d places given out, want %d: %v", len(out), endpoints*window, c.Places())
			}
			out = append(out, g)
		}
		for _, g := range out {
			g.Done(answered())
		}
	}
}

func TestUnheardEndpointsAreRefusedSoon(t *testing.T) {
	c := newTestCell(t, 1, 1, false)
	c.places["e0"].ready, c.places["e0"].reported = false, false
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*unknownPatience)
	defer cancel()
	_, err := c.Acquire(ctx, ask(interactive, "q", 1))
	var refused *RefusedError
	if !errors.As(err, &refused) || time.Since(begun) > 3*unknownPatience {
		t.Errorf("got %v after %s, want a refusal after %s", err, time.Since(begun), unknownPatience)
	}
}

func TestAloneSharesWithNobody(t *testing.T) {
	c := newTestCell(t, 2, 2, false)
	a := ask(interactive, "q", 1)
	a.Alone, a.Fingerprint = true, 7
	alone := <-acquired(c, a)
	second := acquired(c, a)
	other := <-acquired(c, ask(interactive, "q", 1))
	if other.Endpoint() == alone.Endpoint() {
		t.Error("another request was put beside a suspect")
	}
	alone.Done(Result{Outcome: wirepb.Outcome_OUTCOME_CRASHED})
	if _, err := c.Acquire(context.Background(), a); err == nil {
		t.Error("a request that crashed an endpoint alone was given another")
	}
	select {
	case <-second:
		t.Error("the same request was let run once more")
	default:
	}
}

func TestCellProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const endpoints, window = 3, 4
		c := newTestCell(t, endpoints, window, rapid.Bool().Draw(t, "reserve"))
		var out []*Grant
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				ctx, cancel := context.WithCancel(context.Background())
				a := ask(rapid.SampledFrom([]wirepb.Priority{interactive, training}).Draw(t, "priority"), "s", 1)
				a.Prefix = rapid.Uint64Range(0, 3).Draw(t, "prefix")
				a.Alone = rapid.IntRange(0, 5).Draw(t, "alone") == 0
				cancelled := time.AfterFunc(time.Millisecond, cancel)
				if g, err := c.Acquire(ctx, a); err == nil {
					out = append(out, g)
				}
				cancelled.Stop()
				cancel()
			},
			"done": func(t *rapid.T) {
				if len(out) == 0 {
					return
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				outcome := wirepb.Outcome(rapid.Int32Range(0, 5).Draw(t, "outcome"))
				out[i].Done(Result{Outcome: outcome, Run: time.Millisecond, Tokens: 3})
				out = append(out[:i], out[i+1:]...)
			},
			"report": func(t *rapid.T) {
				name := fmt.Sprintf("e%d", rapid.IntRange(0, endpoints-1).Draw(t, "endpoint"))
				c.Report(name, Report{Ready: rapid.Bool().Draw(t, "ready"), Incarnation: 1})
			},
			"": func(t *rapid.T) {
				if load := c.Load(); load.InFlight != len(out) || load.Queued != 0 {
					t.Fatalf("%d in flight and %d queued, want %d and 0", load.InFlight, load.Queued, len(out))
				}
				for _, p := range c.Places() {
					if p.InFlight > window {
						t.Fatalf("%d in flight at %s, the window is %d", p.InFlight, p.Endpoint, window)
					}
				}
			},
		})
	})
}
