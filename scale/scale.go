// Package scale decides how many endpoints a service needs in each failure domain.
//
// A Planner observes the work that callers have submitted and the endpoints that
// serve it, and returns the orders that are due. It performs no input or output.
// docs/design/scaling.md has the reasons.
//
// # Usage
//
//	planner := scale.NewPlanner(service)
//	planner.Observe(observation)
//	for _, order := range planner.Due(now) {
//		planner.Record(order, scale.Done, now)
//	}
package scale

import (
	"time"

	"github.com/currantloft/currantloft/routes"
)

const (
	// demandWindow is how long a model's largest need counts: batches of a trainer
	// come every few seconds, and a new endpoint serves only after half of the time
	// that a batch has.
	demandWindow = 20 * time.Second
	// lowerDelay is the least time between two steps by which a domain's number is
	// lowered, by one each time. The need must be lower for quietDelay before the first
	// one: endpoints become slow again and again for some seconds, and each one that is
	// started anew takes new connections.
	lowerDelay = 15 * time.Second
	quietDelay = time.Minute
	// unavailableDelay is how long no endpoint is added to a domain that had none.
	unavailableDelay = 5 * time.Second
	// usableShare is the share of the slots that items may be expected to use: up to
	// a fifth of the endpoints load weights at the same time, and items of medium
	// length fill an endpoint to 80 %.
	usableShare = 0.64
	// timeShare is the share of the time until a batch is due in which its items
	// should be done on average: on the users' sites one item in twelve is five times as
	// long as the others, so the longest one is nearly four times as long as the mean one.
	timeShare = 0.25
	// maxModelShare limits a model's share of the endpoints, relative to an equal
	// share of all models. Package orders assigns no more to one model.
	maxModelShare = 1.5
	// lowerReserve is by which factor the capacity must exceed the need after an
	// endpoint was removed, so that equal load does not raise the number again.
	lowerReserve = 1.15
	// speedSmoothing is the weight of a new sample of an endpoint's speed. With two
	// observations a second a failure counts for three quarters after 2 s, and a
	// single failed request for little.
	speedSmoothing = 0.3
	// defaultEventInterval is the time between two events of a stream if no endpoint's
	// is known; on the users' engines it is 37 ms.
	defaultEventInterval = 40 * time.Millisecond
	// defaultStride is the number of tokens in one event if it is not configured.
	defaultStride = 50
	// overdueBoots and overdueMargin are how long the platform may take to carry out an
	// order, in boot times and beyond them. Then endpoints that are missing are no longer
	// expected and the order is repeated, and those that nobody ordered are kept.
	overdueBoots  = 2
	overdueMargin = 2 * time.Second
	// settleTime is how long after a node first saw a service its endpoints may still be
	// starting, so that their number counts as found.
	settleTime = 30 * time.Second
	// minRetryDelay and maxRetryDelay limit the pause after an order that failed.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// maxRetryShift limits how often that pause doubles.
	maxRetryShift = 3
)

// Outcome is what became of an order.
type Outcome int

// Outcomes.
const (
	// Done means that the platform has taken the order.
	Done Outcome = iota
	// Unavailable means that the platform has no endpoint for the domain now.
	Unavailable
	// NotSent means that the platform has not taken the order and will not.
	NotSent
	// Unknown means that the platform may have taken the order.
	Unknown
)

// Reason says why a domain has its desired number.
type Reason string

// Reasons.
const (
	// AsFound means that the number is that of the endpoints that were there.
	AsFound Reason = "as_found"
	// Minimum means that the configuration demands more than there were.
	Minimum Reason = "minimum"
	// Load means that the work can't be done in time on the present endpoints.
	Load Reason = "load"
	// Idle means that the need was lower for some time.
	Idle Reason = "idle"
	// Refused means that the platform had no further endpoint.
	Refused Reason = "refused"
)

type (
	// Service is what the configuration says of a service.
	Service struct {
		Name    string
		Scaling routes.Scaling
		// Models is the number of models that its endpoints serve, 0 for plain services.
		Models int
		// Slots is the number of slots of a new endpoint, 0 if not configured.
		Slots int
		// Stride is the number of tokens in one event, 0 if not configured.
		Stride int
	}

	// Work is what is left to do of a batch. For plain requests only Running is set.
	Work struct {
		Model            string
		Waiting, Running int
		// Tokens is the estimated output that is left to generate.
		Tokens int
		// Due is the time until the results are due. It is negative if they are late.
		Due time.Duration
	}

	// Endpoint is the state of a present endpoint.
	Endpoint struct {
		ID, Domain  string
		Slots, Busy int
		// Draining endpoints take no new work. Their work is part of the demand.
		Draining bool
		// Failing reports that requests to it fail at present.
		Failing bool
		// EventInterval is the time between two events of its streams, 0 if unknown.
		EventInterval time.Duration
	}

	// Observation is the state of a service at one time.
	Observation struct {
		At        time.Duration
		Work      []Work
		Endpoints []Endpoint
		// Complete reports whether all hosts' work is known. The number is lowered only then.
		Complete bool
	}

	// Order is the number of endpoints that a domain should have.
	Order struct {
		Service, Domain string
		Count           int
		Reason          Reason
	}
)

// slotsNeeded returns how many slots finish the work within timeShare of the time that is
// left. More slots than items don't help.
func (w Work) slotsNeeded(stride int, eventInterval time.Duration) float64 {
	items := float64(w.Waiting + w.Running)
	if w.Tokens == 0 {
		return items
	}
	duration := float64(w.Tokens) / float64(stride) * float64(eventInterval)
	left := timeShare * float64(w.Due)
	if duration >= items*left {
		return items
	}
	return duration / left
}
