// Package duty performs a duty that only one node has at a time: calls to the platform or
// to endpoints that carry the holder's name and a fencing token.
//
// A Duty acquires its lease when calls are due, permits each call right before it is
// written, and releases the lease, with the age of the last call, once this node is no
// longer the one that performs the duty.
//
// # Usage
//
//	d := duty.New(duty.Deps{Name: "usage", Holder: host, Lease: l, Assigned: assigned, Logger: logger})
//	err := d.Run(ctx, func(ctx context.Context) {
//		if d.Prepare(ctx) {
//			outcome, held := d.Call(ctx, func(ctx context.Context, permit duty.Permit) duty.Outcome {
//				return api.ReportUsage(ctx, permit, window, counts)
//			})
//		}
//	})
package duty

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/waits"
)

const (
	// PollInterval is how often a node checks whether it performs a duty and, if so,
	// which calls are due.
	PollInterval = 300 * time.Millisecond
	// releaseTimeout limits giving up the lease, which otherwise expires.
	releaseTimeout = 500 * time.Millisecond
)

type (
	// Deps holds the dependencies of a Duty.
	Deps struct {
		// Name names the duty in log lines, Holder is the node's name.
		Name, Holder string
		Lease        *lease.Lease
		// Assigned reports whether this node is the one that performs the duty.
		Assigned func() bool
		Logger   *zap.Logger
	}

	// Duty is one node's part in a duty. It is safe for concurrent use.
	Duty struct {
		deps Deps
		// acquiring is held while the lease is acquired.
		acquiring sync.Mutex
		// loggedEpoch is the epoch of the last lease whose acquisition was logged.
		loggedEpoch uint64
		// calling is held for reading while a call may be in progress.
		calling sync.RWMutex
		// calledAt is when the last call ended, on the clock of the lease.
		calledAt atomic.Int64
	}

	// Permit is what one call carries.
	Permit struct {
		holder  string
		token   uint64
		current func() bool
	}

	// Outcome is the result of a call: Done, NoneAvailable, TooMany, NotSent or Unknown.
	Outcome interface{ outcome() }

	// Done means that the platform has carried out the call.
	Done struct{}
	// NoneAvailable means that the platform has nothing to give now.
	NoneAvailable struct{}
	// TooMany means that the platform has rejected the call since too many were made.
	TooMany struct{}
	// NotSent means that nothing of the call was written, since it was not permitted any
	// more (ErrNotPermitted) or there was no connection.
	NotSent struct{ Cause error }
	// Unknown means that the platform may have carried out the call, or may still do so.
	Unknown struct{ Cause error }
)

// ErrNotPermitted reports that the lease was lost before the call was written.
var ErrNotPermitted = errors.New("the lease for the call is not held any more")

func (Done) outcome()          {}
func (NoneAvailable) outcome() {}
func (TooMany) outcome()       {}
func (NotSent) outcome()       {}
func (Unknown) outcome()       {}

// NewPermit returns a permit. Current reports whether it is still valid.
func NewPermit(holder string, token uint64, current func() bool) Permit {
	return Permit{holder: holder, token: token, current: current}
}

// Holder returns the name of the holder.
func (p Permit) Holder() string { return p.holder }

// Token returns the fencing token, which increases with each new holder.
func (p Permit) Token() uint64 { return p.token }

// Current reports whether the call may be written now. It must be asked once more when
// there is a connection, as that may take long.
func (p Permit) Current() bool { return p.current() }

// New returns a Duty with the given dependencies.
func New(deps Deps) *Duty { return &Duty{deps: deps} }

// Run calls perform again and again while this node is the one that performs the duty,
// and releases the lease when it stops being that, until the context ends. Perform makes
// the calls that are due and waits until others may be.
func (d *Duty) Run(ctx context.Context, perform func(ctx context.Context)) error {
	for ctx.Err() == nil {
		if !d.deps.Assigned() {
			_ = waits.For(ctx, PollInterval)
			continue
		}
		for ctx.Err() == nil && d.deps.Assigned() {
			perform(ctx)
		}
		d.Release(ctx)
	}
	return nil
}

// Prepare acquires or renews the lease if needed, before calls that are due. It reports
// whether calls may be made.
func (d *Duty) Prepare(ctx context.Context) bool {
	d.acquiring.Lock()
	defer d.acquiring.Unlock()
	if d.deps.Lease.Remaining() >= lease.Margin {
		return true
	}
	if err := d.deps.Lease.Acquire(ctx); err != nil {
		if !errors.Is(err, lease.ErrHeld) {
			event.LeaseFailed.Log(d.deps.Logger, zap.String("duty", d.deps.Name), zap.Error(err))
		}
		return false
	}
	if epoch, _ := d.deps.Lease.Held(); epoch != d.loggedEpoch {
		d.loggedEpoch = epoch
		event.LeaseTaken.Log(d.deps.Logger, zap.String("duty", d.deps.Name), zap.Uint64("epoch", epoch))
	}
	return true
}

// Call makes one call with the permit that it passes on, unless this node does not hold
// the lease. It returns false in that case. The lease is not released during the call.
func (d *Duty) Call(ctx context.Context, call func(ctx context.Context, permit Permit) Outcome) (Outcome, bool) {
	var outcome Outcome
	held := d.CallWith(ctx, func(ctx context.Context, permit Permit) (sent bool) {
		outcome = call(ctx, permit)
		_, notSent := outcome.(NotSent)
		return !notSent
	})
	return outcome, held
}

// CallWith is Call for calls with outcomes of their own. The call reports whether it may
// have been written.
func (d *Duty) CallWith(ctx context.Context, call func(ctx context.Context, permit Permit) (sent bool)) (held bool) {
	d.calling.RLock()
	defer d.calling.RUnlock()
	epoch, held := d.deps.Lease.Held()
	if !held {
		return false
	}
	permit := NewPermit(d.deps.Holder, epoch, func() bool {
		now, held := d.deps.Lease.Held()
		return held && now == epoch
	})
	if call(ctx, permit) {
		d.calledAt.Store(int64(d.deps.Lease.Now()))
	}
	return true
}

// Release gives up the lease once no call is in progress any more.
func (d *Duty) Release(ctx context.Context) {
	d.calling.Lock()
	defer d.calling.Unlock()
	d.acquiring.Lock()
	defer d.acquiring.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := d.deps.Lease.Release(ctx, d.deps.Lease.Now()-time.Duration(d.calledAt.Load())); err != nil {
		event.LeaseFailed.Log(d.deps.Logger, zap.String("duty", d.deps.Name), zap.Error(err))
	}
}

// State is the state of a Duty, for the dump.
type State struct {
	// Holder is the holder of the last lease that this node read or wrote, Epoch its
	// epoch. Held reports whether this node holds the lease.
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	Held   bool   `json:"held"`
}

// Dump returns the state of the duty.
func (d *Duty) Dump() State {
	epoch, held := d.deps.Lease.Held()
	return State{Holder: d.deps.Lease.Holder(), Epoch: epoch, Held: held}
}
