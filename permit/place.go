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
	slowdownLimit = 3.0
	windowCut     = 0.9
	meanKeep      = 0.8
	baseDrift     = 1.002
	driftToOthers = 0.02
	affinityLimit = 1.5
	plainCost     = 1
	overdueFactor = 2
)

type (
	// place is one endpoint as its cell sees it.
	place struct {
		name        string
		url         string
		limit       float64
		window      float64
		inFlight    int
		alone       bool
		draining    bool
		ready       bool
		leaving     bool
		reported    bool
		incarnation uint64
		born        time.Time
		mean        time.Duration
		base        time.Duration
		run         time.Duration
		started     map[*Grant]time.Time
		failures    int
	}

	// PlaceState is a picture of one endpoint.
	PlaceState struct {
		// Endpoint is the endpoint's name.
		Endpoint string `json:"endpoint"`
		// Ready and Leaving are as last reported.
		Ready bool `json:"ready"`
		// Leaving is true for an endpoint that gets no new work.
		Leaving bool `json:"leaving"`
		// InFlight counts permits that are out.
		InFlight int `json:"in_flight"`
		// Window is the present limit of requests in flight.
		Window float64 `json:"window"`
		// MeanMicros is the mean time per token or plain request.
		MeanMicros int64 `json:"mean_us"`
		// Failures counts crashes and losses.
		Failures int `json:"failures"`
	}
)

func newPlace(e specs.Endpoint, window int) *place {
	return &place{
		name: e.Name(), url: e.URL(), limit: float64(window), window: float64(window), born: time.Now(),
		started: make(map[*Grant]time.Time),
	}
}

func (p *place) report(report Report) {
	if report.Incarnation != p.incarnation {
		p.incarnation = report.Incarnation
		p.window = p.limit
		p.mean = 0
		p.base = 0
	}
	p.reported = true
	p.ready = report.Ready && !report.Leaving
	p.leaving = report.Leaving
}

func (p *place) release(alone bool, result Result) {
	p.inFlight--
	if alone {
		p.alone = false
	}
	if p.inFlight == 0 {
		p.draining = false
	}
	switch result.Outcome {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		p.adapt(result)
	case wirepb.Outcome_OUTCOME_CRASHED, wirepb.Outcome_OUTCOME_SILENT:
		p.failures++
		p.ready = false
	}
}

// adapt moves the window by the time that the request took per token.
func (p *place) adapt(result Result) {
	cost := result.Run / time.Duration(max(plainCost, result.Tokens))
	if p.mean == 0 {
		p.mean, p.base, p.run = cost, cost, result.Run
	}
	p.mean = time.Duration(meanKeep*float64(p.mean) + (1-meanKeep)*float64(cost))
	p.run = time.Duration(meanKeep*float64(p.run) + (1-meanKeep)*float64(result.Run))
	p.base = min(cost, time.Duration(float64(p.base)*baseDrift)+1)
	if float64(p.mean) > slowdownLimit*float64(p.base) && p.inFlight+1 >= int(p.window) {
		p.window = max(1, p.window*windowCut)
		return
	}
	p.window = min(p.limit, p.window+1/p.window)
}

// score estimates how long a request takes here, relative to other places. A
// place whose requests in flight are overdue scores worse the longer they are.
func (p *place) score(now time.Time) float64 {
	score := float64(p.mean+1) * (1 + float64(p.inFlight)/p.window)
	if p.run == 0 {
		return score
	}
	for _, at := range p.started {
		late := float64(now.Sub(at)) / (overdueFactor * float64(p.run))
		score = max(score, score*late)
	}
	return score
}

func (p *place) state() PlaceState {
	return PlaceState{
		Endpoint:   p.name,
		Ready:      p.ready,
		Leaving:    p.leaving,
		InFlight:   p.inFlight,
		Window:     p.window,
		MeanMicros: p.mean.Microseconds(),
		Failures:   p.failures,
	}
}

// choose finds a place for the request, nil if there is none now.
func (c *Cell) choose(ask Ask) *place {
	if ask.Alone {
		return c.chooseAlone(ask)
	}
	var free []*place
	for _, p := range c.places {
		if c.fits(p, ask) {
			free = append(free, p)
		}
	}
	if len(free) == 0 {
		return nil
	}
	now := c.now()
	scores := make(map[*place]float64, len(free))
	for _, p := range free {
		scores[p] = p.score(now)
	}
	best := slices.MinFunc(free, func(a, b *place) int {
		if order := cmp.Compare(scores[a], scores[b]); order != 0 {
			return order
		}
		return cmp.Compare(a.name, b.name)
	})
	c.forgive(best)
	if ask.Prefix == 0 {
		return best
	}
	if near := c.nearest(ask.Prefix, free); scores[near] <= affinityLimit*scores[best] {
		return near
	}
	return best
}

// forgive lets the means of places that are passed over drift towards the best
// one, so that a place that was slow once is tried again.
func (c *Cell) forgive(best *place) {
	for _, p := range c.places {
		if p.mean > best.mean && best.mean > 0 {
			p.mean -= time.Duration(driftToOthers * float64(p.mean-best.mean))
		}
	}
}

func (c *Cell) fits(p *place, ask Ask) bool {
	window := int(p.window)
	if c.layout.Reserve && ask.Priority == wirepb.Priority_PRIORITY_TRAINER {
		window -= max(1, window/reserveShare)
		window = max(1, window)
	}
	return p.ready && !p.alone && !p.draining && p.inFlight < window && !slices.Contains(ask.Exclude, p.name)
}

// chooseAlone finds an idle place; if there is none it empties the one with the
// least in flight.
func (c *Cell) chooseAlone(ask Ask) *place {
	if c.aloneOut > 0 {
		return nil
	}
	var least *place
	for _, p := range c.places {
		if !p.ready || p.alone || slices.Contains(ask.Exclude, p.name) {
			continue
		}
		if p.inFlight == 0 {
			p.draining = false
			return p
		}
		if p.draining {
			return nil
		}
		if least == nil || p.inFlight < least.inFlight {
			least = p
		}
	}
	if least != nil {
		least.draining = true
	}
	return nil
}

// nearest returns the place that ranks first for the prefix, so that prompts
// with a common start meet the same prefix cache.
func (c *Cell) nearest(prefix uint64, free []*place) *place {
	names := make([]string, 0, len(free))
	for _, p := range free {
		names = append(names, p.name)
	}
	first, _ := rendez.First(strconv.FormatUint(prefix, 16), names)
	return c.places[first]
}
