package batch

import (
	"errors"
	"net/http"
	"time"
)

const (
	// itemOverheadBytes is what an item takes besides its texts: its fields, its header's map and
	// the state of its run.
	itemOverheadBytes = 600
	// bodyShare is the share of the memory for batches up to which the bodies of a batch's items
	// do not give way to a batch that is submitted.
	bodyShare = 0.25
	// evictPart divides the memory for batches into the steps in which bodies are evicted, since each
	// step searches all batches.
	evictPart = 64
)

// ErrNoMemory reports that this node has no memory for a batch, or for a part of it, now.
var ErrNoMemory = errors.New("this node has no memory for this batch now: try again")

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

// memoryUse is about how much memory this node uses because of batches, by what for. The index of a batch
// is its items without their bodies, which its keeper needs. Bodies, results and cached batches can be
// read from the store again.
type memoryUse struct{ index, bodies, results, offers, accepting, loading, cached int64 }

func (u memoryUse) total() int64 {
	return u.index + u.bodies + u.results + u.offers + u.accepting + u.loading + u.cached
}

// memoryOf adds up the memory that batches take: all, or the one with the given ID. The caller
// holds the lock.
func (k *Keeper) memoryOf(id string) (all, own memoryUse) {
	add := func(batch string, use memoryUse) {
		all.add(use)
		if batch == id {
			own.add(use)
		}
	}
	for batch, j := range k.jobs {
		add(batch, memoryUse{index: j.indexBytes, bodies: j.bodyBytes, results: j.results.Bytes()})
	}
	for batch, o := range k.offers {
		add(batch, memoryUse{offers: o.bytes})
	}
	for batch, bytes := range k.accepting {
		add(batch, memoryUse{accepting: bytes})
	}
	for l := range k.loading {
		add(l.head.ID, memoryUse{loading: l.bytes})
	}
	for batch, c := range k.cache.batches {
		add(batch, memoryUse{cached: c.bytes()})
	}
	return all, own
}

func (u *memoryUse) add(v memoryUse) {
	u.index += v.index
	u.bodies += v.bodies
	u.results += v.results
	u.offers += v.offers
	u.accepting += v.accepting
	u.loading += v.loading
	u.cached += v.cached
}

// reserveMemory reserves memory for a batch that this node is about to take on, and reports
// whether there is enough. Bodies beyond bodyShare need none: they are stored before the batch is
// accepted.
func (k *Keeper) reserveMemory(s Submission) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	index, bodies := s.itemBytes()
	bytes := index + min(bodies, int64(bodyShare*float64(k.deps.MemoryBytes)))
	if !k.hasRoom(s.ID, bytes) {
		return false
	}
	k.accepting[s.ID] = bytes
	return true
}

// releaseMemory ends a reservation. A batch that was accepted counts by its job from then on.
func (k *Keeper) releaseMemory(s Submission) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.accepting, s.ID)
}

// hasRoom reports whether a submitted batch that takes the given memory fits beside those that this
// node works on or may have to work on. One batch always fits. The caller holds the lock.
func (k *Keeper) hasRoom(id string, bytes int64) bool {
	k.expireOffers()
	_, own := k.memoryOf(id)
	return k.makeRoom(id, bytes-own.total(), false)
}

// expireOffers drops offers that are too old to be accepted. A batch that was accepted all the same is
// taken over from the store. The caller holds the lock.
func (k *Keeper) expireOffers() {
	now := k.deps.Clock()
	for id, o := range k.offers {
		if now-o.heldAt > acceptTimeout+time.Second {
			delete(k.offers, id)
		}
	}
}

// makeRoom reports whether a batch may take further memory. What can be read from the store again
// gives way to it; bodies of open batches do so beyond bodyShare or, if allBodies is true, entirely. A
// batch that takes all memory alone may take more. The caller holds the lock.
func (k *Keeper) makeRoom(id string, bytes int64, allBodies bool) bool {
	limit := k.deps.MemoryBytes
	if limit <= 0 {
		return true
	}
	for {
		all, own := k.memoryOf(id)
		excess := all.total() + bytes - limit
		if excess <= 0 {
			return true
		}
		if !k.evict(excess, allBodies) {
			return all.total() == own.total()
		}
	}
}

// evict drops from memory something that can be read from the store again, the least needed first.
// It reports false if there is nothing. The caller holds the lock.
func (k *Keeper) evict(bytes int64, allBodies bool) bool {
	return k.evictUnusedBodies() || k.cache.evictOldest() || k.evictJob((*ResultLog).Ended) ||
		k.evictJob((*ResultLog).complete) || k.evictResults() || k.evictBodies(bytes, allBodies)
}

// evictUnusedBodies drops the bodies of items that have a durable result or whose batch has ended.
func (k *Keeper) evictUnusedBodies() bool {
	evicted := false
	for _, j := range k.jobs {
		if j.bodyBytes == 0 {
			continue
		}
		for i := range j.submission.Items {
			if j.results.Ended() || j.results.durableItems[j.submission.Items[i].ID] {
				evicted = j.dropBodies(i) > 0 || evicted
			}
		}
	}
	return evicted
}

// evictJob drops the oldest batch of those for which done is true.
func (k *Keeper) evictJob(done func(*ResultLog) bool) bool {
	var oldest *job
	for _, j := range k.jobs {
		if done(j.results) && (oldest == nil || j.head.AcceptedMs < oldest.head.AcceptedMs) {
			oldest = j
		}
	}
	if oldest == nil {
		return false
	}
	id := oldest.head.ID
	if h := k.batches[id]; h != nil {
		k.learnEnds(h)
		h.complete = oldest.results.complete()
	}
	delete(k.jobs, id)
	oldest.released = true
	close(oldest.changed)
	oldest.changed = make(chan struct{})
	return true
}

// evictResults drops the texts of durable results of the batch that has most of them.
func (k *Keeper) evictResults() bool {
	var largest *job
	for _, j := range k.jobs {
		if bytes := j.results.durableBytes; bytes > 0 && (largest == nil || bytes > largest.results.durableBytes) {
			largest = j
		}
	}
	if largest == nil {
		return false
	}
	largest.results.EvictTexts()
	return true
}

// evictBodies drops about the given number of bytes of bodies of the batch that has most of them, a step
// at least. Unless all is true, the batch keeps as much as bodyShare protects.
func (k *Keeper) evictBodies(bytes int64, all bool) bool {
	protected := int64(0)
	if !all {
		protected = int64(bodyShare * float64(k.deps.MemoryBytes))
	}
	var largest *job
	for _, j := range k.jobs {
		if j.bodyBytes > protected && (largest == nil || j.bodyBytes > largest.bodyBytes) {
			largest = j
		}
	}
	if largest == nil {
		return false
	}
	bytes = max(bytes, k.deps.MemoryBytes/evictPart)
	for i := len(largest.submission.Items) - 1; i >= 0 && bytes > 0 && largest.bodyBytes > protected; i-- {
		bytes -= largest.dropBodies(i)
	}
	return true
}

// dropBodies drops the bodies of an item and returns how many bytes they took. The caller holds the
// lock.
func (j *job) dropBodies(i int) int64 {
	it := &j.submission.Items[i]
	bytes := it.bodyBytes()
	if bytes > 0 {
		it.dropBodies()
		j.bodyBytes -= bytes
	}
	return bytes
}

// reportMemory updates the metrics of the memory that batches take. The caller holds the lock.
func (k *Keeper) reportMemory() {
	use, _ := k.memoryOf("")
	for part, bytes := range map[string]int64{
		"index": use.index, "bodies": use.bodies, "results": use.results, "offers": use.offers,
		"accepting": use.accepting, "loading": use.loading, "cached": use.cached, "texts": k.textBytes(),
	} {
		k.deps.Scope.Tagged(map[string]string{"part": part}).Gauge("batch_memory_bytes").Update(float64(bytes))
	}
}
