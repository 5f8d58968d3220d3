package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

// TestRemovalsDuringOutageAreMarked guards against endpoints that are dropped at once when the
// store is available again: their entries expired meanwhile and come back within two seconds. The
// first to notice is a watch.
func TestRemovalsDuringOutageAreMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		put(t, store, "x", `"1"`)
		var removed, marked atomic.Bool
		m := New(store, &outbox{}, 2*bound, zap.NewNop(), Kind{Name: kind, Apply: func(change object.Change, unavailable bool) {
			if change.Removed {
				removed.Store(true)
				marked.Store(unavailable)
			}
		}})
		// The boot clock advances with the timers.
		start := time.Now()
		m.clock = func() time.Duration { return time.Hour + time.Since(start) }
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = m.Run(ctx) })
		time.Sleep(10 * time.Second)
		store.SetFaults(memory.Faults{Refuse: true})
		time.Sleep(2*unavailableAfter + 50*time.Millisecond)
		store.SetFaults(memory.Faults{})
		if err := store.Delete(t.Context(), kind, "x"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if !removed.Load() || !marked.Load() {
			t.Errorf("removed %t, marked as found after an outage %t, want both", removed.Load(), marked.Load())
		}
		cancel()
		running.Wait()
	})
}
