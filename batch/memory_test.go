package batch

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestOfferThatIsNeverAcceptedHoldsMemory offers a batch that nobody accepts, as while the store is
// down. Once its submission has ended, others must be taken on.
func TestOfferThatIsNeverAcceptedHoldsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLateSite(1)
		k := s.add(t, "a", nil)
		k.mu.Lock()
		k.deps.MemoryBytes = 2 * itemOverheadBytes
		k.mu.Unlock()
		offer := func(id string) bool { return k.HoldOffer(id, "h", "/b/x", []byte(strings.Repeat(id, 100))) }
		if !offer("first") {
			t.Fatal("the first offer was declined")
		}
		if offer("second") {
			t.Error("an offer beyond the memory for batches was held")
		}
		time.Sleep(2 * acceptTimeout)
		if !offer("second") {
			t.Error("an offer was declined for one that can't be accepted any more")
		}
	})
}

// TestReadsShareALoad guards against hosts that load a batch once for each read of a body.
func TestReadsShareALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newAccountSite(t, 1, 1)
		s.accept(t, s.at("h0"), "i0~300", "i1~300")
		time.Sleep(time.Second)
		outside := startKeeperWith(t, "outside", accountPeers{readPeers{latePeers{clusterPeers{cluster: s.cluster, name: "outside", outside: true}, s.lateSite}}},
			accountStore{lateStore{s.store, s.lateSite, "outside"}}, &instantEngine{}, func() time.Duration { return time.Since(s.began) })
		outside.Apply(Notification{Head: s.at("h0").batches["s"].head})
		s.remove("h0")
		s.tasks.Wait()
		before := s.readsOf(kindBodies)
		var readers sync.WaitGroup
		for range 20 {
			readers.Go(func() {
				if body, err := outside.Body(t.Context(), "s", "i1~300"); err != nil || string(body) != string(bodyOfTestItem("i1~300")) {
					t.Errorf("got %d bytes, %v", len(body), err)
				}
			})
		}
		readers.Wait()
		if n := s.readsOf(kindBodies) - before; n > 2 {
			t.Errorf("%d parts were read for 20 readers, want at most 2", n)
		}
		s.closeAll()
	})
}

// readsOf returns how many reads of objects of a kind the hosts have made.
func (s *lateSite) readsOf(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[kind]
}
