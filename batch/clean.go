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
	// cleanInterval is how often old batches are looked for.
	cleanInterval = 30 * time.Second
	// cleanMargin is how long beyond the time in which results can be read a batch
	// stays, for clocks that differ.
	cleanMargin = time.Minute
	// mostCleaned bounds the batches that one pass removes, so that it takes a
	// small part of the store's writes.
	mostCleaned = 20
)

// tidy removes batches that nobody may read any more. Only the first node removes
// them from the store, the others forget them.
func (k *Keeper) tidy(ctx context.Context) {
	if k.parts.First() {
		k.clean(ctx, time.Now())
	} else {
		k.forget(k.old(time.Now().Add(-cleanMargin)))
	}
}

// old returns the batches that nobody may read any more. An open batch is read
// for as long as it is open.
func (k *Keeper) old(now time.Time) []Head {
	k.mu.Lock()
	defer k.mu.Unlock()
	var heads []Head
	for id, h := range k.heads {
		j := k.jobs[id]
		if h.head.Age(now) > k.parts.Keep+cleanMargin && (j == nil || j.book.Ended()) {
			heads = append(heads, h.head)
		}
	}
	return heads
}

// forget drops what this node holds of batches.
func (k *Keeper) forget(heads []Head) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, head := range heads {
		delete(k.heads, head.ID)
		delete(k.jobs, head.ID)
	}
}

// clean removes old batches, the head last, so that what was interrupted is
// found again.
func (k *Keeper) clean(ctx context.Context, now time.Time) {
	old := k.old(now)
	for _, head := range old[:min(len(old), mostCleaned)] {
		if err := k.remove(ctx, head); err != nil {
			event.BatchCleanFailed.Log(k.parts.Logger, zap.String("batch", head.ID), zap.Error(err))
			return
		}
		k.forget([]Head{head})
		event.BatchCleaned.Log(k.parts.Logger, zap.String("batch", head.ID))
	}
}

func (k *Keeper) remove(ctx context.Context, head Head) error {
	for n := range head.Parts {
		if err := k.removeOne(ctx, kindBodies, chunkName(head.ID, n)); err != nil && !errors.Is(err, object.ErrNotFound) {
			return err
		}
	}
	for n := 0; ; n++ {
		err := k.removeOne(ctx, kindChunks, chunkName(head.ID, n))
		if errors.Is(err, object.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
	}
	for _, kind := range []string{kindBegun, kindEnds, kindHeads} {
		if err := k.removeOne(ctx, kind, head.ID); err != nil && !errors.Is(err, object.ErrNotFound) {
			return err
		}
	}
	return nil
}

func (k *Keeper) removeOne(ctx context.Context, kind, name string) error {
	if err := k.parts.Store.Delete(ctx, kind, name); err != nil {
		return fmt.Errorf("removing %s/%s: %w", kind, name, err)
	}
	return nil
}
