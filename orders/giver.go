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
	// idlePause is how often a node looks whether it is to give orders.
	idlePause = 300 * time.Millisecond
	// loadLimit is how long a load may take before the endpoint is asked again:
	// a change takes a second, more while many load.
	loadLimit = 2500 * time.Millisecond
	// unsureLimit is how long an order without an answer is waited for.
	unsureLimit = 1500 * time.Millisecond
	// retryPause is the pause after an endpoint took no order.
	retryPause = 500 * time.Millisecond
	// firstVersion is the version that endpoints start with.
	firstVersion = 1
)

type (
	// Parts are what a giver works with.
	Parts struct {
		Name   string
		Store  object.Store
		Fleet  *fleet.Fleet
		Lease  *Lease
		Orders Endpoints
		// Policy says which endpoints load a version when.
		Policy Policy
		// Routes returns the configuration in force, nil before the first one.
		Routes func() *routes.Table
		// First reports whether this node is the one to give orders.
		First func() bool
		// Decode reads the object in which a trainer names a version.
		Decode func(spec []byte) (model string, version int, err error)
		// Demand returns the tokens that a model's trainer asked for lately.
		Demand func(model string) float64
		Scope  tally.Scope
		Logger *zap.Logger
	}

	// Giver gives orders while this node is the one to do so.
	Giver struct {
		parts Parts

		mu      sync.Mutex
		named   map[string]int
		loading Progress
		again   map[string]time.Time
		wake    chan struct{}
		tasks   sync.WaitGroup
	}
)

// New returns a giver.
func New(parts Parts) *Giver {
	return &Giver{
		parts: parts, named: make(map[string]int), loading: make(Progress),
		again: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
}

// Run gives orders until the context ends.
func (g *Giver) Run(ctx context.Context) error {
	defer g.tasks.Wait()
	for ctx.Err() == nil {
		if !g.parts.First() {
			_ = waits.For(ctx, idlePause)
			continue
		}
		g.serve(ctx)
	}
	return nil
}

// serve gives orders while this node is the one to do so.
func (g *Giver) serve(ctx context.Context) {
	event.OrdersBegun.Log(g.parts.Logger)
	for ctx.Err() == nil && g.parts.First() {
		g.step(ctx)
		timer := time.NewTimer(idlePause)
		select {
		case <-ctx.Done():
		case <-g.wake:
		case <-g.parts.Fleet.Changed():
		case <-timer.C:
		}
		timer.Stop()
	}
	event.OrdersLeft.Log(g.parts.Logger)
}

// Name notes a version that a trainer has named.
func (g *Giver) Name(entry object.Entry) {
	model, version, err := g.parts.Decode(entry.Spec)
	if err != nil {
		event.VersionUnreadable.Log(g.parts.Logger, zap.String("entry", entry.Name), zap.Error(err))
		return
	}
	g.mu.Lock()
	newer := version > g.named[model]
	if newer {
		g.named[model] = version
	}
	g.mu.Unlock()
	if newer {
		event.VersionNamed.Log(g.parts.Logger, zap.String("model", model), zap.Int("version", version),
			zap.Uint64("revision", entry.Revision))
		g.nudge()
	}
}

func (g *Giver) nudge() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// step gives the orders that are due.
func (g *Giver) step(ctx context.Context) {
	loads := g.plan()
	if len(loads) == 0 {
		return
	}
	if g.parts.Lease.Left() < leaseMargin {
		if err := g.parts.Lease.Take(ctx); err != nil {
			if !errors.Is(err, errHeld) {
				event.LeaseFailed.Log(g.parts.Logger, zap.Error(err))
			}
			return
		}
		epoch, _ := g.parts.Lease.Held()
		event.LeaseTaken.Log(g.parts.Logger, zap.Uint64("epoch", epoch))
	}
	for _, load := range loads {
		id := load.State.Entry.ID
		g.mu.Lock()
		g.loading[id] = true
		g.mu.Unlock()
		g.tasks.Go(func() {
			pause := g.load(ctx, load)
			g.mu.Lock()
			delete(g.loading, id)
			g.again[id] = time.Now().Add(pause)
			g.mu.Unlock()
			g.nudge()
		})
	}
}

// plan returns the loads that are due.
func (g *Giver) plan() []Load {
	table := g.parts.Routes()
	if table == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var loads []Load
	now := time.Now()
	for _, service := range table.Engines() {
		wants := make([]Want, 0, len(service.Models))
		for _, model := range service.Models {
			wants = append(wants, Want{Model: model, Version: max(firstVersion, g.named[model]), Weight: g.parts.Demand(model)})
		}
		for _, load := range PlanBy(g.parts.Policy, g.parts.Fleet.Serving(service.Name), wants, g.loading) {
			if now.After(g.again[load.State.Entry.ID]) {
				loads = append(loads, load)
			}
		}
	}
	return loads
}

// load brings one endpoint to a version and returns how long to leave it alone
// afterwards.
func (g *Giver) load(ctx context.Context, load Load) time.Duration {
	target := load.State.Target()
	report, err := g.parts.Orders.Report(ctx, target)
	switch {
	case err != nil:
		event.OrderFailed.Log(g.parts.Logger, zap.String("endpoint", target.ID()), zap.Error(err))
		return retryPause
	case report.Versions[load.Want.Model] >= load.Want.Version:
		g.parts.Fleet.SawVersion(target.ID(), load.Want.Model, report.Versions[load.Want.Model])
		return 0
	case report.Busy:
		return retryPause
	}
	epoch, held := g.parts.Lease.Held()
	if !held {
		return 0
	}
	outcome := g.parts.Orders.Order(ctx, target, Order{
		Model: load.Want.Model, Version: load.Want.Version, Mode: Retain,
		Holder: g.parts.Name, Epoch: epoch, Accepted: report.Accepted,
	})
	g.parts.Scope.Tagged(map[string]string{"outcome": strings.TrimPrefix(fmt.Sprintf("%T", outcome), "orders.")}).
		Counter("orders").Inc(1)
	fields := []zap.Field{
		zap.String("endpoint", target.ID()), zap.String("model", load.Want.Model),
		zap.Int("version", load.Want.Version), zap.Uint64("epoch", epoch), zap.Int64("accepted", report.Accepted),
	}
	switch o := outcome.(type) {
	case Begun:
		event.OrderGiven.Log(g.parts.Logger, fields...)
		g.await(ctx, load, loadLimit)
		return 0
	case Holds:
		g.parts.Fleet.SawVersion(target.ID(), load.Want.Model, load.Want.Version)
		return 0
	case Unsure:
		event.OrderFailed.Log(g.parts.Logger, append(fields, zap.Bool("unsure", true), zap.Error(o.Cause))...)
		g.await(ctx, load, unsureLimit)
		return 0
	case Rejected:
		event.OrderFailed.Log(g.parts.Logger, append(fields, zap.Error(o.Cause))...)
		return retryPause
	default:
		event.OrderFailed.Log(g.parts.Logger, append(fields, zap.String("outcome", "outdated"))...)
		return retryPause
	}
}

// await waits until the endpoint's entry or an answer of it shows the version.
func (g *Giver) await(ctx context.Context, load Load, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := g.parts.Fleet.Changed()
		version, ok := g.parts.Fleet.Version(load.State.Entry.ID, load.Want.Model)
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

// State describes what a giver knows.
type State struct {
	// Named are the versions that trainers have named.
	Named map[string]int `json:"named"`
	// Loading are the endpoints that carry out an order of this node.
	Loading []string `json:"loading"`
	// Epoch is the last epoch that was seen; Held says that it is this node's.
	Epoch uint64 `json:"epoch"`
	Held  bool   `json:"held"`
}

// Dump describes the giver.
func (g *Giver) Dump() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := State{Named: maps.Clone(g.named)}
	state.Epoch, state.Held = g.parts.Lease.Held()
	for id := range g.loading {
		state.Loading = append(state.Loading, id)
	}
	return state
}
