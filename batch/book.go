package batch

// Book tracks the results of one batch. Durable results have a position;
// pending results have none yet and are not visible to readers. It is not safe
// for concurrent use.
type Book struct {
	items          map[string]bool
	durable        []Result
	durableItems   map[string]bool
	pending        []Result
	pendingItems   map[string]bool
	missing        map[string]int
	groupOf        map[string]string
	completeGroups int
	chunks         int
	ended          bool
}

// NewBook returns a book for the given items, without results.
func NewBook(items []Item) *Book {
	b := &Book{
		items:        make(map[string]bool, len(items)),
		durableItems: make(map[string]bool),
		pendingItems: make(map[string]bool),
		missing:      make(map[string]int),
		groupOf:      make(map[string]string, len(items)),
	}
	for _, it := range items {
		b.items[it.ID] = true
		b.groupOf[it.ID] = it.Group
		b.missing[it.Group]++
	}
	return b
}

// Total returns how many items the batch has.
func (b *Book) Total() int { return len(b.items) }

// Listed returns how many results are durable.
func (b *Book) Listed() int { return len(b.durable) }

// Chunks returns how many chunks are durable.
func (b *Book) Chunks() int { return b.chunks }

// Done reports whether every item has a result, durable or pending.
func (b *Book) Done() bool { return len(b.durableItems)+len(b.pendingItems) == len(b.items) }

// Settled reports whether the item has a result, durable or pending.
func (b *Book) Settled(item string) bool { return b.durableItems[item] || b.pendingItems[item] }

// Ended reports whether the batch has ended.
func (b *Book) Ended() bool { return b.ended }

// End marks the batch as ended.
func (b *Book) End() { b.ended = true }

// Finish records an item's result as pending. It reports false if the item
// already has a result or belongs to another batch.
func (b *Book) Finish(result Result) bool {
	if !b.items[result.Item] || b.Settled(result.Item) {
		return false
	}
	b.pending = append(b.pending, result)
	b.pendingItems[result.Item] = true
	return true
}

// Pending returns how many results are pending.
func (b *Book) Pending() int { return len(b.pending) }

// Next returns the results of the next chunk, with at most about maxBytes bytes
// of text.
func (b *Book) Next(maxBytes int) []Result {
	size := 0
	for i, r := range b.pending {
		size += len(r.Text) + resultOverhead
		if size > maxBytes && i > 0 {
			return b.pending[:i:i]
		}
	}
	return b.pending[:len(b.pending):len(b.pending)]
}

// Commit records that a chunk is durable, whether this keeper or another one
// wrote it. Pending results of the same items are dropped: the durable ones
// count.
func (b *Book) Commit(results []Result) {
	for _, r := range results {
		if b.durableItems[r.Item] {
			continue
		}
		b.durableItems[r.Item] = true
		group := b.groupOf[r.Item]
		b.missing[group]--
		if b.missing[group] == 0 {
			b.completeGroups++
		}
	}
	b.durable = append(b.durable, results...)
	b.chunks++
	remaining := b.pending[:0:0]
	b.pendingItems = make(map[string]bool)
	for _, r := range b.pending {
		if !b.durableItems[r.Item] {
			remaining = append(remaining, r)
			b.pendingItems[r.Item] = true
		}
	}
	b.pending = remaining
}

// Whole returns how many groups are complete: all their results are durable.
func (b *Book) Whole() int { return b.completeGroups }

// WholeWithPending returns how many groups would be complete if all pending
// results were durable.
func (b *Book) WholeWithPending() int {
	left := make(map[string]int)
	for _, r := range b.pending {
		left[b.groupOf[r.Item]]++
	}
	complete := b.completeGroups
	for group, n := range left {
		if b.missing[group] == n {
			complete++
		}
	}
	return complete
}

// Page returns results from a position on, with at most about maxBytes bytes of
// text.
func (b *Book) Page(after, maxBytes int) Page {
	page := Page{Total: len(b.items), Next: after}
	size := 0
	for i := after; i < len(b.durable); i++ {
		size += len(b.durable[i].Text) + resultOverhead
		if size > maxBytes && i > after {
			break
		}
		page.Results = append(page.Results, b.durable[i])
		page.Next = i + 1
	}
	return page
}

// resultOverhead is the size of an encoded result beside its text, in bytes.
const resultOverhead = 128
