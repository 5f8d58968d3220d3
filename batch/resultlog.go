package batch

// ResultLog tracks the results of one batch. Durable results have a position;
// pending results have none yet and are not visible to readers. It is not safe
// for concurrent use.
type ResultLog struct {
	items        map[string]bool
	durable      []Result
	durableItems map[string]bool
	pending      []Result
	pendingItems map[string]bool
	// missingByGroup counts the items without a durable result.
	missingByGroup map[string]int
	groupOf        map[string]string
	completeGroups int
	// ends are where the chunks end.
	ends  chunkEnds
	ended bool
	// evicted is the number of leading durable results whose texts are in the store only.
	evicted int
	// durableBytes and pendingBytes are about how much memory the results take.
	durableBytes, pendingBytes int64
}

// NewResultLog returns a log for the given items, without results.
func NewResultLog(items []Item) *ResultLog {
	l := &ResultLog{
		items:          make(map[string]bool, len(items)),
		durableItems:   make(map[string]bool),
		pendingItems:   make(map[string]bool),
		missingByGroup: make(map[string]int),
		groupOf:        make(map[string]string, len(items)),
	}
	for _, it := range items {
		l.items[it.ID] = true
		l.groupOf[it.ID] = it.Group
		l.missingByGroup[it.Group]++
	}
	return l
}

// Total returns how many items the batch has.
func (l *ResultLog) Total() int { return len(l.items) }

// Durable returns how many results are durable.
func (l *ResultLog) Durable() int { return len(l.durable) }

// Chunks returns how many chunks are durable.
func (l *ResultLog) Chunks() int { return len(l.ends) }

// Done reports whether every item has a result, durable or pending.
func (l *ResultLog) Done() bool { return len(l.durableItems)+len(l.pendingItems) == len(l.items) }

// HasResult reports whether the item has a result, durable or pending.
func (l *ResultLog) HasResult(item string) bool { return l.durableItems[item] || l.pendingItems[item] }

// Ended reports whether the batch has ended.
func (l *ResultLog) Ended() bool { return l.ended }

// End marks the batch as ended.
func (l *ResultLog) End() { l.ended = true }

// Finish records an item's result as pending. It reports false if the item
// already has a result or belongs to another batch.
func (l *ResultLog) Finish(result Result) bool {
	if !l.items[result.Item] || l.HasResult(result.Item) {
		return false
	}
	l.pending = append(l.pending, result)
	l.pendingItems[result.Item] = true
	l.pendingBytes += resultsBytes([]Result{result})
	return true
}

// Bytes returns about how much memory the results take.
func (l *ResultLog) Bytes() int64 { return l.durableBytes + l.pendingBytes }

// EvictTexts drops the texts of all durable results from memory.
func (l *ResultLog) EvictTexts() {
	for i := l.evicted; i < len(l.durable); i++ {
		l.durable[i].Text = ""
	}
	l.evicted, l.durableBytes = len(l.durable), 0
}

// Resident reports whether the results from a position on are in memory, as far as there are any.
func (l *ResultLog) Resident(after int) bool { return after >= l.evicted }

// complete reports whether all results are durable.
func (l *ResultLog) complete() bool { return len(l.durableItems) == len(l.items) }

// resultsBytes returns about how much memory results take.
func resultsBytes(results []Result) int64 {
	total := 0
	for i := range results {
		total += resultOverhead + len(results[i].Text)
	}
	return int64(total)
}

// Pending returns how many results are pending.
func (l *ResultLog) Pending() int { return len(l.pending) }

// NextChunk returns the results of the next chunk, with at most about maxBytes
// bytes of encoded text.
func (l *ResultLog) NextChunk(maxBytes int) []Result {
	size := 0
	for i, r := range l.pending {
		size += encodedBytes(r.Text) + resultOverhead
		if size > maxBytes && i > 0 {
			return l.pending[:i:i]
		}
	}
	return l.pending[:len(l.pending):len(l.pending)]
}

// Commit records that a chunk is durable, whether this keeper or another one
// wrote it. It drops pending results of the same items.
func (l *ResultLog) Commit(results []Result) {
	for _, r := range results {
		if l.durableItems[r.Item] {
			continue
		}
		l.durableItems[r.Item] = true
		group := l.groupOf[r.Item]
		l.missingByGroup[group]--
		if l.missingByGroup[group] == 0 {
			l.completeGroups++
		}
	}
	l.durable = append(l.durable, results...)
	l.durableBytes += resultsBytes(results)
	l.ends.learn(len(l.ends), len(results))
	remaining := l.pending[:0:0]
	l.pendingItems = make(map[string]bool)
	for _, r := range l.pending {
		if !l.durableItems[r.Item] {
			remaining = append(remaining, r)
			l.pendingItems[r.Item] = true
		}
	}
	l.pending, l.pendingBytes = remaining, resultsBytes(remaining)
}

// CompleteGroups returns how many groups are complete: all their results are
// durable.
func (l *ResultLog) CompleteGroups() int { return l.completeGroups }

// CompleteGroupsWithPending returns how many groups would be complete if all
// pending results were durable.
func (l *ResultLog) CompleteGroupsWithPending() int {
	pendingByGroup := make(map[string]int)
	for _, r := range l.pending {
		pendingByGroup[l.groupOf[r.Item]]++
	}
	complete := l.completeGroups
	for group, n := range pendingByGroup {
		if l.missingByGroup[group] == n {
			complete++
		}
	}
	return complete
}

// Page returns results from a position on, with at most about maxBytes bytes of
// encoded text.
func (l *ResultLog) Page(after, maxBytes int) Page {
	page := Page{Total: len(l.items), Next: after}
	if after < len(l.durable) {
		page.fill(l.durable[after:], maxBytes)
	}
	return page
}

// fill adds results to an empty page, with at most about maxBytes bytes of encoded text.
func (p *Page) fill(results []Result, maxBytes int) {
	size := 0
	for i, r := range results {
		size += encodedBytes(r.Text) + resultOverhead
		if size > maxBytes && i > 0 {
			return
		}
		p.Results = append(p.Results, r)
		p.Next++
	}
}

// Bytes returns about how much memory the page's results take.
func (p Page) Bytes() int64 { return resultsBytes(p.Results) }

// resultOverhead is the size of an encoded result beside its text, in bytes.
const resultOverhead = 128
