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

// The search plays every sequence of moves in a small model: two keepers of one
// batch that finish items, write chunks, lose answers, have writes take effect
// late, and restart from the durable chunks. States that were reached before
// are not explored again, so the search ends when there are no new states,
// whatever the length of the sequences.

const (
	searchKeepers = 2
	// noWrite marks a keeper without a delayed write.
	noWrite = -1
	// searchVariable is the environment variable that sets how many items the batch
	// has: two by default, three take a minute.
	searchVariable = "CURRANTLOFT_SEARCH_ITEMS"
)

type (
	// searchState is one state of the model.
	searchState struct {
		store chunkStore
		logs  [searchKeepers]*ResultLog
		// delayed holds the chunk that each keeper's delayed write will create.
		delayed [searchKeepers]delayedWrite
	}

	delayedWrite struct {
		n       int
		results []Result
	}

	// searchMove is one action of a keeper.
	searchMove struct {
		keeper, action int
	}
)

// Actions of a keeper. Those from actFinish on finish item 0, 1, ...
const (
	actWrite = iota
	actLoseAnswer
	actDelayWrite
	actLateWrite
	actRestart
	actFinish
)

func (m searchMove) String() string {
	names := map[int]string{actWrite: "writes", actLoseAnswer: "loses an answer", actDelayWrite: "sends a delayed write", actLateWrite: "lands", actRestart: "restarts"}
	if name, ok := names[m.action]; ok {
		return fmt.Sprintf("%d %s", m.keeper, name)
	}
	return fmt.Sprintf("%d finishes %d", m.keeper, m.action-actFinish)
}

// replay plays moves from the initial state.
func replay(items []Item, moves []searchMove) *searchState {
	s := &searchState{}
	for k := range s.logs {
		s.logs[k], s.delayed[k] = NewResultLog(items), delayedWrite{n: noWrite}
	}
	for _, m := range moves {
		s.play(m, items)
	}
	return s
}

func (s *searchState) play(m searchMove, items []Item) {
	l := s.logs[m.keeper]
	switch m.action {
	case actWrite:
		if l.Pending() > 0 {
			l.Commit(s.store.write(l.Chunks(), l.NextChunk(1)))
		}
	case actLoseAnswer:
		if l.Pending() > 0 {
			s.store.write(l.Chunks(), l.NextChunk(1))
		}
	case actDelayWrite:
		if l.Pending() > 0 && s.delayed[m.keeper].n == noWrite {
			s.delayed[m.keeper] = delayedWrite{n: l.Chunks(), results: slices.Clone(l.NextChunk(1))}
		}
	case actLateWrite:
		if delayed := s.delayed[m.keeper]; delayed.n != noWrite {
			s.store.write(delayed.n, delayed.results)
			s.delayed[m.keeper] = delayedWrite{n: noWrite}
		}
	case actRestart:
		s.logs[m.keeper] = NewResultLog(items)
		for _, results := range s.store {
			s.logs[m.keeper].Commit(results)
		}
	default:
		l.Finish(Result{Item: items[m.action-actFinish].ID, Text: fmt.Sprint(m.keeper)})
	}
}

// key identifies the state.
func (s *searchState) key() string {
	var out strings.Builder
	fmt.Fprint(&out, s.store)
	for k, l := range s.logs {
		fmt.Fprint(&out, "|", l.durable, l.pending, l.chunks, s.delayed[k])
	}
	return out.String()
}

// check returns an error if the state violates an invariant.
func (s *searchState) check() error {
	var durable []Result
	at := make(map[string]bool)
	for _, results := range s.store {
		for _, r := range results {
			if at[r.Item] {
				return fmt.Errorf("item %s has two positions: %v", r.Item, s.store)
			}
			at[r.Item] = true
			durable = append(durable, r)
		}
	}
	for k, l := range s.logs {
		// Chunks are only ever appended, so as long as a page is a prefix of the
		// durable results, no position changes.
		shown := l.Page(0, 1<<20).Results
		if len(shown) > len(durable) || !cmp.Equal(shown, append([]Result(nil), durable[:len(shown)]...)) {
			return fmt.Errorf("keeper %d shows %v, durable results are %v", k, shown, durable)
		}
	}
	return nil
}

// search explores all states breadth first and returns their number.
func search(t *testing.T, items []Item) int {
	t.Helper()
	seen := map[string]bool{}
	queue := [][]searchMove{nil}
	for len(queue) > 0 {
		moves := queue[0]
		queue = queue[1:]
		for k := range searchKeepers {
			for action := range actFinish + len(items) {
				longer := append(slices.Clone(moves), searchMove{k, action})
				s := replay(items, longer)
				key := s.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				if err := s.check(); err != nil {
					t.Fatalf("after %v: %v", longer, err)
				}
				queue = append(queue, longer)
			}
		}
	}
	return len(seen)
}

// TestExhaustiveKeeperSequences checks that no sequence changes the result at a
// position or gives an item two positions.
func TestExhaustiveKeeperSequences(t *testing.T) {
	count := 2
	if text := os.Getenv(searchVariable); text != "" {
		var err error
		if count, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d items: %d states", count, search(t, itemsOf(count, 2)))
}
