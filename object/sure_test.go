package object_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/object"
)

// createWithin creates an object under faults that end after a while.
func createWithin(t *testing.T, limit time.Duration, faults shelf.Faults, ends time.Duration) (time.Duration, error) {
	t.Helper()
	s := shelf.New()
	s.SetFaults(faults)
	timer := time.AfterFunc(ends, func() { s.SetFaults(shelf.Faults{}) })
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	begun := time.Now()
	_, err := object.CreateSure(ctx, s, "kind", "name", []byte(`{}`))
	return time.Since(begun), err
}

func TestCreateSure(t *testing.T) {
	t.Run("a lost answer is found out", func(t *testing.T) {
		_, err := createWithin(t, 2*time.Second, shelf.Faults{LoseAnswers: 1}, time.Hour)
		var exists *object.ExistsError
		if !errors.As(err, &exists) {
			t.Errorf("got %v, want that it exists", err)
		}
	})
	t.Run("the end of a refusal is not missed", func(t *testing.T) {
		took, err := createWithin(t, 2*time.Second, shelf.Faults{Refuse: true}, 500*time.Millisecond)
		if err != nil || took > time.Second {
			t.Errorf("after %v: %v", took, err)
		}
	})
	t.Run("only refusals", func(t *testing.T) {
		_, err := createWithin(t, 300*time.Millisecond, shelf.Faults{Refuse: true}, time.Hour)
		if !errors.Is(err, object.ErrRefused) || errors.Is(err, object.ErrUnsure) {
			t.Errorf("got %v, want a refusal that is sure", err)
		}
	})
	t.Run("no answer at all", func(t *testing.T) {
		_, err := createWithin(t, 300*time.Millisecond, shelf.Faults{Silent: true}, time.Hour)
		if !errors.Is(err, object.ErrUnsure) {
			t.Errorf("got %v, want that it is unsure", err)
		}
	})
	t.Run("a late effect", func(t *testing.T) {
		_, err := createWithin(t, 2*time.Second, shelf.Faults{Late: 1, LateBy: 50 * time.Millisecond}, time.Hour)
		var exists *object.ExistsError
		if err != nil && !errors.As(err, &exists) {
			t.Errorf("got %v", err)
		}
	})
}

// TestLastingReadsAreStale pays for a fresh read only where a stale one finds
// nothing.
func TestLastingReadsAreStale(t *testing.T) {
	store := shelf.New()
	if _, err := store.Create(t.Context(), "k", "n", []byte("{}")); err != nil {
		t.Fatal(err)
	}
	for behind, want := range map[bool]int{false: 1, true: 2} {
		store.SetFaults(shelf.Faults{Behind: behind})
		before := store.Calls()
		if _, err := object.GetLasting(t.Context(), store, "k", "n"); err != nil {
			t.Errorf("behind %t: %v", behind, err)
		}
		check.Equal(t, "calls", store.Calls()-before, want)
	}
}
