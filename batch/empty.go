package batch

import (
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

// sourceMemory and sourceStore tell in logs where a page without results came from, if not
// from another host.
const (
	sourceMemory = "memory"
	sourceStore  = "store"
)

// emptyPages holds the positions of a batch at which a page without results was logged:
// readers poll the same position until it has a result, and not all the same one.
type emptyPages struct{ positions map[int]bool }

// record reports whether an empty page at the position is to be logged.
func (e *emptyPages) record(position int) bool {
	if e.positions[position] {
		return false
	}
	if e.positions == nil {
		e.positions = make(map[int]bool)
	}
	e.positions[position] = true
	return true
}

// logEmptyPage logs that a page which did not come from this node's memory has no results.
func (k *Keeper) logEmptyPage(id string, after int, page Page, source string) {
	if len(page.Results) > 0 || after >= page.Total {
		return
	}
	k.mu.Lock()
	h := k.batches[id]
	first := h != nil && h.emptyPages.record(after)
	k.mu.Unlock()
	if first {
		event.BatchPageEmpty.Log(k.deps.Logger, zap.String("batch", id), zap.Int("after", after), zap.Int("total", page.Total),
			zap.String("source", source))
	}
}

// logEmptyLocalPage logs that this node, which has the batch in memory, has no result at a
// position.
func (k *Keeper) logEmptyLocalPage(j *job, after int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if after >= j.results.Total() || !j.emptyPages.record(after) {
		return
	}
	checkedAgo := -time.Second
	if j.tail.confirmed {
		checkedAgo = k.deps.Clock() - j.tail.confirmedAt
	}
	event.BatchPageEmpty.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.Int("after", after),
		zap.Int("total", j.results.Total()), zap.String("source", sourceMemory), zap.Int("results", j.results.Durable()),
		zap.Int("chunks", j.results.Chunks()), zap.Duration("checked_ago", checkedAgo), zap.Bool("shared", j.tail.shared), zap.Bool("ended", j.results.Ended()))
}
