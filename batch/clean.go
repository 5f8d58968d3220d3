package batch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
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

// cleanLoop removes batches that nobody may read any more. Only the first node
// does so.
func (k *Keeper) cleanLoop() {
	for waits.For(k.ctx, cleanInterval) == nil {
		if k.parts.First() {
			k.clean(k.ctx, time.Now())
		}
	}
}

// clean removes old batches, the head last, so that what was interrupted is
// found again.
func (k *Keeper) clean(ctx context.Context, now time.Time) {
	removed := 0
	k.mu.Lock()
	var old []Head
	for id, h := range k.heads {
		if h.head.Age(now) > k.parts.Keep+cleanMargin {
			old = append(old, h.head)
			if j := k.jobs[id]; j != nil && !j.book.Ended() {
				// An open batch is read for as long as it is open.
				old = old[:len(old)-1]
			}
		}
	}
	k.mu.Unlock()
	for _, head := range old {
		if removed == mostCleaned {
			return
		}
		if err := k.remove(ctx, head); err != nil {
			event.BatchCleanFailed.Log(k.parts.Logger, zap.String("batch", head.ID), zap.Error(err))
			return
		}
		removed++
		k.mu.Lock()
		delete(k.heads, head.ID)
		delete(k.jobs, head.ID)
		k.mu.Unlock()
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
	for _, kind := range []string{kindEnds, kindHeads} {
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
