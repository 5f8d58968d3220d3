package lease

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
)

// searchDepth and releaseDepth are the numbers of steps in each sequence.
const (
	searchDepth  = 6
	releaseDepth = 5
)

// step is one step of a sequence.
type step struct {
	name string
	// node is the index of the node that acquires the lease, -1 for none.
	node int
	// lost reports whether the answer to the write is lost.
	lost bool
	// release reports whether the node releases the lease instead.
	release bool
	pause   time.Duration
}

// TestAllShortSequences runs every sequence of six steps on two nodes:
// acquisitions, lost answers and pauses. It checks that two nodes never hold
// the lease at the same time, that each epoch has one holder and that epochs
// never decrease.
func TestAllShortSequences(t *testing.T) {
	checkAllSequences(t, searchDepth, acquisitions)
}

// TestBothActAroundRelease is TestAllShortSequences with nodes that also release the
// lease. It checks too that a node holds a released lease only once the last moment at
// which another one held it is as long ago as if the lease had expired.
func TestBothActAroundRelease(t *testing.T) {
	checkAllSequences(t, releaseDepth, append([]step{
		{name: "a releases", node: 0, release: true},
		{name: "b releases", node: 1, release: true},
		{name: "a releases, answer lost", node: 0, release: true, lost: true},
	}, acquisitions...))
}

var acquisitions = []step{
	{name: "a acquires", node: 0},
	{name: "b acquires", node: 1},
	{name: "a acquires, answer lost", node: 0, lost: true},
	{name: "b acquires, answer lost", node: 1, lost: true},
	{name: "pause of the margin", node: -1, pause: Margin},
	{name: "pause shorter than a lease", node: -1, pause: testLease - Margin/2},
	{name: "pause longer than a lease", node: -1, pause: testLease + testTakeoverDelay},
}

func checkAllSequences(t *testing.T, depth int, steps []step) {
	t.Helper()
	sequences, heldSteps := 0, 0
	var sequence []step
	var extend func()
	extend = func() {
		if len(sequence) == depth {
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
	lastHeld, released, holder := make([]time.Duration, len(nodes)), make([]bool, len(nodes)), -1
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
		if s.release {
			if _, ok := nodes[s.node].Held(); ok {
				released[s.node] = true
			}
			if s.lost {
				store.SetFaults(memory.Faults{LoseAnswers: 1})
			}
			// A release that is lost leaves the lease to expire.
			_ = nodes[s.node].Release(t.Context(), clk.at-lastHeld[s.node])
			store.SetFaults(memory.Faults{})
		} else if s.node >= 0 {
			// The first call reads the record, the second acquires the lease.
			for range 2 {
				if s.lost {
					store.SetFaults(memory.Faults{LoseAnswers: 1})
				}
				err := nodes[s.node].Acquire(t.Context())
				store.SetFaults(memory.Faults{})
				if err == nil || !errors.Is(err, ErrHeld) {
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
			if holder >= 0 && holder != k && released[holder] && clk.at-lastHeld[holder] < testLease+testTakeoverDelay {
				fail("a node holds the lease too soon after its release")
			}
			holder, released[k] = k, false
			lastHeld[k] = clk.at
		}
		if len(held) > 1 {
			fail("two nodes hold the lease")
		}
		heldSteps += len(slices.Compact(held))
	}
	return heldSteps
}
