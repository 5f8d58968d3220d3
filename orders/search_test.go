package orders

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
)

// searchDepth is the number of steps in each sequence.
const searchDepth = 6

// step is one step of a sequence.
type step struct {
	name string
	// node is the index of the node that acquires the lease, -1 for none.
	node int
	// lost reports whether the answer to the write is lost.
	lost  bool
	pause time.Duration
}

// TestAllShortSequences runs every sequence of six steps on two nodes:
// acquisitions, lost answers and pauses. It checks that two nodes never hold
// the lease at the same time, that each epoch has one holder and that epochs
// never decrease.
func TestAllShortSequences(t *testing.T) {
	steps := []step{
		{name: "a acquires", node: 0},
		{name: "b acquires", node: 1},
		{name: "a acquires, answer lost", node: 0, lost: true},
		{name: "b acquires, answer lost", node: 1, lost: true},
		{name: "pause of the margin", node: -1, pause: leaseMargin},
		{name: "pause shorter than a lease", node: -1, pause: testLease - leaseMargin/2},
		{name: "pause longer than a lease", node: -1, pause: testLease + testTakeoverDelay},
	}
	sequences, heldSteps := 0, 0
	var sequence []step
	var extend func()
	extend = func() {
		if len(sequence) == searchDepth {
			sequences++
			heldSteps += runSequence(t, sequence)
			return
		}
		for _, s := range steps {
			sequence = append(sequence, s)
			extend()
			sequence = sequence[:len(sequence)-1]
		}
	}
	extend()
	t.Logf("%d sequences, the lease was held after %d steps", sequences, heldSteps)
	if heldSteps == 0 {
		t.Error("no sequence acquires the lease")
	}
}

// runSequence runs one sequence and returns the number of steps after which the
// lease was held.
func runSequence(t *testing.T, sequence []step) (heldSteps int) {
	t.Helper()
	store, clk := memory.New(), &clock{at: time.Hour}
	nodes := []*Lease{newLease(store, "a", clk), newLease(store, "b", clk)}
	holders := make(map[uint64]int)
	lastEpoch := uint64(0)
	fail := func(why string) {
		t.Helper()
		names := make([]string, 0, len(sequence))
		for _, s := range sequence {
			names = append(names, s.name)
		}
		t.Fatalf("%s: %q", why, names)
	}
	for _, s := range sequence {
		clk.at += s.pause
		if s.node >= 0 {
			// The first call reads the record, the second acquires the lease.
			for range 2 {
				if s.lost {
					store.SetFaults(memory.Faults{LoseAnswers: 1})
				}
				err := nodes[s.node].Acquire(t.Context())
				store.SetFaults(memory.Faults{})
				if err == nil || !errors.Is(err, errLeaseHeld) {
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
			if epoch < lastEpoch {
				fail("a lower epoch after a higher one")
			}
			holders[epoch], lastEpoch = k, epoch
		}
		if len(held) > 1 {
			fail("two nodes hold the lease")
		}
		heldSteps += len(slices.Compact(held))
	}
	return heldSteps
}
