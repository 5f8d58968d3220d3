package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/currantloft/currantloft/routes"
)

type (
	// Usage counts the requests that endpoints began to run, by team. Moments are read with
	// time.Now.
	Usage interface {
		// Began counts a request at a moment.
		Began(team string, at time.Time)
		// Withdraw takes back a request that was counted at a moment.
		Withdraw(team string, at time.Time)
	}

	// usageCount counts one request at most once. A plain request counts when it is sent and
	// is taken back if no endpoint began to run it: until the answer, its window could be
	// closed. A stream counts at its first event.
	usageCount struct {
		// usage is nil if the request is not counted.
		usage Usage
		team  string

		mu sync.Mutex
		// possible are the moments at which attempts were sent that may have begun to run.
		// The request counts at the first one.
		possible []time.Time
		began    bool
	}
)

// newUsageCount returns the count of a request. A stream that the caller resumes counted
// when it began.
func newUsageCount(usage Usage, request Request, route routes.Route) *usageCount {
	if route.Kind == routes.Streaming && (request.Resumes != "" || request.LastEventID >= 0) {
		usage = nil
	}
	return &usageCount{usage: usage, team: request.Team}
}

// sent records that an attempt of a plain request is sent.
func (c *usageCount) sent(at time.Time) {
	if c.usage == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.possible = append(c.possible, at)
	if len(c.possible) == 1 {
		c.usage.Began(c.team, at)
	}
}

// notRun records that an attempt which was sent at the moment has not run.
func (c *usageCount) notRun(at time.Time) {
	if c.usage == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.possible, at)
	if i < 0 {
		return
	}
	c.possible = slices.Delete(c.possible, i, i+1)
	if i > 0 {
		return
	}
	c.usage.Withdraw(c.team, at)
	if len(c.possible) > 0 {
		c.usage.Began(c.team, c.possible[0])
	}
}

// firstEvent records that a stream has brought an event.
func (c *usageCount) firstEvent() {
	if c.usage == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.began {
		c.began = true
		c.usage.Began(c.team, time.Now())
	}
}
