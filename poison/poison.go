// Package poison quarantines requests that crash endpoints.
//
// Every request has a fingerprint. A request in flight on an endpoint that
// crashes becomes a suspect. Pushes carry this to all nodes within a few hops.
// A suspect runs only on an endpoint that runs no other suspect, so that a
// second crash identifies one request: a request that was in flight at two or
// more crashes, at a later one as the only suspect, is quarantined and rejected
// immediately.
//
// A push takes a few milliseconds, and a caller that has received a failure may
// retry through another node sooner. Before a node answers a request that
// failed in a crash, it therefore notifies all peers and waits for their
// replies, for spreadTimeout at most.
//
// Nodes that don't assign endpoint slots can't run a request alone. They count
// consecutive crashes by content instead, in a Ledger.
//
// # Usage
//
//	quarantine := poison.New(members, store, logger)
//	switch quarantine.Status(fingerprint) {
//	case poison.StatusQuarantined: // reject the request
//	case poison.StatusSuspect: // run alone
//	}
//	quarantine.Crashed(fingerprint, alone)
//	quarantine.Spread(ctx) // before the request's failure is answered
//
//	ledger := poison.NewLedger(time.Now)
//	crashesAtStart := ledger.Crashes(fingerprint)
//	update, changed := ledger.Crashed(fingerprint, crashesAtStart) // notify the peers if changed
//	remaining, quarantined := ledger.Quarantined(fingerprint)
package poison

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/facts"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/wirepb"
)

// Status is how a request is treated.
type Status int

// Statuses, from unrestricted to rejected.
const (
	StatusClear Status = iota
	StatusSuspect
	StatusQuarantined
)

const (
	keyPrefix         = "suspect/"
	suspectTTL        = 15 * time.Minute
	quarantineCrashes = 2
	// aloneVersionWeight makes one crash as the only suspect count more in a fact's
	// version than 255 other crashes.
	aloneVersionWeight = 1 << 8
	// spreadTimeout limits how long a failure answer waits until the peers are
	// notified of the crash; an unresponsive node must not delay it for longer.
	spreadTimeout = 250 * time.Millisecond
)

// Quarantine classifies requests at one node. It is safe for concurrent use.
type Quarantine struct {
	members *member.Members
	store   *facts.Store
	logger  *zap.Logger
	// spreading is held by the call of Spread that is sending.
	spreading *semaphore.Weighted

	mu sync.Mutex
	// pending holds the facts that Crashed has published and Spread has not sent
	// yet.
	pending map[string]*wirepb.Fact
}

// New returns a Quarantine that stores suspects in the node's facts.
func New(members *member.Members, store *facts.Store, logger *zap.Logger) *Quarantine {
	return &Quarantine{
		members:   members,
		store:     store,
		logger:    logger,
		spreading: semaphore.NewWeighted(1),
		pending:   make(map[string]*wirepb.Fact),
	}
}

// Fingerprint identifies a request to a backend by its content.
func Fingerprint(backend string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(backend)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Status returns the status of a request.
func (q *Quarantine) Status(fingerprint uint64) Status {
	suspect := q.store.Get(factKey(fingerprint)).GetSuspect()
	switch {
	case suspect == nil:
		return StatusClear
	case suspect.GetQuarantined():
		return StatusQuarantined
	default:
		return StatusSuspect
	}
}

// Crashed records that an endpoint crashed with the request in flight. Alone
// reports whether the endpoint ran no other suspect. A request without a fingerprint
// is never a suspect.
func (q *Quarantine) Crashed(fingerprint uint64, alone bool) {
	if fingerprint == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.store.Get(factKey(fingerprint)).GetSuspect()
	next := &wirepb.Suspect{
		Fingerprint: fingerprint,
		Crashes:     old.GetCrashes() + 1,
		Alone:       old.GetAlone(),
		Quarantined: old.GetQuarantined(),
	}
	if alone && old != nil {
		next.Alone++
	}
	if next.GetCrashes() >= quarantineCrashes && next.GetAlone() > 0 {
		next.Quarantined = true
	}
	kind := event.RequestSuspect
	if next.GetQuarantined() {
		kind = event.RequestQuarantined
	}
	kind.Log(q.logger, zap.Uint64("fingerprint", fingerprint), zap.Uint32("crashes", next.GetCrashes()))
	fact := &wirepb.Fact{
		Key:         factKey(fingerprint),
		Version:     uint64(next.GetAlone())*aloneVersionWeight + uint64(next.GetCrashes()),
		RemainingMs: suspectTTL.Milliseconds(),
		Value:       &wirepb.Fact_Suspect{Suspect: next},
	}
	q.members.Publish(fact)
	q.pending[fact.GetKey()] = fact
}

// Spread notifies the peers of the crashes recorded here. It returns when each
// peer has answered or could not be reached, after spreadTimeout at the latest.
// Only one call sends at a time; the next one sends everything that was
// recorded meanwhile.
func (q *Quarantine) Spread(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	defer cancel()
	if err := q.spreading.Acquire(ctx, 1); err != nil {
		event.SuspectsSpread.Log(q.logger, zap.Error(err))
		return
	}
	defer q.spreading.Release(1)
	q.mu.Lock()
	list := slices.Collect(maps.Values(q.pending))
	clear(q.pending)
	q.mu.Unlock()
	if len(list) == 0 {
		return
	}
	started := time.Now()
	reached, total := q.members.Notify(ctx, list)
	event.SuspectsSpread.Log(q.logger, zap.Int("suspects", len(list)), zap.Int("nodes", total),
		zap.Int("reached", reached), zap.Duration("took", time.Since(started)))
}

// Counts returns the number of suspects and of quarantined requests at this node.
func (q *Quarantine) Counts() (suspects, quarantined int) {
	for _, fact := range q.store.Prefix(keyPrefix) {
		if fact.GetSuspect().GetQuarantined() {
			quarantined++
		} else {
			suspects++
		}
	}
	return suspects, quarantined
}

func factKey(fingerprint uint64) string {
	return keyPrefix + strconv.FormatUint(fingerprint, 16)
}
