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
	slowdownLimit  = 3.0
	windowDecrease = 0.9
	meanDecay      = 0.8
	baseDrift      = 1.002
	meanDrift      = 0.02
	affinityLimit  = 1.5
	plainTokens    = 1
	overdueFactor  = 2
)

type (
	// endpoint is a cell's state of one endpoint.
	endpoint struct {
		name        string
		url         string
		maxWindow   float64
		window      float64
		inFlight    int
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
		// Leaving is true for an endpoint that is draining and gets no new requests.
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

// adapt adjusts the window to the request's time per token.
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

// score estimates how long a request takes at the endpoint, relative to others;
// lower is better. Overdue requests in flight raise the score by how late they are.
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

// choose returns an endpoint with a free slot for the request, nil if there is none.
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

// driftMeans moves the mean costs of endpoints that were not chosen towards the
// chosen one's, so that an endpoint that was slow once is tried again.
func (c *Cell) driftMeans(chosen *endpoint) {
	for _, e := range c.endpoints {
		if e.meanCost > chosen.meanCost && chosen.meanCost > 0 {
			e.meanCost -= time.Duration(meanDrift * float64(e.meanCost-chosen.meanCost))
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

// chooseAlone returns an idle endpoint. If there is none it returns nil and drains
// the endpoint with the fewest requests in flight.
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
