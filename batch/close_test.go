package batch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/object"
)

// noChunks is a store that refuses chunks.
type noChunks struct {
	object.Store
	once  sync.Once
	tried chan struct{}
}

func (s *noChunks) Create(ctx context.Context, kind, name string, spec []byte) (object.Entry, error) {
	if kind != kindChunks {
		return s.Store.Create(ctx, kind, name, spec)
	}
	s.once.Do(func() { close(s.tried) })
	return object.Entry{}, object.ErrRefused
}

// TestCloseDuringAnOutage stops a keeper whose results can't last since the store
// is away: it ends all the same.
func TestCloseDuringAnOutage(t *testing.T) {
	store := &noChunks{Store: shelf.New(), tried: make(chan struct{})}
	engine := &instant{held: make(map[string]chan struct{})}
	engine.hold("i1")
	k := newKeeper(t, newRing(), store, engine, "a")
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", "i0", "i1")).(Kept); !ok {
		t.Fatal("not kept")
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
		t.Fatal("it does not end")
	}
}
