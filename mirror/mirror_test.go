package mirror

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

const kind = "config"

// testFleet is a fleet of mirrors that send updates to each other.
type testFleet struct {
	mu          sync.Mutex
	mirrors     []*Mirror
	partitioned map[int]bool
	// drop is the number of broadcasts that each mirror misses next.
	drop map[int]int
}

// fleetPeer is one mirror's access to its peers.
type fleetPeer struct {
	fleet *testFleet
	rank  int
}

func (p fleetPeer) Rank() (rank, nodes int) { return p.rank, 2 }

func (p fleetPeer) Broadcast(updates []Update) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for i, m := range p.fleet.mirrors {
		if p.fleet.drop[i] > 0 {
			p.fleet.drop[i]--
			continue
		}
		if i != p.rank && !p.fleet.partitioned[i] && !p.fleet.partitioned[p.rank] {
			m.Apply(updates)
		}
	}
}

// recorder collects what one mirror applied.
type recorder struct {
	mu      sync.Mutex
	specs   map[string]string
	applied chan struct{}
}

func newRecorder() *recorder {
	return &recorder{specs: make(map[string]string), applied: make(chan struct{}, 100)}
}

func (r *recorder) apply(change object.Change, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.Removed {
		delete(r.specs, change.Entry.Name)
	} else {
		r.specs[change.Entry.Name] = string(change.Entry.Spec)
	}
	r.applied <- struct{}{}
}

// await fails the test unless the mirror holds the objects in time.
func (r *recorder) await(t *testing.T, want map[string]string, within time.Duration) {
	t.Helper()
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		r.mu.Lock()
		diff := cmp.Diff(want, r.specs)
		r.mu.Unlock()
		if diff == "" {
			return
		}
		select {
		case <-r.applied:
		case <-timer.C:
			t.Fatalf("not within %v (-want +got):\n%s", within, diff)
		}
	}
}

func startFleet(t *testing.T, store object.Store) (*testFleet, []*recorder) {
	fleet := &testFleet{partitioned: make(map[int]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var recorders []*recorder
	for rank := range 2 {
		r := newRecorder()
		recorders = append(recorders, r)
		fleet.mirrors = append(fleet.mirrors, New(store, fleetPeer{fleet, rank}, bound, zap.NewNop(), Kind{Name: kind, Apply: r.apply}))
	}
	for _, m := range fleet.mirrors {
		running.Go(func() { _ = m.Run(ctx) })
	}
	return fleet, recorders
}

func put(t *testing.T, s *memory.Store, name, spec string) {
	t.Helper()
	_, err := s.Replace(t.Context(), kind, name, []byte(spec), 0)
	if err == object.ErrNotFound {
		_, err = s.Create(t.Context(), kind, name, []byte(spec))
	}
	if err != nil {
		t.Fatal(err)
	}
}

// bound is how soon a change must be in force everywhere.
const bound = 2 * time.Second

func TestChangesReachAllNodes(t *testing.T) {
	s := memory.New()
	put(t, s, "main", "1")
	_, recorders := startFleet(t, s)
	for _, node := range recorders {
		node.await(t, map[string]string{"main": "1"}, bound)
	}
	put(t, s, "main", "2")
	for _, node := range recorders {
		node.await(t, map[string]string{"main": "2"}, bound)
	}
	if err := s.Delete(t.Context(), kind, "main"); err != nil {
		t.Fatal(err)
	}
	for _, node := range recorders {
		node.await(t, map[string]string{}, bound)
	}
}

// TestWatchesWithoutEvents guards against relying on watches alone, as in the
// fault platform_compact: the watches deliver no events, then the store drops its
// history. Without lists, a change would take effect only when the wait of the
// watches ends, after watchWait.
func TestWatchesWithoutEvents(t *testing.T) {
	s := memory.New()
	put(t, s, "main", "1")
	_, recorders := startFleet(t, s)
	recorders[0].await(t, map[string]string{"main": "1"}, bound)
	s.SetFaults(memory.Faults{NoChanges: true})
	put(t, s, "main", "2")
	for _, node := range recorders {
		node.await(t, map[string]string{"main": "2"}, bound)
	}
	s.Compact()
	s.SetFaults(memory.Faults{})
	put(t, s, "main", "3")
	for _, node := range recorders {
		node.await(t, map[string]string{"main": "3"}, bound)
	}
}

func TestPartitionedNodeLists(t *testing.T) {
	s := memory.New()
	put(t, s, "main", "1")
	fleet, recorders := startFleet(t, s)
	recorders[1].await(t, map[string]string{"main": "1"}, bound)
	fleet.mu.Lock()
	fleet.partitioned[1] = true
	fleet.mu.Unlock()
	put(t, s, "main", "2")
	recorders[1].await(t, map[string]string{"main": "2"}, bound)
}

func TestListPause(t *testing.T) {
	for _, nodes := range []int{1, 8, 76} {
		for rank := range nodes {
			if pause := ListPause(bound, rank, nodes); pause > bound {
				t.Errorf("node %d of %d lists after %v, later than the bound", rank, nodes, pause)
			}
		}
	}
}

// TestNodeStartedDuringOutageLists guards against a node that never lists: it
// starts while the store is unavailable and then receives updates, which don't
// hold the objects that have not changed since its start.
func TestNodeStartedDuringOutageLists(t *testing.T) {
	s := memory.New()
	put(t, s, "main", "1")
	s.SetFaults(memory.Faults{Refuse: true})
	before := s.Calls()
	node := newRecorder()
	m := New(s, fleetPeer{&testFleet{}, 1}, bound, zap.NewNop(), Kind{Name: kind, Apply: node.apply})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { _ = m.Run(ctx) })
	running.Go(func() {
		for ctx.Err() == nil {
			m.Apply([]Update{{Kind: kind, Revision: 9}})
			time.Sleep(50 * time.Millisecond)
		}
	})
	for s.Calls() == before {
		time.Sleep(time.Millisecond)
	}
	s.SetFaults(memory.Faults{})
	node.await(t, map[string]string{"main": "1"}, bound)
}

func TestStaleUpdatesAreIgnored(t *testing.T) {
	node := newRecorder()
	m := New(memory.New(), fleetPeer{&testFleet{}, 1}, bound, zap.NewNop(), Kind{Name: kind, Apply: node.apply})
	entry := func(revision uint64, spec string) object.Entry {
		return object.Entry{Name: "main", Revision: revision, Spec: []byte(spec)}
	}
	apply := func(revision uint64, spec string, removed bool) {
		m.Apply([]Update{{Kind: kind, Revision: revision, Changes: []object.Change{{Entry: entry(revision, spec), Removed: removed}}}})
	}
	apply(5, "new", false)
	apply(4, "old", false)
	node.await(t, map[string]string{"main": "new"}, bound)
	apply(4, "", true)
	node.await(t, map[string]string{"main": "new"}, bound)
	apply(6, "", true)
	apply(5, "new", false)
	node.await(t, map[string]string{}, bound)
	apply(7, "again", false)
	node.await(t, map[string]string{"main": "again"}, bound)
}

// TestListedNeedsOwnList checks that updates of peers alone don't make a copy count
// as complete: they hold only changes.
func TestListedNeedsOwnList(t *testing.T) {
	store := memory.New()
	m := New(store, fleetPeer{fleet: &testFleet{}, rank: 1}, time.Second, zap.NewNop(), Kind{Name: kind, Apply: func(object.Change, bool) {}})
	m.Apply([]Update{{Kind: kind, Revision: 9, Changes: []object.Change{{Entry: object.Entry{Name: "a", Revision: 9}}}}})
	if m.Listed(kind) {
		t.Error("listed after an update of a peer")
	}
	if !m.listKinds(t.Context(), true) || !m.Listed(kind) {
		t.Error("not listed after a list")
	}
	if m.Listed("other") {
		t.Error("a kind that is not mirrored is listed")
	}
}

// TestMerge checks that merged updates hold the newest change of each object, in an
// order in which they can be applied.
func TestMerge(t *testing.T) {
	change := func(name string, revision uint64, removed bool) object.Change {
		return object.Change{Entry: object.Entry{Name: name, Revision: revision}, Removed: removed}
	}
	earlier := []Update{{Kind: "a", Revision: 5, Unavailable: true, Changes: []object.Change{change("x", 4, false), change("y", 5, false)}}}
	later := []Update{
		{Kind: "a", Revision: 7, Changes: []object.Change{change("x", 7, true)}},
		{Kind: "b", Revision: 6, Changes: []object.Change{change("z", 6, false)}},
	}
	want := []Update{
		{Kind: "a", Revision: 7, Unavailable: true, Changes: []object.Change{change("y", 5, false), change("x", 7, true)}},
		{Kind: "b", Revision: 6, Changes: []object.Change{change("z", 6, false)}},
	}
	if diff := cmp.Diff(want, Merge(earlier, later)); diff != "" {
		t.Errorf("merged (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(later, Merge(nil, later)); diff != "" {
		t.Errorf("merged with nothing (-want +got):\n%s", diff)
	}
}

// update returns an update of one changed object.
func update(name string, previous, revision uint64) []Update {
	return []Update{{Kind: kind, Previous: previous, Revision: revision, Changes: []object.Change{
		{Entry: object.Entry{Name: name, Revision: revision, Spec: []byte(name)}},
	}}}
}

// TestMissedUpdateIsListed drops an update to a node that gets the next ones in time: it
// must notice that a change is missing and list, within the time that a change may take
// to reach all nodes. Each update alone holds only the changes since the last.
func TestMissedUpdateIsListed(t *testing.T) {
	const bound = 2 * time.Second
	store := memory.New()
	put(t, store, "first", "1")
	fleet := &testFleet{drop: make(map[int]int)}
	recorders := []*recorder{newRecorder(), newRecorder()}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	for i, r := range recorders {
		m := New(store, fleetPeer{fleet: fleet, rank: i}, bound, zap.NewNop(), Kind{Name: kind, Apply: r.apply})
		fleet.mu.Lock()
		fleet.mirrors = append(fleet.mirrors, m)
		fleet.mu.Unlock()
		tasks.Go(func() { _ = m.Run(ctx) })
	}
	defer tasks.Wait()
	defer cancel()
	for _, r := range recorders {
		r.await(t, map[string]string{"first": "1"}, bound)
	}
	fleet.mu.Lock()
	fleet.drop[1] = 1
	fleet.mu.Unlock()
	put(t, store, "missed", "2")
	recorders[0].await(t, map[string]string{"first": "1", "missed": "2"}, bound)
	recorders[1].await(t, map[string]string{"first": "1", "missed": "2"}, bound)
}

// TestOvertakingUpdates checks when a copy counts as incomplete.
func TestOvertakingUpdates(t *testing.T) {
	for name, tc := range map[string]struct {
		updates [][]Update
		missing bool
	}{
		"in order":                    {[][]Update{update("a", 5, 7), update("b", 7, 9)}, false},
		"overtaken":                   {[][]Update{update("b", 7, 9), update("a", 5, 7)}, false},
		"two overtake one":            {[][]Update{update("b", 7, 9), update("c", 9, 11), update("a", 5, 7)}, false},
		"one is missing":              {[][]Update{update("b", 7, 9)}, true},
		"the first of two is missing": {[][]Update{update("b", 7, 9), update("c", 9, 11)}, true},
		"nothing has changed":         {[][]Update{{{Kind: kind, Previous: 5, Revision: 40}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(memory.New(), fleetPeer{fleet: &testFleet{}, rank: 1}, time.Second, zap.NewNop(), Kind{Name: kind, Apply: func(object.Change, bool) {}})
			m.applyList(kind, []object.Entry{{Name: "z", Revision: 5}}, 5, false)
			for _, u := range tc.updates {
				m.Apply(u)
			}
			if got := m.kinds[kind].aheadTo > 0; got != tc.missing {
				t.Errorf("missing: %t, want %t", got, tc.missing)
			}
		})
	}
}

// watchCounter counts the watches of a store.
type watchCounter struct {
	*memory.Store
	watches atomic.Int64
}

func (s *watchCounter) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]object.Change, uint64, error) {
	s.watches.Add(1)
	return s.Store.Watch(ctx, kind, after, wait)
}

// manyNodes is a fleet of 18 nodes of which this one lists.
type manyNodes struct{}

func (manyNodes) Rank() (rank, nodes int) { return 0, 18 }
func (manyNodes) Broadcast([]Update)      {}

// TestWatchesOfManyChanges replays entries that change every 5 ms, as those of a large
// fleet do: the calls of the store must not grow with the changes, and the last change
// must arrive soon.
func TestWatchesOfManyChanges(t *testing.T) {
	store, r := &watchCounter{Store: memory.New()}, newRecorder()
	r.applied = make(chan struct{}, 10000)
	put(t, store.Store, "e0", "0")
	m := New(store, manyNodes{}, 4*time.Second, zap.NewNop(), Kind{Name: kind, Apply: r.apply})
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = m.Run(ctx) })
	defer tasks.Wait()
	defer cancel()
	r.await(t, map[string]string{"e0": "0"}, time.Second)
	const period = 1500 * time.Millisecond
	n := 0
	for start := time.Now(); time.Since(start) < period; time.Sleep(5 * time.Millisecond) {
		n++
		put(t, store.Store, "e0", fmt.Sprint(n))
	}
	r.await(t, map[string]string{"e0": fmt.Sprint(n)}, 2*WatchPause(18))
	if got, limit := store.watches.Load(), int64(period/WatchPause(18))+3; got > limit {
		t.Errorf("%d watches for %d changes, want up to %d", got, n, limit)
	}
}

// A large object that no node can use must not fill the updates to the peers.
func TestLargeSpecsAreNotPassedOn(t *testing.T) {
	store := memory.New()
	put(t, store, "a", "small")
	sent := make(chan []Update, 100)
	applied := newRecorder()
	m := New(store, capture{sent}, bound, zap.NewNop(), Kind{Name: kind, Apply: applied.apply, MaxBytes: 100})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = m.Run(ctx) })
	defer running.Wait()
	defer cancel()
	applied.await(t, map[string]string{"a": "small"}, bound)
	put(t, store, "a", strings.Repeat("a", 101))
	put(t, store, "b", strings.Repeat("b", 100))
	want := map[string]string{"a": "", "b": strings.Repeat("b", 100)}
	applied.await(t, want, bound)
	peer := newRecorder()
	receiver := New(store, capture{sent}, bound, zap.NewNop(), Kind{Name: kind, Apply: peer.apply})
	for len(want) != len(peer.specs) {
		select {
		case updates := <-sent:
			receiver.Apply(updates)
		case <-time.After(bound):
			t.Fatalf("the peer got %v", peer.specs)
		}
	}
	peer.await(t, want, 0)
}

// capture is a fleet of one node, whose updates it collects.
type capture struct{ sent chan []Update }

func (capture) Rank() (rank, nodes int) { return 0, 1 }

func (c capture) Broadcast(updates []Update) { c.sent <- updates }
