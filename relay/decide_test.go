package relay

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var errTest = errors.New("no answer")

func TestNext(t *testing.T) {
	now := time.Now()
	later := now.Add(time.Second)
	for _, tc := range []struct {
		name string
		a    Attempts
		want Decision
	}{
		{"not run is retried", Attempts{MaxRuns: 1, Deadline: later, Sent: 1, NotRun: 1}, TryAnotherEndpoint},
		{"lost and repeatable is retried", Attempts{Repeatable: true, MaxRuns: 2, Deadline: later, Sent: 1, MayHaveRun: true}, TryAnotherEndpoint},
		{"lost and not repeatable gives up", Attempts{MaxRuns: 2, Deadline: later, Sent: 1, MayHaveRun: true}, GiveUp},
		{"all attempts used", Attempts{Repeatable: true, MaxRuns: 2, Deadline: later, Sent: 2, MayHaveRun: true}, GiveUp},
		{"refusals don't count as attempts", Attempts{Repeatable: true, MaxRuns: 2, Deadline: later, Sent: 3, NotRun: 2, MayHaveRun: true}, TryAnotherEndpoint},
		{"deadline reached", Attempts{Repeatable: true, MaxRuns: 2, Deadline: now, Sent: 1, NotRun: 1}, GiveUp},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.a.Next(now); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRefusedNeverRan draws random attempt results and checks that the caller
// gets Refused if no attempt may have run, and Failed otherwise.
func TestRefusedNeverRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		a := Attempts{
			Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxRuns: rapid.IntRange(1, 3).Draw(t, "most"),
			Deadline: now.Add(time.Second),
		}
		mayHaveRun, ran := false, 0
		for {
			a.Sent++
			if rapid.Bool().Draw(t, "lost") {
				mayHaveRun = true
				ran++
				a.RecordLost("e")
			} else {
				a.RecordNotRun("e", NotRun{Full: rapid.Bool().Draw(t, "full")})
			}
			if a.Next(now) == GiveUp {
				break
			}
			if mayHaveRun && !a.Repeatable {
				t.Fatal("a non-repeatable request that may have run is retried")
			}
		}
		if ran > a.MaxRuns {
			t.Fatalf("ran %d times, %d allowed", ran, a.MaxRuns)
		}
		_, refused := a.FinalOutcome(errTest).(Refused)
		if refused == mayHaveRun {
			t.Fatalf("refused %v, may have run %v", refused, mayHaveRun)
		}
	})
}
