package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/currantloft/currantloft/object"
)

const (
	kindLeases = "leases"
	leaseName  = "orders"
	// leaseMargin is how long before the lease's end its holder stops, which
	// covers an order on its way.
	leaseMargin = 700 * time.Millisecond
)

type (
	// leaseRecord is the lease as it stands in the store.
	leaseRecord struct {
		Holder      string `json:"holder"`
		Incarnation uint64 `json:"incarnation"`
		Epoch       uint64 `json:"epoch"`
		// Renewals makes each renewal a change.
		Renewals uint64 `json:"renewals"`
	}

	// Lease is one node's view of the lease. It is safe for concurrent use.
	Lease struct {
		store       object.Store
		holder      string
		incarnation uint64
		length      time.Duration
		thaw        time.Duration
		now         func() time.Duration

		mu       sync.Mutex
		seen     leaseRecord
		revision uint64
		// seenAt is when the revision was first seen, by the suspended clock.
		seenAt time.Duration
		known  bool
		// until is when the own lease ends.
		until time.Duration
	}
)

// errHeld says that another node's lease may still hold.
var errHeld = errors.New("another node may hold the lease")

// NewLease returns a lease that nobody is known to hold.
func NewLease(
	store object.Store, holder string, incarnation uint64, length, thaw time.Duration, now func() time.Duration,
) *Lease {
	return &Lease{store: store, holder: holder, incarnation: incarnation, length: length, thaw: thaw, now: now}
}

// Held reports whether this node may give orders now, and under which epoch.
func (l *Lease) Held() (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen.Epoch, l.now() < l.until
}

// Left returns for how long the own lease holds.
func (l *Lease) Left() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until - l.now()
}

// Take renews the own lease or takes one that is over; errHeld says that it may
// not be taken yet.
func (l *Lease) Take(ctx context.Context) error {
	l.mu.Lock()
	known, seen, revision, seenAt := l.known, l.seen, l.revision, l.seenAt
	l.mu.Unlock()
	if !known {
		return l.observe(ctx)
	}
	mine := seen.Holder == l.holder && seen.Incarnation == l.incarnation
	if !mine && revision > 0 && l.now()-seenAt < l.length+l.thaw {
		return errHeld
	}
	next := leaseRecord{Holder: l.holder, Incarnation: l.incarnation, Epoch: seen.Epoch, Renewals: seen.Renewals + 1}
	if !mine {
		next.Epoch++
	}
	spec, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encoding the lease: %w", err)
	}
	asked := l.now()
	var record object.Entry
	if revision == 0 {
		record, err = l.store.Create(ctx, kindLeases, leaseName, spec)
	} else {
		record, err = l.store.Replace(ctx, kindLeases, leaseName, spec, revision)
	}
	if err != nil {
		// What the record holds now is not known; it is read before the next try.
		l.forget()
		return fmt.Errorf("taking the lease: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen, l.revision, l.seenAt, l.known = next, record.Revision, asked, true
	l.until = asked + l.length - leaseMargin
	return nil
}

// forget makes the next Take read the record first. An own lease goes on until
// its end.
func (l *Lease) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = false
}

// observe reads the record. Its age counts from the first time it was seen.
func (l *Lease) observe(ctx context.Context) error {
	record, err := l.store.Get(ctx, kindLeases, leaseName, object.Fresh)
	missing := errors.Is(err, object.ErrNotFound)
	if err != nil && !missing {
		return fmt.Errorf("reading the lease: %w", err)
	}
	var seen leaseRecord
	if !missing {
		if err := json.Unmarshal(record.Spec, &seen); err != nil {
			return fmt.Errorf("decoding the lease: %w", err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.Revision != l.revision || l.seenAt == 0 {
		l.revision, l.seenAt = record.Revision, l.now()
	}
	l.seen, l.known = seen, true
	return errHeld
}
