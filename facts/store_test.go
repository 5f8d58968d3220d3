package facts

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/wirepb"
)

func fact(key string, version uint64, life time.Duration) *wirepb.Fact {
	return &wirepb.Fact{Key: key, Version: version, RemainingMs: life.Milliseconds()}
}

func TestHighestVersionWins(t *testing.T) {
	s := NewStore()
	for _, version := range []uint64{2, 1, 2, 3} {
		s.Apply(fact("k", version, 0), "x")
	}
	if got := s.Get("k").GetVersion(); got != 3 {
		t.Errorf("got %d, want 3", got)
	}
}

func TestFactsExpire(t *testing.T) {
	s := NewStore()
	now := time.Now()
	s.now = func() time.Time { return now }
	s.Apply(fact("k", 1, time.Second), "")
	now = now.Add(400 * time.Millisecond)
	sent, _ := s.Since(0, "peer")
	if len(sent) != 1 || sent[0].GetRemainingMs() != 600 {
		t.Errorf("sent %v, want 600 ms left", sent)
	}
	now = now.Add(time.Second)
	if s.Get("k") != nil || s.Expire() != 0 {
		t.Error("the fact is still there")
	}
}

func TestPortionsAreBounded(t *testing.T) {
	s := NewStore()
	for i := range 2000 {
		s.Apply(fact(fmt.Sprintf("key-%d-%030d", i, i), 1, 0), "")
	}
	got, since, rounds := 0, uint64(0), 0
	for {
		changed, upto := s.Since(since, "peer")
		if len(changed) == 0 {
			break
		}
		got += len(changed)
		since = upto
		rounds++
	}
	if got != 2000 || rounds < 2 {
		t.Errorf("%d facts in %d portions, want 2000 in several", got, rounds)
	}
}

// Exchanges in any order, some of them lost, bring all stores to the same facts.
func TestStoresConvergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		stores := make([]*Store, n)
		seen := make([][]uint64, n)
		for i := range stores {
			stores[i] = NewStore()
			seen[i] = make([]uint64, n)
		}
		pull := func(from, to int, lost bool) {
			changed, upto := stores[from].Since(seen[to][from], fmt.Sprint(to))
			if lost {
				return
			}
			for _, f := range changed {
				stores[to].Apply(f, fmt.Sprint(from))
			}
			seen[to][from] = upto
		}
		node := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"state": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
				stores[node.Draw(t, "at")].Apply(fact(key, rapid.Uint64Range(1, 50).Draw(t, "version"), 0), "")
			},
			"exchange": func(t *rapid.T) {
				from, to := node.Draw(t, "from"), node.Draw(t, "to")
				if from != to {
					pull(from, to, rapid.Bool().Draw(t, "lost"))
				}
			},
		})
		for range n {
			for from := range n {
				for to := range n {
					if from != to {
						pull(from, to, false)
					}
				}
			}
		}
		for _, f := range stores[0].Prefix("") {
			for i := range stores {
				if got := stores[i].Get(f.GetKey()).GetVersion(); got != f.GetVersion() {
					t.Fatalf("store %d has %s at %d, store 0 at %d", i, f.GetKey(), got, f.GetVersion())
				}
			}
		}
	})
}
