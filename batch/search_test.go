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

// The search runs every sequence of actions in a small model: two keepers of
// one batch that finish items, write chunks, lose answers, have writes take
// effect late, and restart from the durable chunks. States that were reached
// before are not explored again, so the search ends when there are no new
// states, whatever the length of the sequences.

const (
	searchKeepers = 2
	// noWrite is the chunk index of a keeper without a delayed write.
	noWrite = -1
	// itemCountVariable is the environment variable that sets how many items the
	// batch has: two by default, three take a minute.
	itemCountVariable = "CURRANTLOFT_SEARCH_ITEMS"
)

type (
	// searchState is one state of the model.
	searchState struct {
		store chunkStore
		logs  [searchKeepers]*ResultLog
		// delayed holds the chunk that each keeper's delayed write will create.
		delayed [searchKeepers]delayedWrite
	}

	// delayedWrite is a write of a chunk that takes effect later.
	delayedWrite struct {
		// chunk is the index of the chunk, noWrite if there is no delayed write.
		chunk   int
		results []Result
	}

	// searchAction is one action of a keeper.
	searchAction struct {
		keeper, kind int
	}
)

// Actions of a keeper. Those from actFinish on finish item 0, 1, ...
const (
	actWrite = iota
	actLoseAnswer
	actDelayWrite
	actCompleteWrite
	actRestart
	actFinish
)

func (a searchAction) String() string {
	names := map[int]string{actWrite: "writes", actLoseAnswer: "loses an answer", actDelayWrite: "sends a delayed write", actCompleteWrite: "completes its delayed write", actRestart: "restarts"}
	if name, ok := names[a.kind]; ok {
		return fmt.Sprintf("keeper %d %s", a.keeper, name)
	}
	return fmt.Sprintf("keeper %d finishes item %d", a.keeper, a.kind-actFinish)
}

// replay applies actions to the initial state.
func replay(items []Item, actions []searchAction) *searchState {
	s := &searchState{}
	for k := range s.logs {
		s.logs[k], s.delayed[k] = NewResultLog(items), delayedWrite{chunk: noWrite}
	}
	for _, a := range actions {
		s.applyAction(a, items)
	}
	return s
}

func (s *searchState) applyAction(a searchAction, items []Item) {
	l := s.logs[a.keeper]
	switch a.kind {
	case actWrite:
		if l.Pending() > 0 {
			l.Commit(s.store.write(l.Chunks(), l.NextChunk(1)))
		}
	case actLoseAnswer:
		if l.Pending() > 0 {
			s.store.write(l.Chunks(), l.NextChunk(1))
		}
	case actDelayWrite:
		if l.Pending() > 0 && s.delayed[a.keeper].chunk == noWrite {
			s.delayed[a.keeper] = delayedWrite{chunk: l.Chunks(), results: slices.Clone(l.NextChunk(1))}
		}
	case actCompleteWrite:
		if delayed := s.delayed[a.keeper]; delayed.chunk != noWrite {
			s.store.write(delayed.chunk, delayed.results)
			s.delayed[a.keeper] = delayedWrite{chunk: noWrite}
		}
	case actRestart:
		s.logs[a.keeper] = NewResultLog(items)
		for _, results := range s.store {
			s.logs[a.keeper].Commit(results)
		}
	default:
		l.Finish(Result{Item: items[a.kind-actFinish].ID, Text: fmt.Sprint(a.keeper)})
	}
}

// key identifies the state.
func (s *searchState) key() string {
	var out strings.Builder
	fmt.Fprint(&out, s.store)
	for k, l := range s.logs {
		fmt.Fprint(&out, "|", l.durable, l.pending, l.Chunks(), s.delayed[k])
	}
	return out.String()
}

// check returns an error if the state violates an invariant.
func (s *searchState) check() error {
	var durable []Result
	hasPosition := make(map[string]bool)
	for _, results := range s.store {
		for _, r := range results {
			if hasPosition[r.Item] {
				return fmt.Errorf("item %s has two positions: %v", r.Item, s.store)
			}
			hasPosition[r.Item] = true
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
	queue := [][]searchAction{nil}
	for len(queue) > 0 {
		actions := queue[0]
		queue = queue[1:]
		for k := range searchKeepers {
			for kind := range actFinish + len(items) {
				longer := append(slices.Clone(actions), searchAction{k, kind})
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
	if text := os.Getenv(itemCountVariable); text != "" {
		var err error
		if count, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d items: %d states", count, search(t, itemsOf(count, 2)))
}
