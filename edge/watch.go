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

// mirroredKinds returns the kinds of objects that every node has a copy of.
func (e *Edge) mirroredKinds() []mirror.Kind {
	return []mirror.Kind{
		{Name: platform.KindConfig, Apply: func(change object.Change, _ bool) {
			if !change.Removed {
				e.applyRoutes(change.Entry)
			}
		}},
		{Name: platform.KindEndpoints, MaxBytes: platform.MaxEntryBytes, Apply: e.applyEndpoint},
		{Name: platform.KindVersions, Rare: true, MaxBytes: platform.MaxEntryBytes, Apply: func(change object.Change, _ bool) {
			if !change.Removed {
				e.orderSender.RecordNamedVersion(change.Entry)
			}
		}},
	}
}

// applyRoutes applies a configuration unless one as new or newer is in force.
func (e *Edge) applyRoutes(entry object.Entry) {
	if entry.Name != platform.ConfigName {
		return
	}
	table, err := platform.DecodeConfig(entry.Spec)
	if err != nil {
		event.RoutesRefused.Log(e.logger, zap.Uint64("revision", entry.Revision), zap.Error(err))
		return
	}
	current := e.table.Load()
	if current != nil && current.Version() >= table.Version() {
		return
	}
	if now := time.Now(); current == nil || !current.SameStreams(table) {
		e.streamsAt.Store(&now)
	}
	e.table.Store(table)
	event.RoutesInForce.Log(e.logger, zap.Uint64("version", table.Version()), zap.Uint64("revision", entry.Revision))
}

// applyEndpoint applies a changed entry of an endpoint. Entries that expired while
// the store was unavailable are registered again within fleet.RemovalGrace of its
// return; until then a removed endpoint stays in the fleet.
func (e *Edge) applyEndpoint(change object.Change, storeWasDown bool) {
	name := change.Entry.Name
	if storeWasDown {
		e.restoreUntil = time.Now().Add(fleet.RemovalGrace)
	}
	if change.Removed {
		delete(e.rejected, name)
		grace := max(0, time.Until(e.restoreUntil))
		event.EndpointEntryRemoved.Log(e.logger, zap.String("endpoint", name), zap.Duration("grace", grace))
		e.fleet.Remove(name, grace)
		return
	}
	endpoint, err := platform.DecodeEntry(name, change.Entry.Spec)
	if err != nil {
		// Its writer may change it at each heartbeat.
		if !e.rejected[name] {
			event.EndpointEntryRejected.Log(e.logger, zap.String("endpoint", name), zap.Error(err))
			e.fleet.Remove(name, 0)
			e.rejected[name] = true
		}
		return
	}
	delete(e.rejected, name)
	if e.fleet.Put(endpoint) {
		event.EndpointEntryChanged.Log(e.logger, zap.String("endpoint", endpoint.ID), zap.String("service", endpoint.Service),
			zap.String("software", endpoint.SoftwareVersion), zap.Bool("draining", endpoint.Draining),
			zap.Any("versions", endpoint.Versions), zap.Uint64("revision", change.Entry.Revision))
	}
}
