package batch

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/check"
)

// itemsOf returns so many items in groups of the given size.
func itemsOf(n, size int) []Item {
	items := make([]Item, n)
	for i := range items {
		items[i] = Item{ID: fmt.Sprintf("i%d", i), Group: fmt.Sprintf("g%d", i/size)}
	}
	return items
}

func TestBookShowsOnlyWhatLasts(t *testing.T) {
	b := NewBook(itemsOf(4, 2))
	b.Finish(Result{Item: "i0", Text: "a"})
	check.Equal(t, "page before the commit", b.Page(0, 1000), Page{Total: 4})
	b.Commit(b.Next(1000))
	check.Equal(t, "page after it", b.Page(0, 1000), Page{Total: 4, Next: 1, Results: []Result{{Item: "i0", Text: "a"}}})
}

func TestBookTakesTheFirstResultOnly(t *testing.T) {
	b := NewBook(itemsOf(2, 2))
	check.Equal(t, "first", b.Finish(Result{Item: "i0", Text: "a"}), true)
	check.Equal(t, "second", b.Finish(Result{Item: "i0", Text: "b"}), false)
	check.Equal(t, "of another batch", b.Finish(Result{Item: "x"}), false)
}

func TestBookYieldsToAnotherKeepersChunk(t *testing.T) {
	b := NewBook(itemsOf(3, 3))
	b.Finish(Result{Item: "i0", Text: "mine"})
	b.Finish(Result{Item: "i1", Text: "mine"})
	b.Commit([]Result{{Item: "i0", Text: "theirs"}})
	check.Equal(t, "pending", b.Next(1000), []Result{{Item: "i1", Text: "mine"}})
	check.Equal(t, "chunks", b.Chunks(), 1)
}

func TestBookCountsWholeGroups(t *testing.T) {
	b := NewBook(itemsOf(4, 2))
	b.Finish(Result{Item: "i0"})
	check.Equal(t, "half a group", b.WholeWithPending(), 0)
	b.Finish(Result{Item: "i1"})
	check.Equal(t, "with pending", b.WholeWithPending(), 1)
	check.Equal(t, "lasting", b.Whole(), 0)
	b.Commit(b.Next(1000))
	check.Equal(t, "lasting after the commit", b.Whole(), 1)
}

// chain is the store's side of a batch: chunks that are created once.
type chain [][]Result

// write creates chunk n or returns the one that is there.
func (c *chain) write(n int, results []Result) []Result {
	if n < len(*c) {
		return (*c)[n]
	}
	*c = append(*c, results)
	return results
}

// TestKeepersAgree lets up to three keepers of one batch finish items, write
// chunks, lose answers, crash and start again in any order.
func TestKeepersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := itemsOf(rapid.IntRange(1, 8).Draw(t, "items"), 2)
		var store chain
		shown := make(map[int]Result)
		books := make([]*Book, 3)
		for i := range books {
			books[i] = NewBook(items)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "keeper")
			b := books[k]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				it := items[rapid.IntRange(0, len(items)-1).Draw(t, "item")]
				b.Finish(Result{Item: it.ID, Text: fmt.Sprintf("%d/%d", k, step)})
			case 2:
				if b.Pending() > 0 {
					b.Commit(store.write(b.Chunks(), b.Next(400)))
				}
			case 3:
				// The write takes effect and its answer is lost.
				if b.Pending() > 0 {
					store.write(b.Chunks(), b.Next(400))
				}
			case 4:
				books[k] = NewBook(items)
				for _, results := range store {
					books[k].Commit(results)
				}
			}
			checkShown(t, books, shown)
		}
		checkOnce(t, store)
	})
}

// checkShown checks that no position ever changes, whoever shows it.
func checkShown(t *rapid.T, books []*Book, shown map[int]Result) {
	for k, b := range books {
		for i, r := range b.Page(0, 1<<20).Results {
			if before, ok := shown[i]; ok && !cmp.Equal(before, r) {
				t.Fatalf("keeper %d shows %v at %d, %v was shown there", k, r, i, before)
			}
			shown[i] = r
		}
	}
}

// checkOnce checks that no item stands at two positions.
func checkOnce(t *rapid.T, store chain) {
	at := make(map[string]int)
	position := 0
	for _, results := range store {
		for _, r := range results {
			if before, ok := at[r.Item]; ok {
				t.Fatalf("item %s stands at %d and %d", r.Item, before, position)
			}
			at[r.Item] = position
			position++
		}
	}
}
