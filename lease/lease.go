// Package lease elects the node that performs a duty. The node holds a lease in the
// platform's store, timed by a clock that includes suspension. The next holder waits
// until the lease has expired and its previous holder, if it was suspended, has had time
// to detect this.
//
// # Usage
//
//	l := lease.New(store, "orders", name, incarnation, length, takeoverDelay, waits.Boottime)
//	err := l.Acquire(ctx)
//	epoch, ok := l.Held()
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/currantloft/currantloft/object"
)

const (
	// Margin is how long before the lease expires its holder stops sending; it covers a
	// call in transit.
	Margin = 700 * time.Millisecond

	// maxIdleMs is the longest idle time that a duration holds.
	maxIdleMs = math.MaxInt64 / int64(time.Millisecond)

	kindLeases = "leases"
)

type (
	// record is the lease as stored.
	record struct {
		Holder      string `json:"holder"`
		Incarnation uint64 `json:"incarnation"`
		Epoch       uint64 `json:"epoch"`
		// Renewals makes each renewal change the stored object.
		Renewals uint64 `json:"renewals"`
		// Released is true if the holder makes no more calls, and IdleMs is how long ago
		// it made the last one, in milliseconds.
		Released bool  `json:"released,omitempty"`
		IdleMs   int64 `json:"idle_ms,omitempty"`
	}

	// Lease is one node's view of the lease. It is safe for concurrent use.
	Lease struct {
		store         object.Store
		name          string
		holder        string
		incarnation   uint64
		length        time.Duration
		takeoverDelay time.Duration
		now           func() time.Duration

		mu       sync.Mutex
		seen     record
		revision uint64
		// seenAt is when this node first read the revision, or requested the write
		// that created it, on the clock that includes suspension.
		seenAt        time.Duration
		recordCurrent bool
		// expiresAt is when this node must stop using its own lease.
		expiresAt time.Duration
	}
)

// ErrHeld means that another node's lease may not have expired, or that the record was
// only read in this call.
var ErrHeld = errors.New("another node may hold the lease")

// New returns a lease whose holder has not been read yet. Name is the name of the lease's
// object. Length is how long a lease is valid without renewal. TakeoverDelay is how much
// longer the next holder waits, so that a holder that resumes from suspension can detect
// that its lease has expired.
func New(
	store object.Store, name, holder string, incarnation uint64, length, takeoverDelay time.Duration, now func() time.Duration,
) *Lease {
	return &Lease{
		store: store, name: name, holder: holder, incarnation: incarnation, length: length, takeoverDelay: takeoverDelay, now: now,
	}
}

// Held returns the epoch that this node last read or wrote, and whether the node
// may make calls now.
func (l *Lease) Held() (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen.Epoch, l.now() < l.expiresAt
}

// Holder returns the holder that this node last read or wrote, empty for none.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen.Holder
}

// Now returns the time of the lease's clock, which includes suspension.
func (l *Lease) Now() time.Duration { return l.now() }

// Remaining returns the remaining time of this node's own lease.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expiresAt - l.now()
}

// Acquire renews this node's lease or takes over an expired one. If the record
// has to be read first, it only does that. It then returns ErrHeld, as it
// does while another node's lease may not have expired.
func (l *Lease) Acquire(ctx context.Context) error {
	l.mu.Lock()
	recordCurrent, seen, revision, seenAt := l.recordCurrent, l.seen, l.revision, l.seenAt
	l.mu.Unlock()
	if !recordCurrent {
		return l.readRecord(ctx)
	}
	own := seen.Holder == l.holder && seen.Incarnation == l.incarnation
	if !own && revision > 0 && l.now()-seenAt < l.takeoverWait(seen) {
		return ErrHeld
	}
	next := record{Holder: l.holder, Incarnation: l.incarnation, Epoch: seen.Epoch, Renewals: seen.Renewals + 1}
	if !own {
		next.Epoch++
	}
	spec, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encoding the lease: %w", err)
	}
	requestedAt := l.now()
	var entry object.Entry
	if revision == 0 {
		entry, err = l.store.Create(ctx, kindLeases, l.name, spec)
	} else {
		entry, err = l.store.Replace(ctx, kindLeases, l.name, spec, revision)
	}
	if err != nil {
		// The write may have succeeded, so the record is read before the next try.
		l.invalidate()
		return fmt.Errorf("acquiring the lease: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen, l.revision, l.seenAt, l.recordCurrent = next, entry.Revision, requestedAt, true
	l.expiresAt = requestedAt + l.length - Margin
	return nil
}

// takeoverWait returns how long after its record was first read another node's lease may
// not be taken over: its last call must be as old as if the lease had expired.
func (l *Lease) takeoverWait(seen record) time.Duration {
	wait := l.length + l.takeoverDelay
	if seen.Released {
		wait -= time.Duration(seen.IdleMs) * time.Millisecond
	}
	return wait
}

// Release gives up this node's lease, so that the next holder need not wait until it
// expires. Idle is how long ago this node made its last call. It must not be called while
// a call may be in progress.
func (l *Lease) Release(ctx context.Context, idle time.Duration) error {
	l.mu.Lock()
	released, revision := l.seen, l.revision
	own := l.recordCurrent && revision > 0 && released.Holder == l.holder && released.Incarnation == l.incarnation
	l.expiresAt = 0
	l.recordCurrent = false
	l.mu.Unlock()
	if !own || released.Released {
		return nil
	}
	released.Renewals++
	released.Released, released.IdleMs = true, idle.Milliseconds()
	spec, err := json.Marshal(released)
	if err != nil {
		return fmt.Errorf("encoding the lease: %w", err)
	}
	if _, err := l.store.Replace(ctx, kindLeases, l.name, spec, revision); err != nil {
		return fmt.Errorf("releasing the lease: %w", err)
	}
	return nil
}

// invalidate makes the next Acquire read the record first. A lease that this node
// holds stays valid until it expires.
func (l *Lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordCurrent = false
}

// readRecord reads the record from the store. Its age counts from when this
// node first read the revision. On success it returns ErrHeld, since the
// record's age must be checked by the next call of Acquire. The error of a corrupted record
// is returned once; the record is taken over like another node's.
func (l *Lease) readRecord(ctx context.Context) error {
	entry, err := l.store.Get(ctx, kindLeases, l.name, object.Fresh)
	missing := errors.Is(err, object.ErrNotFound)
	if err != nil && !missing {
		return fmt.Errorf("reading the lease: %w", err)
	}
	var seen record
	result := ErrHeld
	if !missing {
		if seen, err = decodeRecord(entry); err != nil {
			result = err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry.Revision != l.revision || l.seenAt == 0 {
		l.revision, l.seenAt = entry.Revision, l.now()
	}
	l.seen, l.recordCurrent = seen, true
	return result
}

// decodeRecord decodes a record. With an error it returns one in place of a record that
// another writer has corrupted: held by nobody, with an epoch that no holder has had, since
// each epoch took a write and so a revision.
func decodeRecord(entry object.Entry) (record, error) {
	var seen record
	err := json.Unmarshal(entry.Spec, &seen)
	if err == nil && (seen.Holder == "" || seen.Epoch == 0 || seen.Epoch > entry.Revision || seen.IdleMs < 0 || seen.IdleMs > maxIdleMs) {
		err = fmt.Errorf("epoch %d of %q at revision %d, idle for %d ms", seen.Epoch, seen.Holder, entry.Revision, seen.IdleMs)
	}
	if err != nil {
		return record{Epoch: entry.Revision}, fmt.Errorf("decoding the lease: %w", err)
	}
	return seen, nil
}
