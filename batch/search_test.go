package batch

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The search plays every sequence of a small world: two keepers of one batch, who
// finish items, write chunks, lose answers, have writes land late, and start
// again from what lasts. Sequences that lead to the same state are played once, so
// that it ends when there is no new state, whatever the length.

const (
	searchKeepers = 2
	// lateNone says that a keeper has no write on its way.
	lateNone = -1
	// searchVariable sets how many items the batch has: two by default, three take
	// a minute.
	searchVariable = "CURRANTLOFT_SEARCH_ITEMS"
)

type (
	// world is one state of the search.
	world struct {
		store chain
		books [searchKeepers]*Book
		// late is the chunk that a keeper's write will create when it lands.
		late [searchKeepers]lateWrite
	}

	lateWrite struct {
		n       int
		results []Result
	}

	// move is one step of a keeper.
	move struct {
		keeper, action int
	}
)

// Actions of a keeper; those from actFinish on finish item 0, 1, ...
const (
	actWrite = iota
	actLose
	actSend
	actLand
	actRestart
	actFinish
)

func (m move) String() string {
	names := map[int]string{actWrite: "writes", actLose: "loses an answer", actSend: "sends late", actLand: "lands", actRestart: "restarts"}
	if name, ok := names[m.action]; ok {
		return fmt.Sprintf("%d %s", m.keeper, name)
	}
	return fmt.Sprintf("%d finishes %d", m.keeper, m.action-actFinish)
}

// replay plays moves from the beginning.
func replay(items []Item, moves []move) *world {
	w := &world{}
	for k := range w.books {
		w.books[k], w.late[k] = NewBook(items), lateWrite{n: lateNone}
	}
	for _, m := range moves {
		w.play(m, items)
	}
	return w
}

func (w *world) play(m move, items []Item) {
	b := w.books[m.keeper]
	switch m.action {
	case actWrite:
		if b.Pending() > 0 {
			b.Commit(w.store.write(b.Chunks(), b.Next(1)))
		}
	case actLose:
		if b.Pending() > 0 {
			w.store.write(b.Chunks(), b.Next(1))
		}
	case actSend:
		if b.Pending() > 0 && w.late[m.keeper].n == lateNone {
			w.late[m.keeper] = lateWrite{n: b.Chunks(), results: slices.Clone(b.Next(1))}
		}
	case actLand:
		if late := w.late[m.keeper]; late.n != lateNone {
			w.store.write(late.n, late.results)
			w.late[m.keeper] = lateWrite{n: lateNone}
		}
	case actRestart:
		w.books[m.keeper] = NewBook(items)
		for _, results := range w.store {
			w.books[m.keeper].Commit(results)
		}
	default:
		b.Finish(Result{Item: items[m.action-actFinish].ID, Text: fmt.Sprint(m.keeper)})
	}
}

// key tells states apart.
func (w *world) key() string {
	var out strings.Builder
	fmt.Fprint(&out, w.store)
	for k, b := range w.books {
		fmt.Fprint(&out, "|", b.lasting, b.pending, b.chunks, w.late[k])
	}
	return out.String()
}

// check returns what is wrong with a state.
func (w *world) check() error {
	var whole []Result
	at := make(map[string]bool)
	for _, results := range w.store {
		for _, r := range results {
			if at[r.Item] {
				return fmt.Errorf("item %s stands at two positions: %v", r.Item, w.store)
			}
			at[r.Item] = true
			whole = append(whole, r)
		}
	}
	for k, b := range w.books {
		// Chunks are only ever added, so that a page that begins what lasts never
		// changes a position.
		shown := b.Page(0, 1<<20).Results
		if len(shown) > len(whole) || !cmp.Equal(shown, append([]Result(nil), whole[:len(shown)]...)) {
			return fmt.Errorf("keeper %d shows %v, what lasts is %v", k, shown, whole)
		}
	}
	return nil
}

// search plays all sequences breadth first and returns how many states there are.
func search(t *testing.T, items []Item) int {
	t.Helper()
	seen := map[string]bool{}
	queue := [][]move{nil}
	for len(queue) > 0 {
		moves := queue[0]
		queue = queue[1:]
		for k := range searchKeepers {
			for action := range actFinish + len(items) {
				longer := append(slices.Clone(moves), move{k, action})
				w := replay(items, longer)
				key := w.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				if err := w.check(); err != nil {
					t.Fatalf("after %v: %v", longer, err)
				}
				queue = append(queue, longer)
			}
		}
	}
	return len(seen)
}

// TestAllShortSequences finds no sequence in which a position changes or an item
// stands at two.
func TestAllShortSequences(t *testing.T) {
	count := 2
	if text := os.Getenv(searchVariable); text != "" {
		var err error
		if count, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d items: %d states", count, search(t, itemsOf(count, 2)))
}
