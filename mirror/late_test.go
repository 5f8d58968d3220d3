package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// TestConfirmedCopyLacksChange guards against a copy that counts as confirmed as of a call,
// but lacks a change made before it; and against one that counts as current for the time in
// which its host was cut off.
func TestConfirmedCopyLacksChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, r := memory.New(), newRecorder()
		m := New(store, fleetPeer{&testFleet{}, 1}, bound, zap.NewNop(), Kind{Name: kind, Apply: r.apply})
		start := time.Now()
		m.clock = func() time.Duration { return time.Hour + time.Since(start) }
		put(t, store, "main", "0")
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = m.Run(ctx) })
		random := rand.New(rand.NewPCG(48, 0))
		for n := 1; n <= 50; n++ {
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			put(t, store, "main", fmt.Sprint(n))
			if _, err := m.Confirm(ctx); err != nil {
				t.Fatal(err)
			}
			r.await(t, map[string]string{"main": fmt.Sprint(n)}, 0)
		}
		steady, err := m.Confirm(ctx)
		if err != nil || steady < 20*time.Second {
			t.Errorf("current for %v (%v), want all the time", steady, err)
		}
		store.SetFaults(memory.Faults{Refuse: true})
		time.Sleep(2 * bound)
		short, stop := context.WithTimeout(ctx, bound)
		defer stop()
		if _, err := m.Confirm(short); err == nil {
			t.Error("confirmed while the store is unavailable")
		}
		store.SetFaults(memory.Faults{})
		if steady, err := m.Confirm(ctx); err != nil || steady > bound {
			t.Errorf("current for %v (%v) after an outage of three bounds", steady, err)
		}
	})
}

// startingFleet is a fleet in which a node finds after a while that it comes first.
type startingFleet struct {
	capture
	foundAt time.Time
}

func (f startingFleet) Rank() (rank, nodes int) {
	if time.Now().Before(f.foundAt) {
		return 1, 1
	}
	return 0, 3
}

// TestFirstNodeListsLateAfterItsStart guards against a first node that waits as long as the
// second one, since it took itself for that when it started: all others list meanwhile.
func TestFirstNodeListsLateAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, sent := memory.New(), make(chan []Update, 100)
		put(t, store, "main", "1")
		start := time.Now()
		m := New(store, startingFleet{capture{sent}, start.Add(500 * time.Millisecond)}, bound, zap.NewNop(), Kind{Name: kind, Apply: newRecorder().apply})
		m.clock = func() time.Duration { return time.Hour + time.Since(start) }
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		running.Go(func() { _ = m.Run(ctx) })
		<-sent
		if took, want := time.Since(start), ListPause(bound, 0, 3)+startInterval; took > want {
			t.Errorf("the first node sent its first list %v after its start, want %v at most", took, want)
		}
	})
}
