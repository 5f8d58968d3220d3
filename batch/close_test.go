package batch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

// chunkRefusingStore is a store that refuses to create chunks.
type chunkRefusingStore struct {
	object.Store
	once  sync.Once
	tried chan struct{}
}

func (s *chunkRefusingStore) Create(ctx context.Context, kind, name string, spec []byte) (object.Entry, error) {
	if kind != kindChunks {
		return s.Store.Create(ctx, kind, name, spec)
	}
	s.once.Do(func() { close(s.tried) })
	return object.Entry{}, object.ErrRefused
}

// TestCloseDuringStoreOutage closes a keeper that can't store its results
// because the store is unavailable: Close must return nevertheless.
func TestCloseDuringStoreOutage(t *testing.T) {
	store := &chunkRefusingStore{Store: memory.New(), tried: make(chan struct{})}
	engine := &instantEngine{held: make(map[string]chan struct{})}
	engine.hold("i1")
	k := newKeeper(t, newCluster(), store, engine, "a")
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", "i0", "i1")).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	<-store.tried
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	done := make(chan struct{})
	go func() {
		k.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(testLimit):
		t.Fatal("Close did not return")
	}
}
