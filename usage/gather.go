package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// gathered holds the counts that hosts have sent to this one, and which windows are
	// reported. It is safe for concurrent use.
	gathered struct {
		length time.Duration

		mu      sync.Mutex
		windows map[int64]map[Host]Window
		// through is the last window up to which all are reported, 0 if that is not known.
		through int64
		// reported are the reported windows after that.
		reported map[int64]bool
		// revision increases with each change of counts.
		revision uint64
	}

	// view is what a host knows of the others when it decides.
	view struct {
		now time.Time
		// rank is the host's position among those that may report.
		rank int
		// active are the active hosts.
		active []Host
		// known counts the hosts that were active recently.
		known int
	}

	// dueWindow is a window that is to be decided, and the active hosts whose last counts
	// of it are missing.
	dueWindow struct {
		id      int64
		counts  Counts
		missing []string
	}
)

func newGathered(length time.Duration) *gathered {
	return &gathered{length: length, windows: make(map[int64]map[Host]Window), reported: make(map[int64]bool)}
}

// record records the counts of a host and returns the last window up to which all are
// reported. Windows that are not open or recent by this host's clock are ignored.
func (g *gathered) record(now time.Time, call Call) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := windowAt(now, g.length)
	for _, w := range call.Windows {
		if w.ID <= max(g.through, current-maxWindows) || w.ID > current+1 {
			continue
		}
		hosts := g.windows[w.ID]
		if hosts == nil {
			hosts = make(map[Host]Window)
			g.windows[w.ID] = hosts
		}
		// Calls can overtake each other; the last counts stay.
		before, ok := hosts[call.Host]
		if ok && (before.Final || !w.Final && maps.Equal(before.Counts, w.Counts)) {
			continue
		}
		g.revision++
		w.revision = g.revision
		hosts[call.Host] = w
	}
	for id := range g.windows {
		if id <= current-maxWindows {
			delete(g.windows, id)
		}
	}
	return g.through
}

// reportedThrough returns the last window up to which all are reported, 0 if that is not
// known.
func (g *gathered) reportedThrough() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.through
}

// advance records that all windows up to one are reported.
func (g *gathered) advance(through int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advanceLocked(through)
}

// settle records that one window is reported or given up.
func (g *gathered) settle(id int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reported[id] = true
	g.advanceLocked(g.through)
}

func (g *gathered) advanceLocked(through int64) {
	g.through = max(g.through, through)
	for g.reported[g.through+1] {
		g.through++
	}
	maps.DeleteFunc(g.reported, func(id int64, _ bool) bool { return id <= g.through })
	maps.DeleteFunc(g.windows, func(id int64, _ map[Host]Window) bool { return id <= g.through })
}

// ofGone returns the counts of hosts that are not active any more.
func (g *gathered) ofGone(active []Host) []Call {
	g.mu.Lock()
	defer g.mu.Unlock()
	alive := make(map[Host]bool, len(active))
	for _, host := range active {
		alive[host] = true
	}
	byHost := make(map[Host][]Window)
	for _, hosts := range g.windows {
		for host, w := range hosts {
			if !alive[host] {
				byHost[host] = append(byHost[host], w)
			}
		}
	}
	var calls []Call
	for host, windows := range byHost {
		calls = append(calls, Call{Host: host, Windows: windows})
	}
	return calls
}

// overdue reports whether a window that is not reported ended at least as long ago as the
// host of a rank waits before it begins to report.
func (g *gathered) overdue(now time.Time, rank int) bool {
	if rank < 0 || rank >= len(takeoverDelays) {
		return false
	}
	oldest, _ := g.unreported(now)
	return !now.Before(windowEnd(oldest, g.length).Add(takeoverDelays[rank]))
}

// unreported returns the first and the last window that has ended and may not be reported.
func (g *gathered) unreported(now time.Time) (first, last int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	last = windowAt(now, g.length) - 1
	if g.through == 0 {
		return last, last
	}
	return max(g.through+1, last-maxWindows+1), last
}

// due returns the windows that this host is to decide and report now, in order.
func (g *gathered) due(v view) []dueWindow {
	if v.rank < 0 || v.rank >= len(takeoverDelays) {
		return nil
	}
	first, last := g.unreported(v.now)
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []dueWindow
	for id := first; id <= last; id++ {
		if g.reported[id] {
			continue
		}
		w := dueWindow{id: id, counts: make(Counts)}
		final := make(map[string]bool)
		for host, window := range g.windows[id] {
			w.counts.add(window.Counts)
			if window.Final {
				final[host.Name] = true
			}
		}
		end := windowEnd(id, g.length)
		for _, host := range v.active {
			if !g.windows[id][host].Final && !host.startedAfter(end) {
				w.missing = append(w.missing, host.Name)
			}
		}
		slices.Sort(w.missing)
		if age := v.now.Sub(end); age >= decideAfter(v.rank, len(w.missing) > 0, 2*len(final) < v.known) {
			due = append(due, w)
		}
	}
	return due
}

// decideAfter returns how long after a window's end the host of a rank decides it.
func decideAfter(rank int, missing, minority bool) time.Duration {
	after := max(finalDelay, takeoverDelays[rank])
	if missing {
		after = max(decisionLimit, takeoverDelays[rank]+takeoverLimit)
	}
	if minority {
		after += minorityDelay
	}
	return after
}
