// Package mirror keeps a node's copy of some kinds of the platform's objects.
//
// One node of the fleet, the first by rendezvous hashing, watches the kinds and
// lists them at short intervals besides, since a watch that the store has
// dropped tells nothing. It passes what it finds on to the others, and with it
// that there was nothing new. A node that hears nothing for a while lists for
// itself, and tells the others in its turn. So the store's calls don't grow with
// the fleet, and a node that the store turns away stays up to date.
//
// # Usage
//
//	m := mirror.New(parts)
//	err := m.Run(ctx)
//	m.Take(news) // what another node passes on
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
)

const (
	// slotShare is the pause between two lists in a small fleet, as a share of the
	// time in which a change must be in force.
	slotShare = 0.35
	// rareEvery is how many lists of the other kinds come before one of a kind that
	// has no such bound.
	rareEvery = 3
	// perNode stretches the pause, since each list is followed by a message to
	// every node.
	perNode = 8 * time.Millisecond
	// backup is how many slots without news make the second node list, and
	// backupStep how much longer each further one waits: a list and its news take
	// some ten milliseconds.
	backup     = 1.5
	backupStep = 80 * time.Millisecond
	// quietShare is how long a node goes without news at most, as a share of the
	// same time, since it may be the only one that the others don't reach.
	quietShare = 0.8
	// watchWait is how long a watch waits.
	watchWait = 8 * time.Second
	// watchPause is the pause after a watch that failed.
	watchPause = 200 * time.Millisecond
	// maxPause bounds the pause between two lists that fail.
	maxPause = time.Second
	// awayAfter is how long a copy may be out of date before the store counts as
	// having been away.
	awayAfter = 2500 * time.Millisecond
)

type (
	// Kind is one kind of objects that is kept.
	Kind struct {
		// Name is the kind's name in the store.
		Name string
		// Apply takes a change. Away says that the store was out of reach lately.
		Apply func(change object.Change, away bool)
		// Rare kinds may be listed less often.
		Rare bool
	}

	// News is what one node passes on to the others.
	News struct {
		Kind string
		// At is the store's revision up to which the changes are whole.
		At      uint64
		Away    bool
		Changes []object.Change
	}

	// Fleet is what a mirror knows of the other nodes.
	Fleet interface {
		// Rank returns the node's place among those that may list, and how many
		// there are.
		Rank() (rank, nodes int)
		// Pass sends news to all other nodes.
		Pass(news []News)
	}

	// Mirror is safe for concurrent use.
	Mirror struct {
		store  object.Store
		fleet  Fleet
		bound  time.Duration
		lists  int
		logger *zap.Logger

		mu    sync.Mutex
		kinds map[string]*copied
		order []string
		heard chan struct{}
		// fresh is when the copy was last known to be up to date.
		fresh time.Time
	}

	// copied is the copy of one kind.
	copied struct {
		kind Kind
		at   uint64
		// revisions holds the revision of each object, gone that of each removal.
		revisions map[string]uint64
		gone      map[string]uint64
	}
)

// New returns a mirror of the kinds; bound is the time in which a change must be
// known everywhere.
func New(store object.Store, fleet Fleet, bound time.Duration, logger *zap.Logger, kinds ...Kind) *Mirror {
	m := &Mirror{
		store: store, fleet: fleet, bound: bound, logger: logger, kinds: make(map[string]*copied), heard: make(chan struct{}, 1),
	}
	for _, kind := range kinds {
		m.kinds[kind.Name] = &copied{kind: kind, revisions: make(map[string]uint64), gone: make(map[string]uint64)}
		m.order = append(m.order, kind.Name)
	}
	return m
}

// Run keeps the copy until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { m.listLoop(ctx); return nil })
	for _, kind := range m.order {
		group.Go(func() error { m.watchLoop(ctx, kind); return nil })
	}
	return group.Wait()
}

// Pause returns how long a node of the given rank waits for news before it lists.
func Pause(bound time.Duration, rank, nodes int) time.Duration {
	slot := time.Duration(slotShare*float64(bound)) + time.Duration(nodes)*perNode
	if rank == 0 {
		return slot
	}
	return min(time.Duration(quietShare*float64(bound)), time.Duration(float64(slot)*backup)+time.Duration(rank-1)*backupStep)
}

// listLoop lists whenever there was no news for too long.
func (m *Mirror) listLoop(ctx context.Context) {
	failures, whole := 0, false
	for ctx.Err() == nil {
		if m.list(ctx) {
			failures, whole = 0, true
		} else {
			failures++
		}
		for ctx.Err() == nil {
			rank, nodes := m.fleet.Rank()
			pause := Pause(m.bound, rank, nodes)
			if failures > 0 {
				pause = min(maxPause, watchPause<<min(failures, 4))
			}
			timer := time.NewTimer(pause)
			heard := false
			select {
			case <-ctx.Done():
			case <-m.heard:
				heard, failures = true, 0
			case <-timer.C:
			}
			timer.Stop()
			// News hold only what has changed: a node lists once itself.
			if !heard || rank == 0 || !whole {
				break
			}
		}
	}
}

// list reads all kinds anew and passes on what is new.
func (m *Mirror) list(ctx context.Context) bool {
	away := m.away()
	news := make([]News, 0, len(m.order))
	m.lists++
	for _, kind := range m.order {
		if m.kinds[kind].kind.Rare && m.kinds[kind].at > 0 && m.lists%rareEvery != 0 {
			continue
		}
		entries, at, err := m.store.List(ctx, kind, object.Fresh)
		if err != nil {
			if ctx.Err() == nil {
				event.WatchFailed.Log(m.logger, zap.String("kind", kind), zap.Error(err))
			}
			return false
		}
		changes := m.listed(kind, entries, at, away)
		news = append(news, News{Kind: kind, At: at, Away: away, Changes: changes})
	}
	m.fleet.Pass(news)
	return true
}

func (m *Mirror) away() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.fresh.IsZero() && time.Since(m.fresh) > awayAfter
}

// listed compares a list with the copy and applies what is new.
func (m *Mirror) listed(kind string, entries []object.Entry, at uint64, away bool) []object.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.kinds[kind]
	var changes []object.Change
	seen := make(map[string]bool, len(entries))
	for _, entry := range entries {
		seen[entry.Name] = true
		changes = append(changes, object.Change{Entry: entry})
	}
	for name, revision := range c.revisions {
		if !seen[name] && revision <= at {
			changes = append(changes, object.Change{Entry: object.Entry{Name: name, Revision: at}, Removed: true})
		}
	}
	m.fresh = time.Now()
	return c.apply(changes, at, away)
}

// apply applies those changes that are newer than the copy and returns them.
func (c *copied) apply(changes []object.Change, at uint64, away bool) []object.Change {
	var applied []object.Change
	for _, change := range changes {
		name, revision := change.Entry.Name, change.Entry.Revision
		known, there := c.revisions[name]
		switch {
		case change.Removed && there && revision >= known:
			delete(c.revisions, name)
			c.gone[name] = revision
		case !change.Removed && revision > known && revision > c.gone[name]:
			c.revisions[name] = revision
		default:
			continue
		}
		c.kind.Apply(change, away)
		applied = append(applied, change)
	}
	c.at = max(c.at, at)
	return applied
}

// Take applies what another node passes on.
func (m *Mirror) Take(news []News) {
	m.mu.Lock()
	for _, n := range news {
		if c := m.kinds[n.Kind]; c != nil {
			c.apply(n.Changes, n.At, n.Away)
		}
	}
	m.fresh = time.Now()
	m.mu.Unlock()
	select {
	case m.heard <- struct{}{}:
	default:
	}
}

// watchLoop watches a kind while this node is the first.
func (m *Mirror) watchLoop(ctx context.Context, kind string) {
	revision := uint64(0)
	for ctx.Err() == nil {
		if rank, nodes := m.fleet.Rank(); rank > 0 {
			revision = 0
			_ = waits.For(ctx, Pause(m.bound, 0, nodes))
			continue
		}
		if revision == 0 {
			m.mu.Lock()
			revision = m.kinds[kind].at
			m.mu.Unlock()
			if revision == 0 {
				_ = waits.For(ctx, watchPause)
				continue
			}
		}
		changes, next, err := m.store.Watch(ctx, kind, revision, watchWait)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, object.ErrHistoryGone) {
				event.WatchFailed.Log(m.logger, zap.String("kind", kind), zap.Uint64("revision", revision), zap.Error(err))
			}
			revision = 0
			_ = waits.For(ctx, watchPause)
			continue
		}
		revision = next
		m.mu.Lock()
		applied := m.kinds[kind].apply(changes, next, false)
		m.mu.Unlock()
		if len(applied) > 0 {
			m.fleet.Pass([]News{{Kind: kind, At: next, Changes: applied}})
		}
	}
}
