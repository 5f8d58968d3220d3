package batch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
)

const (
	// cleanInterval is how often expired batches are removed.
	cleanInterval = 30 * time.Second
	// cleanMargin is how long a batch is stored after its results can no longer be
	// read, to allow for clock skew.
	cleanMargin = time.Minute
	// maxRemovedPerPass limits the batches that one pass removes, so that it takes
	// a small share of the store's writes.
	maxRemovedPerPass = 20
)

// cleanUp removes expired batches. Only one node removes them from the store;
// the others drop them from memory.
func (k *Keeper) cleanUp(ctx context.Context) {
	if k.deps.IsLeader() {
		k.removeExpired(ctx, time.Now())
	} else {
		k.forget(k.expiredHeads(time.Now().Add(-cleanMargin)))
	}
}

// expiredHeads returns the batches whose results can no longer be read. A batch
// that this node still works on does not expire.
func (k *Keeper) expiredHeads(now time.Time) []Head {
	k.mu.Lock()
	defer k.mu.Unlock()
	var heads []Head
	for id, h := range k.batches {
		j := k.jobs[id]
		if h.head.Age(now) > k.deps.Retention+cleanMargin && (j == nil || j.results.Ended()) {
			heads = append(heads, h.head)
		}
	}
	return heads
}

// forget drops batches from memory.
func (k *Keeper) forget(heads []Head) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, head := range heads {
		delete(k.batches, head.ID)
		delete(k.jobs, head.ID)
		k.cache.drop(head.ID)
	}
}

// removeExpired removes expired batches from the store. It deletes the head
// last, so that an interrupted removal is found and repeated, and the last chunk first, so
// that the chunks that are left have no gap.
func (k *Keeper) removeExpired(ctx context.Context, now time.Time) {
	expired := k.expiredHeads(now)
	for _, head := range expired[:min(len(expired), maxRemovedPerPass)] {
		if err := k.removeBatch(ctx, head); err != nil {
			event.BatchNotRemoved.Log(k.deps.Logger, zap.String("batch", head.ID), zap.Error(err))
			return
		}
		k.forget([]Head{head})
		event.BatchRemoved.Log(k.deps.Logger, zap.String("batch", head.ID))
	}
}

func (k *Keeper) removeBatch(ctx context.Context, head Head) error {
	for n := range head.BodyParts {
		if err := k.removeObject(ctx, kindBodies, numberedName(head.ID, n)); err != nil && !errors.Is(err, object.ErrNotFound) {
			return err
		}
	}
	chunks := 0
	for ; ; chunks++ {
		_, err := object.GetImmutable(ctx, k.deps.Store, kindChunks, numberedName(head.ID, chunks))
		if errors.Is(err, object.ErrNotFound) {
			break
		}
		if err != nil {
			return fmt.Errorf("reading a chunk to remove: %w", err)
		}
	}
	for n := chunks - 1; n >= 0; n-- {
		if err := k.removeObject(ctx, kindChunks, numberedName(head.ID, n)); err != nil && !errors.Is(err, object.ErrNotFound) {
			return err
		}
	}
	for _, kind := range []string{kindCheckpoints, kindEnds, kindHeads} {
		if err := k.removeObject(ctx, kind, head.ID); err != nil && !errors.Is(err, object.ErrNotFound) {
			return err
		}
	}
	return nil
}

func (k *Keeper) removeObject(ctx context.Context, kind, name string) error {
	if err := k.deps.Store.Delete(ctx, kind, name); err != nil {
		return fmt.Errorf("removing %s/%s: %w", kind, name, err)
	}
	return nil
}
