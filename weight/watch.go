package weight

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/chart"
	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// MarkPrefix starts the keys of facts that mark endpoints as leaving.
	MarkPrefix = "endpoint/"

	maxLoaded = 3
)

type (
	// EndpointState is a picture of one watched endpoint.
	EndpointState struct {
		// Endpoint is the endpoint's name.
		Endpoint string `json:"endpoint"`
		// Cell is the cell that it belongs to.
		Cell string `json:"cell"`
		// State is the state of the endpoint chart.
		State string `json:"state"`
		// Version is the weight version last reported.
		Version uint64 `json:"version"`
	}

	// watch looks after one endpoint.
	watch struct {
		supervisor *Supervisor
		cell       string
		endpoint   specs.Endpoint
		machine    *chart.Machine
		cancel     context.CancelFunc
		kick       chan struct{}
		changing   bool
		version    atomic.Uint64
	}
)

func (w *watch) run(ctx context.Context) {
	for {
		pause := w.round(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-w.kick:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// round asks for the status, reports it to the cell and gives the orders that
// it calls for. It returns the pause until the next round.
func (w *watch) round(ctx context.Context) time.Duration {
	s := w.supervisor
	current := s.parts.Config.Current()
	cell, ok := s.parts.Desk.Cell(w.cell)
	if !ok || current == nil {
		return statusInterval
	}
	pool, isPool := current.Set().Pool(w.endpoint.Pool())
	status, err := s.parts.Client.Status(ctx, w.endpoint.URL())
	if err != nil {
		status, err = s.parts.Client.Probe(ctx, w.endpoint.URL())
	}
	if ctx.Err() != nil {
		return statusInterval
	}
	w.note(status, err, pool, isPool)
	ready := w.machine.Is("ready") || (w.machine.Is("switching") && s.acceptable(pool, status.Version))
	cell.Report(w.endpoint.Name(), permit.Report{
		Ready:       ready,
		Leaving:     w.machine.Is("leaving"),
		Incarnation: status.Incarnation,
	})
	if err != nil || !isPool || w.machine.Is("leaving") || s.parts.Members.Suspended() {
		s.changed(w)
		return statusInterval
	}
	spec, _ := current.Cell(w.cell)
	return w.bringUp(ctx, pool, status, len(spec.Endpoints()))
}

// note moves the endpoint's chart along its report.
func (w *watch) note(status engine.Status, err error, pool specs.Pool, isPool bool) {
	before := w.machine.State()
	w.version.Store(status.Version)
	switch {
	case w.marked() || (err == nil && status.Leaving):
		_ = w.machine.Fire("leave")
	case err != nil:
		_ = w.machine.Fire("fail")
	case isPool && status.Version != pool.Serve():
		w.returned()
		_ = w.machine.Fire("report_other_version")
	default:
		w.returned()
		_ = w.machine.Fire("report")
	}
	w.logChange(before, err)
}

// returned takes an endpoint back that is no longer leaving.
func (w *watch) returned() {
	if w.machine.Is("leaving") {
		_ = w.machine.Fire("return")
	}
}

func (w *watch) logChange(before chart.State, err error) {
	after := w.machine.State()
	if after == before {
		return
	}
	fields := []zap.Field{zap.String("endpoint", w.endpoint.Name()), zap.Uint64("version", w.version.Load())}
	logger := w.supervisor.parts.Logger
	switch after {
	case "ready":
		event.EndpointReady.Log(logger, fields...)
	case "down":
		event.EndpointDown.Log(logger, append(fields, zap.Error(err))...)
	case "leaving":
		event.EndpointLeaving.Log(logger, fields...)
	}
}

// marked reports whether an operator drains the endpoint.
func (w *watch) marked() bool {
	fact := w.supervisor.parts.Store.Get(MarkPrefix + w.endpoint.Name())
	return fact.GetEndpointMark().GetLeaving()
}

// MarkFact returns the fact that an endpoint is leaving or back.
func MarkFact(endpoint string, leaving bool, now time.Time) *wirepb.Fact {
	return &wirepb.Fact{
		Key:     MarkPrefix + endpoint,
		Version: uint64(now.UnixMilli()),
		Value: &wirepb.Fact_EndpointMark{EndpointMark: &wirepb.EndpointMark{
			Endpoint: endpoint, Leaving: leaving,
		}},
	}
}

// bringUp gives the next order towards the declared versions, if one is due.
func (w *watch) bringUp(ctx context.Context, pool specs.Pool, status engine.Status, size int) time.Duration {
	order, due := nextOrder(pool, status)
	if !due {
		if status.Loading == 0 {
			w.supervisor.changed(w)
		}
		if status.Loading == pool.Serve() && status.Loading != 0 {
			return busyInterval
		}
		return statusInterval
	}
	if !w.supervisor.mayChange(w, pool, size) {
		return busyInterval
	}
	if err := w.give(ctx, pool, order); err != nil {
		w.supervisor.changed(w)
		event.OrderFailed.Log(w.supervisor.parts.Logger, zap.String("endpoint", w.endpoint.Name()),
			zap.String("order", string(order.Kind)), zap.Uint64("version", order.Version), zap.Error(err))
		return statusInterval / 2
	}
	event.OrderGiven.Log(w.supervisor.parts.Logger, zap.String("endpoint", w.endpoint.Name()),
		zap.String("order", string(order.Kind)), zap.Uint64("version", order.Version),
		zap.Uint64("fence", order.Fence))
	return busyInterval / 2
}

// nextOrder returns what an endpoint with this status must be told next.
func nextOrder(pool specs.Pool, status engine.Status) (engine.Order, bool) {
	loaded := func(version uint64) bool { return slices.Contains(status.Loaded, version) }
	switch {
	case status.Version != pool.Serve() && loaded(pool.Serve()):
		return engine.Order{Kind: engine.OrderSwitch, Version: pool.Serve()}, true
	case status.Loading != 0:
		return engine.Order{}, false
	case !loaded(pool.Serve()):
		return engine.Order{Kind: engine.OrderLoad, Version: pool.Serve()}, true
	case !loaded(pool.Stage()):
		return engine.Order{Kind: engine.OrderLoad, Version: pool.Stage()}, true
	case len(status.Loaded) > maxLoaded:
		return engine.Order{Kind: engine.OrderUnload, Version: slices.Min(status.Loaded)}, true
	default:
		return engine.Order{}, false
	}
}

func (w *watch) give(ctx context.Context, pool specs.Pool, order engine.Order) error {
	s := w.supervisor
	held, err := s.fence(ctx, w.cell)
	if err != nil {
		return err
	}
	order.Fence = held
	order.Operation = w.endpoint.Name() + "-" + time.Now().Format(time.RFC3339Nano)
	ctx, cancel := context.WithTimeout(ctx, pool.OrderLimit())
	defer cancel()
	err = s.parts.Client.Order(ctx, w.endpoint.URL(), order)
	var fenced *engine.FencedError
	if errors.As(err, &fenced) {
		event.OrderFenced.Log(s.parts.Logger, zap.String("cell", w.cell), zap.Uint64("fence", held),
			zap.Uint64("seen", fenced.Fence))
		s.dropFence(w.cell, held)
	}
	return err
}
