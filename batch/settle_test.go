package batch

import (
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/shelf"
)

// TestTakesOverOnceSettled replays the end of all nodes: what the node before
// kept falls to one that starts, as soon as that knows the others.
func TestTakesOverOnceSettled(t *testing.T) {
	for _, tc := range []struct {
		name        string
		unsettled   bool
		least, most time.Duration
	}{
		{"it knows the others", false, 0, settleTime / 2},
		{"it can't register", true, settleTime, testLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := shelf.New()
			engine := &instant{held: make(map[string]chan struct{})}
			engine.hold("i0")
			gone := newKeeper(t, newRing(), store, engine, "gone")
			if _, ok := gone.Accept(t.Context(), submissionOf(t, "s", "i0")).(Kept); !ok {
				t.Fatal("not kept")
			}
			gone.Close()
			after := newRing()
			after.unsettled = tc.unsettled
			after.setDead("gone", true)
			begun := time.Now()
			k := newKeeper(t, after, store, &instant{}, "a")
			readUntil(t, k, "s", 0)
			if took := time.Since(begun); took < tc.least || took > tc.most {
				t.Errorf("went on after %v, want %v to %v", took, tc.least, tc.most)
			}
		})
	}
}
