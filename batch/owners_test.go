package batch

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
)

// TestResubmittedBatchKeepsPositions guards against a result that had been read being missing:
// a submission is repeated at a host that does not know the batch, after another host has
// taken it over from the one that gets the offer.
func TestResubmittedBatchKeepsPositions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1", "i2")
		owner, successor := s.accept(t)
		s.finish(owner, "i0")
		s.setDead(owner, true)
		time.Sleep(time.Second)
		s.finish(successor, "i1")
		s.setDead(owner, false)
		time.Sleep(time.Second)
		s.checkPosition(t, s.at(owner), 1, true)
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) }
		other := startKeeperWith(t, "other", clusterPeers{cluster: s.cluster, name: "other", outside: true}, s.store, &instantEngine{}, clock)
		if stored, ok := other.Accept(t.Context(), submissionOf(t, "s", s.items...)).(Stored); !ok || !stored.Before {
			t.Fatal("batch not stored before")
		}
		for position := range 2 {
			s.checkPosition(t, s.at(owner), position, true)
		}
	})
}

// TestLateAcceptanceStartsFromStoredResults guards against a result that had been read being
// missing: the host that holds the offer of a batch learns of its acceptance only after another
// one has taken the batch over.
func TestLateAcceptanceStartsFromStoredResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1")
		// The suspended host does not list the batch either.
		store, ok := s.store.Store.(*memory.Store)
		if !ok {
			t.Fatal("unexpected store")
		}
		store.SetFaults(memory.Faults{FailLists: kindHeads})
		submission := submissionOf(t, "s", s.items...)
		if !s.at("a").HoldOffer("s", submission.Host, submission.Path, submission.Raw) {
			t.Fatal("offer not held")
		}
		s.setDead("a", true)
		parts, err := s.at("b").storeBody(t.Context(), submission)
		if err != nil {
			t.Fatal(err)
		}
		head := Head{
			ID: "s", Host: submission.Host, Path: submission.Path, Model: submission.Model, Items: len(s.items),
			Keeper: "a", Incarnation: 1, AcceptedMs: time.Now().UnixMilli(), BodyParts: parts,
		}
		spec, err := json.Marshal(head)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.store.Create(t.Context(), kindHeads, "s", spec); err != nil {
			t.Fatal(err)
		}
		s.at("b").Apply(Notification{Head: head})
		time.Sleep(time.Second)
		s.finish("b", "i0")
		s.checkPosition(t, s.at("b"), 0, true)
		time.Sleep(2 * time.Second)
		s.at("a").Apply(Notification{Head: head})
		s.checkPosition(t, s.at("a"), 0, true)
	})
}

// TestHandOverOfUnknownSuccessorSharesBatch guards against a result that had been read being
// missing: a host that took a batch over leaves before it could tell the previous owner, which
// was only unreachable.
func TestHandOverOfUnknownSuccessorSharesBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1", "i2")
		owner, successor := s.accept(t)
		s.finish(owner, "i0")
		s.setDead(owner, true)
		time.Sleep(time.Second)
		s.finish(successor, "i1")
		s.checkPosition(t, s.at(successor), 1, true)
		time.Sleep(time.Second)
		s.setDead(successor, true)
		s.setDead(owner, false)
		ctx, cancel := context.WithTimeout(t.Context(), testLimit)
		defer cancel()
		s.at(successor).Leave(ctx)
		time.Sleep(time.Second)
		s.checkPosition(t, s.at(owner), 1, true)
	})
}

// TestSuspensionIsNoticedByFirstRead guards against a result that had been read being missing: a
// host that was suspended is asked before its periodic check notices the pause.
func TestSuspensionIsNoticedByFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1")
		s.setDead("a", true)
		s.setDead("b", true)
		began := time.Now()
		var suspended atomic.Int64
		clock := func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) }
		engine := &instantEngine{held: make(map[string]chan struct{})}
		engine.hold("i0")
		engine.hold("i1")
		k := startKeeperWith(t, "c", clusterPeers{cluster: s.cluster, name: "c"}, s.store, engine, clock)
		submission := submissionOf(t, "s", s.items...)
		if _, ok := k.Accept(t.Context(), submission).(Stored); !ok {
			t.Fatal("batch not accepted")
		}
		time.Sleep(time.Second)
		if _, err := k.ReadLocal(t.Context(), "s", 0, 0); err != nil {
			t.Fatal(err)
		}
		spec, err := json.Marshal(chunk{Results: []Result{{Item: "i0"}}, Keeper: "a"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.store.Create(t.Context(), kindChunks, numberedName("s", 0), spec); err != nil {
			t.Fatal(err)
		}
		suspended.Store(int64(5 * time.Second))
		s.checkPosition(t, k, 0, true)
	})
}

// TestOwnerTakenForDeadShowsStoredResults guards against a result that had been read being
// missing: others can't reach the owner, which notices nothing, and one of them takes its batch
// over.
func TestOwnerTakenForDeadShowsStoredResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1", "i2")
		owner, successor := s.accept(t)
		s.finish(owner, "i0")
		s.setDead(owner, true)
		time.Sleep(time.Second)
		s.finish(successor, "i1")
		s.checkPosition(t, s.at(successor), 1, true)
		time.Sleep(time.Second)
		s.checkPosition(t, s.at(owner), 1, true)
	})
}

// TestOnlyOwnerAnswersWithoutStore guards against polls that fail while the store is unavailable,
// though the owner knows of no other one.
func TestOnlyOwnerAnswersWithoutStore(t *testing.T) {
	for name, faults := range map[string]memory.Faults{"refuses": {Refuse: true}, "does not answer": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPositionSite(t, "i0", "i1")
				owner, _ := s.accept(t)
				s.finish(owner, "i0")
				store, ok := s.store.Store.(*memory.Store)
				if !ok {
					t.Fatal("unexpected store")
				}
				store.SetFaults(faults)
				began := time.Now()
				s.checkPosition(t, s.at(owner), 1, false)
				if took := time.Since(began); took > peerTimeout {
					t.Errorf("answered after %v, readers at other hosts wait %v", took, peerTimeout)
				}
				store.SetFaults(memory.Faults{})
			})
		})
	}
}

// partialView is a host's view of the others in which some are not known yet, and its
// notifications take some time.
type partialView struct {
	clusterPeers
	unknown *atomic.Value
}

func (p partialView) Keepers() []string {
	var names []string
	for _, name := range p.ActiveNames() {
		if name != p.unknown.Load() {
			names = append(names, name)
		}
	}
	return names
}

func (p partialView) Notify(notification Notification) {
	time.AfterFunc(5*time.Millisecond, func() { p.clusterPeers.Notify(notification) })
}

// TestCrossingTakeoversKeepAnOwner guards against a batch that no host works on any more: two
// hosts take it over at the same time, and their notifications of that cross.
func TestCrossingTakeoversKeepAnOwner(t *testing.T) {
	for _, id := range []string{"s", "s1", "s2", "s3", "s4"} {
		t.Run(id, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, store, began := newCluster(), memory.New(), time.Now()
				clock := func() time.Duration { return time.Since(began) }
				unknown := map[string]*atomic.Value{"a": {}, "b": {}, "c": {}}
				engine := &instantEngine{held: make(map[string]chan struct{})}
				engine.hold("i0")
				for name, hidden := range unknown {
					k := startKeeperWith(t, name, partialView{clusterPeers{cluster: c, name: name}, hidden}, store, engine, clock)
					c.mu.Lock()
					c.keepers[name] = k
					c.mu.Unlock()
				}
				if _, ok := c.at("a").Accept(t.Context(), submissionOf(t, id, "i0")).(Stored); !ok {
					t.Fatal("batch not accepted")
				}
				time.Sleep(time.Second)
				works := func(name string) bool {
					_, err := c.at(name).ReadLocal(t.Context(), id, 0, 0)
					return err == nil
				}
				owner, others := "", []string{}
				for _, name := range []string{"a", "b", "c"} {
					if works(name) {
						owner = name
					} else {
						others = append(others, name)
					}
				}
				// Each of the others does not know of the one that has just joined.
				unknown[others[0]].Store(others[1])
				unknown[others[1]].Store(others[0])
				c.setDead(owner, true)
				time.Sleep(600 * time.Millisecond)
				unknown[others[0]].Store("")
				unknown[others[1]].Store("")
				time.Sleep(5 * time.Second)
				if !works(others[0]) && !works(others[1]) {
					t.Error("no host works on the batch")
				}
			})
		})
	}
}
