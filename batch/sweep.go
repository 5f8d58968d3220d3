package batch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
)

// sweepLoop takes over batches that fall to this node and gives up those that
// have gone back to their keeper.
func (k *Keeper) sweepLoop() {
	started, settled := time.Now(), false
	listed, seen := time.Time{}, waits.Boottime()
	ticker := time.NewTicker(settlePause)
	defer ticker.Stop()
	// Lists take seconds while the store is away; batches that fall here and pauses
	// of the process must not wait for them.
	listing, lists := false, make(chan error, 1)
	for {
		var listErr error
		select {
		case <-k.ctx.Done():
			return
		case <-ticker.C:
		case <-k.fell:
		case listErr = <-lists:
			listing = false
		}
		now, awake := time.Now(), waits.Boottime()
		if awake-seen > pauseLimit {
			event.NodePaused.Log(k.parts.Logger, zap.Duration("pause", awake-seen))
			k.doubtAll()
		}
		seen = awake
		if !settled {
			if !k.parts.Peers.Settled() && now.Sub(started) < settleTime {
				continue
			}
			settled = true
			ticker.Reset(sweepInterval)
		}
		interval := max(listInterval, time.Duration(len(k.parts.Peers.Staying()))*listPerNode)
		if listErr != nil {
			event.BatchListFailed.Log(k.parts.Logger, zap.Error(listErr))
			listed = now.Add(time.Second - interval)
		}
		if !listing && now.Sub(listed) > interval && slices.Contains(k.parts.Peers.Keepers(), k.parts.Name) {
			read := object.Stale
			if listed.IsZero() {
				read = object.Fresh
			}
			listing, listed = true, now
			k.tasks.Go(func() { lists <- k.list(k.ctx, read) })
		}
		k.sweep(now)
	}
}

// doubtAll makes reads of all batches ask the store before they say that there
// is nothing: another node may have taken them over.
func (k *Keeper) doubtAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, j := range k.jobs {
		j.doubtUntil = time.Now().Add(doubtLife)
	}
}

// list learns of all batches in the store.
func (k *Keeper) list(ctx context.Context, read object.Read) error {
	heads, _, err := k.parts.Store.List(ctx, kindHeads, read)
	if err != nil {
		return fmt.Errorf("listing batches: %w", err)
	}
	ends, _, err := k.parts.Store.List(ctx, kindEnds, read)
	if err != nil {
		return fmt.Errorf("listing ended batches: %w", err)
	}
	ended := make(map[string]bool, len(ends))
	for _, record := range ends {
		ended[record.Name] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, record := range heads {
		head, err := decodeHead(record)
		if err != nil {
			event.BatchUnreadable.Log(k.parts.Logger, zap.String("batch", record.Name), zap.Error(err))
			continue
		}
		k.learn(Notice{Head: head, Ended: ended[record.Name]})
	}
	return nil
}

func (k *Keeper) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return
	}
	for id, h := range k.heads {
		j := k.jobs[id]
		mine := k.keeperOf(h) == k.parts.Name
		switch {
		case j == nil && mine && !h.ended && !h.taking && h.head.Age(now) < k.life(h.head):
			h.taking = true
			head := h.head
			k.tasks.Go(func() { k.takeOver(h, head) })
		case j != nil && !mine && !j.book.Ended():
			event.BatchReleased.Log(k.parts.Logger, zap.String("batch", id), zap.String("keeper", k.keeperOf(h)))
			k.stopRuns(j)
			j.released = true
			delete(k.jobs, id)
			close(j.changed)
			j.changed = make(chan struct{})
		case j != nil && j.from.Keeper != "" && k.parts.Peers.Alive(j.from.Keeper, j.from.Incarnation):
			// The keeper before was only out of reach; it may not have heard.
			j.from = Head{}
			go k.parts.Peers.Tell(Notice{Head: h.head, Taken: true})
		}
	}
}

// life returns for how long a batch's items are worked on.
func (k *Keeper) life(head Head) time.Duration {
	if route := k.routeOf(head); route.MaxQueue > 0 {
		return route.MaxQueue + clockSkew
	}
	return openLife + clockSkew
}

// takeOver begins to keep a batch that another node kept; head is how the batch
// was known when it fell to this one.
func (k *Keeper) takeOver(h *known, head Head) {
	begun := time.Now()
	j, ended, err := k.load(k.ctx, head)
	k.mu.Lock()
	defer k.mu.Unlock()
	h.taking = false
	switch {
	case err != nil:
		event.BatchTakeoverFailed.Log(k.parts.Logger, zap.String("batch", h.head.ID), zap.Error(err))
	case ended:
		h.ended = true
	case h.ended || k.keeperOf(h) != k.parts.Name || k.leaving || k.ctx.Err() != nil:
	default:
		event.BatchTakenOver.Log(k.parts.Logger, zap.String("batch", h.head.ID),
			zap.String("from", h.head.Keeper), zap.Int("listed", j.book.Listed()),
			zap.Int("total", j.book.Total()), zap.Duration("took", time.Since(begun)))
		k.parts.Scope.Counter("takeovers").Inc(1)
		j.doubtUntil = time.Now().Add(openLife)
		j.from = h.head
		k.open(j)
		h.head.Keeper, h.head.Incarnation, h.handed = k.parts.Name, k.parts.Incarnation, false
		go k.parts.Peers.Tell(Notice{Head: h.head, Taken: true})
	}
}
