package edge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/duty"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/scale"
	"github.com/currantloft/currantloft/waits"
)

const (
	// leaseScaling is the name of the lease of the host that orders endpoints.
	leaseScaling = "scaling"
	// scaleInterval is how often the host that decides observes the endpoints.
	scaleInterval = 500 * time.Millisecond
	// decideDelay is how long a host decides before it sends orders: the hosts before it
	// offer their demand, and so begin to decide themselves, every quietDemandInterval.
	decideDelay = quietDemandInterval + demandTimeout
	// scaleCallInterval is the least time between two orders: no more than ten a second,
	// a fifth of the calls that the platform takes from all duties together.
	scaleCallInterval = 100 * time.Millisecond
	// scaleCallTimeout limits one order. It is shorter than the lease.
	scaleCallTimeout = 2 * time.Second
	// unableAfter is how long all orders of a host fail until another host decides, and
	// unableFor how long it stays so. If no other host has begun to decide within
	// unableAlone, none is able and this one tries again.
	unableAfter = 3 * time.Second
	unableFor   = time.Minute
	unableAlone = 5 * time.Second
)

type (
	// scalingDeps holds the dependencies of scaling.
	scalingDeps struct {
		Name        string
		Incarnation uint64
		Lease       *lease.Lease
		Peers       demandPeers
		Fleet       *fleet.Fleet
		// Backlog returns what is left to do of this host's batches for a service.
		Backlog func(service string) []batch.Backlog
		// Routes returns the configuration in force, nil before the first one.
		Routes func() *routes.Table
		// Listed reports whether this host knows all endpoints.
		Listed func() bool
		// Order orders endpoints from the platform.
		Order  func(ctx context.Context, permit duty.Permit, service, domain string, desired int, spot bool) duty.Outcome
		Scope  tally.Scope
		Logger *zap.Logger
	}

	// scaling orders endpoints while this host is the one that decides, and sends this
	// host's demand to that host.
	scaling struct {
		deps scalingDeps
		duty *duty.Duty
		now  func() time.Duration
		// deciding is true while this host is the one that decides.
		deciding atomic.Bool
		tasks    sync.WaitGroup

		mu       sync.Mutex
		planners map[string]*scale.Planner
		reports  map[string]demandReport
		// ordering holds the orders that are being sent, by service and domain.
		ordering map[[2]string]bool
		// failingSince is since when all orders fail, zero while they don't.
		failingSince, unableUntil time.Duration
	}

	// ScalingState is the state of a host's part in ordering endpoints.
	ScalingState struct {
		duty.State
		// Deciding reports whether this host decides.
		Deciding bool          `json:"deciding"`
		Services []scale.State `json:"services"`
	}
)

func newScaling(deps scalingDeps) *scaling {
	s := &scaling{
		deps: deps, now: waits.Boottime, planners: make(map[string]*scale.Planner), reports: make(map[string]demandReport),
		ordering: make(map[[2]string]bool),
	}
	s.duty = duty.New(duty.Deps{Name: leaseScaling, Holder: deps.Name, Lease: deps.Lease, Assigned: s.deciding.Load, Logger: deps.Logger})
	return s
}

// run orders endpoints until the context ends, while this host is the one that decides.
func (s *scaling) run(ctx context.Context) error {
	defer s.tasks.Wait()
	return s.duty.Run(ctx, func(ctx context.Context) {
		event.ScalingStarted.Log(s.deps.Logger)
		defer event.ScalingStopped.Log(s.deps.Logger)
		for since := s.now(); ctx.Err() == nil && s.deciding.Load(); _ = waits.For(ctx, scaleInterval) {
			if due := s.decide(); s.now()-since >= decideDelay {
				s.sendDue(ctx, due)
			}
		}
	})
}

// follow records the endpoints while another host decides.
func (s *scaling) follow() {
	if s.deciding.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.services() {
		s.planner(service).Follow(s.observation(service))
	}
}

// decide updates the desired numbers and returns the orders that are due.
func (s *scaling) decide() []scale.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []scale.Order
	now := s.now()
	for _, service := range s.services() {
		planner := s.planner(service)
		before := planner.State()
		planner.Observe(s.observation(service))
		s.report(before, planner.State())
		for _, order := range planner.Due(now) {
			if !s.ordering[[2]string{order.Service, order.Domain}] {
				due = append(due, order)
			}
		}
	}
	return due
}

// services returns the services whose endpoints may be ordered. The caller holds the lock.
func (s *scaling) services() []routes.Service {
	table := s.deps.Routes()
	if table == nil || !s.deps.Listed() {
		return nil
	}
	return table.Scaled()
}

// planner returns the planner of a service. The caller holds the lock.
func (s *scaling) planner(service routes.Service) *scale.Planner {
	settings := scale.Service{
		Name: service.Name, Scaling: service.Scaling, Models: len(service.Models), Slots: service.Slots, Stride: service.Stride,
	}
	if states := s.deps.Fleet.Serving(service.Name); settings.Slots == 0 && len(states) > 0 {
		settings.Slots = states[0].Entry.Slots
	}
	planner := s.planners[service.Name]
	if planner == nil {
		planner = scale.NewPlanner(settings)
		s.planners[service.Name] = planner
	}
	planner.SetService(settings)
	return planner
}

// observation returns the present state of a service. The caller holds the lock.
func (s *scaling) observation(service routes.Service) scale.Observation {
	o := scale.Observation{At: s.now()}
	o.Work, o.Complete = s.demand(service.Name, o.At)
	for _, state := range s.deps.Fleet.Serving(service.Name) {
		o.Endpoints = append(o.Endpoints, endpointOf(state))
	}
	for _, state := range s.deps.Fleet.All() {
		if state.Leaving && state.Entry.Service == service.Name {
			o.Endpoints = append(o.Endpoints, endpointOf(state))
		}
	}
	return o
}

func endpointOf(state fleet.State) scale.Endpoint {
	return scale.Endpoint{
		ID: state.Entry.ID, Domain: state.Entry.Domain, Slots: state.Entry.Slots, Busy: state.Busy(), Draining: state.Leaving,
		Failing: state.Paused, EventInterval: state.EventInterval,
	}
}

// report logs the desired numbers that have changed, and updates the metrics.
func (s *scaling) report(before, after scale.State) {
	scope := s.deps.Scope.Tagged(map[string]string{"service": after.Service})
	scope.Gauge("scale_need").Update(after.Need)
	scope.Gauge("scale_capacity").Update(after.Capacity)
	known := make(map[string]int)
	for _, d := range before.Domains {
		known[d.Domain] = d.Desired
	}
	for _, d := range after.Domains {
		scope.Tagged(map[string]string{"domain": d.Domain}).Gauge("scale_desired").Update(float64(d.Desired))
		if from, ok := known[d.Domain]; ok && from != d.Desired {
			event.EndpointsDesired.Log(s.deps.Logger, zap.String("service", after.Service), zap.String("domain", d.Domain),
				zap.Int("from", from), zap.Int("to", d.Desired), zap.Int("ready", d.Ready), zap.String("reason", string(d.Reason)),
				zap.Float64("need", after.Need), zap.Float64("capacity", after.Capacity))
		}
	}
}

// sendDue sends the orders, not more than one at a time for each service and domain.
func (s *scaling) sendDue(ctx context.Context, due []scale.Order) {
	if len(due) == 0 || !s.duty.Prepare(ctx) {
		return
	}
	for _, order := range due {
		s.mu.Lock()
		s.ordering[[2]string{order.Service, order.Domain}] = true
		s.mu.Unlock()
		s.tasks.Go(func() { s.send(ctx, order) })
		if waits.For(ctx, scaleCallInterval) != nil {
			return
		}
	}
}

// send sends one order and records its outcome.
func (s *scaling) send(ctx context.Context, order scale.Order) {
	ctx, cancel := context.WithTimeout(ctx, scaleCallTimeout)
	defer cancel()
	outcome, held := s.duty.Call(ctx, func(ctx context.Context, permit duty.Permit) duty.Outcome {
		return s.deps.Order(ctx, permit, order.Service, order.Domain, order.Count, false)
	})
	if !held {
		outcome = duty.NotSent{Cause: duty.ErrNotPermitted}
	}
	s.deps.Scope.Tagged(map[string]string{"outcome": strings.TrimPrefix(fmt.Sprintf("%T", outcome), "duty.")}).
		Counter("scale_orders").Inc(1)
	fields := []zap.Field{
		zap.String("service", order.Service), zap.String("domain", order.Domain), zap.Int("count", order.Count),
		zap.String("reason", string(order.Reason)),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ordering, [2]string{order.Service, order.Domain})
	now, result := s.now(), scale.NotSent
	switch o := outcome.(type) {
	case duty.Done:
		result, s.failingSince = scale.Done, 0
		event.EndpointsOrdered.Log(s.deps.Logger, fields...)
	case duty.NoneAvailable:
		result, s.failingSince = scale.Unavailable, 0
		event.EndpointsUnavailable.Log(s.deps.Logger, fields...)
	case duty.TooMany:
		s.failingSince = 0
		event.EndpointsNotOrdered.Log(s.deps.Logger, append(fields, zap.String("outcome", "too_many"))...)
	case duty.NotSent:
		if !errors.Is(o.Cause, duty.ErrNotPermitted) {
			s.recordFailure(now)
		}
		event.EndpointsNotOrdered.Log(s.deps.Logger, append(fields, zap.String("outcome", "not_sent"), zap.Error(o.Cause))...)
	case duty.Unknown:
		result = scale.Unknown
		s.recordFailure(now)
		event.EndpointsNotOrdered.Log(s.deps.Logger, append(fields, zap.String("outcome", "unknown"), zap.Error(o.Cause))...)
	}
	if planner := s.planners[order.Service]; planner != nil {
		planner.Record(order, result, now)
	}
}

// recordFailure lets another host decide if this one's orders have failed for some time.
// The caller holds the lock.
func (s *scaling) recordFailure(now time.Duration) {
	s.failingSince = cmp.Or(s.failingSince, now)
	if now-s.failingSince < unableAfter {
		return
	}
	s.failingSince, s.unableUntil = 0, now+unableFor
	s.deciding.Store(false)
	event.ScalingUnable.Log(s.deps.Logger, zap.Duration("for", unableFor))
}

// able reports whether this host's orders have not failed recently.
func (s *scaling) able() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() >= s.unableUntil
}

// noneAble reports whether the other hosts had time to decide in place of this one. Then
// this one is able again.
func (s *scaling) noneAble() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() < s.unableUntil-unableFor+unableAlone {
		return false
	}
	s.unableUntil = 0
	return true
}

// dump returns the state, nil if this host orders no endpoints.
func (s *scaling) dump() *ScalingState {
	if s == nil {
		return nil
	}
	state := &ScalingState{State: s.duty.Dump(), Deciding: s.deciding.Load()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.services() {
		if planner := s.planners[service.Name]; planner != nil {
			state.Services = append(state.Services, planner.State())
		}
	}
	return state
}
