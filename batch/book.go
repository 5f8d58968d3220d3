package batch

// Book is the record of one batch's results. Results that last have a
// position; results that are pending have none yet and are shown to nobody.
// It is not safe for concurrent use.
type Book struct {
	items   map[string]bool
	lasting []Result
	listed  map[string]bool
	pending []Result
	held    map[string]bool
	groups  map[string]int
	group   map[string]string
	whole   int
	chunks  int
	ended   bool
}

// NewBook returns the empty book of a submission's items.
func NewBook(items []Item) *Book {
	b := &Book{
		items:  make(map[string]bool, len(items)),
		listed: make(map[string]bool),
		held:   make(map[string]bool),
		groups: make(map[string]int),
		group:  make(map[string]string, len(items)),
	}
	for _, it := range items {
		b.items[it.ID] = true
		b.group[it.ID] = it.Group
		b.groups[it.Group]++
	}
	return b
}

// Total returns how many items the batch has.
func (b *Book) Total() int { return len(b.items) }

// Listed returns how many results last.
func (b *Book) Listed() int { return len(b.lasting) }

// Chunks returns how many chunks last.
func (b *Book) Chunks() int { return b.chunks }

// Done reports whether every item has a result that lasts or waits to.
func (b *Book) Done() bool { return len(b.listed)+len(b.held) == len(b.items) }

// Settled reports whether the item has a result that lasts or waits to.
func (b *Book) Settled(item string) bool { return b.listed[item] || b.held[item] }

// Ended reports whether the batch was ended.
func (b *Book) Ended() bool { return b.ended }

// End marks the batch as ended.
func (b *Book) End() { b.ended = true }

// Finish notes an item's result. Only the first one counts.
func (b *Book) Finish(result Result) bool {
	if !b.items[result.Item] || b.Settled(result.Item) {
		return false
	}
	b.pending = append(b.pending, result)
	b.held[result.Item] = true
	return true
}

// Pending returns how many results wait to last.
func (b *Book) Pending() int { return len(b.pending) }

// Next returns the results of the next chunk, of which the texts have about
// most bytes together.
func (b *Book) Next(most int) []Result {
	size := 0
	for i, r := range b.pending {
		size += len(r.Text) + resultOverhead
		if size > most && i > 0 {
			return b.pending[:i:i]
		}
	}
	return b.pending[:len(b.pending):len(b.pending)]
}

// Commit notes that a chunk lasts, be it this keeper's or another's. Results
// that wait for the same items are dropped: the lasting ones count.
func (b *Book) Commit(results []Result) {
	for _, r := range results {
		if b.listed[r.Item] {
			continue
		}
		b.listed[r.Item] = true
		group := b.group[r.Item]
		b.groups[group]--
		if b.groups[group] == 0 {
			b.whole++
		}
	}
	b.lasting = append(b.lasting, results...)
	b.chunks++
	kept := b.pending[:0:0]
	b.held = make(map[string]bool)
	for _, r := range b.pending {
		if !b.listed[r.Item] {
			kept = append(kept, r)
			b.held[r.Item] = true
		}
	}
	b.pending = kept
}

// Whole returns how many groups have all their results lasting.
func (b *Book) Whole() int { return b.whole }

// WholeWithPending returns how many groups would be whole if what is pending lasted.
func (b *Book) WholeWithPending() int {
	left := make(map[string]int)
	for _, r := range b.pending {
		left[b.group[r.Item]]++
	}
	whole := b.whole
	for group, n := range left {
		if b.groups[group] == n {
			whole++
		}
	}
	return whole
}

// Page returns the results from a position on, of at most the given size.
func (b *Book) Page(after, most int) Page {
	page := Page{Total: len(b.items), Next: after}
	size := 0
	for i := after; i < len(b.lasting); i++ {
		size += len(b.lasting[i].Text) + resultOverhead
		if size > most && i > after {
			break
		}
		page.Results = append(page.Results, b.lasting[i])
		page.Next = i + 1
	}
	return page
}

// resultOverhead is what a result takes beside its text, in bytes.
const resultOverhead = 128
