package batch

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/rendez"
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

// acceptLarge has a batch accepted that takes most of a host's memory, by the first host that has room.
func (s *accountSite) acceptLarge(t *testing.T, n int) string {
	t.Helper()
	id, b := fmt.Sprint("b", n), &accountBatch{acceptedAt: time.Now()}
	for i := range 4 {
		b.items = append(b.items, fmt.Sprintf("ok%d-%d%s40", n, i, sizeMark))
	}
	if !slices.ContainsFunc(s.hosts(), func(name string) bool {
		_, ok := s.at(name).Accept(t.Context(), submissionOf(t, id, b.items...)).(Stored)
		return ok
	}) {
		t.Fatal("batch not accepted")
	}
	s.accepted[id] = b
	return id
}

// checkAll checks that all batches are listed, ends the hosts and reports what was wrong.
func (s *accountSite) checkAll(t *testing.T) {
	t.Helper()
	for id, b := range s.accepted {
		s.checkListed(id, b, time.Now().Add(listBound))
	}
	if s.problem != "" {
		t.Error(s.problem)
	}
	s.closeAll()
}

// TestTakeoversExceedMemory guards against hosts that take over all batches of the hosts that are lost,
// whatever memory they have, and lose all of them.
func TestTakeoversExceedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newAccountSite(t, 1, 5)
		for n := range s.hosts() {
			s.acceptLarge(t, n)
		}
		for _, name := range s.hosts()[1:] {
			s.remove(name)
		}
		for range 1000 {
			s.checkMemory()
			time.Sleep(10 * time.Millisecond)
		}
		s.checkAll(t)
	})
}

// TestExpiredBatchIsNeverListed guards against accepted batches whose items are listed neither way since
// no host took them over before their time was over.
func TestExpiredBatchIsNeverListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newAccountSite(t, 1, 1)
		s.accept(t, s.at("h0"), "ok0", "ok1")
		s.accepted["s"] = &accountBatch{items: []string{"ok0", "ok1"}, acceptedAt: time.Now()}
		s.remove("h0")
		// The route gives items a minute.
		time.Sleep(time.Minute + maxClockSkew)
		s.addHost()
		s.checkAll(t)
	})
}

// TestOwedBatchWaitsForOneHost guards against a batch that waits for the host that should take it over
// although that has no memory for it and another one has.
func TestOwedBatchWaitsForOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newAccountSite(t, 1, 1)
		first := s.at("h0")
		s.accept(t, first, "i0", "i1")
		s.addHost()
		s.addHost()
		names := rendez.Top("s", []string{"h1", "h2"}, 2)
		full, free := s.at(names[0]), s.at(names[1])
		full.mu.Lock()
		full.accepting["other"] = accountBytes
		full.mu.Unlock()
		s.remove("h0")
		time.Sleep(listInterval + helpDelay + 2*time.Second)
		if s.works(full.deps.Name, "s") || !s.works(free.deps.Name, "s") {
			t.Error("the batch was not taken over by the host that has memory for it")
		}
		s.closeAll()
	})
}

// TestEndedBatchesExceedMemory guards against hosts whose memory grows with the batches that have ended, and
// against results that are gone once they gave way.
func TestEndedBatchesExceedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newAccountSite(t, 1, 1)
		for n := range 10 {
			id := s.acceptLarge(t, n)
			s.checkListed(id, s.accepted[id], time.Now().Add(listBound))
			if err := s.at("h0").End(t.Context(), id); err != nil {
				t.Fatal(err)
			}
			s.checkMemory()
		}
		s.checkAll(t)
	})
}

// TestResultsGiveWay drops the texts of results from memory: they are read from the store, at the same
// positions.
func TestResultsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newAccountSite(t, 1, 2)
		items := []string{"ok0", "ok1", "ok2", "ok3", "i4"}
		s.accept(t, s.at("h0"), items...)
		// Items take up to 3 s, the last one goes on.
		time.Sleep(5 * time.Second)
		before, err := s.at("h0").Read(t.Context(), "s", 0, 0)
		check.Equal(t, "error", err, nil)
		check.Equal(t, "results", len(before.Results), 4)
		owner := s.owner(t, "s", "h0", "h1")
		owner.mu.Lock()
		owner.jobs["s"].results.EvictTexts()
		owner.mu.Unlock()
		for _, name := range s.hosts() {
			for position := range before.Results {
				page, err := s.at(name).Read(t.Context(), "s", position, 0)
				check.Equal(t, "error", err, nil)
				check.Equal(t, "first result of a page", page.Results[0], before.Results[position])
			}
			page, err := s.at(name).Read(t.Context(), "s", 4, time.Second)
			check.Equal(t, "error", err, nil)
			check.Equal(t, "results after the last one", len(page.Results), 0)
		}
		s.closeAll()
	})
}

// TestEvictedKeeperKnowsFewerChunks guards against a reader that panics: it reads the chunk after those that its
// host knows, while the host drops a batch of which it has fewer chunks in memory.
func TestEvictedKeeperKnowsFewerChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newAccountSite(t, 1, 1)
		k := s.at("h0")
		s.accept(t, k, "ok0", "ok1")
		// Items take up to 3 s.
		time.Sleep(5 * time.Second)
		k.mu.Lock()
		h := k.batches["s"]
		// Another keeper has written these, and a reader has found them in the store.
		h.ends = chunkEnds{1, 2, 3}
		k.evictJob((*ResultLog).complete)
		k.mu.Unlock()
		check.Equal(t, "results of the next chunk", len(k.cacheChunk(h, 3, 3, []Result{{Item: "ok3"}})), 1)
		s.closeAll()
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
