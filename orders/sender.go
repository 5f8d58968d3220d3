package orders

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/duty"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/routes"
)

const (
	// loadTimeout is how long a load may take before the endpoint's report is
	// requested again: loading takes a second, longer while many endpoints load.
	loadTimeout = 2500 * time.Millisecond
	// unknownOutcomeTimeout is how long to wait for the version after an order whose
	// outcome is unknown.
	unknownOutcomeTimeout = 1500 * time.Millisecond
	// retryDelay is the pause before the next order to an endpoint that was
	// unreachable or busy, or did not accept an order.
	retryDelay = 500 * time.Millisecond
	// firstVersion is the version that endpoints start with.
	firstVersion = 1
)

type (
	// Deps holds the dependencies of a Sender.
	Deps struct {
		Name      string
		Store     object.Store
		Fleet     *fleet.Fleet
		Lease     *lease.Lease
		Endpoints EndpointClient
		// Policy decides which endpoints load a version and when.
		Policy Policy
		// Routes returns the configuration in force, nil before the first one.
		Routes func() *routes.Table
		// IsLeader reports whether this node is the one that sends orders.
		IsLeader func() bool
		// Decode decodes the object in which a trainer names a version.
		Decode func(spec []byte) (model string, version int, err error)
		// Demand returns how many tokens a model's trainer requested recently.
		Demand func(model string) float64
		Scope  tally.Scope
		Logger *zap.Logger
	}

	// namedVersion is a version that a trainer has named.
	namedVersion struct {
		model   string
		version int
	}

	// Sender sends orders to endpoints while this node is the leader.
	Sender struct {
		deps Deps
		duty *duty.Duty

		mu sync.Mutex
		// named holds the versions that trainers have named, by the name of the object.
		named   map[string]namedVersion
		loading Loading
		// retryAt is the earliest time for the next order, by endpoint.
		retryAt map[string]time.Time
		wake    chan struct{}
		tasks   sync.WaitGroup
	}
)

// New returns a Sender with the given dependencies.
func New(deps Deps) *Sender {
	return &Sender{
		deps: deps, duty: duty.New(duty.Deps{
			Name: "orders", Holder: deps.Name, Lease: deps.Lease, Assigned: deps.IsLeader, Logger: deps.Logger,
		}),
		named: make(map[string]namedVersion), loading: make(Loading), retryAt: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
}

// Run sends orders until the context ends, while this node is the leader.
func (s *Sender) Run(ctx context.Context) error {
	defer s.tasks.Wait()
	return s.duty.Run(ctx, func(ctx context.Context) {
		event.OrderSenderStarted.Log(s.deps.Logger)
		defer event.OrderSenderStopped.Log(s.deps.Logger)
		for ctx.Err() == nil && s.deps.IsLeader() {
			s.sendDue(ctx)
			timer := time.NewTimer(duty.PollInterval)
			select {
			case <-ctx.Done():
			case <-s.wake:
			case <-s.deps.Fleet.Changed():
			case <-timer.C:
			}
			timer.Stop()
		}
	})
}

// RecordNamedVersion records the version that a trainer names in an object. It must be
// called in the order of the object's revisions: an object replaces what it said before,
// which may have been an error. An object that can't be read changes nothing.
func (s *Sender) RecordNamedVersion(entry object.Entry) {
	model, version, err := s.deps.Decode(entry.Spec)
	if err != nil {
		event.VersionUnreadable.Log(s.deps.Logger, zap.String("entry", entry.Name), zap.Error(err))
		return
	}
	next := namedVersion{model: model, version: version}
	s.mu.Lock()
	changed := s.named[entry.Name] != next
	s.named[entry.Name] = next
	s.mu.Unlock()
	if changed {
		event.VersionNamed.Log(s.deps.Logger, zap.String("model", model), zap.Int("version", version),
			zap.Uint64("revision", entry.Revision))
		s.signal()
	}
}

// newest returns the newest version that is named for each model. The caller holds the
// lock.
func (s *Sender) newest() map[string]int {
	newest := make(map[string]int, len(s.named))
	for _, n := range s.named {
		newest[n.model] = max(newest[n.model], n.version)
	}
	return newest
}

func (s *Sender) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendDue acquires or renews the lease if needed and sends the orders that are
// due.
func (s *Sender) sendDue(ctx context.Context) {
	loads := s.dueLoads()
	if len(loads) == 0 || !s.duty.Prepare(ctx) {
		return
	}
	for _, load := range loads {
		id := load.State.Entry.ID
		s.mu.Lock()
		s.loading[id] = true
		s.mu.Unlock()
		s.tasks.Go(func() {
			pause := s.loadVersion(ctx, load)
			s.mu.Lock()
			delete(s.loading, id)
			s.retryAt[id] = time.Now().Add(pause)
			s.mu.Unlock()
			s.signal()
		})
	}
}

// dueLoads returns the planned loads of all services, without endpoints whose
// retry delay has not passed.
func (s *Sender) dueLoads() []PlannedLoad {
	table := s.deps.Routes()
	if table == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var loads []PlannedLoad
	now, named := time.Now(), s.newest()
	for _, service := range table.Engines() {
		desiredVersions := make([]DesiredVersion, 0, len(service.Models))
		for _, model := range service.Models {
			desiredVersions = append(desiredVersions, DesiredVersion{Model: model, Version: max(firstVersion, named[model]), Weight: s.deps.Demand(model)})
		}
		for _, load := range PlanWithPolicy(s.deps.Policy, s.deps.Fleet.Serving(service.Name), desiredVersions, s.loading) {
			if now.After(s.retryAt[load.State.Entry.ID]) {
				loads = append(loads, load)
			}
		}
	}
	return loads
}

// loadVersion orders one endpoint to load a version, waits for the result and
// returns the delay before its next order.
func (s *Sender) loadVersion(ctx context.Context, load PlannedLoad) time.Duration {
	target := load.State.Target()
	report, err := s.deps.Endpoints.FetchReport(ctx, target)
	switch {
	case err != nil:
		event.OrderFailed.Log(s.deps.Logger, zap.String("endpoint", target.ID()), zap.Error(err))
		return retryDelay
	case report.Versions[load.Desired.Model] >= load.Desired.Version:
		s.deps.Fleet.RecordVersion(target.ID(), load.Desired.Model, report.Versions[load.Desired.Model])
		return 0
	case report.Busy:
		return retryDelay
	}
	outcome, epoch, held := s.send(ctx, load, report)
	if !held {
		return 0
	}
	s.deps.Scope.Tagged(map[string]string{"outcome": strings.TrimPrefix(fmt.Sprintf("%T", outcome), "orders.")}).
		Counter("orders").Inc(1)
	fields := []zap.Field{
		zap.String("endpoint", target.ID()), zap.String("model", load.Desired.Model),
		zap.Int("version", load.Desired.Version), zap.Uint64("epoch", epoch), zap.Int64("accepted", report.Accepted),
	}
	switch o := outcome.(type) {
	case Begun:
		event.OrderSent.Log(s.deps.Logger, fields...)
		s.awaitVersion(ctx, load, loadTimeout)
		return 0
	case Holds:
		s.deps.Fleet.RecordVersion(target.ID(), load.Desired.Model, load.Desired.Version)
		return 0
	case Unsure:
		event.OrderFailed.Log(s.deps.Logger, append(fields, zap.Bool("unsure", true), zap.Error(o.Cause))...)
		s.awaitVersion(ctx, load, unknownOutcomeTimeout)
		return 0
	case Rejected:
		event.OrderFailed.Log(s.deps.Logger, append(fields, zap.Error(o.Cause))...)
		return retryDelay
	case NotSent:
		event.OrderFailed.Log(s.deps.Logger, append(fields, zap.Bool("sent", false), zap.Error(o.Cause))...)
		return retryDelay
	default:
		event.OrderFailed.Log(s.deps.Logger, append(fields, zap.String("outcome", "outdated"))...)
		return retryDelay
	}
}

// send sends an order unless this node no longer holds the lease.
func (s *Sender) send(ctx context.Context, load PlannedLoad, report Report) (outcome Outcome, epoch uint64, held bool) {
	held = s.duty.CallWith(ctx, func(ctx context.Context, permit duty.Permit) (sent bool) {
		epoch = permit.Token()
		outcome = s.deps.Endpoints.SendOrder(ctx, load.State.Target(), Order{
			Model: load.Desired.Model, Version: load.Desired.Version, Mode: Retain,
			Holder: permit.Holder(), Epoch: epoch, Accepted: report.Accepted, Permitted: permit.Current,
		})
		_, notSent := outcome.(NotSent)
		return !notSent
	})
	return outcome, epoch, held
}

// awaitVersion waits until the endpoint's entry or one of its answers reports
// the version, the endpoint is removed, or the limit has passed.
func (s *Sender) awaitVersion(ctx context.Context, load PlannedLoad, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changed := s.deps.Fleet.Changed()
		version, ok := s.deps.Fleet.Version(load.State.Entry.ID, load.Desired.Model)
		if !ok || version >= load.Desired.Version {
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

// State is the state of a Sender, for the dump.
type State struct {
	// Named is the newest version that a trainer has named, by model.
	Named map[string]int `json:"named"`
	// Loading lists the endpoints that are carrying out an order of this node.
	Loading []string `json:"loading"`
	// Epoch is the epoch of the last lease that this node read or wrote. Held
	// reports whether this node holds the lease.
	Epoch uint64 `json:"epoch"`
	Held  bool   `json:"held"`
}

// Dump returns the Sender's state.
func (s *Sender) Dump() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{Named: s.newest()}
	state.Epoch, state.Held = s.deps.Lease.Held()
	for id := range s.loading {
		state.Loading = append(state.Loading, id)
	}
	return state
}
