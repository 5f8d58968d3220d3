// Package poison keeps requests that crash endpoints from crashing more.
//
// Every request has a fingerprint. A request in flight on an endpoint that
// crashes becomes a suspect at every node within a few hops of a push. A
// suspect runs only where no other suspect runs, so that a second crash points
// at one request: one that was in flight at two crashes, the second time as
// the only suspect, is quarantined and gets its final answer at once.
//
// A push takes some milliseconds, and a caller with a failed answer in hand may
// be back at another node sooner. So a node that ends a request after a crash
// tells all others first and waits for them, for spreadLimit at most.
//
// Nodes that give out no places can't run a request alone. They count crashes by
// content instead, one after another, in a Ledger.
//
// # Usage
//
//	ward := poison.New(members, store, logger)
//	switch ward.Judge(fingerprint) {
//	case poison.Quarantined: // final answer
//	case poison.Suspect: // run alone
//	}
//	ward.Crashed(fingerprint, sole)
//	ward.Spread(ctx) // before the request's failure is answered
//
//	ledger := poison.NewLedger(time.Now)
//	atStart := ledger.Crashes(fingerprint)
//	news, fresh := ledger.Crashed(fingerprint, atStart) // fresh news go to all nodes
//	left, barred := ledger.Barred(fingerprint)
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

// Verdict says how a request may run.
type Verdict int

// Verdicts, in rising order of caution.
const (
	Clear Verdict = iota
	Suspect
	Quarantined
)

const (
	keyPrefix      = "suspect/"
	suspectLife    = 15 * time.Minute
	crashesToBar   = 2
	versionPerUnit = 1 << 8
	// spreadLimit bounds how long a failed answer waits until other nodes know
	// of the crash; a frozen node must not hold it up for longer.
	spreadLimit = 250 * time.Millisecond
)

// Ward judges requests at one node. It is safe for concurrent use.
type Ward struct {
	members *member.Members
	store   *facts.Store
	logger  *zap.Logger
	// spreading is held by the one call of Spread that sends.
	spreading *semaphore.Weighted

	mu sync.Mutex
	// fresh holds what Crashed noted and Spread has not yet sent.
	fresh map[string]*wirepb.Fact
}

// New returns a ward over the node's facts.
func New(members *member.Members, store *facts.Store, logger *zap.Logger) *Ward {
	return &Ward{
		members:   members,
		store:     store,
		logger:    logger,
		spreading: semaphore.NewWeighted(1),
		fresh:     make(map[string]*wirepb.Fact),
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

// Judge returns how a request may run.
func (w *Ward) Judge(fingerprint uint64) Verdict {
	suspect := w.store.Get(key(fingerprint)).GetSuspect()
	switch {
	case suspect == nil:
		return Clear
	case suspect.GetQuarantined():
		return Quarantined
	default:
		return Suspect
	}
}

// Crashed notes that an endpoint crashed with the request in flight. Sole says
// that the endpoint ran no other suspect.
func (w *Ward) Crashed(fingerprint uint64, sole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.store.Get(key(fingerprint)).GetSuspect()
	next := &wirepb.Suspect{
		Fingerprint: fingerprint,
		Crashes:     old.GetCrashes() + 1,
		Alone:       old.GetAlone(),
		Quarantined: old.GetQuarantined(),
	}
	if sole && old != nil {
		next.Alone++
	}
	if next.GetCrashes() >= crashesToBar && next.GetAlone() > 0 {
		next.Quarantined = true
	}
	kind := event.RequestSuspect
	if next.GetQuarantined() {
		kind = event.RequestBarred
	}
	kind.Log(w.logger, zap.Uint64("fingerprint", fingerprint), zap.Uint32("crashes", next.GetCrashes()))
	fact := &wirepb.Fact{
		Key:         key(fingerprint),
		Version:     uint64(next.GetAlone())*versionPerUnit + uint64(next.GetCrashes()),
		RemainingMs: suspectLife.Milliseconds(),
		Value:       &wirepb.Fact_Suspect{Suspect: next},
	}
	w.members.Publish(fact)
	w.fresh[fact.GetKey()] = fact
}

// Spread returns when all nodes that answer know of the crashes noted here, or
// after spreadLimit. Calls that come while one is sending share the next one.
func (w *Ward) Spread(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadLimit)
	defer cancel()
	if err := w.spreading.Acquire(ctx, 1); err != nil {
		event.SuspectsSpread.Log(w.logger, zap.Error(err))
		return
	}
	defer w.spreading.Release(1)
	w.mu.Lock()
	list := slices.Collect(maps.Values(w.fresh))
	clear(w.fresh)
	w.mu.Unlock()
	if len(list) == 0 {
		return
	}
	begun := time.Now()
	reached, asked := w.members.Tell(ctx, list)
	event.SuspectsSpread.Log(w.logger, zap.Int("suspects", len(list)), zap.Int("nodes", asked),
		zap.Int("reached", reached), zap.Duration("took", time.Since(begun)))
}

// Counts returns how many suspects and quarantined requests the node knows.
func (w *Ward) Counts() (suspects, quarantined int) {
	for _, fact := range w.store.Prefix(keyPrefix) {
		if fact.GetSuspect().GetQuarantined() {
			quarantined++
		} else {
			suspects++
		}
	}
	return suspects, quarantined
}

func key(fingerprint uint64) string {
	return keyPrefix + strconv.FormatUint(fingerprint, 16)
}
