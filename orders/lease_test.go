package orders

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/memory"
)

const (
	testLease         = 3 * time.Second
	testTakeoverDelay = 300 * time.Millisecond
)

// clock is a manual clock.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

// mustTake takes a lease within three calls: some calls only read the record.
func mustTake(t *testing.T, l *Lease) {
	t.Helper()
	for range 3 {
		if l.Acquire(t.Context()) == nil {
			return
		}
	}
	t.Fatal("the lease can't be taken")
}

func newLease(s *memory.Store, name string, c *clock) *Lease {
	return NewLease(s, name, 1, testLease, testTakeoverDelay, c.now)
}

func TestLeaseIsHeldByOne(t *testing.T) {
	s, c := memory.New(), &clock{at: time.Hour}
	a, b := newLease(s, "a", c), newLease(s, "b", c)
	mustTake(t, a)
	for range 3 {
		if err := b.Acquire(t.Context()); err == nil {
			t.Fatal("a valid lease was taken over")
		}
		c.at += time.Second
	}
	c.at += testLease + testTakeoverDelay
	mustTake(t, b)
	if _, held := a.Held(); held {
		t.Error("the first holder still holds it")
	}
	if epoch, _ := b.Held(); epoch != 2 {
		t.Errorf("epoch %d, want 2", epoch)
	}
}

func TestLeaseSurvivesLostAnswer(t *testing.T) {
	s, c := memory.New(), &clock{at: time.Hour}
	a := newLease(s, "a", c)
	mustTake(t, a)
	s.SetFaults(memory.Faults{LoseAnswers: 1})
	c.at += time.Second
	if err := a.Acquire(t.Context()); err == nil {
		t.Fatal("a renewal without an answer is reported as successful")
	}
	mustTake(t, a)
	if _, held := a.Held(); !held {
		t.Error("the lease is not held")
	}
}

// TestLeaseNeverOverlaps lets nodes take the lease, pause and lose answers in random
// order. It checks that no two nodes hold the lease at the same time, that each
// holder has its own epoch, and that a margin lies between two holders.
func TestLeaseNeverOverlaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := memory.New(), &clock{at: time.Hour}
		nodes := make([]*Lease, 3)
		for i := range nodes {
			nodes[i] = newLease(s, string(rune('a'+i)), c)
		}
		holders := make(map[uint64]int)
		lastHeld := make([]time.Duration, len(nodes))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.at += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "fault") == 0 {
				s.SetFaults(memory.Faults{LoseAnswers: 1})
			}
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			if err := nodes[i].Acquire(context.Background()); err != nil && errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
			held := -1
			for k, n := range nodes {
				epoch, ok := n.Held()
				if !ok {
					continue
				}
				if held >= 0 {
					t.Fatalf("nodes %d and %d hold the lease at once", held, k)
				}
				held = k
				if before, ok := holders[epoch]; ok && before != k {
					t.Fatalf("nodes %d and %d hold epoch %d", before, k, epoch)
				}
				holders[epoch] = k
				lastHeld[k] = c.at
				for other := range nodes {
					if other != k && lastHeld[other] > 0 && c.at-lastHeld[other] < leaseMargin && c.at != lastHeld[other] {
						t.Fatalf("node %d holds the lease only %v after node %d", k, c.at-lastHeld[other], other)
					}
				}
			}
		}
	})
}
