package batch

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

// chunkInterval is long enough for the result of one item to become a chunk of its own.
const chunkInterval = 2 * normalFlushDelay

// positionSite is two keepers of one batch whose items end one after the other, and a node
// that owns no batches and so learns nothing of hand-overs.
type positionSite struct {
	*cluster
	store   *slowMissStore
	engines map[string]*instantEngine
	outside *Keeper
	items   []string
	// suspended is for how long the hosts were suspended, in nanoseconds.
	suspended atomic.Int64
}

// slowMissStore answers that a chunk does not exist only after a delay, in nanoseconds.
type slowMissStore struct {
	object.Store
	delay atomic.Int64
}

func (s *slowMissStore) Get(ctx context.Context, kind, name string, freshness object.Freshness) (object.Entry, error) {
	entry, err := s.Store.Get(ctx, kind, name, freshness)
	if kind == kindChunks && freshness == object.Fresh && errors.Is(err, object.ErrNotFound) {
		time.Sleep(time.Duration(s.delay.Load()))
	}
	return entry, err
}

// newPositionSite starts the keepers; all items are held.
func newPositionSite(t *testing.T, items ...string) *positionSite {
	s := &positionSite{cluster: newCluster(), store: &slowMissStore{Store: memory.New()}, engines: make(map[string]*instantEngine), items: items}
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) + time.Duration(s.suspended.Load()) }
	for _, name := range []string{"a", "b"} {
		engine := &instantEngine{held: make(map[string]chan struct{})}
		for _, item := range items {
			engine.hold(item)
		}
		s.engines[name] = engine
		k := startKeeperWith(t, name, clusterPeers{cluster: s.cluster, name: name}, s.store, engine, clock)
		s.mu.Lock()
		s.keepers[name] = k
		s.mu.Unlock()
	}
	s.outside = startKeeperWith(t, "outside", clusterPeers{cluster: s.cluster, name: "outside", outside: true}, s.store, &instantEngine{}, clock)
	return s
}

// accept submits the batch to the keeper and makes the outside node know it.
func (s *positionSite) accept(t *testing.T) (owner, other string) {
	t.Helper()
	if _, ok := s.at("a").Accept(t.Context(), submissionOf(t, "s", s.items...)).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	owner, other = "a", "b"
	if _, err := s.at("a").ReadLocal(t.Context(), "s", 0, 0); err != nil {
		owner, other = "b", "a"
	}
	s.checkPosition(t, s.outside, 0, false)
	return owner, other
}

// finish lets items end at a keeper, each in a chunk of its own.
func (s *positionSite) finish(name string, items ...string) {
	for _, item := range items {
		s.engines[name].release(item)
		time.Sleep(chunkInterval)
	}
}

// checkPosition reads at a node, and checks whether there is a result at the position.
func (s *positionSite) checkPosition(t *testing.T, k *Keeper, position int, want bool) {
	t.Helper()
	page, err := k.Read(t.Context(), "s", position, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(page.Results) > 0; got != want {
		t.Errorf("result at position %d: %t, want %t", position, got, want)
	}
}

// TestPositionsAreReadThroughPreviousKeeper guards against a result that had been read being
// missing: a host that leaves has handed its batch over, and other hosts, which are not told
// of that, still read there.
func TestPositionsAreReadThroughPreviousKeeper(t *testing.T) {
	items := []string{"i0", "i1", "i2", "i3"}
	for _, tc := range []struct {
		name  string
		ended bool
		order []int
	}{
		{"last position first", false, []int{3, 2, 1, 0}},
		{"last position first, batch ended", true, []int{3, 2, 1, 0}},
		{"position in the middle first", false, []int{2, 3}},
		{"first position first, batch ended", true, []int{0, 1, 2, 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPositionSite(t, items...)
				owner, successor := s.accept(t)
				s.finish(owner, "i0")
				ctx, cancel := context.WithTimeout(t.Context(), testLimit)
				defer cancel()
				s.at(owner).Leave(ctx)
				time.Sleep(time.Second)
				s.finish(successor, "i1", "i2", "i3")
				if tc.ended {
					if err := s.at(successor).End(t.Context(), "s"); err != nil {
						t.Fatal(err)
					}
				}
				s.checkPosition(t, s.at(successor), 3, true)
				time.Sleep(time.Second)
				for _, position := range tc.order {
					s.checkPosition(t, s.outside, position, true)
				}
			})
		})
	}
}

// TestEndedBatchShowsChunkOfOtherKeeper guards against a result that had been read being
// missing for good: a keeper that was believed dead writes the last chunk, and the one that
// took over learns nothing of it once the batch has ended.
func TestEndedBatchShowsChunkOfOtherKeeper(t *testing.T) {
	for _, after := range []time.Duration{time.Second, uncertainPeriod + time.Second, defaultLifetime + time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPositionSite(t, "i0", "i1")
				owner, successor := s.accept(t)
				s.finish(owner, "i0")
				s.setDead(owner, true)
				time.Sleep(time.Second)
				s.finish(owner, "i1")
				if err := s.at(successor).End(t.Context(), "s"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(after)
				s.checkPosition(t, s.at(owner), 1, true)
				s.checkPosition(t, s.at(successor), 1, true)
			})
		})
	}
}

// addChunk stores a chunk with one result as another keeper would.
func (s *positionSite) addChunk(t *testing.T, n int, item, keeper string) {
	t.Helper()
	spec, err := json.Marshal(chunk{First: n, Results: []Result{{Item: item}}, Keeper: keeper})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.store.Create(t.Context(), kindChunks, numberedName("s", n), spec); err != nil {
		t.Fatal(err)
	}
}

// TestEmptyPageCountsFromWhenStoreWasAsked guards against a slow answer that there is no
// further result being trusted for as long as a quick one: another keeper stores the result
// meanwhile, and it is read there.
func TestEmptyPageCountsFromWhenStoreWasAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1")
		owner, other := s.accept(t)
		s.finish(owner, "i0")
		k := s.at(owner)
		s.store.delay.Store(int64(time.Second))
		k.mu.Lock()
		k.jobs["s"].tail.share()
		k.mu.Unlock()
		go func() {
			if _, err := k.ReadLocal(t.Context(), "s", 1, 0); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(time.Millisecond)
		s.addChunk(t, 1, "i1", other)
		time.Sleep(1100 * time.Millisecond)
		s.checkPosition(t, k, 1, true)
	})
}

// TestFirstReadAfterSuspensionChecksStore guards against an empty page from a host that was
// suspended while its batch went on elsewhere, and that has not noticed the suspension yet.
func TestFirstReadAfterSuspensionChecksStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1")
		owner, other := s.accept(t)
		s.finish(owner, "i0")
		s.addChunk(t, 1, "i1", other)
		s.suspended.Store(int64(10 * time.Second))
		s.checkPosition(t, s.at(owner), 1, true)
	})
}

// TestEmptyPageOfOlderReleaseIsChecked guards against a result that had been read being
// missing while a fleet is upgraded: hosts of a release that returns empty pages too early
// are asked by hosts of this one until they are replaced.
func TestEmptyPageOfOlderReleaseIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1")
		owner, _ := s.accept(t)
		s.finish(owner, "i0", "i1")
		s.setOlder(owner)
		s.checkPosition(t, s.outside, 1, true)
	})
}
