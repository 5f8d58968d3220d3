package facts

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/wirepb"
)

func newFact(key string, version uint64, ttl time.Duration) *wirepb.Fact {
	return &wirepb.Fact{Key: key, Version: version, RemainingMs: ttl.Milliseconds()}
}

func TestHighestVersionWins(t *testing.T) {
	s := NewStore()
	for _, version := range []uint64{2, 1, 2, 3} {
		s.Apply(newFact("k", version, 0), "x")
	}
	if got := s.Get("k").GetVersion(); got != 3 {
		t.Errorf("got %d, want 3", got)
	}
}

func TestFactsExpire(t *testing.T) {
	s := NewStore()
	now := time.Now()
	s.now = func() time.Time { return now }
	s.Apply(newFact("k", 1, time.Second), "")
	now = now.Add(400 * time.Millisecond)
	sent, _ := s.Since(0, "peer")
	if len(sent) != 1 || sent[0].GetRemainingMs() != 600 {
		t.Errorf("sent %v, want 600 ms left", sent)
	}
	now = now.Add(time.Second)
	if s.Get("k") != nil || s.Expire() != 0 {
		t.Error("the store still holds the expired fact")
	}
}

func TestPagesAreBounded(t *testing.T) {
	s := NewStore()
	for i := range 2000 {
		s.Apply(newFact(fmt.Sprintf("key-%d-%030d", i, i), 1, 0), "")
	}
	got, since, pages := 0, uint64(0), 0
	for {
		changed, upto := s.Since(since, "peer")
		if len(changed) == 0 {
			break
		}
		got += len(changed)
		since = upto
		pages++
	}
	if got != 2000 || pages < 2 {
		t.Errorf("%d facts in %d pages, want 2000 in at least 2", got, pages)
	}
}

// TestStoresConvergeProperty checks that all stores end with the same facts after
// exchanges in any order, some of which are lost.
func TestStoresConvergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const storeCount = 4
		stores := make([]*Store, storeCount)
		seen := make([][]uint64, storeCount)
		for i := range stores {
			stores[i] = NewStore()
			seen[i] = make([]uint64, storeCount)
		}
		exchange := func(from, to int, lost bool) {
			changed, upto := stores[from].Since(seen[to][from], fmt.Sprint(to))
			if lost {
				return
			}
			for _, f := range changed {
				stores[to].Apply(f, fmt.Sprint(from))
			}
			seen[to][from] = upto
		}
		anyStore := rapid.IntRange(0, storeCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
				stores[anyStore.Draw(t, "at")].Apply(newFact(key, rapid.Uint64Range(1, 50).Draw(t, "version"), 0), "")
			},
			"exchange": func(t *rapid.T) {
				from, to := anyStore.Draw(t, "from"), anyStore.Draw(t, "to")
				if from != to {
					exchange(from, to, rapid.Bool().Draw(t, "lost"))
				}
			},
		})
		for range storeCount {
			for from := range storeCount {
				for to := range storeCount {
					if from != to {
						exchange(from, to, false)
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
