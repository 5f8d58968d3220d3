package mirror

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

type (
	// history is a store that remembers all changes, so that lists can be stale.
	history struct {
		object.Store
		changes []object.Change
		// hidden holds the removals of objects that came and went between two lists of
		// one node. In use an entry lives longer than the pause between two lists.
		hidden map[uint64]bool
		// lag is by how many revisions the next stale list is behind.
		lag uint64
	}

	// outbox keeps the broadcasts of one mirror.
	outbox struct{ sent [][]Update }
)

func (o *outbox) Rank() (rank, nodes int)    { return 0, 3 }
func (o *outbox) Broadcast(updates []Update) { o.sent = append(o.sent, updates) }

func (h *history) revision() uint64 { return uint64(len(h.changes)) }

func (h *history) change(name string, removed bool) {
	h.changes = append(h.changes, object.Change{Entry: object.Entry{Name: name, Revision: h.revision() + 1}, Removed: removed})
}

// newest returns the newest change of each object up to a revision.
func (h *history) newest(upTo uint64) map[string]object.Change {
	newest := make(map[string]object.Change)
	for _, c := range h.changes[:upTo] {
		newest[c.Entry.Name] = c
	}
	return newest
}

func (h *history) List(_ context.Context, _ string, freshness object.Freshness) ([]object.Entry, uint64, error) {
	upTo := h.revision()
	if freshness == object.Stale {
		upTo -= min(upTo, h.lag)
	}
	var entries []object.Entry
	for _, c := range h.newest(upTo) {
		if !c.Removed {
			entries = append(entries, c.Entry)
		}
	}
	return entries, upTo, nil
}

// removedSince reports whether an object was removed at a revision or after it.
func (h *history) removedSince(name string, revision uint64) bool {
	return slices.ContainsFunc(h.changes, func(c object.Change) bool {
		return c.Removed && c.Entry.Name == name && c.Entry.Revision >= revision
	})
}

// hide records the removals after a revision of objects that were created after it.
func (h *history) hide(after uint64) {
	before := h.newest(after)
	for _, c := range h.changes[after:] {
		if held, ok := before[c.Entry.Name]; c.Removed && (!ok || held.Removed) {
			h.hidden[c.Entry.Revision] = true
		}
	}
}

// since returns the newest change of each object after a revision, as a watch does.
func (h *history) since(after uint64) []object.Change {
	var changes []object.Change
	for _, c := range h.newest(h.revision()) {
		if c.Entry.Revision > after {
			changes = append(changes, c)
		}
	}
	return changes
}

// TestMissedChangeIsNeverClaimed lists, watches, restarts and passes updates on between
// three nodes, in random order. Updates are lost, overtake each other and are merged in any
// order. A
// node that counts its copy as complete up to a revision must know each change up to it.
func TestMissedChangeIsNeverClaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		store := &history{hidden: make(map[uint64]bool)}
		var mirrors [nodes]*Mirror
		var sent [nodes]*outbox
		var inbox [nodes][][]Update
		var listedAt [nodes]uint64
		start := func(i int) {
			sent[i] = &outbox{}
			inbox[i] = nil
			mirrors[i] = New(store, sent[i], time.Second, zap.NewNop(), Kind{Name: kind, Apply: func(object.Change, bool) {}})
		}
		for i := range nodes {
			start(i)
		}
		node := func(t *rapid.T) int { return rapid.IntRange(0, nodes-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				store.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "removed"))
			},
			"restart": func(t *rapid.T) { start(node(t)) },
			"list": func(t *rapid.T) {
				i := node(t)
				m := mirrors[i]
				store.lag = rapid.Uint64Range(0, 4).Draw(t, "lag")
				c := m.kinds[kind]
				if c.listed {
					store.hide(max(listedAt[i], c.revision))
					listedAt[i] = store.revision()
				} else {
					listedAt[i] = store.revision() - min(store.revision(), store.lag)
				}
				m.listKinds(context.Background(), rapid.Bool().Draw(t, "broadcast"))
			},
			"watch": func(t *rapid.T) {
				i := node(t)
				if !mirrors[i].Listed(kind) {
					return
				}
				if update := mirrors[i].applyWatch(kind, store.since(mirrors[i].kinds[kind].revision), store.revision(), false); len(update.Changes) > 0 {
					sent[i].Broadcast([]Update{update})
				}
			},
			"deliver": func(t *rapid.T) {
				i := node(t)
				if len(inbox[i]) == 0 {
					return
				}
				n := rapid.IntRange(0, len(inbox[i])-1).Draw(t, "update")
				mirrors[i].Apply(inbox[i][n])
				inbox[i] = append(inbox[i][:n:n], inbox[i][n+1:]...)
			},
			"lose": func(t *rapid.T) {
				i := node(t)
				if len(inbox[i]) == 0 {
					return
				}
				inbox[i] = inbox[i][1:]
			},
			"merge": func(t *rapid.T) {
				i := node(t)
				if len(inbox[i]) < 2 {
					return
				}
				first := rapid.IntRange(0, len(inbox[i])-1).Draw(t, "first")
				second := rapid.IntRange(0, len(inbox[i])-2).Draw(t, "second")
				if second >= first {
					second++
				}
				merged := Merge(inbox[i][first], inbox[i][second])
				inbox[i][first] = merged
				inbox[i] = slices.Delete(slices.Clone(inbox[i]), second, second+1)
			},
			"": func(t *rapid.T) {
				for i, m := range mirrors {
					for _, updates := range sent[i].sent {
						for j := range inbox {
							if j != i {
								inbox[j] = append(inbox[j], updates)
							}
						}
					}
					sent[i].sent = nil
					assertKnows(t, m.kinds[kind], store)
				}
			},
		})
	})
}

// assertKnows fails the test if a copy lacks a change up to the revision to which it
// counts as complete.
func assertKnows(t *rapid.T, c *kindCopy, store *history) {
	t.Helper()
	if !c.listed {
		return
	}
	for name, change := range store.newest(min(c.revision, store.revision())) {
		revision := change.Entry.Revision
		held, exists := c.revisions[name]
		if exists && held >= revision || !exists && store.removedSince(name, revision) || change.Removed && store.hidden[revision] {
			continue
		}
		t.Fatalf("complete up to %d, but %s changed at %d (removed: %t) and is held at %d, removed at %d",
			c.revision, name, revision, change.Removed, held, c.removals[name])
	}
}

// TestObjectThatCameAndWentIsNoticed checks that a node which has missed a removal lists,
// although the node whose update it gets next has never seen the object.
func TestObjectThatCameAndWentIsNoticed(t *testing.T) {
	store := &history{hidden: make(map[uint64]bool)}
	out := &outbox{}
	lister := New(store, out, time.Second, zap.NewNop(), Kind{Name: kind, Apply: func(object.Change, bool) {}})
	holder := New(store, &outbox{}, time.Second, zap.NewNop(), Kind{Name: kind, Apply: func(object.Change, bool) {}})
	store.change("stays", false)
	for _, m := range []*Mirror{lister, holder} {
		m.listKinds(t.Context(), true)
	}
	store.change("goes", false)
	holder.Apply([]Update{{Kind: kind, Previous: 1, Revision: 2, Changes: store.since(1)}})
	store.change("goes", true)
	lister.listKinds(t.Context(), true)
	holder.Apply(out.sent[0])
	check.Equal(t, "missing", holder.kinds[kind].aheadTo > 0, true)
	holder.listKinds(t.Context(), false)
	check.Equal(t, "missing after a list", holder.kinds[kind].aheadTo > 0, false)
	check.Equal(t, "objects", holder.kinds[kind].revisions, map[string]uint64{"stays": 1})
	lister.listKinds(t.Context(), true)
	holder.Apply(out.sent[1])
	check.Equal(t, "missing with the same objects", holder.kinds[kind].aheadTo > 0, false)
}

func TestMergeKeepsGaps(t *testing.T) {
	for name, tc := range map[string]struct {
		earlier, later Update
		previous       uint64
	}{
		"in order":            {Update{Previous: 5, Revision: 7}, Update{Previous: 7, Revision: 9}, 5},
		"overlapping":         {Update{Previous: 5, Revision: 8}, Update{Previous: 7, Revision: 9}, 5},
		"overtaken":           {Update{Previous: 7, Revision: 9}, Update{Previous: 5, Revision: 7}, 5},
		"one between missing": {Update{Previous: 5, Revision: 7}, Update{Previous: 8, Revision: 9}, 8},
		"missing, overtaken":  {Update{Previous: 8, Revision: 9}, Update{Previous: 5, Revision: 7}, 8},
		"nothing changed":     {Update{Previous: 5, Revision: 7}, Update{Previous: 6, Revision: 30}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			merged := Merge([]Update{tc.earlier}, []Update{tc.later})
			check.Equal(t, "previous", merged[0].Previous, tc.previous)
			check.Equal(t, "revision", merged[0].Revision, max(tc.earlier.Revision, tc.later.Revision))
		})
	}
}

// partlyFailing is a store whose lists fail, and whose watches of the first kind are
// silent, while it is set.
type partlyFailing struct {
	*memory.Store
	failing atomic.Bool
}

func (s *partlyFailing) List(ctx context.Context, kind string, freshness object.Freshness) ([]object.Entry, uint64, error) {
	if s.failing.Load() {
		return nil, 0, errors.New("unavailable")
	}
	return s.Store.List(ctx, kind, freshness)
}

func (s *partlyFailing) Watch(ctx context.Context, name string, after uint64, wait time.Duration) ([]object.Change, uint64, error) {
	if name == kind {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.Store.Watch(ctx, name, after, wait)
}

// TestWatchesDoNotReplaceLists checks that a node lists for itself if all it hears from
// its peers are changes of another kind.
func TestWatchesDoNotReplaceLists(t *testing.T) {
	const other = "endpoints"
	store := memory.New()
	put(t, store, "main", "1")
	failing := &partlyFailing{Store: store}
	fleet := &testFleet{}
	ctx, cancel := context.WithCancel(t.Context())
	var recorders []*recorder
	done := make(chan struct{}, 3)
	for rank, s := range []object.Store{failing, store} {
		r := newRecorder()
		recorders = append(recorders, r)
		fleet.mirrors = append(fleet.mirrors, New(s, fleetPeer{fleet, rank}, bound, zap.NewNop(),
			Kind{Name: kind, Apply: r.apply}, Kind{Name: other, Apply: func(object.Change, bool) {}}))
	}
	for _, m := range fleet.mirrors {
		go func() {
			_ = m.Run(ctx)
			done <- struct{}{}
		}()
	}
	go func() {
		defer func() { done <- struct{}{} }()
		for n := 0; ctx.Err() == nil; n++ {
			_, _ = store.Create(ctx, other, fmt.Sprint(n), []byte("{}"))
			time.Sleep(20 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		for range 3 {
			<-done
		}
	})
	recorders[1].await(t, map[string]string{"main": "1"}, bound)
	failing.failing.Store(true)
	put(t, store, "main", "2")
	recorders[1].await(t, map[string]string{"main": "2"}, bound)
}
