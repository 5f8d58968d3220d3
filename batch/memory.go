package batch

import (
	"errors"
	"net/http"
)

// itemOverheadBytes is what an item takes besides its texts: its fields, its header's map and
// the state of its run.
const itemOverheadBytes = 600

// ErrNoMemory reports that this node has no memory for a batch, or for a part of it, now.
var ErrNoMemory = errors.New("this node has no memory for another batch")

// IndexBytes returns about how much memory the item takes without its bodies.
func (it *Item) IndexBytes() int64 {
	return int64(itemOverheadBytes + len(it.ID) + len(it.Path) + len(it.Group) + headerBytes(it.Header) +
		len(it.Reward.ID) + len(it.Reward.Host) + len(it.Reward.Path))
}

// bodyBytes returns how much memory the item's bodies take.
func (it *Item) bodyBytes() int64 { return int64(len(it.Body) + len(it.Reward.Body)) }

// dropBodies drops the bodies of a stored item from memory.
func (it *Item) dropBodies() { it.Body, it.Reward.Body, it.unloaded = nil, nil, true }

// MemoryBytes returns about how much memory the submission's items take.
func (s Submission) MemoryBytes() int64 {
	index, bodies := s.itemBytes()
	return index + bodies
}

// itemBytes returns about how much memory the items take without their bodies, and these.
func (s Submission) itemBytes() (index, bodies int64) {
	for i := range s.Items {
		index += s.Items[i].IndexBytes()
		bodies += s.Items[i].bodyBytes()
	}
	return index, bodies
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		total += len(name)
		for _, value := range values {
			total += len(value)
		}
	}
	return total
}

// reserveMemory reserves memory for a batch that this node is about to take on, and reports
// whether there is enough.
func (k *Keeper) reserveMemory(s Submission) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.hasRoom(s) {
		return false
	}
	k.accepting[s.ID] = s.MemoryBytes()
	return true
}

// releaseMemory ends a reservation. A batch that was accepted counts by its job from then on.
func (k *Keeper) releaseMemory(s Submission) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.accepting, s.ID)
}

// hasRoom reports whether another batch fits beside those that this node works on or may have
// to work on. One batch always fits. The caller holds the lock.
func (k *Keeper) hasRoom(s Submission) bool {
	_, own := k.memoryOf(s.ID)
	return k.makeRoom(s.ID, s.MemoryBytes()-own)
}

// memoryOf adds up the memory that batches take: all, or the one with the given ID. The caller
// holds the lock.
func (k *Keeper) memoryOf(id string) (all, own int64) {
	add := func(batch string, bytes int64) {
		all += bytes
		if batch == id {
			own += bytes
		}
	}
	for batch, j := range k.jobs {
		if !j.results.Ended() {
			add(batch, j.memoryBytes)
		}
	}
	for batch, o := range k.offers {
		add(batch, o.submission.MemoryBytes()+int64(len(o.submission.Raw)))
	}
	for batch, bytes := range k.accepting {
		add(batch, bytes)
	}
	for l := range k.loading {
		add(l.head.ID, l.bytes)
	}
	for batch, c := range k.cache.batches {
		add(batch, c.bytes())
	}
	return all, own
}

// makeRoom reports whether a batch may take further memory. What is cached gives way to it. A batch that
// takes all memory alone may take more. The caller holds the lock.
func (k *Keeper) makeRoom(id string, bytes int64) bool {
	limit := k.deps.MemoryBytes
	if limit <= 0 {
		return true
	}
	for {
		all, own := k.memoryOf(id)
		if all+bytes <= limit {
			return true
		}
		if !k.cache.evictOldest() {
			return all == own
		}
	}
}
