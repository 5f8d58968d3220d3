package permit

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	keeperTimeout       = 600 * time.Millisecond
	queueUpdateInterval = 200 * time.Millisecond
	maxKeepersTried     = 2
	idleCellTTL         = 30 * time.Second
	loadTTL             = 2 * time.Second
	utilizationLimit    = 1.0
	maxCellsPerCaller   = 3
	maxCellsPerSample   = 4
	nextCellDelay       = 20 * time.Millisecond
)

type (
	// Dispatcher grants permits for this node's cells and requests permits for
	// other cells from their keepers.
	Dispatcher struct {
		config  *active.Config
		members *member.Members
		pool    *peers.Pool
		logger  *zap.Logger

		mu         sync.Mutex
		cells      map[string]*Cell
		loads      map[string]reportedLoad
		owned      ownership
		configured *active.Current
	}

	// ownership caches the names of the cells that this node owns under a
	// membership view and a configuration.
	ownership struct {
		view    *member.View
		current *active.Current
		names   []string
	}

	// Permit holds a slot at an endpoint, granted by this node or by another.
	Permit struct {
		endpoint    string
		url         string
		incarnation uint64
		grant       *Grant
		stream      *peers.Stream
		once        sync.Once
	}

	// acquireResult is the reply of a cell's keeper.
	acquireResult struct {
		permit *Permit
		err    error
	}

	reportedLoad struct {
		load Load
		at   time.Time
	}
)

// NewDispatcher returns a Dispatcher without cells.
func NewDispatcher(config *active.Config, members *member.Members, pool *peers.Pool, logger *zap.Logger) *Dispatcher {
	return &Dispatcher{
		config:  config,
		members: members,
		pool:    pool,
		logger:  logger,
		cells:   make(map[string]*Cell),
		loads:   make(map[string]reportedLoad),
	}
}

// Endpoint returns the endpoint's name.
func (p *Permit) Endpoint() string { return p.endpoint }

// URL returns the endpoint's address.
func (p *Permit) URL() string { return p.url }

// Incarnation returns the endpoint's last reported incarnation, 0 if unknown.
func (p *Permit) Incarnation() uint64 { return p.incarnation }

// Done reports the result and releases the slot. Calls after the first have no effect.
func (p *Permit) Done(result Result) {
	p.once.Do(func() {
		if p.grant != nil {
			p.grant.Done(result)
			return
		}
		_ = p.stream.Send(&wirepb.Frame{Body: &wirepb.Frame_PermitDone{PermitDone: &wirepb.PermitDone{
			Outcome: result.Outcome,
			RunUs:   result.Run.Microseconds(),
			Tokens:  uint32(result.Tokens),
		}}})
		_ = p.stream.Close()
	})
}

// Cell returns the local cell with the given name and creates it on first use.
func (d *Dispatcher) Cell(name string) (*Cell, bool) {
	current := d.config.Current()
	if current == nil {
		return nil, false
	}
	spec, ok := current.Cell(name)
	if !ok {
		return nil, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	cell := d.cells[name]
	if cell == nil {
		cell = NewCell(name)
		cell.Configure(layoutOf(current.Set(), spec))
		d.cells[name] = cell
	}
	return cell, true
}

// Cells returns the cells that exist on this node.
func (d *Dispatcher) Cells() []*Cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	cells := make([]*Cell, 0, len(d.cells))
	for _, c := range d.cells {
		cells = append(cells, c)
	}
	return cells
}

// Owned returns the names of the cells that this node owns.
func (d *Dispatcher) Owned() []string {
	current, view := d.config.Current(), d.members.View()
	if current == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owned.view == view && d.owned.current == current {
		return d.owned.names
	}
	d.owned = ownership{view: view, current: current}
	for _, cell := range current.Cells() {
		if ranked := view.Rank(cell.Name(), cell.Domain(), 1); len(ranked) > 0 && ranked[0].Name() == view.Self() {
			d.owned.names = append(d.owned.names, cell.Name())
		}
	}
	return d.owned.names
}

// Reconcile applies a changed configuration and drops cells that are no longer
// configured, and idle cells that this node does not own.
func (d *Dispatcher) Reconcile() {
	current := d.config.Current()
	if current == nil {
		return
	}
	owned := make(map[string]bool)
	for _, name := range d.Owned() {
		owned[name] = true
		d.Cell(name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, cell := range d.cells {
		spec, ok := current.Cell(name)
		idle := cell.Load().InFlight == 0 && time.Since(cell.LastAcquire()) > idleCellTTL
		switch {
		case !ok || (!owned[name] && idle):
			delete(d.cells, name)
		case d.configured != current:
			cell.Configure(layoutOf(current.Set(), spec))
		}
	}
	d.configured = current
}

func layoutOf(set *specs.Set, cell specs.Cell) Layout {
	layout := Layout{Endpoints: cell.Endpoints()}
	for _, service := range set.Services() {
		if service.Backend() == cell.Backend() {
			layout.Window = service.Window()
			layout.Reserve = !service.Plain()
		}
	}
	first := cell.Endpoints()[0]
	if pool, ok := set.Pool(first.Pool()); ok {
		layout.Window = pool.Window()
	}
	return layout
}

// Acquire gets a permit from a cell of the backend. It requests one from the best
// cell and, while no cell has granted one, from one more cell each nextCellDelay;
// the first permit wins. A request that must run alone waits in one cell at a
// time. The error is a *RefusedError or the context's error.
func (d *Dispatcher) Acquire(ctx context.Context, backend string, request Request) (*Permit, error) {
	current := d.config.Current()
	if current == nil {
		return nil, &RefusedError{reason: "no configuration is in force yet", retryDelay: defaultRetryAfter}
	}
	cells := d.rankCells(current.Backend(backend), request)
	if len(cells) == 0 {
		return nil, &RefusedError{reason: "no endpoints for " + backend, retryDelay: defaultRetryAfter}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan acquireResult, len(cells))
	nextCell := time.NewTimer(0)
	defer nextCell.Stop()
	started, pending := 0, 0
	var refusals []error
	for {
		select {
		case <-nextCell.C:
			cell := cells[started]
			started, pending = started+1, pending+1
			go func() {
				permit, err := d.acquireFromKeeper(ctx, cell, request)
				results <- acquireResult{permit: permit, err: err}
			}()
			if started < len(cells) && !request.Alone {
				nextCell.Reset(nextCellDelay)
			}
		case result := <-results:
			pending--
			if result.err == nil {
				cancel()
				go releaseSurplus(results, pending)
				return result.permit, nil
			}
			refusals = append(refusals, result.err)
			if isQuarantined(result.err) || (pending == 0 && started == len(cells)) {
				return nil, mergeRefusals(ctx, backend, refusals)
			}
			if started < len(cells) {
				nextCell.Reset(0)
			}
		}
	}
}

// releaseSurplus releases permits that were granted after the first.
func releaseSurplus(results <-chan acquireResult, pending int) {
	for range pending {
		if result := <-results; result.err == nil {
			result.permit.Done(Result{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
		}
	}
}

func isQuarantined(err error) bool {
	var refusal *RefusedError
	return errors.As(err, &refusal) && refusal.quarantined
}

// mergeRefusals returns the refusal with the shortest retry delay; a quarantine
// takes precedence. Without a refusal it returns the context's error, or a
// refusal because no keeper answered.
func mergeRefusals(ctx context.Context, backend string, refusals []error) error {
	var soonest *RefusedError
	for _, err := range refusals {
		var refused *RefusedError
		if !errors.As(err, &refused) {
			continue
		}
		if refused.quarantined {
			return refused
		}
		if soonest == nil || refused.retryDelay < soonest.retryDelay {
			soonest = refused
		}
	}
	if soonest != nil {
		return soonest
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &RefusedError{reason: "no keeper for " + backend + " answers", retryDelay: defaultRetryAfter}
}

func (d *Dispatcher) acquireFromKeeper(ctx context.Context, cell specs.Cell, request Request) (*Permit, error) {
	view := d.members.View()
	var err error
	for _, keeper := range view.Rank(cell.Name(), cell.Domain(), maxKeepersTried) {
		var permit *Permit
		if keeper.Name() == view.Self() {
			permit, err = d.acquireLocal(ctx, cell.Name(), request)
		} else {
			permit, err = d.acquireRemote(ctx, keeper, cell.Name(), request)
		}
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) || ctx.Err() != nil {
			return permit, err
		}
		event.CellKeeperUnreachable.Log(d.logger, zap.String("cell", cell.Name()),
			zap.String("keeper", keeper.Name()), zap.Error(err))
	}
	return nil, err
}

func (d *Dispatcher) acquireLocal(ctx context.Context, name string, request Request) (*Permit, error) {
	cell, ok := d.Cell(name)
	if !ok {
		return nil, &RefusedError{reason: "cell " + name + " is not configured", retryDelay: defaultRetryAfter}
	}
	grant, err := cell.Acquire(ctx, request)
	d.recordLoad(name, cell.Load())
	if err != nil {
		return nil, err
	}
	return &Permit{
		endpoint:    grant.Endpoint(),
		url:         grant.URL(),
		incarnation: grant.Incarnation(),
		grant:       grant,
	}, nil
}

// acquireRemote requests a permit from another node. While the request is queued
// the keeper sends an update every queueUpdateInterval, so that an unresponsive
// keeper is detected after keeperTimeout.
func (d *Dispatcher) acquireRemote(ctx context.Context, keeper member.Node, name string, request Request) (*Permit, error) {
	call := &wirepb.PermitCall{
		Cell:        name,
		Priority:    request.Priority,
		Share:       request.Share,
		Weight:      uint32(request.Weight),
		DeadlineMs:  time.Until(request.Deadline).Milliseconds(),
		Prefix:      request.Prefix,
		Fingerprint: request.Fingerprint,
		Exclude:     request.Exclude,
		Alone:       request.Alone,
	}
	stream, err := d.pool.Open(context.WithoutCancel(ctx), keeper.PeerAddress(),
		&wirepb.Frame{Body: &wirepb.Frame_PermitCall{PermitCall: call}})
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	reply, err := d.awaitGrant(keeper, stream)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = stream.Close()
		return nil, asRefused(err)
	}
	d.recordLoad(name, loadOf(reply))
	return &Permit{
		endpoint:    reply.GetEndpoint(),
		url:         reply.GetUrl(),
		incarnation: reply.GetIncarnation(),
		stream:      stream,
	}, nil
}

func (d *Dispatcher) awaitGrant(keeper member.Node, stream *peers.Stream) (*wirepb.PermitReply, error) {
	timeout := time.AfterFunc(keeperTimeout, func() {
		d.pool.Forget(keeper.PeerAddress())
		_ = stream.Close()
	})
	defer timeout.Stop()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		timeout.Reset(keeperTimeout)
		reply := frame.GetPermitReply()
		if reply.GetEndpoint() != "" {
			return reply, nil
		}
	}
}

func asRefused(err error) error {
	var remote *peers.RemoteError
	if errors.As(err, &remote) {
		return &RefusedError{
			reason:      remote.Error(),
			retryDelay:  max(minRetryAfter, remote.RetryAfter()),
			quarantined: remote.Quarantined(),
		}
	}
	return err
}

func loadOf(reply *wirepb.PermitReply) Load {
	return Load{
		Queued:   int(reply.GetQueued()),
		InFlight: int(reply.GetInFlight()),
		Capacity: int(reply.GetCapacity()),
	}
}
