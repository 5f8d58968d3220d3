// Package orders brings the endpoints to the weight versions that trainers name.
//
// One node gives orders at a time. It holds a lease in the platform's store,
// judged on the clock that counts suspension; the next holder waits until the
// lease is over and its holder, if it was suspended, has noticed. Each order
// names the orders that the endpoint had accepted before, so that one that is
// carried out late finds its condition gone.
//
// # Usage
//
//	g := orders.New(parts)
//	err := g.Run(ctx)
package orders

import (
	"context"

	"github.com/currantloft/currantloft/fleet"
)

// Mode says what becomes of the requests that run while weights change.
type Mode int

// Modes.
const (
	// Blocking lets them finish first.
	Blocking Mode = iota
	// Retain lets them go on under the new version.
	Retain
	// Truncate resets them.
	Truncate
)

type (
	// Order tells an endpoint to load a version.
	Order struct {
		Model   string
		Version int
		Mode    Mode
		Holder  string
		// Epoch grows with each holder.
		Epoch uint64
		// Accepted is how many orders the endpoint had accepted before.
		Accepted int64
	}

	// Report is an endpoint's state.
	Report struct {
		Versions map[string]int
		// Busy says that an order is being carried out.
		Busy bool
		// Accepted counts the orders accepted since the endpoint's start.
		Accepted int64
		Queued   int
		Active   int
	}

	// Outcome is an endpoint's answer to an order: Begun, Holds, Outdated,
	// Rejected or Unsure.
	Outcome interface{ outcome() }

	// Begun says that the order is being carried out.
	Begun struct{}
	// Holds says that it holds already.
	Holds struct{}
	// Outdated says that another order came first.
	Outdated struct{}
	// Rejected says that the endpoint does not take it.
	Rejected struct{ Cause error }
	// Unsure says that it may be carried out, also later.
	Unsure struct{ Cause error }

	// Endpoints gives orders to endpoints.
	Endpoints interface {
		Report(ctx context.Context, target fleet.Target) (Report, error)
		Order(ctx context.Context, target fleet.Target, order Order) Outcome
	}
)

func (Begun) outcome()    {}
func (Holds) outcome()    {}
func (Outdated) outcome() {}
func (Rejected) outcome() {}
func (Unsure) outcome()   {}
