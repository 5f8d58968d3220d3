package poison

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

type clock struct{ now time.Time }

func (c *clock) time() time.Time { return c.now }

// attempt is one run of a content at a node.
type attempt struct {
	ledger  *Ledger
	atStart int
}

func begin(l *Ledger) attempt { return attempt{ledger: l, atStart: l.Crashes(content)} }

// crash ends the attempt; the others learn of it.
func (a attempt) crash(others ...*Ledger) {
	if news, ok := a.ledger.Crashed(content, a.atStart); ok {
		tell(news, others)
	}
}

func (a attempt) answer(others ...*Ledger) {
	if news, ok := a.ledger.Answered(content); ok {
		tell(news, others)
	}
}

func tell(news Suspicion, others []*Ledger) {
	for _, l := range others {
		l.Learn(news)
	}
}

func assertBarred(t testing.TB, l *Ledger, want bool) {
	t.Helper()
	if _, got := l.Barred(content); got != want {
		t.Errorf("barred: %v, want %v", got, want)
	}
}

func TestLedger(t *testing.T) {
	at := &clock{now: time.Unix(1e9, 0)}
	cases := []struct {
		name string
		do   func(a, b *Ledger)
		want bool
	}{
		{"three crashes one after another through two nodes", func(a, b *Ledger) {
			begin(a).crash(b)
			begin(b).crash(a)
			begin(a).crash(b)
		}, true},
		{"two are not enough", func(a, b *Ledger) {
			begin(a).crash(b)
			begin(b).crash(a)
		}, false},
		{"many at once count as one", func(a, b *Ledger) {
			var all []attempt
			for range 10 {
				all = append(all, begin(a), begin(b))
			}
			for i, x := range all {
				if i%2 == 0 {
					x.crash(b)
				} else {
					x.crash(a)
				}
			}
		}, false},
		{"an answer between them clears it", func(a, b *Ledger) {
			begin(a).crash(b)
			begin(b).crash(a)
			begin(b).answer(a)
			begin(a).crash(b)
		}, false},
		{"it runs out", func(a, b *Ledger) {
			for range crashesAllowed {
				begin(a).crash(b)
			}
			at.now = at.now.Add(suspectLife)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := NewLedger(at.time), NewLedger(at.time)
			c.do(a, b)
			assertBarred(t, a, c.want)
			assertBarred(t, b, c.want)
		})
	}
	t.Run("a node that starts later learns what is refused", func(t *testing.T) {
		a, late := NewLedger(at.time), NewLedger(at.time)
		for range crashesAllowed {
			begin(a).crash()
		}
		at.now = at.now.Add(time.Minute)
		tell(a.Refused()[0], []*Ledger{late})
		assertBarred(t, late, true)
		if left, _ := late.Barred(content); left != suspectLife-time.Minute {
			t.Errorf("holds for %v", left)
		}
	})
	t.Run("it does not grow without bound", func(t *testing.T) {
		l := NewLedger(at.time)
		for i := range 3 * mostSuspects {
			l.Crashed(uint64(i), 0)
		}
		if n := len(l.entries); n != mostSuspects {
			t.Errorf("%d entries", n)
		}
		at.now = at.now.Add(suspectLife)
		if _, ok := l.Crashed(1e9, 0); !ok {
			t.Error("no room although all ran out")
		}
	})
}

// TestLedgerBounds plays random orders of sends, crashes and lost notes through
// several nodes. A content that crashes whatever runs it costs a bounded number
// of endpoints once notes arrive; one that is answered is never refused for
// longer than its answers take.
func TestLedgerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := &clock{now: time.Unix(1e9, 0)}
		nodes := make([]*Ledger, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = NewLedger(at.time)
		}
		lost := 0
		for range rapid.IntRange(1, 30).Draw(t, "sends") {
			l := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if _, barred := l.Barred(content); barred {
				continue
			}
			begin(l).crash(nodes...)
			lost++
		}
		if lost > crashesAllowed {
			t.Fatalf("%d endpoints lost, allowed %d", lost, crashesAllowed)
		}
	})
}
