package edge

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/waits"
)

const (
	// watchPause is the pause after a watch that failed: an answer takes 4 ms, and
	// a change must be in force within two seconds.
	watchPause = 200 * time.Millisecond
	// watchSlot is how often some node of the fleet sends its watch anew. A watch
	// that the store has dropped tells nothing by itself; the first node that
	// finds out tells the others. A change is held back for up to a second, and
	// must be in force within two.
	watchSlot = 450 * time.Millisecond
	// minWatch and maxWatch bound how long one watch waits.
	minWatch = 1200 * time.Millisecond
	maxWatch = 10 * time.Second
)

// follower follows one kind of objects.
type follower struct {
	kind string
	// listed takes all objects; away says that the store was out of reach before.
	listed  func(entries []object.Entry, away bool)
	changed func(object.Change)
	// revision is the store's revision that is known.
	revision atomic.Uint64
	poke     chan struct{}
}

func newFollower(kind string, listed func([]object.Entry, bool), changed func(object.Change)) *follower {
	return &follower{kind: kind, listed: listed, changed: changed, poke: make(chan struct{}, 1)}
}

// watchWait returns how long a node's watch waits, so that the nodes' watches
// end one after the other. Rank is the node's place among so many.
func watchWait(now time.Time, rank, nodes int) time.Duration {
	period := min(maxWatch, max(minWatch, time.Duration(nodes)*watchSlot))
	phase := period * time.Duration(rank) / time.Duration(max(1, nodes))
	wait := phase - time.Duration(now.UnixNano())%period
	for wait < minWatch/2 {
		wait += period
	}
	return wait
}

// rank returns the node's place among those that stay.
func (e *Edge) rank() (rank, nodes int) {
	names := e.roster.Staying()
	return max(0, slices.Index(names, e.settings.Load().Name())), max(1, len(names))
}

// hinted sends a watch anew that lacks what another node has found.
func (e *Edge) hinted(kind string, revision uint64) {
	for _, f := range e.followers {
		if f.kind == kind && f.revision.Load() < revision {
			select {
			case f.poke <- struct{}{}:
			default:
			}
		}
	}
}

// follow lists a kind and watches it from there, over and over.
func (e *Edge) follow(ctx context.Context, f *follower) {
	revision, away, first := uint64(0), false, true
	for ctx.Err() == nil {
		if revision == 0 {
			entries, at, err := e.store.List(ctx, f.kind, object.Fresh)
			if err != nil {
				away = true
				_ = waits.For(ctx, watchPause)
				continue
			}
			before := f.revision.Load()
			f.revision.Store(at)
			f.listed(entries, away)
			if !first && newest(entries) > before {
				e.others.hint(f.kind, at)
			}
			revision, away, first = at, false, false
		}
		changes, next, err := e.watch(ctx, f, revision)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errPoked):
			revision = 0
		case err != nil:
			event.WatchFailed.Log(e.logger, zap.String("kind", f.kind), zap.Uint64("revision", revision), zap.Error(err))
			revision, away = 0, !errors.Is(err, object.ErrHistoryGone)
			if away {
				_ = waits.For(ctx, watchPause)
			}
		default:
			for _, change := range changes {
				f.changed(change)
			}
			revision = next
			f.revision.Store(next)
		}
	}
}

// errPoked says that another node knows of a change.
var errPoked = errors.New("another node knows of a change")

// watch sends one watch, which a hint of another node ends.
func (e *Edge) watch(ctx context.Context, f *follower, revision uint64) ([]object.Change, uint64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.poke:
			cancel(errPoked)
		case <-done:
		}
	}()
	rank, nodes := e.rank()
	changes, next, err := e.store.Watch(ctx, f.kind, revision, watchWait(time.Now(), rank, nodes))
	if err != nil && errors.Is(context.Cause(ctx), errPoked) {
		return nil, 0, errPoked
	}
	return changes, next, err
}

func newest(entries []object.Entry) uint64 {
	last := uint64(0)
	for _, entry := range entries {
		last = max(last, entry.Revision)
	}
	return last
}

// routesFollower keeps the configuration in force.
func (e *Edge) routesFollower() *follower {
	return newFollower(platform.KindConfig,
		func(entries []object.Entry, _ bool) {
			for _, entry := range entries {
				e.applyRoutes(entry)
			}
		},
		func(change object.Change) {
			if !change.Removed {
				e.applyRoutes(change.Entry)
			}
		})
}

// applyRoutes brings a configuration into force unless a newer one is.
func (e *Edge) applyRoutes(entry object.Entry) {
	if entry.Name != platform.ConfigName {
		return
	}
	table, err := platform.DecodeConfig(entry.Spec)
	if err != nil {
		event.RoutesRefused.Log(e.logger, zap.Uint64("revision", entry.Revision), zap.Error(err))
		return
	}
	if now := e.table.Load(); now != nil && now.Version() >= table.Version() {
		return
	}
	e.table.Store(table)
	event.RoutesInForce.Log(e.logger, zap.Uint64("version", table.Version()), zap.Uint64("revision", entry.Revision))
}

// endpointsFollower keeps what endpoints say of themselves.
func (e *Edge) endpointsFollower() *follower {
	return newFollower(platform.KindEndpoints,
		func(entries []object.Entry, away bool) {
			var kept []fleet.Entry
			for _, entry := range entries {
				if f, ok := e.endpoint(entry); ok {
					kept = append(kept, f)
				}
			}
			grace := time.Duration(0)
			if away {
				grace = fleet.LapseGrace
				e.lapse.Store(time.Now().Add(fleet.LapseGrace).UnixNano())
			}
			e.fleet.Keep(kept, grace)
		},
		func(change object.Change) {
			if change.Removed {
				grace := max(0, time.Until(time.Unix(0, e.lapse.Load())))
				event.EntryRemoved.Log(e.logger, zap.String("endpoint", change.Entry.Name), zap.Duration("grace", grace))
				e.fleet.Remove(change.Entry.Name, grace)
				return
			}
			if f, ok := e.endpoint(change.Entry); ok && e.fleet.Put(f) {
				event.EntryChanged.Log(e.logger, zap.String("endpoint", f.ID), zap.Bool("draining", f.Draining),
					zap.Any("versions", f.Versions), zap.Uint64("revision", change.Entry.Revision))
			}
		})
}

// endpoint decodes an entry. One that can't be read names no endpoint.
func (e *Edge) endpoint(entry object.Entry) (fleet.Entry, bool) {
	f, err := platform.DecodeEntry(entry.Name, entry.Spec)
	if err != nil {
		event.EntryRejected.Log(e.logger, zap.String("endpoint", entry.Name), zap.Error(err))
		e.fleet.Remove(entry.Name, 0)
		return fleet.Entry{}, false
	}
	return f, true
}
