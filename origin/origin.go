// Package origin remembers which software began each stream, so that a caller that
// resumes a stream, possibly at another host, is sent to the same software.
//
// # Usage
//
//	ledger := origin.NewLedger(time.Now)
//	ledger.Put(attempt, software)
//	software, ok := ledger.Get(attempt)
package origin

import (
	"maps"
	"sync"
	"time"

	"github.com/currantloft/currantloft/fleet"
)

const (
	// generationTime and generationSize limit a generation of streams. A stream is
	// remembered for at least generationTime, which is longer than callers resume one,
	// unless more than generationSize begin within that time.
	generationTime = 2 * time.Minute
	generationSize = 10_000
)

// Ledger maps the attempt that brought a stream's first event to the software that
// began the stream. It is safe for concurrent use.
type Ledger struct {
	now func() time.Time

	mu        sync.Mutex
	current   map[string]fleet.Software
	previous  map[string]fleet.Software
	rotatedAt time.Time
}

// NewLedger returns an empty ledger with the given clock.
func NewLedger(now func() time.Time) *Ledger {
	return &Ledger{now: now, current: make(map[string]fleet.Software), rotatedAt: now()}
}

// Put records the software that began a stream. It reports whether that is new; the
// first record of a stream stays.
func (l *Ledger) Put(attempt string, software fleet.Software) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.get(attempt); ok || software == "" {
		return false
	}
	if len(l.current) >= generationSize || l.now().Sub(l.rotatedAt) > generationTime {
		l.previous, l.current, l.rotatedAt = l.current, make(map[string]fleet.Software), l.now()
	}
	l.current[attempt] = software
	return true
}

// Get returns the software that began a stream.
func (l *Ledger) Get(attempt string) (fleet.Software, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(attempt)
}

func (l *Ledger) get(attempt string) (fleet.Software, bool) {
	if software, ok := l.current[attempt]; ok {
		return software, true
	}
	software, ok := l.previous[attempt]
	return software, ok
}

// Len returns the number of streams in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := maps.Clone(l.current)
	maps.Copy(all, l.previous)
	return len(all)
}
