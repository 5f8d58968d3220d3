package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/memory"
)

// TestListIsNotPutOffByLateUpdates guards against a host that keeps an old configuration since
// updates that were sent before a cut reach it one after the other when the cut has healed.
func TestListIsNotPutOffByLateUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, r := memory.New(), newRecorder()
		put(t, store, "main", "1")
		sent := make(chan []Update, 100)
		sender := New(store, capture{sent}, bound, zap.NewNop(), Kind{Name: kind, Apply: newRecorder().apply})
		m := New(store, fleetPeer{&testFleet{}, 1}, bound, zap.NewNop(), Kind{Name: kind, Apply: r.apply})
		start := time.Now()
		sender.clock = func() time.Duration { return time.Hour + time.Since(start) }
		m.clock = sender.clock
		for range 2 {
			sender.listKinds(t.Context(), true)
		}
		late := <-sent
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = m.Run(ctx) })
		time.Sleep(5 * bound)
		put(t, store, "main", "2")
		running.Go(func() {
			for range 10 {
				m.Apply(late)
				time.Sleep(400 * time.Millisecond)
			}
		})
		r.await(t, map[string]string{"main": "2"}, bound)
	})
}
