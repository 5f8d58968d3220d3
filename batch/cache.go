package batch

import (
	"slices"
	"sort"
)

type (
	// cache holds stored data of batches, most of them batches that other nodes own.
	cache struct {
		batches map[string]*cachedBatch
		// order lists the batches, the least recently read first.
		order []string
	}

	// cachedBatch is the cached data of one batch. Chunks never change.
	cachedBatch struct {
		// chunks are the results of the chunks that are in memory.
		chunks     map[int][]Result
		chunkBytes int64
		// index is the submission, nil if it is not in memory. Its bodies may be in the store only.
		index      *Submission
		indexBytes int64
	}

	// chunkEnds are the positions after each of a batch's first chunks.
	chunkEnds []int
)

// cachedBatchBytes is what a cached batch takes besides its results and items.
const cachedBatchBytes = 512

func newCache() *cache { return &cache{batches: make(map[string]*cachedBatch)} }

// get returns what is cached of a batch and records that it is being read.
func (c *cache) get(id string) *cachedBatch {
	cached := c.batches[id]
	if cached == nil {
		cached = &cachedBatch{chunks: make(map[int][]Result)}
		c.batches[id] = cached
	} else {
		c.order = slices.DeleteFunc(c.order, func(other string) bool { return other == id })
	}
	c.order = append(c.order, id)
	return cached
}

// evictOldest drops the least recently read batch. It reports false if there is none.
func (c *cache) evictOldest() bool {
	if len(c.order) == 0 {
		return false
	}
	c.drop(c.order[0])
	return true
}

// drop drops what is cached of a batch.
func (c *cache) drop(id string) {
	delete(c.batches, id)
	c.order = slices.DeleteFunc(c.order, func(other string) bool { return other == id })
}

func (b *cachedBatch) bytes() int64 { return cachedBatchBytes + b.chunkBytes + b.indexBytes }

// put caches the results of a chunk.
func (b *cachedBatch) put(chunk int, results []Result) {
	if _, ok := b.chunks[chunk]; !ok {
		b.chunks[chunk] = results
		b.chunkBytes += resultsBytes(results)
	}
}

// resultsFrom returns the cached results from a position on, without a gap.
func (b *cachedBatch) resultsFrom(position int, ends chunkEnds) []Result {
	var results []Result
	for n := ends.chunkOf(position); n < len(ends); n++ {
		chunk, ok := b.chunks[n]
		if !ok {
			break
		}
		results = append(results, chunk[max(0, position-ends.start(n)):]...)
	}
	return results
}

// chunkOf returns the chunk that holds a position, or the next one to read if none is known to.
func (e chunkEnds) chunkOf(position int) int { return sort.SearchInts(e, position+1) }

// start returns the first position of a chunk.
func (e chunkEnds) start(chunk int) int {
	if chunk == 0 {
		return 0
	}
	return e[chunk-1]
}

// learn records where a chunk ends that was read. Those before it must be known.
func (e *chunkEnds) learn(chunk, results int) {
	if chunk == len(*e) {
		*e = append(*e, e.start(chunk)+results)
	}
}
