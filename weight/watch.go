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
	// EndpointMarkPrefix is the key prefix of facts that mark endpoints as leaving.
	EndpointMarkPrefix = "endpoint/"

	maxLoadedVersions = 3
)

type (
	// EndpointState is a snapshot of one watched endpoint.
	EndpointState struct {
		// Endpoint is the endpoint's name.
		Endpoint string `json:"endpoint"`
		// Cell is the cell that it belongs to.
		Cell string `json:"cell"`
		// State is the state of the endpoint chart.
		State string `json:"state"`
		// Version is the last reported weight version.
		Version uint64 `json:"version"`
	}

	// watcher polls one endpoint and sends it orders.
	watcher struct {
		supervisor *Supervisor
		cell       string
		endpoint   specs.Endpoint
		machine    *chart.Machine
		cancel     context.CancelFunc
		wake       chan struct{}
		changing   bool
		version    atomic.Uint64
	}
)

func (w *watcher) run(ctx context.Context) {
	for {
		pause := w.poll(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-w.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// poll requests the endpoint's status, reports it to the cell and sends the
// next order if one is due. A failed status request is repeated on a new
// connection. It returns the pause until the next poll.
func (w *watcher) poll(ctx context.Context) time.Duration {
	s := w.supervisor
	current := s.deps.Config.Current()
	cell, ok := s.deps.Dispatcher.Cell(w.cell)
	if !ok || current == nil {
		return statusInterval
	}
	pool, isPool := current.Set().Pool(w.endpoint.Pool())
	status, err := s.deps.Client.Status(ctx, w.endpoint.URL())
	if err != nil {
		status, err = s.deps.Client.Probe(ctx, w.endpoint.URL())
	}
	if ctx.Err() != nil {
		return statusInterval
	}
	w.updateState(status, err, pool, isPool)
	ready := w.machine.Is("ready") || (w.machine.Is("switching") && s.acceptsVersion(pool, status.Version))
	cell.Report(w.endpoint.Name(), permit.Report{
		Ready:       ready,
		Leaving:     w.machine.Is("leaving"),
		Incarnation: status.Incarnation,
	})
	if err != nil || !isPool || w.machine.Is("leaving") || s.deps.Members.Suspended() {
		s.endChange(w)
		return statusInterval
	}
	spec, _ := current.Cell(w.cell)
	return w.reconcileVersions(ctx, pool, status, len(spec.Endpoints()))
}

// updateState fires the event of the endpoint's state chart that matches its
// status and logs a change of state.
func (w *watcher) updateState(status engine.Status, err error, pool specs.Pool, isPool bool) {
	before := w.machine.State()
	w.version.Store(status.Version)
	switch {
	case w.markedLeaving() || (err == nil && status.Leaving):
		_ = w.machine.Fire("leave")
	case err != nil:
		_ = w.machine.Fire("fail")
	case isPool && status.Version != pool.ServedVersion():
		w.endLeaving()
		_ = w.machine.Fire("report_other_version")
	default:
		w.endLeaving()
		_ = w.machine.Fire("report")
	}
	w.logStateChange(before, err)
}

// endLeaving returns an endpoint that is no longer leaving to service.
func (w *watcher) endLeaving() {
	if w.machine.Is("leaving") {
		_ = w.machine.Fire("return")
	}
}

func (w *watcher) logStateChange(before chart.State, err error) {
	after := w.machine.State()
	if after == before {
		return
	}
	fields := []zap.Field{zap.String("endpoint", w.endpoint.Name()), zap.Uint64("version", w.version.Load())}
	logger := w.supervisor.deps.Logger
	switch after {
	case "ready":
		event.EndpointReady.Log(logger, fields...)
	case "down":
		event.EndpointDown.Log(logger, append(fields, zap.Error(err))...)
	case "leaving":
		event.EndpointLeaving.Log(logger, fields...)
	}
}

// markedLeaving reports whether an operator is draining the endpoint.
func (w *watcher) markedLeaving() bool {
	fact := w.supervisor.deps.Store.Get(EndpointMarkPrefix + w.endpoint.Name())
	return fact.GetEndpointMark().GetLeaving()
}

// EndpointMarkFact returns the fact that marks an endpoint as leaving or as back in
// service.
func EndpointMarkFact(endpoint string, leaving bool, now time.Time) *wirepb.Fact {
	return &wirepb.Fact{
		Key:     EndpointMarkPrefix + endpoint,
		Version: uint64(now.UnixMilli()),
		Value: &wirepb.Fact_EndpointMark{EndpointMark: &wirepb.EndpointMark{
			Endpoint: endpoint, Leaving: leaving,
		}},
	}
}

// reconcileVersions sends the next order towards the declared versions, if one is
// due.
func (w *watcher) reconcileVersions(
	ctx context.Context, pool specs.Pool, status engine.Status, cellSize int,
) time.Duration {
	order, due := nextOrder(pool, status)
	if !due {
		if status.Loading == 0 {
			w.supervisor.endChange(w)
		}
		if status.Loading == pool.ServedVersion() && status.Loading != 0 {
			return changeInterval
		}
		return statusInterval
	}
	if !w.supervisor.tryBeginChange(w, pool, cellSize) {
		return changeInterval
	}
	if err := w.sendOrder(ctx, pool, order); err != nil {
		w.supervisor.endChange(w)
		event.OrderFailed.Log(w.supervisor.deps.Logger, zap.String("endpoint", w.endpoint.Name()),
			zap.String("order", string(order.Kind)), zap.Uint64("version", order.Version), zap.Error(err))
		return statusInterval / 2
	}
	event.OrderSent.Log(w.supervisor.deps.Logger, zap.String("endpoint", w.endpoint.Name()),
		zap.String("order", string(order.Kind)), zap.Uint64("version", order.Version),
		zap.Uint64("fence", order.Fence))
	return changeInterval / 2
}

// nextOrder returns the next order for an endpoint with this status.
func nextOrder(pool specs.Pool, status engine.Status) (engine.Order, bool) {
	isLoaded := func(version uint64) bool { return slices.Contains(status.Loaded, version) }
	switch {
	case status.Version != pool.ServedVersion() && isLoaded(pool.ServedVersion()):
		return engine.Order{Kind: engine.OrderSwitch, Version: pool.ServedVersion()}, true
	case status.Loading != 0:
		return engine.Order{}, false
	case !isLoaded(pool.ServedVersion()):
		return engine.Order{Kind: engine.OrderLoad, Version: pool.ServedVersion()}, true
	case !isLoaded(pool.StagedVersion()):
		return engine.Order{Kind: engine.OrderLoad, Version: pool.StagedVersion()}, true
	case len(status.Loaded) > maxLoadedVersions:
		return engine.Order{Kind: engine.OrderUnload, Version: slices.Min(status.Loaded)}, true
	default:
		return engine.Order{}, false
	}
}

func (w *watcher) sendOrder(ctx context.Context, pool specs.Pool, order engine.Order) error {
	s := w.supervisor
	token, err := s.acquireFence(ctx, w.cell)
	if err != nil {
		return err
	}
	order.Fence = token
	order.Operation = w.endpoint.Name() + "-" + time.Now().Format(time.RFC3339Nano)
	ctx, cancel := context.WithTimeout(ctx, pool.OrderLimit())
	defer cancel()
	err = s.deps.Client.SendOrder(ctx, w.endpoint.URL(), order)
	var fenced *engine.FencedError
	if errors.As(err, &fenced) {
		event.OrderFenced.Log(s.deps.Logger, zap.String("cell", w.cell), zap.Uint64("fence", token),
			zap.Uint64("seen", fenced.Fence))
		s.invalidateFence(w.cell, token)
	}
	return err
}
