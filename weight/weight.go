// Package weight reconciles the weight versions of the endpoints in a node's cells
// with the configuration and reports to the cells which endpoints are ready.
//
// Each endpoint of an owned cell is polled for its status every two seconds.
// The version that a pool stages is loaded in advance, and the version that it
// serves is switched to; both on a bounded share of a cell at a time. The next
// status confirms the switch. Orders to endpoints carry a fencing token that
// the node acquires for the cell in the platform. An endpoint that ignores
// fencing tokens may execute an outdated order; after the next status the
// declared version is ordered again.
//
// An endpoint that reports no version, after a switch that failed partway, gets
// no requests until it reports one.
//
// # Usage
//
//	supervisor := weight.New(weight.Deps{Dispatcher: dispatcher, ...})
//	err := supervisor.Run(ctx)
package weight

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/chart"
	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/facts"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/specs"
)

const (
	reconcileInterval = time.Second
	statusInterval    = 2 * time.Second
	changeInterval    = 100 * time.Millisecond
	fullPercent       = 100
)

type (
	// Deps are the dependencies of a Supervisor.
	Deps struct {
		// Config provides the current configuration.
		Config *active.Config
		// Dispatcher holds this node's cells.
		Dispatcher *permit.Dispatcher
		// Members reports whether the process was paused.
		Members *member.Members
		// Store holds the marks of endpoints that operators drain.
		Store *facts.Store
		// Platform stores the fencing tokens.
		Platform *object.Client
		// Client calls the engines.
		Client *engine.Client
		// Logger receives the log events.
		Logger *zap.Logger
	}

	// Supervisor manages the endpoints of a node's cells.
	Supervisor struct {
		deps  Deps
		chart *chart.Chart

		mu               sync.Mutex
		watched          map[string]*watcher
		fences           map[string]*cellFence
		previousVersions map[string]uint64
		servedVersions   map[string]uint64
		tasks            sync.WaitGroup
	}
)

// New returns a Supervisor.
func New(deps Deps) *Supervisor {
	return &Supervisor{
		deps:             deps,
		chart:            chart.MustLoad("endpoint"),
		watched:          make(map[string]*watcher),
		fences:           make(map[string]*cellFence),
		previousVersions: make(map[string]uint64),
		servedVersions:   make(map[string]uint64),
	}
}

// Run manages the endpoints until ctx ends and then waits for its tasks.
func (s *Supervisor) Run(ctx context.Context) error {
	defer s.tasks.Wait()
	changed := make(chan struct{}, 1)
	s.deps.Config.Subscribe(changed)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			s.wakeAll()
		case <-ticker.C:
		}
	}
}

// reconcile starts a watcher for each endpoint of an owned cell and stops the
// others.
func (s *Supervisor) reconcile(ctx context.Context) {
	current := s.deps.Config.Current()
	if current == nil {
		return
	}
	s.deps.Dispatcher.Reconcile()
	s.recordServedVersions(current.Set())
	desired := make(map[string]specs.Cell)
	endpoints := make(map[string]specs.Endpoint)
	for _, name := range s.deps.Dispatcher.Owned() {
		cell, ok := current.Cell(name)
		if !ok {
			continue
		}
		for _, e := range cell.Endpoints() {
			desired[e.Name()] = cell
			endpoints[e.Name()] = e
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, w := range s.watched {
		if cell, ok := desired[name]; !ok || cell.Name() != w.cell || endpoints[name] != w.endpoint {
			w.cancel()
			delete(s.watched, name)
		}
	}
	for name, cell := range desired {
		if s.watched[name] == nil {
			s.startWatcher(ctx, cell, endpoints[name])
		}
	}
}

func (s *Supervisor) startWatcher(ctx context.Context, cell specs.Cell, e specs.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{
		supervisor: s,
		cell:       cell.Name(),
		endpoint:   e,
		machine:    s.chart.Start(),
		cancel:     cancel,
		wake:       make(chan struct{}, 1),
	}
	s.watched[e.Name()] = w
	s.tasks.Go(func() { w.run(ctx) })
}

func (s *Supervisor) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.watched {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// recordServedVersions records the version that each pool serves and, when it
// changes, the previous one.
func (s *Supervisor) recordServedVersions(set *specs.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range set.Pools() {
		if old := s.servedVersions[pool.Name()]; old != pool.ServedVersion() {
			s.previousVersions[pool.Name()] = old
			s.servedVersions[pool.Name()] = pool.ServedVersion()
		}
	}
}

// acceptsVersion reports whether an endpoint with this version may get requests:
// it must serve the pool's current or previous version.
func (s *Supervisor) acceptsVersion(pool specs.Pool, version uint64) bool {
	if version == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return version == pool.ServedVersion() || version == s.previousVersions[pool.Name()]
}

// tryBeginChange marks the endpoint as changing and reports true if one more
// endpoint of the cell may load or switch a version.
func (s *Supervisor) tryBeginChange(w *watcher, pool specs.Pool, cellSize int) bool {
	limit := max(1, cellSize*pool.SwitchShare()/fullPercent)
	s.mu.Lock()
	defer s.mu.Unlock()
	changing := 0
	for _, other := range s.watched {
		if other != w && other.cell == w.cell && other.changing {
			changing++
		}
	}
	if changing >= limit {
		return false
	}
	w.changing = true
	return true
}

func (s *Supervisor) endChange(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.changing = false
}

// States returns a snapshot of the watched endpoints.
func (s *Supervisor) States() []EndpointState {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]EndpointState, 0, len(s.watched))
	for name, w := range s.watched {
		states = append(states, EndpointState{
			Endpoint: name,
			Cell:     w.cell,
			State:    string(w.machine.State()),
			Version:  w.version.Load(),
		})
	}
	return states
}
