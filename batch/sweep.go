package batch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
)

// sweepLoop takes over batches that this node should own, releases those that
// another node should own, and lists the batches in the store periodically.
func (k *Keeper) sweepLoop() {
	started, discovered := time.Now(), false
	lastListAt := time.Time{}
	ticker := time.NewTicker(peersPoll)
	defer ticker.Stop()
	// Listing takes seconds while the store is unavailable; takeovers and the
	// detection of process pauses must not wait for it.
	listing, listResults := false, make(chan error, 1)
	for {
		var listErr error
		select {
		case <-k.ctx.Done():
			return
		case <-ticker.C:
		case <-k.handover:
		case listErr = <-listResults:
			listing = false
		}
		now := time.Now()
		k.detectPause()
		if !discovered {
			if !k.deps.Peers.Discovered() && now.Sub(started) < peersTimeout {
				continue
			}
			discovered = true
			ticker.Reset(sweepInterval)
		}
		interval := max(listInterval, time.Duration(len(k.deps.Peers.ActiveNames()))*listIntervalPerNode)
		if listErr != nil {
			event.BatchListFailed.Log(k.deps.Logger, zap.Error(listErr))
			lastListAt = now.Add(time.Second - interval)
		}
		if !listing && now.Sub(lastListAt) > interval && slices.Contains(k.deps.Peers.Keepers(), k.deps.Name) {
			freshness := object.Stale
			if lastListAt.IsZero() {
				freshness = object.Fresh
			}
			listing, lastListAt = true, now
			k.tasks.Go(func() { listResults <- k.listBatches(k.ctx, freshness) })
		}
		k.sweep(now)
	}
}

// detectPause records that other nodes may have taken over all batches if the process was
// suspended since the last call.
func (k *Keeper) detectPause() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock()
	pause := now - k.sweptAt
	k.sweptAt = now
	if pause <= pauseLimit {
		return
	}
	event.NodeWasPaused.Log(k.deps.Logger, zap.Duration("pause", pause))
	for _, j := range k.jobs {
		j.tail.share()
	}
}

// listBatches loads the heads and ends of all batches from the store.
func (k *Keeper) listBatches(ctx context.Context, freshness object.Freshness) error {
	heads, _, err := k.deps.Store.List(ctx, kindHeads, freshness)
	if err != nil {
		return fmt.Errorf("listing batches: %w", err)
	}
	ends, _, err := k.deps.Store.List(ctx, kindEnds, freshness)
	if err != nil {
		return fmt.Errorf("listing ended batches: %w", err)
	}
	ended := make(map[string]bool, len(ends))
	for _, record := range ends {
		ended[record.Name] = true
	}
	unreadable := make(map[string]bool)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, record := range heads {
		head, err := decodeHead(record)
		if err != nil {
			unreadable[record.Name] = true
			if !k.unreadable[record.Name] {
				event.BatchUnreadable.Log(k.deps.Logger, zap.String("batch", record.Name), zap.Error(err))
			}
			continue
		}
		k.applyLocked(Notification{Head: head, Ended: ended[record.Name]})
	}
	k.unreadable = unreadable
	return nil
}

func (k *Keeper) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return
	}
	for id, h := range k.batches {
		j := k.jobs[id]
		owned := k.keeperOf(h) == k.deps.Name
		switch {
		case j == nil && owned && !h.ended && !h.takingOver && h.head.Age(now) < k.lifetime(h.head):
			h.takingOver = true
			head := h.head
			k.tasks.Go(func() { k.takeOver(h, head) })
		case j != nil && !owned && !j.results.Ended():
			event.BatchReleased.Log(k.deps.Logger, zap.String("batch", id), zap.String("keeper", k.keeperOf(h)))
			k.stopRuns(j)
			j.released = true
			delete(k.jobs, id)
			close(j.changed)
			j.changed = make(chan struct{})
		case j != nil && j.previous.Keeper != "" && k.deps.Peers.Alive(j.previous.Keeper, j.previous.Incarnation):
			// The previous keeper was only unreachable and may have missed the
			// notification.
			j.previous = Head{}
			go k.deps.Peers.Notify(Notification{Head: h.head, TakenOver: true})
		}
	}
}

// lifetime returns how long a batch's items may be run after its submission.
func (k *Keeper) lifetime(head Head) time.Duration {
	if route := k.routeOf(head); route.MaxQueue > 0 {
		return route.MaxQueue + maxClockSkew
	}
	return defaultLifetime + maxClockSkew
}

// takeOver makes this node the keeper of a batch that another node owned; head
// is the head as known when the takeover was decided.
func (k *Keeper) takeOver(h *knownBatch, head Head) {
	start := time.Now()
	j, ended, err := k.loadJob(k.ctx, head)
	k.mu.Lock()
	defer k.mu.Unlock()
	h.takingOver = false
	switch {
	case err != nil:
		event.BatchTakeoverFailed.Log(k.deps.Logger, zap.String("batch", h.head.ID), zap.Error(err))
	case ended:
		h.ended = true
	case h.ended || k.keeperOf(h) != k.deps.Name || k.leaving || k.ctx.Err() != nil:
	default:
		event.BatchTakenOver.Log(k.deps.Logger, zap.String("batch", h.head.ID),
			zap.String("from", h.head.Keeper), zap.Int("listed", j.results.Durable()),
			zap.Int("total", j.results.Total()), zap.Duration("took", time.Since(start)), event.Team(h.head.Team))
		k.deps.Scope.Counter("takeovers").Inc(1)
		j.tail.share()
		j.previous, j.takenOver = h.head, true
		k.startJob(j)
		h.head.Keeper, h.head.Incarnation, h.handedOver = k.deps.Name, k.deps.Incarnation, false
		go k.deps.Peers.Notify(Notification{Head: h.head, TakenOver: true})
	}
}
