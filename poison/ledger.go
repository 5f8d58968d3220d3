package poison

import (
	"sync"
	"time"
)

const (
	// crashesAllowed is how many endpoints one content may crash, one after
	// another, before it is refused: the platform's rules count from the third.
	crashesAllowed = 3
	// mostSuspects bounds a ledger's memory to some hundred kilobytes.
	mostSuspects = 4096
	// sweepPause bounds how often a full ledger is searched for what has run out.
	sweepPause = time.Second
)

type (
	// Suspicion says that endpoints crashed while requests of one content ran.
	Suspicion struct {
		// Fingerprint identifies the content.
		Fingerprint uint64
		// Crashes counts crashes one after another, 0 clears the content.
		Crashes int
		// Left is for how long the suspicion holds.
		Left time.Duration
	}

	// Ledger holds the suspicions of one node. It only counts a crash that begins
	// after the one before it was known: many endpoints that crash at once, for a
	// reason of their own, count as one. An answer clears a content, since it does
	// not crash whatever runs it. The zero value is not ready; it is safe for
	// concurrent use.
	//
	// Load pattern: a request that crashes each endpoint that begins to run it
	// comes again and again through any node, beside innocent requests that are in
	// flight when endpoints crash or lose power.
	Ledger struct {
		mu      sync.Mutex
		now     func() time.Time
		entries map[uint64]suspect
		sweptAt time.Time
	}

	suspect struct {
		crashes int
		until   time.Time
	}
)

// NewLedger returns an empty ledger; now tells the time.
func NewLedger(now func() time.Time) *Ledger {
	return &Ledger{now: now, entries: make(map[uint64]suspect)}
}

// Empty reports whether nothing is suspected, so that no fingerprint is needed.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) == 0
}

// Crashes returns the count for a content; an attempt keeps the one at its start.
func (l *Ledger) Crashes(fingerprint uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(fingerprint).crashes
}

// Barred reports whether a content is refused, and for how long.
func (l *Ledger) Barred(fingerprint uint64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(fingerprint)
	return s.until.Sub(l.now()), s.crashes >= crashesAllowed
}

// Crashed notes that an endpoint crashed under an attempt that began when the
// content's count was atStart. It returns what other nodes should learn; false
// says that they know it.
func (l *Ledger) Crashed(fingerprint uint64, atStart int) (Suspicion, bool) {
	news := Suspicion{Fingerprint: fingerprint, Crashes: atStart + 1, Left: suspectLife}
	return news, l.Learn(news)
}

// Answered notes a whole answer and reports whether other nodes should learn it.
func (l *Ledger) Answered(fingerprint uint64) (Suspicion, bool) {
	news := Suspicion{Fingerprint: fingerprint}
	return news, l.Learn(news)
}

// Learn takes what a node found out and reports whether it changed anything.
func (l *Ledger) Learn(news Suspicion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.get(news.Fingerprint)
	if news.Crashes == 0 {
		delete(l.entries, news.Fingerprint)
		return old.crashes > 0
	}
	if news.Crashes <= old.crashes || old.crashes == 0 && !l.room() {
		return false
	}
	l.entries[news.Fingerprint] = suspect{crashes: news.Crashes, until: l.now().Add(min(news.Left, suspectLife))}
	return true
}

// Refused returns the contents that are refused, for nodes that may not know.
func (l *Ledger) Refused() []Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Suspicion
	for fingerprint := range l.entries {
		if s := l.get(fingerprint); s.crashes >= crashesAllowed {
			list = append(list, Suspicion{Fingerprint: fingerprint, Crashes: s.crashes, Left: s.until.Sub(l.now())})
		}
	}
	return list
}

// get returns a live entry, the zero value for none. The caller holds the lock.
func (l *Ledger) get(fingerprint uint64) suspect {
	s, ok := l.entries[fingerprint]
	if ok && !l.now().Before(s.until) {
		delete(l.entries, fingerprint)
		return suspect{}
	}
	return s
}

// room drops what has run out if the ledger is full. The caller holds the lock.
func (l *Ledger) room() bool {
	if len(l.entries) < mostSuspects {
		return true
	}
	if now := l.now(); now.Sub(l.sweptAt) >= sweepPause {
		l.sweptAt = now
		l.sweep()
	}
	return len(l.entries) < mostSuspects
}

// sweep drops what has run out. The caller holds the lock.
func (l *Ledger) sweep() {
	for fingerprint := range l.entries {
		l.get(fingerprint)
	}
}
