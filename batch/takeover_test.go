package batch

import (
	"context"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
)

// TestTakeoverWaitsForPeers restarts the fleet after all nodes have stopped: a
// starting node must take over the batch of a stopped one as soon as it has
// discovered its peers.
func TestTakeoverWaitsForPeers(t *testing.T) {
	for _, tc := range []struct {
		name         string
		undiscovered bool
		least, most  time.Duration
	}{
		{"peers discovered", false, 0, peersTimeout / 2},
		{"can't register", true, peersTimeout, testLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := memory.New()
			engine := &instantEngine{held: make(map[string]chan struct{})}
			engine.hold("i0")
			previous := newKeeper(t, newCluster(), store, engine, "gone")
			if _, ok := previous.Accept(t.Context(), submissionOf(t, "s", "i0")).(Stored); !ok {
				t.Fatal("batch not accepted")
			}
			previous.Close()
			next := newCluster()
			next.undiscovered = tc.undiscovered
			next.setDead("gone", true)
			start := time.Now()
			k := newKeeper(t, next, store, &instantEngine{}, "a")
			readUntil(t, k, "s", 0)
			if took := time.Since(start); took < tc.least || took > tc.most {
				t.Errorf("first result after %v, want %v to %v", took, tc.least, tc.most)
			}
		})
	}
}

// slowListStore is a store whose lists take longer than a pause of the process
// after which peers would take over.
type slowListStore struct{ object.Store }

func (s slowListStore) List(ctx context.Context, kind string, freshness object.Freshness) ([]object.Entry, uint64, error) {
	if err := waits.For(ctx, pauseLimit+sweepInterval); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, kind, freshness)
}

// TestSlowListIsNotAPause checks that a slow list call is not mistaken for a
// pause of the process, which would make every read check the store.
func TestSlowListIsNotAPause(t *testing.T) {
	engine := &instantEngine{held: make(map[string]chan struct{})}
	engine.hold("i0")
	k := newKeeper(t, newCluster(), slowListStore{memory.New()}, engine, "a")
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", "i0")).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	time.Sleep(2*pauseLimit + 3*sweepInterval)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.jobs["s"].tail.shared {
		t.Error("shared although the process was never suspended")
	}
}
