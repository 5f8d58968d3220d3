package orders

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/waits"
)

const (
	// pollInterval is how often a node checks whether it is to send orders.
	pollInterval = 300 * time.Millisecond
	// loadTimeout is how long a load may take before the endpoint's report is
	// requested again: loading takes a second, longer while many endpoints load.
	loadTimeout = 2500 * time.Millisecond
	// unknownOutcomeTimeout is how long to wait for the version after an order whose
	// outcome is unknown.
	unknownOutcomeTimeout = 1500 * time.Millisecond
	// retryDelay is the pause after an endpoint accepted no order.
	retryDelay = 500 * time.Millisecond
	// firstVersion is the version that endpoints start with.
	firstVersion = 1
)

type (
	// Parts holds the dependencies of a Giver.
	Parts struct {
		Name   string
		Store  object.Store
		Fleet  *fleet.Fleet
		Lease  *Lease
		Orders Endpoints
		// Policy decides which endpoints load a version and when.
		Policy Policy
		// Routes returns the configuration in force, nil before the first one.
		Routes func() *routes.Table
		// First reports whether this node is the one that sends orders.
		First func() bool
		// Decode decodes the object in which a trainer names a version.
		Decode func(spec []byte) (model string, version int, err error)
		// Demand returns how many tokens a model's trainer requested recently.
		Demand func(model string) float64
		Scope  tally.Scope
		Logger *zap.Logger
	}

	// Giver is the order sender: it sends orders to endpoints while this node is the
	// one to do so.
	Giver struct {
		deps Parts

		mu sync.Mutex
		// named is the newest version that a trainer has named, by model.
		named   map[string]int
		loading Progress
		// retryAt is the earliest time for the next order, by endpoint.
		retryAt map[string]time.Time
		wake    chan struct{}
		tasks   sync.WaitGroup
	}
)

// New returns a Giver with the given dependencies.
func New(deps Parts) *Giver {
	return &Giver{
		deps: deps, named: make(map[string]int), loading: make(Progress),
		retryAt: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
}

// Run sends orders until the context ends.
func (g *Giver) Run(ctx context.Context) error {
	defer g.tasks.Wait()
	for ctx.Err() == nil {
		if !g.deps.First() {
			_ = waits.For(ctx, pollInterval)
			continue
		}
		g.sendUntilReplaced(ctx)
	}
	return nil
}

// sendUntilReplaced sends orders while this node is the one to do so.
func (g *Giver) sendUntilReplaced(ctx context.Context) {
	event.OrdersBegun.Log(g.deps.Logger)
	for ctx.Err() == nil && g.deps.First() {
		g.sendDue(ctx)
		timer := time.NewTimer(pollInterval)
		select {
		case <-ctx.Done():
		case <-g.wake:
		case <-g.deps.Fleet.Changed():
		case <-timer.C:
		}
		timer.Stop()
	}
	event.OrdersLeft.Log(g.deps.Logger)
}

// Name records a version that a trainer has named.
func (g *Giver) Name(entry object.Entry) {
	model, version, err := g.deps.Decode(entry.Spec)
	if err != nil {
		event.VersionUnreadable.Log(g.deps.Logger, zap.String("entry", entry.Name), zap.Error(err))
		return
	}
	g.mu.Lock()
	newer := version > g.named[model]
	if newer {
		g.named[model] = version
	}
	g.mu.Unlock()
	if newer {
		event.VersionNamed.Log(g.deps.Logger, zap.String("model", model), zap.Int("version", version),
			zap.Uint64("revision", entry.Revision))
		g.signal()
	}
}

func (g *Giver) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// sendDue takes or renews the lease if needed and sends the orders that are due.
func (g *Giver) sendDue(ctx context.Context) {
	loads := g.dueLoads()
	if len(loads) == 0 {
		return
	}
	if g.deps.Lease.Left() < leaseMargin {
		if err := g.deps.Lease.Take(ctx); err != nil {
			if !errors.Is(err, errLeaseHeld) {
				event.LeaseFailed.Log(g.deps.Logger, zap.Error(err))
			}
			return
		}
		epoch, _ := g.deps.Lease.Held()
		event.LeaseTaken.Log(g.deps.Logger, zap.Uint64("epoch", epoch))
	}
	for _, load := range loads {
		id := load.State.Entry.ID
		g.mu.Lock()
		g.loading[id] = true
		g.mu.Unlock()
		g.tasks.Go(func() {
			pause := g.loadVersion(ctx, load)
			g.mu.Lock()
			delete(g.loading, id)
			g.retryAt[id] = time.Now().Add(pause)
			g.mu.Unlock()
			g.signal()
		})
	}
}

// dueLoads returns the loads that are due.
func (g *Giver) dueLoads() []Load {
	table := g.deps.Routes()
	if table == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var loads []Load
	now := time.Now()
	for _, service := range table.Engines() {
		desiredVersions := make([]Want, 0, len(service.Models))
		for _, model := range service.Models {
			desiredVersions = append(desiredVersions, Want{Model: model, Version: max(firstVersion, g.named[model]), Weight: g.deps.Demand(model)})
		}
		for _, load := range PlanBy(g.deps.Policy, g.deps.Fleet.Serving(service.Name), desiredVersions, g.loading) {
			if now.After(g.retryAt[load.State.Entry.ID]) {
				loads = append(loads, load)
			}
		}
	}
	return loads
}

// loadVersion orders one endpoint to load a version, waits for the result and
// returns the delay before its next order.
func (g *Giver) loadVersion(ctx context.Context, load Load) time.Duration {
	target := load.State.Target()
	report, err := g.deps.Orders.Report(ctx, target)
	switch {
	case err != nil:
		event.OrderFailed.Log(g.deps.Logger, zap.String("endpoint", target.ID()), zap.Error(err))
		return retryDelay
	case report.Versions[load.Want.Model] >= load.Want.Version:
		g.deps.Fleet.RecordVersion(target.ID(), load.Want.Model, report.Versions[load.Want.Model])
		return 0
	case report.Busy:
		return retryDelay
	}
	epoch, held := g.deps.Lease.Held()
	if !held {
		return 0
	}
	outcome := g.deps.Orders.Order(ctx, target, Order{
		Model: load.Want.Model, Version: load.Want.Version, Mode: Retain,
		Holder: g.deps.Name, Epoch: epoch, Accepted: report.Accepted,
	})
	g.deps.Scope.Tagged(map[string]string{"outcome": strings.TrimPrefix(fmt.Sprintf("%T", outcome), "orders.")}).
		Counter("orders").Inc(1)
	fields := []zap.Field{
		zap.String("endpoint", target.ID()), zap.String("model", load.Want.Model),
		zap.Int("version", load.Want.Version), zap.Uint64("epoch", epoch), zap.Int64("accepted", report.Accepted),
	}
	switch o := outcome.(type) {
	case Begun:
		event.OrderGiven.Log(g.deps.Logger, fields...)
		g.awaitVersion(ctx, load, loadTimeout)
		return 0
	case Holds:
		g.deps.Fleet.RecordVersion(target.ID(), load.Want.Model, load.Want.Version)
		return 0
	case Unsure:
		event.OrderFailed.Log(g.deps.Logger, append(fields, zap.Bool("unsure", true), zap.Error(o.Cause))...)
		g.awaitVersion(ctx, load, unknownOutcomeTimeout)
		return 0
	case Rejected:
		event.OrderFailed.Log(g.deps.Logger, append(fields, zap.Error(o.Cause))...)
		return retryDelay
	default:
		event.OrderFailed.Log(g.deps.Logger, append(fields, zap.String("outcome", "outdated"))...)
		return retryDelay
	}
}

// awaitVersion waits until the endpoint's entry or one of its answers states the
// version.
func (g *Giver) awaitVersion(ctx context.Context, load Load, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := g.deps.Fleet.Changed()
		version, ok := g.deps.Fleet.Version(load.State.Entry.ID, load.Want.Model)
		if !ok || version >= load.Want.Version {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// State is the state of a Giver, for the dump.
type State struct {
	// Named is the newest version that a trainer has named, by model.
	Named map[string]int `json:"named"`
	// Loading lists the endpoints that are carrying out an order of this node.
	Loading []string `json:"loading"`
	// Epoch is the last epoch read from the store. Held reports whether this node
	// holds the lease.
	Epoch uint64 `json:"epoch"`
	Held  bool   `json:"held"`
}

// Dump returns the Giver's state.
func (g *Giver) Dump() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := State{Named: maps.Clone(g.named)}
	state.Epoch, state.Held = g.deps.Lease.Held()
	for id := range g.loading {
		state.Loading = append(state.Loading, id)
	}
	return state
}
