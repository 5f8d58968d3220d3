// Package orders brings the endpoints to the weight versions that trainers name.
//
// One node sends orders at a time, the holder of a lease, see package duty.
// Each order states how many orders the endpoint had accepted before, so that an
// endpoint rejects an order that arrives after a newer one.
//
// # Usage
//
//	sender := orders.New(deps)
//	err := sender.Run(ctx)
package orders

import (
	"context"

	"github.com/currantloft/currantloft/fleet"
)

// Mode selects how an endpoint treats its running requests while weights change.
type Mode int

// Modes.
const (
	// Blocking waits until the running requests have finished.
	Blocking Mode = iota
	// Retain continues the running requests with the new version.
	Retain
	// Truncate resets the running requests.
	Truncate
)

type (
	// Order instructs an endpoint to load a weight version.
	Order struct {
		Model   string
		Version int
		Mode    Mode
		Holder  string
		// Epoch increases with each new lease holder.
		Epoch uint64
		// Accepted is how many orders the endpoint had accepted before.
		Accepted int64
		// Permitted reports whether the holder still holds its lease. It is asked once
		// more when there is a connection, as that may take long.
		Permitted func() bool
	}

	// Report is an endpoint's state as it reports it.
	Report struct {
		Versions map[string]int
		// Busy reports whether the endpoint is carrying out an order.
		Busy bool
		// Accepted is the number of orders accepted since the endpoint's start.
		Accepted int64
		Queued   int
		Active   int
	}

	// Outcome is what became of an order: Begun, Holds, Outdated, Rejected, NotSent or
	// Unsure.
	Outcome interface{ outcome() }

	// Begun means that the endpoint is carrying out the order.
	Begun struct{}
	// Holds means that the endpoint already has the version.
	Holds struct{}
	// Outdated means that the endpoint has accepted another order since the report
	// that this order is based on.
	Outdated struct{}
	// Rejected means that the endpoint does not accept the order.
	Rejected struct{ Cause error }
	// NotSent means that the endpoint has not got the order.
	NotSent struct{ Cause error }
	// Unsure means that the outcome is unknown: the endpoint may carry out the
	// order, even after a delay.
	Unsure struct{ Cause error }

	// EndpointClient requests reports from endpoints and sends them orders.
	EndpointClient interface {
		FetchReport(ctx context.Context, target fleet.Target) (Report, error)
		SendOrder(ctx context.Context, target fleet.Target, order Order) Outcome
	}
)

func (Begun) outcome()    {}
func (Holds) outcome()    {}
func (Outdated) outcome() {}
func (Rejected) outcome() {}
func (NotSent) outcome()  {}
func (Unsure) outcome()   {}
