package batch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

// leavePoll is how often a leaving node looks whether its work has ended.
const leavePoll = 50 * time.Millisecond

// Leave makes others take over: runs stop, what they have generated goes to the
// nodes that go on with it, and the batches are handed on once all results last
// or the context ends.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.backup(ctx)
	k.mu.Lock()
	for _, j := range k.jobs {
		k.stopRuns(j)
	}
	k.mu.Unlock()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for k.busy() && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	k.mu.Lock()
	var handed []Head
	for id, j := range k.jobs {
		if h := k.heads[id]; h != nil && !h.ended {
			h.handed = true
			handed = append(handed, j.head)
		}
	}
	k.mu.Unlock()
	for _, head := range handed {
		event.BatchHanded.Log(k.parts.Logger, zap.String("batch", head.ID))
		k.parts.Peers.Tell(Notice{Head: head, Handed: true})
	}
}

// busy reports whether items run or results wait to last.
func (k *Keeper) busy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, j := range k.jobs {
		if len(j.running) > 0 || (j.book.Pending() > 0 && !j.book.Ended()) {
			return true
		}
	}
	return false
}
