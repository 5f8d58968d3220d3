package batch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/rendez"
)

const (
	// takeoverRetryDelay is how long after a takeover that failed the next one begins, owedDelay the
	// same if there was no memory for the batch.
	takeoverRetryDelay = 400 * time.Millisecond
	owedDelay          = time.Second
	// helpDelay is how long a batch without a keeper waits for each host that is to take it over before
	// the next one does: that host may have no memory for it. A load of a large batch takes two seconds.
	helpDelay = 5 * time.Second
)

var errOwnedElsewhere = errors.New("another node has taken the batch over")

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
	k.expireOffers()
	k.reportMemory()
	for id, h := range k.batches {
		j := k.jobs[id]
		owned := k.keeperOf(h) == k.deps.Name
		switch {
		case j == nil && k.owed(h, now) && (owned || k.mayHelp(h)):
			h.takingOver = true
			head := h.head
			k.tasks.Go(func() { k.takeOver(h, head, !owned) })
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

// owed reports whether a batch that this node does not work on needs a keeper: until its results can't be
// read any more, since its items must be listed even if it is too late to run them. The caller holds
// the lock.
func (k *Keeper) owed(h *knownBatch, now time.Time) bool {
	return !h.ended && !h.complete && !h.takingOver && k.deps.Clock() >= h.retryAt &&
		h.head.Age(now) < max(k.lifetime(h.head), k.deps.Retention)
}

// mayHelp reports whether this node may take over a batch that other nodes without a keeper for it
// should have taken over before. The caller holds the lock.
func (k *Keeper) mayHelp(h *knownBatch) bool {
	if k.hasKeeper(h) {
		h.orphaned = false
		return false
	}
	now := k.deps.Clock()
	if !h.orphaned {
		h.orphaned, h.orphanedAt = true, now
	}
	rank := k.rank(h.head.ID)
	return rank > 0 && now-h.orphanedAt >= time.Duration(rank)*helpDelay
}

// hasKeeper reports whether a live node owns a batch. The caller holds the lock.
func (k *Keeper) hasKeeper(h *knownBatch) bool {
	return !h.handedOver && k.deps.Peers.Alive(h.head.Keeper, h.head.Incarnation)
}

// rank returns this node's rank among those that may take a batch over, -1 if it may not.
func (k *Keeper) rank(id string) int {
	names := k.deps.Peers.Keepers()
	return slices.Index(rendez.Top(id, names, len(names)), k.deps.Name)
}

// takeOver makes this node the keeper of a batch that another node owned; head is the head as known when
// the takeover was decided. Helping reports that the batch should have gone to another node.
func (k *Keeper) takeOver(h *knownBatch, head Head, helping bool) {
	start := time.Now()
	l := k.beginLoad(k.ctx, head, true)
	j, ended, err := k.loadOwed(l, h, helping)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endLoad(l)
	h.takingOver = false
	switch {
	case errors.Is(err, errOwnedElsewhere):
		h.retryAt = k.deps.Clock() + takeoverRetryDelay
	case errors.Is(err, ErrNoMemory):
		h.retryAt = k.deps.Clock() + owedDelay
		k.deps.Scope.Tagged(map[string]string{"use": "takeover"}).Counter("batch_memory_refused").Inc(1)
		event.BatchOwed.Log(k.deps.Logger, zap.String("batch", h.head.ID), zap.Int("items", head.Items))
	case err != nil:
		h.retryAt = k.deps.Clock() + takeoverRetryDelay
		event.BatchTakeoverFailed.Log(k.deps.Logger, zap.String("batch", h.head.ID), zap.Error(err))
	case ended:
		h.ended = true
	case !k.mayOwn(h, helping):
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

// mayOwn reports whether this node may still become the keeper of a batch. The caller holds the lock.
func (k *Keeper) mayOwn(h *knownBatch, helping bool) bool {
	return !h.ended && !k.leaving && k.ctx.Err() == nil && (k.keeperOf(h) == k.deps.Name || helping && !k.hasKeeper(h))
}

// loadOwed loads a batch that needs a keeper, once there is memory for the load.
func (k *Keeper) loadOwed(l *load, h *knownBatch, helping bool) (j *job, ended bool, err error) {
	if helping && k.findOwner(l.ctx, l.head.ID) {
		return nil, false, errOwnedElsewhere
	}
	release, err := k.loads.acquire(l.ctx, k.partMemory())
	if err != nil {
		return nil, false, err
	}
	defer release()
	k.mu.Lock()
	wanted := k.mayOwn(h, helping)
	fits := wanted && k.makeRoom(l.head.ID, itemOverheadBytes*int64(l.head.Items), true)
	k.mu.Unlock()
	switch {
	case !wanted:
		return nil, false, errOwnedElsewhere
	case !fits:
		return nil, false, ErrNoMemory
	}
	return k.loadJob(l)
}

// findOwner asks the nodes that should have taken a batch over before this one whether one of them has:
// its notification may have been lost.
func (k *Keeper) findOwner(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	names := k.deps.Peers.Keepers()
	for _, name := range rendez.Top(id, names, len(names)) {
		if name == k.deps.Name {
			break
		}
		found, err := k.deps.Peers.FindAt(ctx, name, id)
		if err != nil || found.Head.ID == "" || found.HandedOver || !k.deps.Peers.Alive(found.Head.Keeper, found.Head.Incarnation) {
			continue
		}
		found.TakenOver = true
		k.Apply(found)
		return true
	}
	return false
}
