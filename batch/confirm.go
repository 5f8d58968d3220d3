package batch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/rendez"
)

const (
	// endReadTimeout limits the read of a batch's end. With the calls to hubs, a check ends
	// before a permission that was confirmed at its half time expires by another half.
	endReadTimeout = 500 * time.Millisecond
	// maxAskedHubs limits the hubs that are asked if the store is unavailable.
	maxAskedHubs = 2
)

// openState is what a check found out about a batch. The more certain state is greater.
type openState int

const (
	stateUnknown openState = iota
	stateOpen
	stateEnded
)

// mayStart reports whether a request for an item of the batch may still be sent.
func (k *Keeper) mayStart(j *job) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !j.released && !j.results.Ended() && j.permission.valid(k.deps.Clock())
}

// confirmWaiting checks in the background that the batches whose items wait to start are
// open. The caller holds the lock.
func (k *Keeper) confirmWaiting(waiting map[*job]bool) {
	now := k.deps.Clock()
	for j := range waiting {
		if !j.results.Ended() && j.permission.beginCheck(now) {
			k.deps.Scope.Counter("batch_open_checks").Inc(1)
			k.tasks.Go(func() { k.confirmOpen(j) })
		}
	}
}

// confirmOpen checks that a batch is open, which permits its items to start.
func (k *Keeper) confirmOpen(j *job) {
	state, askedAt := k.checkOpen(k.ctx, j.head.ID)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Clock()
	j.permission.endCheck(state == stateOpen, askedAt, now)
	if state == stateEnded {
		if !j.results.Ended() && !j.released {
			event.BatchEndFound.Log(k.deps.Logger, zap.String("batch", j.head.ID))
		}
		k.applyLocked(Notification{Head: j.head, Ended: true})
	}
	if held := !j.permission.valid(now) && state != stateEnded; held != j.startsHeld {
		j.startsHeld = held
		if held && k.ctx.Err() == nil {
			event.BatchStartsHeld.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.Duration("took", now-askedAt))
		}
	}
	k.wakeScheduler()
}

// checkOpen finds out whether a batch is open, and returns when the request that was
// answered was sent. It asks hubs if the store is unavailable: no end is acknowledged then,
// and the hubs are notified of those that were acknowledged before.
func (k *Keeper) checkOpen(ctx context.Context, id string) (state openState, askedAt time.Duration) {
	askedAt = k.deps.Clock()
	readCtx, cancel := context.WithTimeout(ctx, endReadTimeout)
	_, err := k.deps.Store.Get(readCtx, kindEnds, id, object.Fresh)
	cancel()
	switch {
	case err == nil:
		return stateEnded, askedAt
	case errors.Is(err, object.ErrNotFound):
		return stateOpen, askedAt
	case k.deps.Clock()-askedAt > 2*endReadTimeout:
		// The process was suspended, which says nothing of the store. Its peers may have
		// sent it no messages meanwhile, so that only the store knows for certain.
		return stateUnknown, askedAt
	}
	return k.askHubs(ctx, id)
}

// askHubs asks hubs at the same time what they know of a batch. One that knows of its end
// counts more than one that does not.
func (k *Keeper) askHubs(ctx context.Context, id string) (state openState, askedAt time.Duration) {
	var hubs []string
	for _, name := range k.deps.Peers.Keepers() {
		if name != k.deps.Name {
			hubs = append(hubs, name)
		}
	}
	askedAt = k.deps.Clock()
	hubs = rendez.Top(id, hubs, maxAskedHubs)
	answers := make(chan openState, len(hubs))
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for _, name := range hubs {
		k.tasks.Go(func() { answers <- k.askHub(ctx, name, id) })
	}
	state = stateUnknown
	for range hubs {
		state = max(state, <-answers)
	}
	return state, askedAt
}

func (k *Keeper) askHub(ctx context.Context, name, id string) openState {
	found, err := k.deps.Peers.FindAt(ctx, name, id)
	switch {
	case err != nil:
		k.logPeerError(id, name, err)
		return stateUnknown
	case found.Head.ID == "":
		return stateUnknown
	case found.Ended:
		return stateEnded
	default:
		return stateOpen
	}
}
