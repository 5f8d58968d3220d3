package mirror

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/object"
)

const kind = "config"

// group is a fleet of mirrors that pass news on to each other.
type group struct {
	mu      sync.Mutex
	mirrors []*Mirror
	cut     map[int]bool
}

type seat struct {
	group *group
	rank  int
}

func (s seat) Rank() (rank, nodes int) { return s.rank, 2 }

func (s seat) Pass(news []News) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for i, m := range s.group.mirrors {
		if i != s.rank && !s.group.cut[i] && !s.group.cut[s.rank] {
			m.Take(news)
		}
	}
}

// seen collects what one mirror applied.
type seen struct {
	mu    sync.Mutex
	specs map[string]string
	news  chan struct{}
}

func newSeen() *seen { return &seen{specs: make(map[string]string), news: make(chan struct{}, 100)} }

func (s *seen) apply(change object.Change, _ bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.Removed {
		delete(s.specs, change.Entry.Name)
	} else {
		s.specs[change.Entry.Name] = string(change.Entry.Spec)
	}
	s.news <- struct{}{}
}

// await waits until the mirror holds the objects.
func (s *seen) await(t *testing.T, want map[string]string, within time.Duration) {
	t.Helper()
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		s.mu.Lock()
		diff := cmp.Diff(want, s.specs)
		s.mu.Unlock()
		if diff == "" {
			return
		}
		select {
		case <-s.news:
		case <-timer.C:
			t.Fatalf("not within %v (-want +got):\n%s", within, diff)
		}
	}
}

func start(t *testing.T, store object.Store) (*group, []*seen) {
	g := &group{cut: make(map[int]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var all []*seen
	for rank := range 2 {
		s := newSeen()
		all = append(all, s)
		g.mirrors = append(g.mirrors, New(store, seat{g, rank}, bound, zap.NewNop(), Kind{Name: kind, Apply: s.apply}))
	}
	for _, m := range g.mirrors {
		running.Go(func() { _ = m.Run(ctx) })
	}
	return g, all
}

func put(t *testing.T, s *shelf.Shelf, name, spec string) {
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
	s := shelf.New()
	put(t, s, "main", "1")
	_, all := start(t, s)
	for _, node := range all {
		node.await(t, map[string]string{"main": "1"}, bound)
	}
	put(t, s, "main", "2")
	for _, node := range all {
		node.await(t, map[string]string{"main": "2"}, bound)
	}
	if err := s.Delete(t.Context(), kind, "main"); err != nil {
		t.Fatal(err)
	}
	for _, node := range all {
		node.await(t, map[string]string{}, bound)
	}
}

// TestWatchesThatHearNothing replays platform_compact: watches hear nothing,
// then the history is gone. Watches alone took until their wait of 10 s ended.
func TestWatchesThatHearNothing(t *testing.T) {
	s := shelf.New()
	put(t, s, "main", "1")
	_, all := start(t, s)
	all[0].await(t, map[string]string{"main": "1"}, bound)
	s.SetFaults(shelf.Faults{Deaf: true})
	put(t, s, "main", "2")
	for _, node := range all {
		node.await(t, map[string]string{"main": "2"}, bound)
	}
	s.Compact()
	s.SetFaults(shelf.Faults{})
	put(t, s, "main", "3")
	for _, node := range all {
		node.await(t, map[string]string{"main": "3"}, bound)
	}
}

func TestANodeThatHearsNothingListsItself(t *testing.T) {
	s := shelf.New()
	put(t, s, "main", "1")
	g, all := start(t, s)
	all[1].await(t, map[string]string{"main": "1"}, bound)
	g.mu.Lock()
	g.cut[1] = true
	g.mu.Unlock()
	put(t, s, "main", "2")
	all[1].await(t, map[string]string{"main": "2"}, bound)
}

func TestPause(t *testing.T) {
	for _, nodes := range []int{1, 8, 76} {
		for rank := range nodes {
			if pause := Pause(bound, rank, nodes); pause > bound {
				t.Errorf("node %d of %d lists after %v only", rank, nodes, pause)
			}
		}
	}
}

// TestANodeThatStartsInAnOutage replays a finding (trouble-3 of horasol-gt): a
// node started while the store was away, heard news from others after that, and
// never listed what had not changed since.
func TestANodeThatStartsInAnOutage(t *testing.T) {
	s := shelf.New()
	put(t, s, "main", "1")
	s.SetFaults(shelf.Faults{Refuse: true})
	before := s.Calls()
	node := newSeen()
	m := New(s, seat{&group{}, 1}, bound, zap.NewNop(), Kind{Name: kind, Apply: node.apply})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { _ = m.Run(ctx) })
	running.Go(func() {
		for ctx.Err() == nil {
			m.Take([]News{{Kind: kind, At: 9}})
			time.Sleep(50 * time.Millisecond)
		}
	})
	for s.Calls() == before {
		time.Sleep(time.Millisecond)
	}
	s.SetFaults(shelf.Faults{})
	node.await(t, map[string]string{"main": "1"}, bound)
}

func TestOldNewsChangesNothing(t *testing.T) {
	node := newSeen()
	m := New(shelf.New(), seat{&group{}, 1}, bound, zap.NewNop(), Kind{Name: kind, Apply: node.apply})
	entry := func(revision uint64, spec string) object.Entry {
		return object.Entry{Name: "main", Revision: revision, Spec: []byte(spec)}
	}
	take := func(revision uint64, spec string, removed bool) {
		m.Take([]News{{Kind: kind, At: revision, Changes: []object.Change{{Entry: entry(revision, spec), Removed: removed}}}})
	}
	take(5, "new", false)
	take(4, "old", false)
	node.await(t, map[string]string{"main": "new"}, bound)
	take(4, "", true)
	node.await(t, map[string]string{"main": "new"}, bound)
	take(6, "", true)
	take(5, "new", false)
	node.await(t, map[string]string{}, bound)
	take(7, "again", false)
	node.await(t, map[string]string{"main": "again"}, bound)
}
