package usage

import (
	"maps"
	"sync"
	"time"
)

type (
	// Ledger holds a host's counts of the windows that are not reported yet. It is safe for
	// concurrent use.
	Ledger struct {
		clock  *Clock
		length time.Duration
		// first is the window in which the process started.
		first int64

		mu      sync.Mutex
		windows map[int64]*ledgerWindow
		// through is the last window up to which all are reported.
		through int64
	}

	ledgerWindow struct {
		counts   Counts
		revision uint64
	}
)

// NewLedger returns an empty ledger of windows of the given length.
func NewLedger(clock *Clock, length time.Duration) *Ledger {
	return &Ledger{
		clock: clock, length: length, first: windowAt(clock.Now(), length), windows: make(map[int64]*ledgerWindow),
	}
}

// Began counts a request of a team that an endpoint began to run at a moment read with
// time.Now. Requests without a team are not counted. If the window's counts can't change
// any more, since the process was suspended meanwhile, the request counts now.
func (l *Ledger) Began(team string, at time.Time) {
	if team == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	id := windowAt(l.clock.At(at), l.length)
	if l.closed(id, now) {
		id = windowAt(now, l.length)
	}
	w := l.windows[id]
	if w == nil {
		w = &ledgerWindow{counts: make(Counts)}
		l.windows[id] = w
		maps.DeleteFunc(l.windows, func(old int64, _ *ledgerWindow) bool { return old <= id-maxWindows })
	}
	w.counts[team]++
	w.revision++
}

// Withdraw takes back a request counted at the moment, as no endpoint began to run it. It
// has no effect once the window's counts can't change any more.
func (l *Ledger) Withdraw(team string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := windowAt(l.clock.At(at), l.length)
	w := l.windows[id]
	if w == nil || w.counts[team] == 0 || l.closed(id, l.clock.Now()) {
		return
	}
	w.counts[team]--
	if w.counts[team] == 0 {
		delete(w.counts, team)
	}
	w.revision++
}

// closed reports whether a window's counts can't change any more.
func (l *Ledger) closed(id int64, now time.Time) bool {
	return id <= l.through || !now.Before(windowEnd(id, l.length).Add(finalDelay))
}

// Snapshot returns the windows that are not reported yet, in order, those without counts
// included. All are final if the host counts no more.
func (l *Ledger) Snapshot(ended bool) []Window {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	current := windowAt(now, l.length)
	var windows []Window
	for id := max(l.first, l.through+1, current-maxWindows+1); id <= current; id++ {
		window := Window{ID: id, Counts: make(Counts), Final: ended || l.closed(id, now)}
		if w := l.windows[id]; w != nil {
			window.Counts, window.revision = maps.Clone(w.counts), w.revision
		}
		windows = append(windows, window)
	}
	return windows
}

// Drop drops the windows up to one that is reported, as all before it are.
func (l *Ledger) Drop(through int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.through = max(l.through, through)
	for id := range l.windows {
		if id <= l.through {
			delete(l.windows, id)
		}
	}
}
