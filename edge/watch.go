package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/platform"
)

// kinds are the kinds of objects that every node keeps a copy of.
func (e *Edge) kinds() []mirror.Kind {
	return []mirror.Kind{
		{Name: platform.KindConfig, Apply: func(change object.Change, _ bool) {
			if !change.Removed {
				e.applyRoutes(change.Entry)
			}
		}},
		{Name: platform.KindEndpoints, Apply: e.applyEndpoint},
		{Name: platform.KindVersions, Rare: true, Apply: func(change object.Change, _ bool) {
			if !change.Removed {
				e.giver.Name(change.Entry)
			}
		}},
	}
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

// applyEndpoint notes what an endpoint says of itself. Entries that lapsed while
// the store was away come back within a while of its return.
func (e *Edge) applyEndpoint(change object.Change, away bool) {
	name := change.Entry.Name
	if away {
		e.lapse = time.Now().Add(fleet.LapseGrace)
	}
	if change.Removed {
		grace := max(0, time.Until(e.lapse))
		event.EntryRemoved.Log(e.logger, zap.String("endpoint", name), zap.Duration("grace", grace))
		e.fleet.Remove(name, grace)
		return
	}
	f, err := platform.DecodeEntry(name, change.Entry.Spec)
	if err != nil {
		event.EntryRejected.Log(e.logger, zap.String("endpoint", name), zap.Error(err))
		e.fleet.Remove(name, 0)
		return
	}
	if e.fleet.Put(f) {
		event.EntryChanged.Log(e.logger, zap.String("endpoint", f.ID), zap.Bool("draining", f.Draining),
			zap.Any("versions", f.Versions), zap.Uint64("revision", change.Entry.Revision))
	}
}
