package batch

import (
	"context"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
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

// slowLists is a store whose lists take longer than a pause of the process that
// others would notice.
type slowLists struct{ object.Store }

func (s slowLists) List(ctx context.Context, kind string, read object.Read) ([]object.Entry, uint64, error) {
	if err := waits.For(ctx, pauseLimit+sweepInterval); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, kind, read)
}

// TestASlowListIsNoPause keeps reads of a batch cheap while the store is slow.
func TestASlowListIsNoPause(t *testing.T) {
	engine := &instant{held: make(map[string]chan struct{})}
	engine.hold("i0")
	k := newKeeper(t, newRing(), slowLists{shelf.New()}, engine, "a")
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", "i0")).(Kept); !ok {
		t.Fatal("not kept")
	}
	time.Sleep(2*pauseLimit + 3*sweepInterval)
	k.mu.Lock()
	defer k.mu.Unlock()
	if doubt := k.jobs["s"].doubtUntil; !doubt.IsZero() {
		t.Errorf("in doubt until %v although the process never stood still", doubt)
	}
}
