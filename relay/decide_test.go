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
		want Step
	}{
		{"not run is retried", Attempts{Most: 1, Limit: later, Sent: 1, NotRun: 1}, TryAnother},
		{"lost and repeatable is retried", Attempts{Repeatable: true, Most: 2, Limit: later, Sent: 1, MayHaveRun: true}, TryAnother},
		{"lost and not repeatable gives up", Attempts{Most: 2, Limit: later, Sent: 1, MayHaveRun: true}, GiveUp},
		{"all attempts used", Attempts{Repeatable: true, Most: 2, Limit: later, Sent: 2, MayHaveRun: true}, GiveUp},
		{"refusals don't count as attempts", Attempts{Repeatable: true, Most: 2, Limit: later, Sent: 3, NotRun: 2, MayHaveRun: true}, TryAnother},
		{"deadline reached", Attempts{Repeatable: true, Most: 2, Limit: now, Sent: 1, NotRun: 1}, GiveUp},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.a.Next(now); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRefusedNeverRan draws random attempt results and checks that the caller gets
// Refused exactly if no attempt may have run.
func TestRefusedNeverRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		a := Attempts{
			Repeatable: rapid.Bool().Draw(t, "repeatable"), Most: rapid.IntRange(1, 3).Draw(t, "most"),
			Limit: now.Add(time.Second),
		}
		mayHaveRun, ran := false, 0
		for {
			a.Sent++
			if rapid.Bool().Draw(t, "lost") {
				mayHaveRun = true
				ran++
				a.NoteLost("e")
			} else {
				a.NoteNotRun("e", NotRun{Full: rapid.Bool().Draw(t, "full")})
			}
			if a.Next(now) == GiveUp {
				break
			}
			if mayHaveRun && !a.Repeatable {
				t.Fatal("a non-repeatable request that may have run is retried")
			}
		}
		if ran > a.Most {
			t.Fatalf("ran %d times, %d allowed", ran, a.Most)
		}
		_, refused := a.End(errTest).(Refused)
		if refused == mayHaveRun {
			t.Fatalf("refused %v, may have run %v", refused, mayHaveRun)
		}
	})
}
