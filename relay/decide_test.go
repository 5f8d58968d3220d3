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
		{"not run goes on", Attempts{Most: 1, Limit: later, Sent: 1, NotRun: 1}, TryAnother},
		{"lost and repeatable goes on", Attempts{Repeatable: true, Most: 2, Limit: later, Sent: 1, MayHaveRun: true}, TryAnother},
		{"lost and not repeatable ends", Attempts{Most: 2, Limit: later, Sent: 1, MayHaveRun: true}, GiveUp},
		{"all attempts used", Attempts{Repeatable: true, Most: 2, Limit: later, Sent: 2, MayHaveRun: true}, GiveUp},
		{"refusals don't count", Attempts{Repeatable: true, Most: 2, Limit: later, Sent: 3, NotRun: 2, MayHaveRun: true}, TryAnother},
		{"no time left", Attempts{Repeatable: true, Most: 2, Limit: now, Sent: 1, NotRun: 1}, GiveUp},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.a.Next(now); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestARefusalIsTrue goes through any attempts and checks what the caller is
// told at the end.
func TestARefusalIsTrue(t *testing.T) {
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
				t.Fatal("a request that may have run and may not be repeated goes on")
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
