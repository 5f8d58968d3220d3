package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/waits"
)

// watchPause is the pause after a watch that failed: an answer takes 4 ms, and a
// change must be in force within two seconds.
const watchPause = 200 * time.Millisecond

// follow lists a kind and watches it from there, over and over.
func (e *Edge) follow(
	ctx context.Context, kind string, listed func([]object.Entry, bool), changed func(object.Change),
) {
	revision, away := uint64(0), false
	for ctx.Err() == nil {
		if revision == 0 {
			entries, at, err := e.store.List(ctx, kind, object.Fresh)
			if err != nil {
				away = true
				_ = waits.For(ctx, watchPause)
				continue
			}
			listed(entries, away)
			revision, away = at, false
		}
		changes, next, err := e.store.Watch(ctx, kind, revision)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			event.WatchFailed.Log(e.logger, zap.String("kind", kind), zap.Uint64("revision", revision), zap.Error(err))
			revision, away = 0, !errors.Is(err, object.ErrHistoryGone)
			if away {
				_ = waits.For(ctx, watchPause)
			}
			continue
		}
		for _, change := range changes {
			changed(change)
		}
		revision = next
	}
}

// followRoutes keeps the configuration in force.
func (e *Edge) followRoutes(ctx context.Context) error {
	e.follow(ctx, platform.KindConfig,
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
	return nil
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

// followEndpoints keeps what endpoints say of themselves.
func (e *Edge) followEndpoints(ctx context.Context) error {
	e.follow(ctx, platform.KindEndpoints,
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
	return nil
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
