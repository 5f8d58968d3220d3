package poison

import (
	"sync"
	"time"
)

const (
	// ledgerCrashLimit is the number of consecutive endpoint crashes after which a
	// request's content is quarantined: the platform's rules start to count at the
	// third crash.
	ledgerCrashLimit = 3
	// maxSuspects limits a ledger's memory to a few hundred kilobytes.
	maxSuspects = 4096
	// sweepInterval limits how often a full ledger is searched for expired entries.
	sweepInterval = time.Second
)

type (
	// Suspect is the crash record of a request content: how many endpoints crashed
	// while they ran requests with this content.
	Suspect struct {
		// Fingerprint identifies the content.
		Fingerprint uint64
		// Crashes counts consecutive crashes; 0 clears the record.
		Crashes int
		// Remaining is the time until the record expires.
		Remaining time.Duration
	}

	// Ledger holds the crash records of one node. It counts a crash only if the
	// attempt started after the previous crash was recorded: many endpoints that
	// crash at the same time, for another reason, count as one. An answer clears
	// the record, since it shows that the content does not crash every endpoint.
	// Create a Ledger with NewLedger; it is safe for concurrent use.
	//
	// It is designed for a request that crashes each endpoint that starts to run it
	// and arrives repeatedly through any node, together with harmless requests that
	// are in flight when endpoints crash or lose power.
	Ledger struct {
		mu      sync.Mutex
		now     func() time.Time
		entries map[uint64]record
		sweptAt time.Time
	}

	record struct {
		crashes   int
		expiresAt time.Time
	}
)

// NewLedger returns an empty ledger with the given clock.
func NewLedger(now func() time.Time) *Ledger {
	return &Ledger{now: now, entries: make(map[uint64]record)}
}

// Empty reports whether the ledger has no entry; callers then need no fingerprint.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) == 0
}

// Crashes returns the crash count of a request content. The caller reads it
// when an attempt starts and passes it to Crashed.
func (l *Ledger) Crashes(fingerprint uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(fingerprint).crashes
}

// Quarantined returns the time until the content's record expires, and whether
// the content is quarantined.
func (l *Ledger) Quarantined(fingerprint uint64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(fingerprint)
	return s.expiresAt.Sub(l.now()), s.crashes >= ledgerCrashLimit
}

// Crashed records that an endpoint crashed during an attempt; crashesAtStart is the
// content's crash count when the attempt started. It returns the update for the
// peers, and false if the ledger did not change.
func (l *Ledger) Crashed(fingerprint uint64, crashesAtStart int) (Suspect, bool) {
	update := Suspect{Fingerprint: fingerprint, Crashes: crashesAtStart + 1, Remaining: suspectTTL}
	return update, l.Merge(update)
}

// Answered records a complete answer. It returns the update for the peers, and
// false if the content had no crashes.
func (l *Ledger) Answered(fingerprint uint64) (Suspect, bool) {
	update := Suspect{Fingerprint: fingerprint}
	return update, l.Merge(update)
}

// Merge applies an update and reports whether it changed the ledger.
func (l *Ledger) Merge(update Suspect) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.get(update.Fingerprint)
	if update.Crashes == 0 {
		delete(l.entries, update.Fingerprint)
		return old.crashes > 0
	}
	if update.Crashes <= old.crashes || old.crashes == 0 && !l.hasRoom() {
		return false
	}
	l.entries[update.Fingerprint] = record{crashes: update.Crashes, expiresAt: l.now().Add(min(update.Remaining, suspectTTL))}
	return true
}

// ListQuarantined returns the quarantined contents, to be sent to nodes that
// may not have them.
func (l *Ledger) ListQuarantined() []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Suspect
	for fingerprint := range l.entries {
		if s := l.get(fingerprint); s.crashes >= ledgerCrashLimit {
			list = append(list, Suspect{Fingerprint: fingerprint, Crashes: s.crashes, Remaining: s.expiresAt.Sub(l.now())})
		}
	}
	return list
}

// get returns an entry that has not expired, or the zero value. The caller holds
// the lock.
func (l *Ledger) get(fingerprint uint64) record {
	s, ok := l.entries[fingerprint]
	if ok && !l.now().Before(s.expiresAt) {
		delete(l.entries, fingerprint)
		return record{}
	}
	return s
}

// hasRoom reports whether the ledger can hold another entry. It sweeps a full
// ledger first, at most once per sweepInterval. The caller holds the lock.
func (l *Ledger) hasRoom() bool {
	if len(l.entries) < maxSuspects {
		return true
	}
	if now := l.now(); now.Sub(l.sweptAt) >= sweepInterval {
		l.sweptAt = now
		l.sweep()
	}
	return len(l.entries) < maxSuspects
}

// sweep removes expired entries. The caller holds the lock.
func (l *Ledger) sweep() {
	for fingerprint := range l.entries {
		l.get(fingerprint)
	}
}
