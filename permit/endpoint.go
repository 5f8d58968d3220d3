package permit

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// slowdownLimit is the ratio of mean to lowest recent cost above which a full
	// window shrinks, each time to windowDecrease of its size.
	slowdownLimit  = 3.0
	windowDecrease = 0.9
	// meanDecay is the weight of the old value in a moving average.
	meanDecay = 0.8
	// baseDrift is the factor by which the lowest recent cost grows with each
	// request, so that it follows an endpoint that stays slower.
	baseDrift = 1.002
	// meanDrift is the part of the difference by which the mean cost of an
	// endpoint that was not selected approaches that of the selected one.
	meanDrift = 0.02
	// affinityLimit is the highest ratio of scores, preferred to best, at which
	// the endpoint preferred for the prefix is used.
	affinityLimit = 1.5
	// plainTokens is the number of tokens that a plain request counts as.
	plainTokens = 1
	// overdueFactor is the multiple of the mean run time after which a request in
	// flight is overdue.
	overdueFactor = 2
)

type (
	// endpoint is a cell's state of one endpoint. Costs are times per token, or
	// per request of a plain service.
	endpoint struct {
		name      string
		url       string
		maxWindow float64
		window    float64
		inFlight  int
		// alone is true while the endpoint runs a request that must run alone,
		// draining while it gets no new requests so that such a request can start.
		alone       bool
		draining    bool
		ready       bool
		leaving     bool
		reported    bool
		incarnation uint64
		created     time.Time
		meanCost    time.Duration
		baseCost    time.Duration
		meanRun     time.Duration
		started     map[*Grant]time.Time
		failures    int
	}

	// EndpointState is a snapshot of one endpoint.
	EndpointState struct {
		// Endpoint is the endpoint's name.
		Endpoint string `json:"endpoint"`
		// Ready is true for an endpoint that accepts requests.
		Ready bool `json:"ready"`
		// Leaving is true for an endpoint that is shutting down and gets no new
		// requests.
		Leaving bool `json:"leaving"`
		// InFlight counts permits that are in use.
		InFlight int `json:"in_flight"`
		// Window is the current limit of requests in flight.
		Window float64 `json:"window"`
		// MeanMicros is the mean time per token or plain request.
		MeanMicros int64 `json:"mean_us"`
		// Failures counts crashes and stalled requests.
		Failures int `json:"failures"`
	}
)

func newEndpoint(spec specs.Endpoint, window int) *endpoint {
	return &endpoint{
		name: spec.Name(), url: spec.URL(), maxWindow: float64(window), window: float64(window), created: time.Now(),
		started: make(map[*Grant]time.Time),
	}
}

func (e *endpoint) report(report Report) {
	if report.Incarnation != e.incarnation {
		e.incarnation = report.Incarnation
		e.window = e.maxWindow
		e.meanCost = 0
		e.baseCost = 0
	}
	e.reported = true
	e.ready = report.Ready && !report.Leaving
	e.leaving = report.Leaving
}

func (e *endpoint) release(alone bool, result Result) {
	e.inFlight--
	if alone {
		e.alone = false
	}
	if e.inFlight == 0 {
		e.draining = false
	}
	switch result.Outcome {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		e.adapt(result)
	case wirepb.Outcome_OUTCOME_CRASHED, wirepb.Outcome_OUTCOME_SILENT:
		e.failures++
		e.ready = false
	}
}

// adapt updates the mean costs with an answered request. It shrinks the window
// if the endpoint has slowed down while the window was full, and otherwise
// widens it.
func (e *endpoint) adapt(result Result) {
	cost := result.Run / time.Duration(max(plainTokens, result.Tokens))
	if e.meanCost == 0 {
		e.meanCost, e.baseCost, e.meanRun = cost, cost, result.Run
	}
	e.meanCost = time.Duration(meanDecay*float64(e.meanCost) + (1-meanDecay)*float64(cost))
	e.meanRun = time.Duration(meanDecay*float64(e.meanRun) + (1-meanDecay)*float64(result.Run))
	e.baseCost = min(cost, time.Duration(float64(e.baseCost)*baseDrift)+1)
	if float64(e.meanCost) > slowdownLimit*float64(e.baseCost) && e.inFlight+1 >= int(e.window) {
		e.window = max(1, e.window*windowDecrease)
		return
	}
	e.window = min(e.maxWindow, e.window+1/e.window)
}

// score estimates how long a request would take at the endpoint, for comparison
// with other endpoints; lower is better. Each overdue request in flight
// multiplies the score by the ratio of its age to the overdue limit.
func (e *endpoint) score(now time.Time) float64 {
	score := float64(e.meanCost+1) * (1 + float64(e.inFlight)/e.window)
	if e.meanRun == 0 {
		return score
	}
	for _, startedAt := range e.started {
		overdue := float64(now.Sub(startedAt)) / (overdueFactor * float64(e.meanRun))
		score = max(score, score*overdue)
	}
	return score
}

func (e *endpoint) state() EndpointState {
	return EndpointState{
		Endpoint:   e.name,
		Ready:      e.ready,
		Leaving:    e.leaving,
		InFlight:   e.inFlight,
		Window:     e.window,
		MeanMicros: e.meanCost.Microseconds(),
		Failures:   e.failures,
	}
}

// choose returns the best endpoint with a free slot for the request, nil if there
// is none. Unless the request must run alone, it also calls driftMeans, which
// changes the mean costs.
func (c *Cell) choose(request Request) *endpoint {
	if request.Alone {
		return c.chooseAlone(request)
	}
	var free []*endpoint
	for _, e := range c.endpoints {
		if c.hasSlot(e, request) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	now := c.now()
	scores := make(map[*endpoint]float64, len(free))
	for _, e := range free {
		scores[e] = e.score(now)
	}
	best := slices.MinFunc(free, func(a, b *endpoint) int {
		if order := cmp.Compare(scores[a], scores[b]); order != 0 {
			return order
		}
		return cmp.Compare(a.name, b.name)
	})
	c.driftMeans(best)
	if request.Prefix == 0 {
		return best
	}
	if near := c.preferred(request.Prefix, free); scores[near] <= affinityLimit*scores[best] {
		return near
	}
	return best
}

// driftMeans moves the higher mean costs of the other endpoints towards that of
// the selected one, so that an endpoint that was slow for a time is used again.
func (c *Cell) driftMeans(selected *endpoint) {
	for _, e := range c.endpoints {
		if e.meanCost > selected.meanCost && selected.meanCost > 0 {
			e.meanCost -= time.Duration(meanDrift * float64(e.meanCost-selected.meanCost))
		}
	}
}

func (c *Cell) hasSlot(e *endpoint, request Request) bool {
	window := int(e.window)
	if c.layout.Reserve && request.Priority == wirepb.Priority_PRIORITY_TRAINER {
		window -= max(1, window/reserveDivisor)
		window = max(1, window)
	}
	return e.ready && !e.alone && !e.draining && e.inFlight < window && !slices.Contains(request.Exclude, e.name)
}

// chooseAlone returns an idle endpoint. If there is none it returns nil and
// drains the endpoint with the fewest requests in flight, unless one is already
// draining. It also returns nil while another request runs alone in the cell.
func (c *Cell) chooseAlone(request Request) *endpoint {
	if c.aloneInFlight > 0 {
		return nil
	}
	var leastLoaded *endpoint
	for _, e := range c.endpoints {
		if !e.ready || e.alone || slices.Contains(request.Exclude, e.name) {
			continue
		}
		if e.inFlight == 0 {
			e.draining = false
			return e
		}
		if e.draining {
			return nil
		}
		if leastLoaded == nil || e.inFlight < leastLoaded.inFlight {
			leastLoaded = e
		}
	}
	if leastLoaded != nil {
		leastLoaded.draining = true
	}
	return nil
}

// preferred returns the endpoint that rendezvous hashing ranks first for the
// prefix, so that prompts with a common start reach the same prefix cache.
func (c *Cell) preferred(prefix uint64, free []*endpoint) *endpoint {
	names := make([]string, 0, len(free))
	for _, e := range free {
		names = append(names, e.name)
	}
	first, _ := rendez.First(strconv.FormatUint(prefix, 16), names)
	return c.endpoints[first]
}
