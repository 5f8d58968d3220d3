package scale

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// unknownCount is the confirmed number of a domain after an order whose outcome is
// unknown.
const unknownCount = -1

type (
	// Planner decides on the endpoints of one service. It is not safe for concurrent use.
	Planner struct {
		service Service
		domains map[string]*domain
		// speeds holds the endpoints' smoothed speed by ID, 1 for the usual one.
		speeds map[string]float64
		// peaks holds the recent needs in slots by model.
		peaks map[string][]sample
		// startedAt is when this node began to decide, firstAt when it first saw the service.
		startedAt, firstAt time.Duration
		started, seen      bool
		// lowSince is since when the capacity exceeds the need by an endpoint or more, and
		// loweredAt when a number was lowered last.
		lowSince, loweredAt time.Duration
		low                 bool
		need                float64
		capacity            float64
	}

	domain struct {
		name string
		// first is the number at the first observation, below which it is not lowered.
		first   int
		ready   int
		busy    int
		desired int
		reason  Reason
		// confirmed is the number that the platform has taken last.
		confirmed int
		// shortSince is since when fewer endpoints are ready than the platform has taken.
		shortSince time.Duration
		short      bool
		// excessSince is since when more are ready than the platform has taken.
		excessSince  time.Duration
		excess       bool
		blockedUntil time.Duration
		retryAt      time.Duration
		failures     int
	}

	sample struct {
		at   time.Duration
		need float64
	}

	// State describes a planner.
	State struct {
		Service string `json:"service"`
		// Need and Capacity count slots: those that the work of the last 20 s needs, and
		// those of the ready endpoints by their speed.
		Need     float64       `json:"need"`
		Capacity float64       `json:"capacity"`
		Domains  []DomainState `json:"domains"`
	}

	// DomainState describes a failure domain of a service.
	DomainState struct {
		Domain  string `json:"domain"`
		Ready   int    `json:"ready"`
		Desired int    `json:"desired"`
		// Confirmed is the number that the platform has taken last, -1 if that is unknown.
		Confirmed int    `json:"confirmed"`
		First     int    `json:"first"`
		Reason    Reason `json:"reason"`
	}
)

// NewPlanner returns a planner that has observed nothing.
func NewPlanner(service Service) *Planner {
	return &Planner{
		service: service, domains: make(map[string]*domain), speeds: make(map[string]float64), peaks: make(map[string][]sample),
	}
}

// SetService replaces what the configuration says of the service.
func (p *Planner) SetService(service Service) { p.service = service }

// Follow records the endpoints at a node that does not decide. Only their first numbers
// remain once it begins to.
func (p *Planner) Follow(o Observation) {
	p.count(o)
	p.started, p.low = false, false
	clear(p.peaks)
	for _, d := range p.domains {
		*d = domain{name: d.name, first: d.first, ready: d.ready, desired: d.ready, confirmed: d.ready, reason: AsFound}
	}
}

// Observe records the state of the service and updates the desired numbers.
func (p *Planner) Observe(o Observation) {
	if !p.started {
		p.started, p.startedAt = true, o.At
	}
	p.count(o)
	p.measure(o)
	p.applyMinimum()
	// The previous holder may have ordered endpoints that don't serve yet; an order
	// by the present number would cancel them.
	if o.At-p.startedAt >= p.service.Scaling.Boot {
		p.raise(o.At)
	}
	p.lower(o)
}

// count updates the domains' endpoints.
func (p *Planner) count(o Observation) {
	if !p.seen {
		p.seen, p.firstAt = true, o.At
	}
	for _, d := range p.domains {
		d.ready, d.busy = 0, 0
	}
	for _, e := range o.Endpoints {
		d := p.domains[e.Domain]
		if d == nil {
			d = &domain{name: e.Domain, first: unknownCount}
			p.domains[e.Domain] = d
		}
		if e.Draining {
			continue
		}
		d.ready++
		if e.Busy > 0 {
			d.busy++
		}
	}
	for _, d := range p.domains {
		settling := o.At-p.firstAt < settleTime && d.reason == AsFound && d.ready > d.first
		if d.first == unknownCount || settling {
			d.first = d.ready
			d.adopt()
		}
		d.short = d.compare(d.short, d.ready < d.confirmed, &d.shortSince, o.At)
		d.excess = d.compare(d.excess, d.ready > d.confirmed && d.desired == d.confirmed, &d.excessSince, o.At)
		if d.excess && o.At-d.excessSince > p.patience() {
			d.adopt()
		}
	}
}

// adopt takes the present number as the desired one.
func (d *domain) adopt() {
	d.desired, d.confirmed, d.reason, d.excess = d.ready, d.ready, AsFound, false
}

// compare returns whether a difference from the confirmed number is present, and records
// since when.
func (d *domain) compare(before, now bool, since *time.Duration, at time.Duration) bool {
	if d.confirmed == unknownCount {
		return false
	}
	if now && !before {
		*since = at
	}
	return now
}

// patience is how long the platform may take to start or stop endpoints.
func (p *Planner) patience() time.Duration {
	return overdueBoots*p.service.Scaling.Boot + overdueMargin
}

// measure updates the need and the capacity in slots.
func (p *Planner) measure(o Observation) {
	interval := usualEventInterval(o.Endpoints)
	speeds := make(map[string]float64, len(o.Endpoints))
	p.capacity = 0
	for _, e := range o.Endpoints {
		now := 1.0
		switch {
		case e.Failing:
			now = 0
		case e.EventInterval > interval:
			now = float64(interval) / float64(e.EventInterval)
		}
		speed, known := p.speeds[e.ID]
		if !known {
			speed = 1
		}
		speed += speedSmoothing * (now - speed)
		speeds[e.ID] = speed
		if !e.Draining {
			p.capacity += speed * float64(e.Slots)
		}
	}
	p.speeds = speeds
	p.need = p.needed(o, interval)
}

// needed returns the slots that the work of the demand window needs. The largest needs of
// the models are added up, since the trainers' batches may come at the same time at any
// step.
func (p *Planner) needed(o Observation, interval time.Duration) float64 {
	needs := make(map[string]float64)
	for _, w := range o.Work {
		needs[w.Model] += w.slotsNeeded(cmp.Or(p.service.Stride, defaultStride), interval)
	}
	for model, need := range needs {
		p.peaks[model] = append(p.peaks[model], sample{at: o.At, need: need})
	}
	total, largest := 0.0, 0.0
	for model, samples := range p.peaks {
		samples = slices.DeleteFunc(samples, func(s sample) bool { return o.At-s.at > demandWindow })
		if len(samples) == 0 {
			delete(p.peaks, model)
			continue
		}
		p.peaks[model] = samples
		peak := 0.0
		for _, s := range samples {
			peak = max(peak, s.need)
		}
		total += peak
		if model != "" {
			largest = max(largest, peak)
		}
	}
	if share := maxModelShare / float64(max(1, p.service.Models)); share < 1 {
		total = max(total, largest/share)
	}
	return total / usableShare
}

// usualEventInterval returns the lower median of the known intervals.
func usualEventInterval(endpoints []Endpoint) time.Duration {
	var known []time.Duration
	for _, e := range endpoints {
		if e.EventInterval > 0 {
			known = append(known, e.EventInterval)
		}
	}
	if len(known) == 0 {
		return defaultEventInterval
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// floor is the number below which a domain is not lowered.
func (p *Planner) floor(d *domain) int {
	return min(max(d.first, p.service.Scaling.MinReplicas), p.service.Scaling.MaxReplicas)
}

func (p *Planner) applyMinimum() {
	for _, d := range p.domains {
		if d.desired < p.service.Scaling.MinReplicas {
			d.desired, d.reason = p.service.Scaling.MinReplicas, Minimum
		}
	}
}

// slotsPerEndpoint returns the slots of an ordered endpoint.
func (p *Planner) slotsPerEndpoint() float64 { return float64(max(1, p.service.Slots)) }

// expected returns the slots of endpoints that were ordered and are not ready yet. Those
// that are overdue don't count, so that others are ordered in their place.
func (p *Planner) expected(now time.Duration) float64 {
	slots := 0.0
	for _, d := range p.domains {
		if !p.overdue(d, now) {
			slots += float64(max(0, d.desired-d.ready)) * p.slotsPerEndpoint()
		}
	}
	return slots
}

func (p *Planner) overdue(d *domain, now time.Duration) bool {
	return d.short && now-d.shortSince > p.patience()
}

// raise adds endpoints until the need is met: to the domain with the fewest, and the
// cheapest one among equals.
func (p *Planner) raise(now time.Duration) {
	missing := int(math.Ceil((p.need - p.capacity - p.expected(now)) / p.slotsPerEndpoint()))
	for range missing {
		var best *domain
		for _, d := range p.sorted() {
			if d.base() >= p.service.Scaling.MaxReplicas || now < d.blockedUntil || p.overdue(d, now) {
				continue
			}
			if best == nil || d.base() < best.base() {
				best = d
			}
		}
		if best == nil {
			return
		}
		best.desired, best.reason = best.base()+1, Load
	}
}

// base is the number to which endpoints are added. More may be ready than desired after an
// order that was refused or got no answer.
func (d *domain) base() int { return max(d.desired, d.ready) }

// lower removes one endpoint from each domain that can spare one, once the need was lower
// for quietDelay: from those with most endpoints, the most expensive ones among equals.
func (p *Planner) lower(o Observation) {
	spare := int((p.capacity + p.expected(o.At) - lowerReserve*p.need) / p.slotsPerEndpoint())
	if spare < 1 || !o.Complete {
		p.low = false
		return
	}
	if !p.low {
		p.low, p.lowSince = true, o.At
	}
	if o.At-p.lowSince < quietDelay || o.At-p.loweredAt < lowerDelay {
		return
	}
	p.loweredAt = o.At
	list := p.sorted()
	slices.Reverse(list)
	slices.SortStableFunc(list, func(a, b *domain) int { return cmp.Compare(b.desired, a.desired) })
	for _, d := range list {
		if spare > 0 && d.desired > max(p.floor(d), d.busy) {
			d.desired, d.reason = d.desired-1, Idle
			spare--
		}
	}
}

// sorted returns the domains, the cheapest first.
func (p *Planner) sorted() []*domain {
	list := slices.Collect(maps.Values(p.domains))
	slices.SortFunc(list, func(a, b *domain) int {
		prices := p.service.Scaling.DomainPrices
		return cmp.Or(cmp.Compare(prices[a.name], prices[b.name]), cmp.Compare(a.name, b.name))
	})
	return list
}

// Due returns the orders that are to be sent now: those that differ from what the platform
// has taken, and those whose endpoints are overdue.
func (p *Planner) Due(now time.Duration) []Order {
	var orders []Order
	for _, d := range p.sorted() {
		if now < d.retryAt || d.desired == d.confirmed && !p.overdue(d, now) {
			continue
		}
		orders = append(orders, Order{Service: p.service.Name, Domain: d.name, Count: d.desired, Reason: d.reason})
	}
	return orders
}

// Record records what became of an order.
func (p *Planner) Record(order Order, outcome Outcome, now time.Duration) {
	d := p.domains[order.Domain]
	if d == nil {
		return
	}
	switch outcome {
	case Done:
		d.confirmed, d.failures, d.retryAt = order.Count, 0, 0
		// The endpoints that are still missing have the full time again.
		d.short = false
		return
	case Unavailable:
		d.blockedUntil = now + unavailableDelay
		d.retryAt = now + unavailableDelay
		taken := d.confirmed
		if taken == unknownCount {
			taken = max(d.ready, p.floor(d))
		}
		if d.desired > taken {
			d.desired, d.reason = taken, Refused
		}
		return
	case Unknown:
		d.confirmed = unknownCount
	case NotSent:
	}
	d.retryAt = now + min(maxRetryDelay, minRetryDelay<<min(d.failures, maxRetryShift))
	d.failures++
}

// State describes the planner.
func (p *Planner) State() State {
	state := State{Service: p.service.Name, Need: p.need, Capacity: p.capacity}
	for _, d := range p.sorted() {
		state.Domains = append(state.Domains, DomainState{
			Domain: d.name, Ready: d.ready, Desired: d.desired, Confirmed: d.confirmed, First: d.first, Reason: d.reason,
		})
	}
	return state
}
