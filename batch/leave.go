package batch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

// leavePollInterval is how often a leaving node checks whether its work has
// ended.
const leavePollInterval = 50 * time.Millisecond

// Leave hands all batches over to other nodes. It sends the partial output to
// the nodes that will resume the items and stops all runs. Once all results are
// durable or the context ends, it notifies the peers of the handover.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.sendBackups(ctx)
	k.mu.Lock()
	for _, j := range k.jobs {
		k.stopRuns(j)
	}
	k.mu.Unlock()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for k.busy() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	// Texts that were completed since the first backups are not sampled again.
	k.sendBackups(ctx)
	k.mu.Lock()
	var handedOver []Head
	for id, j := range k.jobs {
		if h := k.batches[id]; h != nil && !h.ended {
			h.handedOver = true
			j.tail.share()
			handedOver = append(handedOver, j.head)
		}
	}
	k.mu.Unlock()
	for _, head := range handedOver {
		event.BatchHandedOver.Log(k.deps.Logger, zap.String("batch", head.ID))
		k.deps.Peers.Notify(Notification{Head: head, HandedOver: true})
	}
}

// busy reports whether items are running or results are pending.
func (k *Keeper) busy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, j := range k.jobs {
		if len(j.running) > 0 || (j.results.Pending() > 0 && !j.results.Ended()) {
			return true
		}
	}
	return false
}
