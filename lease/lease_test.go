package lease

import (
	"context"
	"errors"
	"strings"
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

// mustAcquire acquires a lease within three calls: some calls only read the
// record.
func mustAcquire(t *testing.T, l *Lease) {
	t.Helper()
	for range 3 {
		if l.Acquire(t.Context()) == nil {
			return
		}
	}
	t.Fatal("the lease can't be acquired within three calls")
}

func newLease(store *memory.Store, name string, clk *clock) *Lease {
	return New(store, "orders", name, 1, testLease, testTakeoverDelay, clk.now)
}

func TestLeaseIsHeldByOne(t *testing.T) {
	store, clk := memory.New(), &clock{at: time.Hour}
	a, b := newLease(store, "a", clk), newLease(store, "b", clk)
	mustAcquire(t, a)
	for range 3 {
		if err := b.Acquire(t.Context()); err == nil {
			t.Fatal("a valid lease was taken over")
		}
		clk.at += time.Second
	}
	clk.at += testLease + testTakeoverDelay
	mustAcquire(t, b)
	if _, held := a.Held(); held {
		t.Error("the first holder still holds it")
	}
	if epoch, _ := b.Held(); epoch != 2 {
		t.Errorf("epoch %d, want 2", epoch)
	}
}

func TestLeaseSurvivesLostAnswer(t *testing.T) {
	store, clk := memory.New(), &clock{at: time.Hour}
	a := newLease(store, "a", clk)
	mustAcquire(t, a)
	store.SetFaults(memory.Faults{LoseAnswers: 1})
	clk.at += time.Second
	if err := a.Acquire(t.Context()); err == nil {
		t.Fatal("a renewal without an answer is reported as successful")
	}
	mustAcquire(t, a)
	if _, held := a.Held(); !held {
		t.Error("the lease is not held")
	}
}

// TestLeaseNeverOverlaps lets nodes acquire the lease, pause and lose answers
// in random order. It checks that no two nodes hold the lease at the same time,
// that each epoch has one holder, and that at least Margin lies between
// two holders.
func TestLeaseNeverOverlaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, clk := memory.New(), &clock{at: time.Hour}
		nodes := make([]*Lease, 3)
		for i := range nodes {
			nodes[i] = newLease(store, string(rune('a'+i)), clk)
		}
		holders := make(map[uint64]int)
		lastHeld := make([]time.Duration, len(nodes))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clk.at += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "fault") == 0 {
				store.SetFaults(memory.Faults{LoseAnswers: 1})
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
				lastHeld[k] = clk.at
				for other := range nodes {
					if other != k && lastHeld[other] > 0 && clk.at-lastHeld[other] < Margin && clk.at != lastHeld[other] {
						t.Fatalf("node %d holds the lease only %v after node %d", k, clk.at-lastHeld[other], other)
					}
				}
			}
		}
	})
}

// A record that another writer has corrupted must not end the duty, nor lower the epoch.
func TestOddRecordIsTakenOver(t *testing.T) {
	for name, spec := range map[string]string{
		"no json": "?", "null": "null", "empty": "{}", "of another type": `[1]`, "deeply nested": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"negative epoch": `{"holder":"a","incarnation":1,"epoch":-1}`, "no holder": `{"epoch":3}`,
		"negative idle time": `{"holder":"a","incarnation":1,"epoch":1,"released":true,"idle_ms":-9000000000000000}`,
		"long idle time":     `{"holder":"a","incarnation":1,"epoch":1,"released":true,"idle_ms":9223372036854775807}`,
		"no epoch":           `{"holder":"a","incarnation":1}`, "large epoch": `{"holder":"a","incarnation":1,"epoch":18446744073709551615}`,
	} {
		t.Run(name, func(t *testing.T) {
			store, clk := memory.New(), &clock{at: time.Hour}
			a, b := newLease(store, "a", clk), newLease(store, "b", clk)
			mustAcquire(t, a)
			before, _ := a.Held()
			if _, err := store.Replace(t.Context(), kindLeases, "orders", []byte(spec), 0); err != nil {
				t.Fatal(err)
			}
			for clk.at += time.Millisecond; clk.at < time.Hour+testLease; clk.at += 100 * time.Millisecond {
				if b.Acquire(t.Context()) == nil {
					t.Fatalf("taken over %v after the holder's last renewal", clk.at-time.Hour)
				}
			}
			clk.at += testLease + testTakeoverDelay
			mustAcquire(t, b)
			if epoch, _ := b.Held(); epoch <= before {
				t.Errorf("epoch %d after %d", epoch, before)
			}
			if a.Acquire(t.Context()) == nil {
				t.Error("both hold the lease")
			}
		})
	}
}
