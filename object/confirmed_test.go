package object_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

// createUnderFaults creates an object within limit, under faults that end after
// faultDuration, and returns how long the creation took.
func createUnderFaults(t *testing.T, limit time.Duration, faults memory.Faults, faultDuration time.Duration) (time.Duration, error) {
	t.Helper()
	s := memory.New()
	s.SetFaults(faults)
	timer := time.AfterFunc(faultDuration, func() { s.SetFaults(memory.Faults{}) })
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	started := time.Now()
	_, err := object.CreateConfirmed(ctx, s, "kind", "name", []byte(`{}`))
	return time.Since(started), err
}

func TestCreateConfirmed(t *testing.T) {
	t.Run("a lost answer is resolved by the next attempt", func(t *testing.T) {
		_, err := createUnderFaults(t, 2*time.Second, memory.Faults{LoseAnswers: 1}, time.Hour)
		var exists *object.ExistsError
		if !errors.As(err, &exists) {
			t.Errorf("got %v, want an *ExistsError", err)
		}
	})
	t.Run("creation succeeds soon after refusals end", func(t *testing.T) {
		took, err := createUnderFaults(t, 2*time.Second, memory.Faults{Refuse: true}, 500*time.Millisecond)
		if err != nil || took > time.Second {
			t.Errorf("took %v with error %v, want success within 1 s", took, err)
		}
	})
	t.Run("only refusals are a definite refusal", func(t *testing.T) {
		_, err := createUnderFaults(t, 300*time.Millisecond, memory.Faults{Refuse: true}, time.Hour)
		if !errors.Is(err, object.ErrRefused) || errors.Is(err, object.ErrOutcomeUnknown) {
			t.Errorf("got %v, want a definite refusal", err)
		}
	})
	t.Run("no answer is an unknown outcome", func(t *testing.T) {
		_, err := createUnderFaults(t, 300*time.Millisecond, memory.Faults{Unresponsive: true}, time.Hour)
		if !errors.Is(err, object.ErrOutcomeUnknown) {
			t.Errorf("got %v, want an unknown outcome", err)
		}
	})
	t.Run("a write that takes effect late", func(t *testing.T) {
		_, err := createUnderFaults(t, 2*time.Second, memory.Faults{LateWrites: 1, LateDelay: 50 * time.Millisecond}, time.Hour)
		var exists *object.ExistsError
		if err != nil && !errors.As(err, &exists) {
			t.Errorf("got %v, want success or an *ExistsError", err)
		}
	})
}

// TestGetImmutableReadsStaleFirst checks that a fresh read, which costs ten times a
// stale one, is made only if the stale one finds nothing.
func TestGetImmutableReadsStaleFirst(t *testing.T) {
	store := memory.New()
	if _, err := store.Create(t.Context(), "k", "n", []byte("{}")); err != nil {
		t.Fatal(err)
	}
	for staleMiss, want := range map[bool]int{false: 1, true: 2} {
		store.SetFaults(memory.Faults{StaleMiss: staleMiss})
		before := store.Calls()
		if _, err := object.GetImmutable(t.Context(), store, "k", "n"); err != nil {
			t.Errorf("stale miss %t: %v", staleMiss, err)
		}
		check.Equal(t, "calls", store.Calls()-before, want)
	}
}
