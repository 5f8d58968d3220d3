package poison

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

type clock struct{ now time.Time }

func (c *clock) time() time.Time { return c.now }

// attempt is one attempt to run a request through a node.
type attempt struct {
	ledger         *Ledger
	crashesAtStart int
}

func begin(l *Ledger) attempt { return attempt{ledger: l, crashesAtStart: l.Crashes(testFingerprint)} }

// crash ends the attempt with a crash and notifies the peers.
func (a attempt) crash(peerLedgers ...*Ledger) {
	if update, ok := a.ledger.Crashed(testFingerprint, a.crashesAtStart); ok {
		notify(update, peerLedgers)
	}
}

func (a attempt) answer(peerLedgers ...*Ledger) {
	if update, ok := a.ledger.Answered(testFingerprint); ok {
		notify(update, peerLedgers)
	}
}

func notify(update Suspect, peerLedgers []*Ledger) {
	for _, l := range peerLedgers {
		l.Merge(update)
	}
}

func assertQuarantined(t testing.TB, l *Ledger, want bool) {
	t.Helper()
	if _, got := l.Quarantined(testFingerprint); got != want {
		t.Errorf("quarantined: %v, want %v", got, want)
	}
}

func TestLedger(t *testing.T) {
	clk := &clock{now: time.Unix(1e9, 0)}
	cases := []struct {
		name string
		run  func(a, b *Ledger)
		want bool
	}{
		{"three consecutive crashes through two nodes", func(a, b *Ledger) {
			begin(a).crash(b)
			begin(b).crash(a)
			begin(a).crash(b)
		}, true},
		{"two crashes are not enough", func(a, b *Ledger) {
			begin(a).crash(b)
			begin(b).crash(a)
		}, false},
		{"simultaneous crashes count as one", func(a, b *Ledger) {
			var all []attempt
			for range 10 {
				all = append(all, begin(a), begin(b))
			}
			for i, started := range all {
				if i%2 == 0 {
					started.crash(b)
				} else {
					started.crash(a)
				}
			}
		}, false},
		{"an answer between crashes clears the count", func(a, b *Ledger) {
			begin(a).crash(b)
			begin(b).crash(a)
			begin(b).answer(a)
			begin(a).crash(b)
		}, false},
		{"quarantine expires", func(a, b *Ledger) {
			for range ledgerCrashLimit {
				begin(a).crash(b)
			}
			clk.now = clk.now.Add(suspectTTL)
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a, b := NewLedger(clk.time), NewLedger(clk.time)
			tc.run(a, b)
			assertQuarantined(t, a, tc.want)
			assertQuarantined(t, b, tc.want)
		})
	}
	t.Run("a node that starts later receives the quarantined contents", func(t *testing.T) {
		a, late := NewLedger(clk.time), NewLedger(clk.time)
		for range ledgerCrashLimit {
			begin(a).crash()
		}
		clk.now = clk.now.Add(time.Minute)
		notify(a.ListQuarantined()[0], []*Ledger{late})
		assertQuarantined(t, late, true)
		if remaining, _ := late.Quarantined(testFingerprint); remaining != suspectTTL-time.Minute {
			t.Errorf("the received entry expires in %v", remaining)
		}
	})
	t.Run("the number of entries is limited", func(t *testing.T) {
		l := NewLedger(clk.time)
		for i := range 3 * maxSuspects {
			l.Crashed(uint64(i), 0)
		}
		if n := len(l.entries); n != maxSuspects {
			t.Errorf("%d entries", n)
		}
		clk.now = clk.now.Add(suspectTTL)
		if _, ok := l.Crashed(1e9, 0); !ok {
			t.Error("no room although all entries have expired")
		}
	})
}

// TestLedgerLimitsCrashes sends a request that crashes every endpoint through
// several nodes in random order, with all nodes notified of each crash. It
// checks that no more than ledgerCrashLimit endpoints crash.
func TestLedgerLimitsCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := &clock{now: time.Unix(1e9, 0)}
		nodes := make([]*Ledger, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = NewLedger(clk.time)
		}
		crashed := 0
		for range rapid.IntRange(1, 30).Draw(t, "sends") {
			l := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if _, quarantined := l.Quarantined(testFingerprint); quarantined {
				continue
			}
			begin(l).crash(nodes...)
			crashed++
		}
		if crashed > ledgerCrashLimit {
			t.Fatalf("%d endpoints crashed, allowed %d", crashed, ledgerCrashLimit)
		}
	})
}
