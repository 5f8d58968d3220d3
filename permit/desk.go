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
	askTimeout     = 600 * time.Millisecond
	queueInterval  = 200 * time.Millisecond
	keepersToTry   = 2
	idleCellLife   = 30 * time.Second
	loadLife       = 2 * time.Second
	busyLimit      = 1.0
	cellsPerCaller = 3
	cellsPerSample = 4
	nextCellAfter  = 20 * time.Millisecond
)

type (
	// Desk keeps the cells of this node and asks other nodes for theirs.
	Desk struct {
		config  *active.Keeper
		members *member.Members
		pool    *peers.Pool
		logger  *zap.Logger

		mu         sync.Mutex
		cells      map[string]*Cell
		loads      map[string]seenLoad
		owned      ownership
		configured *active.Current
	}

	// ownership is which cells fell to this node by a view and a configuration.
	ownership struct {
		view    *member.View
		current *active.Current
		names   []string
	}

	// Permit is a place at an endpoint, given out here or by another node.
	Permit struct {
		endpoint    string
		url         string
		incarnation uint64
		grant       *Grant
		stream      *peers.Stream
		once        sync.Once
	}

	// answer is what a cell's keeper said.
	answer struct {
		permit *Permit
		err    error
	}

	seenLoad struct {
		load Load
		at   time.Time
	}
)

// NewDesk returns a desk without cells.
func NewDesk(config *active.Keeper, members *member.Members, pool *peers.Pool, logger *zap.Logger) *Desk {
	return &Desk{
		config:  config,
		members: members,
		pool:    pool,
		logger:  logger,
		cells:   make(map[string]*Cell),
		loads:   make(map[string]seenLoad),
	}
}

// Endpoint returns the endpoint's name.
func (p *Permit) Endpoint() string { return p.endpoint }

// URL returns the endpoint's address.
func (p *Permit) URL() string { return p.url }

// Incarnation returns the endpoint's life as last reported, 0 if unknown.
func (p *Permit) Incarnation() uint64 { return p.incarnation }

// Done gives the place back with the result. Calls after the first have no effect.
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

// Cell returns this node's cell of the name, made when first asked for.
func (d *Desk) Cell(name string) (*Cell, bool) {
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

// Cells returns the cells that this node keeps now.
func (d *Desk) Cells() []*Cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	cells := make([]*Cell, 0, len(d.cells))
	for _, c := range d.cells {
		cells = append(cells, c)
	}
	return cells
}

// Owned returns the names of the cells that this node is to keep.
func (d *Desk) Owned() []string {
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

// Reconcile takes over a changed configuration and drops cells that this node
// neither owns nor was asked for lately.
func (d *Desk) Reconcile() {
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
		idle := cell.Load().InFlight == 0 && time.Since(cell.IdleSince()) > idleCellLife
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

// Acquire gets a place in a cell of the backend. It asks the best cell first; as
// long as it waits there it asks one more after each moment, and takes what
// comes first; a suspect waits in one cell at a time. Its error is a *RefusedError or the context's.
func (d *Desk) Acquire(ctx context.Context, backend string, ask Ask) (*Permit, error) {
	current := d.config.Current()
	if current == nil {
		return nil, &RefusedError{reason: "no configuration is in force yet", retry: defaultRetry}
	}
	cells := d.order(current.Backend(backend), ask)
	if len(cells) == 0 {
		return nil, &RefusedError{reason: "no endpoints for " + backend, retry: defaultRetry}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(cells))
	next := time.NewTimer(0)
	defer next.Stop()
	asked, open := 0, 0
	var refusals []error
	for {
		select {
		case <-next.C:
			cell := cells[asked]
			asked, open = asked+1, open+1
			go func() {
				permit, err := d.ask(ctx, cell, ask)
				answers <- answer{permit: permit, err: err}
			}()
			if asked < len(cells) && !ask.Alone {
				next.Reset(nextCellAfter)
			}
		case a := <-answers:
			open--
			if a.err == nil {
				cancel()
				go giveBack(answers, open)
				return a.permit, nil
			}
			refusals = append(refusals, a.err)
			if barred(a.err) || (open == 0 && asked == len(cells)) {
				return nil, conclude(ctx, backend, refusals)
			}
			if asked < len(cells) {
				next.Reset(0)
			}
		}
	}
}

// giveBack returns places that came after the first.
func giveBack(answers <-chan answer, open int) {
	for range open {
		if a := <-answers; a.err == nil {
			a.permit.Done(Result{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
		}
	}
}

func barred(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.barred
}

// conclude turns the cells' refusals into one, with the earliest time to come back.
func conclude(ctx context.Context, backend string, refusals []error) error {
	var best *RefusedError
	for _, err := range refusals {
		var refused *RefusedError
		if !errors.As(err, &refused) {
			continue
		}
		if refused.barred {
			return refused
		}
		if best == nil || refused.retry < best.retry {
			best = refused
		}
	}
	if best != nil {
		return best
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &RefusedError{reason: "no keeper for " + backend + " answers", retry: defaultRetry}
}

func (d *Desk) ask(ctx context.Context, cell specs.Cell, ask Ask) (*Permit, error) {
	view := d.members.View()
	var err error
	for _, keeper := range view.Rank(cell.Name(), cell.Domain(), keepersToTry) {
		var permit *Permit
		if keeper.Name() == view.Self() {
			permit, err = d.askHere(ctx, cell.Name(), ask)
		} else {
			permit, err = d.askThere(ctx, keeper, cell.Name(), ask)
		}
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) || ctx.Err() != nil {
			return permit, err
		}
		event.CellUnreachable.Log(d.logger, zap.String("cell", cell.Name()),
			zap.String("keeper", keeper.Name()), zap.Error(err))
	}
	return nil, err
}

func (d *Desk) askHere(ctx context.Context, name string, ask Ask) (*Permit, error) {
	cell, ok := d.Cell(name)
	if !ok {
		return nil, &RefusedError{reason: "cell " + name + " is not configured", retry: defaultRetry}
	}
	grant, err := cell.Acquire(ctx, ask)
	d.noteLoad(name, cell.Load())
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

// askThere asks another node. While the request is queued its keeper says so
// several times a second, so that a silent keeper is noticed.
func (d *Desk) askThere(ctx context.Context, keeper member.Node, name string, ask Ask) (*Permit, error) {
	call := &wirepb.PermitCall{
		Cell:        name,
		Priority:    ask.Priority,
		Share:       ask.Share,
		Weight:      uint32(ask.Weight),
		DeadlineMs:  time.Until(ask.Deadline).Milliseconds(),
		Prefix:      ask.Prefix,
		Fingerprint: ask.Fingerprint,
		Exclude:     ask.Exclude,
		Alone:       ask.Alone,
	}
	stream, err := d.pool.Open(context.WithoutCancel(ctx), keeper.PeerAddress(),
		&wirepb.Frame{Body: &wirepb.Frame_PermitCall{PermitCall: call}})
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	reply, err := d.awaitPlace(keeper, stream)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = stream.Close()
		return nil, asRefused(err)
	}
	d.noteLoad(name, loadOf(reply))
	return &Permit{
		endpoint:    reply.GetEndpoint(),
		url:         reply.GetUrl(),
		incarnation: reply.GetIncarnation(),
		stream:      stream,
	}, nil
}

func (d *Desk) awaitPlace(keeper member.Node, stream *peers.Stream) (*wirepb.PermitReply, error) {
	silent := time.AfterFunc(askTimeout, func() {
		d.pool.Forget(keeper.PeerAddress())
		_ = stream.Close()
	})
	defer silent.Stop()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		silent.Reset(askTimeout)
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
			reason: remote.Error(),
			retry:  max(minRetry, remote.RetryAfter()),
			barred: remote.Barred(),
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
