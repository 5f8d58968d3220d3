// Package weight keeps the endpoints of a node's cells at the declared weight
// versions and tells the cells which endpoints are ready.
//
// Each endpoint of an owned cell is asked for its status every two seconds. A
// version to be staged is loaded ahead, a bounded share of a cell at a time; a
// version to be served is switched to, again a bounded share at a time, and
// read back. Orders carry a fencing number that the node takes for the cell in
// the platform. An endpoint that ignores fencing numbers may be changed by an
// old order; the next read-back then repeats the declared one.
//
// An endpoint that doesn't know its version, after a switch that failed
// partway, is out until it reports a known one.
//
// # Usage
//
//	supervisor := weight.New(weight.Parts{Desk: desk, ...})
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
	busyInterval      = 100 * time.Millisecond
	maxPercent        = 100
)

type (
	// Parts are what a supervisor works with.
	Parts struct {
		// Config tells what is declared.
		Config *active.Keeper
		// Desk holds the node's cells.
		Desk *permit.Desk
		// Members tells whether the process was paused.
		Members *member.Members
		// Store holds the marks of endpoints that operators drain.
		Store *facts.Store
		// Platform keeps the fencing numbers.
		Platform *object.Client
		// Client calls the engines.
		Client *engine.Client
		// Logger takes the events.
		Logger *zap.Logger
	}

	// Supervisor looks after the endpoints of a node's cells.
	Supervisor struct {
		parts Parts
		chart *chart.Chart

		mu       sync.Mutex
		watched  map[string]*watch
		fences   map[string]*fence
		previous map[string]uint64
		serving  map[string]uint64
		tasks    sync.WaitGroup
	}
)

// New returns a supervisor.
func New(parts Parts) *Supervisor {
	return &Supervisor{
		parts:    parts,
		chart:    chart.MustLoad("endpoint"),
		watched:  make(map[string]*watch),
		fences:   make(map[string]*fence),
		previous: make(map[string]uint64),
		serving:  make(map[string]uint64),
	}
}

// Run looks after endpoints until ctx ends and then waits for its tasks.
func (s *Supervisor) Run(ctx context.Context) error {
	defer s.tasks.Wait()
	changed := make(chan struct{}, 1)
	s.parts.Config.Notify(changed)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			s.kickAll()
		case <-ticker.C:
		}
	}
}

// reconcile starts a watch for each endpoint of an owned cell and ends others.
func (s *Supervisor) reconcile(ctx context.Context) {
	current := s.parts.Config.Current()
	if current == nil {
		return
	}
	s.parts.Desk.Reconcile()
	s.noteServed(current.Set())
	wanted := make(map[string]specs.Cell)
	endpoints := make(map[string]specs.Endpoint)
	for _, name := range s.parts.Desk.Owned() {
		cell, ok := current.Cell(name)
		if !ok {
			continue
		}
		for _, e := range cell.Endpoints() {
			wanted[e.Name()] = cell
			endpoints[e.Name()] = e
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, w := range s.watched {
		if cell, ok := wanted[name]; !ok || cell.Name() != w.cell || endpoints[name] != w.endpoint {
			w.cancel()
			delete(s.watched, name)
		}
	}
	for name, cell := range wanted {
		if s.watched[name] == nil {
			s.startWatch(ctx, cell, endpoints[name])
		}
	}
}

func (s *Supervisor) startWatch(ctx context.Context, cell specs.Cell, e specs.Endpoint) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{
		supervisor: s,
		cell:       cell.Name(),
		endpoint:   e,
		machine:    s.chart.Start(),
		cancel:     cancel,
		kick:       make(chan struct{}, 1),
	}
	s.watched[e.Name()] = w
	s.tasks.Go(func() { w.run(ctx) })
}

func (s *Supervisor) kickAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.watched {
		select {
		case w.kick <- struct{}{}:
		default:
		}
	}
}

// noteServed remembers which version each pool served before the present one.
func (s *Supervisor) noteServed(set *specs.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range set.Pools() {
		if old := s.serving[pool.Name()]; old != pool.Serve() {
			s.previous[pool.Name()] = old
			s.serving[pool.Name()] = pool.Serve()
		}
	}
}

// acceptable reports whether an endpoint with this version may be given work.
func (s *Supervisor) acceptable(pool specs.Pool, version uint64) bool {
	if version == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return version == pool.Serve() || version == s.previous[pool.Name()]
}

// mayChange reports whether one more endpoint of the cell may load or switch.
func (s *Supervisor) mayChange(w *watch, pool specs.Pool, size int) bool {
	most := max(1, size*pool.SwitchShare()/maxPercent)
	s.mu.Lock()
	defer s.mu.Unlock()
	changing := 0
	for _, other := range s.watched {
		if other != w && other.cell == w.cell && other.changing {
			changing++
		}
	}
	if changing >= most {
		return false
	}
	w.changing = true
	return true
}

func (s *Supervisor) changed(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.changing = false
}

// States returns a picture of the watched endpoints.
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
