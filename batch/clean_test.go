package batch

import (
	"context"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

// failedDeletion is a store in which the first deletion of one object fails.
type failedDeletion struct {
	object.Store
	name   string
	failed bool
}

func (s *failedDeletion) Delete(ctx context.Context, kind, name string) error {
	if name == s.name && !s.failed {
		s.failed = true
		return object.ErrUnavailable
	}
	return s.Store.Delete(ctx, kind, name)
}

// TestInterruptedRemovalLeavesNoChunks guards against results that stay in the store for good: a
// removal that has failed after some chunks is repeated.
func TestInterruptedRemovalLeavesNoChunks(t *testing.T) {
	for _, failing := range []string{numberedName("s", 0), numberedName("s", 1), numberedName("s", 2)} {
		t.Run(failing, func(t *testing.T) {
			store := memory.New()
			k := newKeeper(t, newCluster(), &failedDeletion{Store: store, name: failing}, &instantEngine{}, "a")
			for n := range 3 {
				if _, err := store.Create(t.Context(), kindChunks, numberedName("s", n), []byte(`{}`)); err != nil {
					t.Fatal(err)
				}
			}
			k.Apply(Notification{Head: Head{ID: "s"}, Ended: true})
			for range 2 {
				k.removeExpired(t.Context(), time.Now())
			}
			check.Equal(t, "chunks", len(store.Names(kindChunks)), 0)
		})
	}
}
