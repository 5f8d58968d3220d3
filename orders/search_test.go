package orders

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/shelf"
)

// searchDepth is how many steps the sequences of the search have.
const searchDepth = 6

// step is one step of a sequence.
type step struct {
	name string
	// node takes the lease, -1 for none.
	node int
	// lost says that the answer of the write is lost.
	lost  bool
	pause time.Duration
}

// TestAllShortSequences plays every sequence of takes, lost answers and pauses of
// two nodes: never do two hold the lease, and each epoch has one holder.
func TestAllShortSequences(t *testing.T) {
	steps := []step{
		{name: "a takes", node: 0},
		{name: "b takes", node: 1},
		{name: "a takes, answer lost", node: 0, lost: true},
		{name: "b takes, answer lost", node: 1, lost: true},
		{name: "the margin", node: -1, pause: leaseMargin},
		{name: "nearly a lease", node: -1, pause: testLease - leaseMargin/2},
		{name: "a lease and more", node: -1, pause: testLease + testThaw},
	}
	played, taken := 0, 0
	var sequence []step
	var extend func()
	extend = func() {
		if len(sequence) == searchDepth {
			played++
			taken += playLease(t, sequence)
			return
		}
		for _, s := range steps {
			sequence = append(sequence, s)
			extend()
			sequence = sequence[:len(sequence)-1]
		}
	}
	extend()
	t.Logf("%d sequences, the lease was held after %d steps", played, taken)
	if taken == 0 {
		t.Error("no sequence takes the lease")
	}
}

// playLease plays one sequence and returns after how many steps the lease was held.
func playLease(t *testing.T, sequence []step) (taken int) {
	t.Helper()
	store, c := shelf.New(), &clock{at: time.Hour}
	nodes := []*Lease{newLease(store, "a", c), newLease(store, "b", c)}
	holders := make(map[uint64]int)
	last := uint64(0)
	fail := func(why string) {
		t.Helper()
		names := make([]string, 0, len(sequence))
		for _, s := range sequence {
			names = append(names, s.name)
		}
		t.Fatalf("%s: %q", why, names)
	}
	for _, s := range sequence {
		c.at += s.pause
		if s.node >= 0 {
			// Once to read the record, once to take it.
			for range 2 {
				if s.lost {
					store.SetFaults(shelf.Faults{LoseAnswers: 1})
				}
				err := nodes[s.node].Take(t.Context())
				store.SetFaults(shelf.Faults{})
				if err == nil || !errors.Is(err, errHeld) {
					break
				}
			}
		}
		held := make([]int, 0, len(nodes))
		for k, n := range nodes {
			epoch, ok := n.Held()
			if !ok {
				continue
			}
			held = append(held, k)
			if before, ok := holders[epoch]; ok && before != k {
				fail("two nodes hold one epoch")
			}
			if epoch < last {
				fail("a lower epoch after a higher one")
			}
			holders[epoch], last = k, epoch
		}
		if len(held) > 1 {
			fail("two nodes hold the lease")
		}
		taken += len(slices.Compact(held))
	}
	return taken
}
