// Package usage counts the requests that endpoints began to run for each team, and reports
// them to the platform in windows of fixed length.
//
// Each host counts in a Ledger and sends its counts to the reporting host. That host
// decides a window once all hosts have sent their last counts of it or enough time has
// passed, stores the decided counts so that no other host can decide otherwise, and reports
// them while it holds the lease. If a window is not reported in time, a second and then a
// third host take over.
//
// # Usage
//
//	ledger := usage.NewLedger(clock, length)
//	ledger.Began("team", time.Now())
//	reporter := usage.New(usage.Deps{Ledger: ledger, Clock: clock, ...})
//	err := reporter.Run(ctx)
package usage

import (
	"context"
	"maps"
	"time"

	"github.com/currantloft/currantloft/duty"
)

const (
	// finalDelay is how long after its end a window's counts may still change at a host.
	finalDelay = 300 * time.Millisecond
	// decisionLimit is how long after a window's end the first host by rank waits for
	// hosts whose last counts are missing.
	decisionLimit = 2500 * time.Millisecond
	// takeoverLimit is how long the second and the third host wait for them once they have
	// begun to take over.
	takeoverLimit = time.Second
	// minorityDelay is how much later a host decides that has the last counts of fewer than
	// half of the hosts it knew: it may be cut off, and the other hosts decide first.
	minorityDelay = 3 * time.Second
	// maxWindows limits the windows that are kept until they are reported.
	maxWindows = 32
)

// takeoverDelays is how long after a window's end the hosts begin to report it, by rank.
// The report is due 10 s after the end on the users' sites.
var takeoverDelays = []time.Duration{0, 3500 * time.Millisecond, 5500 * time.Millisecond}

type (
	// Counts is the number of requests by team.
	Counts map[string]uint64

	// Window holds one host's counts of one window.
	Window struct {
		ID     int64
		Counts Counts
		// Final is true if the counts don't change any more.
		Final bool
		// revision increases with each change.
		revision uint64
	}

	// Host is one process of a host.
	Host struct {
		Name string
		// Incarnation is the process's start in Unix nanoseconds.
		Incarnation uint64
	}

	// Call is what a host sends to the reporting host. The counts replace those that were
	// sent before. A host may send the counts of another one that is gone.
	Call struct {
		Host    Host
		Windows []Window
	}

	// Peers is a host's view of the other hosts.
	Peers interface {
		// Ranked returns the hosts that may report, in order of rank. It is empty until the
		// other hosts are known.
		Ranked() []string
		// Active returns the active hosts, this one included.
		Active() []Host
		// Send sends calls to a host. It returns the last window up to which all windows are
		// reported, as that host knows, 0 for none.
		Send(ctx context.Context, host string, calls []Call) (int64, error)
	}

	// API is the platform's API for usage reports.
	API interface {
		ReportUsage(ctx context.Context, permit duty.Permit, window int64, counts map[string]uint64) duty.Outcome
	}

	// Clock tells the true time: the wall clock at the start of the process plus the time
	// since then, suspension included. Later steps of the wall clock don't move windows.
	Clock struct {
		started   time.Time
		startedAt time.Duration
		now       func() time.Duration
	}
)

// NewClock returns a clock that continues from a time of the wall clock. Now is the clock
// that includes suspension.
func NewClock(wall time.Time, now func() time.Duration) *Clock {
	return &Clock{started: wall.Round(0), startedAt: now(), now: now}
}

// Now returns the true time.
func (c *Clock) Now() time.Time { return c.started.Add(c.now() - c.startedAt) }

// At returns the true time of a moment that was read with time.Now.
func (c *Clock) At(moment time.Time) time.Time { return c.Now().Add(-time.Since(moment)) }

// windowAt returns the window that contains a time.
func windowAt(at time.Time, length time.Duration) int64 { return at.UnixNano() / int64(length) }

// windowEnd returns the end of a window.
func windowEnd(id int64, length time.Duration) time.Time { return time.Unix(0, (id+1)*int64(length)) }

// startedAfter reports whether the process started after a time.
func (h Host) startedAfter(at time.Time) bool { return int64(h.Incarnation) > at.UnixNano() }

// add adds other counts.
func (c Counts) add(other Counts) {
	for team, n := range other {
		c[team] += n
	}
}

// total returns the sum of the counts.
func (c Counts) total() uint64 {
	sum := uint64(0)
	for n := range maps.Values(c) {
		sum += n
	}
	return sum
}
