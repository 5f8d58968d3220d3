package edge

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/currantloft/currantloft/detour"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// probeTimeout limits the connection that checks an endpoint whose request
	// broke off. The host of a process that has exited refuses it within a round
	// trip, which takes milliseconds.
	probeTimeout = 100 * time.Millisecond
	// crashNotifyTimeout limits how long a failed answer waits until the peers have
	// been notified of the crash behind it. An unreachable peer must not delay it
	// longer.
	crashNotifyTimeout = 100 * time.Millisecond
)

// suspects tracks the requests that crash endpoints, here and at peers.
type suspects struct {
	ledger *poison.Ledger
	peers  *peerClient
	detour *detour.Sender
	probes singleflight.Group
	logger *zap.Logger
}

var (
	_ relay.Suspects    = (*suspects)(nil)
	_ roster.Quarantine = (*suspects)(nil)
)

func newSuspects(p *peerClient, d *detour.Sender, logger *zap.Logger) *suspects {
	return &suspects{ledger: poison.NewLedger(time.Now), peers: p, detour: d, logger: logger}
}

// Crashes returns how many endpoints a request has crashed in succession.
func (s *suspects) Crashes(request relay.Request) int {
	if s.ledger.Empty() {
		return 0
	}
	return s.ledger.Crashes(fingerprintOf(request))
}

// Quarantined reports whether a request is in quarantine, and for how long.
func (s *suspects) Quarantined(request relay.Request) (time.Duration, bool) {
	if s.ledger.Empty() {
		return 0, false
	}
	return s.ledger.Quarantined(fingerprintOf(request))
}

// Disconnected records a crash if the endpoint's process has exited: a connection
// alone breaks off for many reasons. crashesAtStart is the request's crash count
// when the attempt started. The returned channel, nil if there is nothing to
// notify, is closed once the peers have been notified, at the latest after
// crashNotifyTimeout.
func (s *suspects) Disconnected(
	ctx context.Context, target fleet.Target, request relay.Request, crashesAtStart int,
) <-chan struct{} {
	if !s.exited(ctx, target) {
		return nil
	}
	update, changed := s.ledger.Crashed(fingerprintOf(request), crashesAtStart)
	kind := event.RequestSuspect
	if _, quarantined := s.ledger.Quarantined(update.Fingerprint); quarantined {
		kind = event.RequestQuarantined
	}
	kind.Log(s.logger, zap.String("request", request.ID), zap.String("endpoint", target.ID()),
		zap.Uint64("fingerprint", update.Fingerprint), zap.Int("crashes", update.Crashes), zap.Bool("told", changed))
	if !changed {
		return nil
	}
	notified := make(chan struct{})
	timer := time.AfterFunc(crashNotifyTimeout, func() { close(notified) })
	s.notify(update, func() {
		if timer.Stop() {
			close(notified)
		}
	})
	return notified
}

// Answered clears a request that had crashed endpoints before.
func (s *suspects) Answered(request relay.Request) {
	if update, changed := s.ledger.Answered(fingerprintOf(request)); changed {
		event.RequestCleared.Log(s.logger, zap.String("request", request.ID), zap.Uint64("fingerprint", update.Fingerprint))
		s.notify(update, func() {})
	}
}

// ListQuarantined returns the requests in quarantine. The answers to hellos carry
// them, so that a node that was cut off or not yet running when the peers were
// notified gets them too.
func (s *suspects) ListQuarantined() []*wirepb.Suspect {
	return encodeSuspects(s.ledger.ListQuarantined())
}

// Merge records the requests that a peer reports.
func (s *suspects) Merge(list []*wirepb.Suspect) {
	for _, update := range decodeSuspects(list) {
		if s.ledger.Merge(update) {
			event.SuspectLearned.Log(s.logger, zap.Uint64("fingerprint", update.Fingerprint),
				zap.Int("crashes", update.Crashes), zap.Duration("left", update.Remaining))
		}
	}
}

// notify notifies the hubs, which pass it on, and calls done once each has answered or
// failed.
func (s *suspects) notify(update poison.Suspect, done func()) {
	list := encodeSuspects([]poison.Suspect{update})
	call := &wirepb.Frame{Body: &wirepb.Frame_Suspects{Suspects: &wirepb.Suspects{List: list}}}
	pending := s.peers.send(s.peers.Hubs(), call)
	s.peers.passOn(call)
	go func() {
		pending.Wait()
		done()
	}()
}

// exited reports whether an endpoint's process has ended: its address refuses
// connections, also those of other hosts. Requests that break off at the same time share
// one probe.
func (s *suspects) exited(ctx context.Context, target fleet.Target) bool {
	result, _, _ := s.probes.Do(target.ID(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		return s.detour.Refused(ctx, target.Address()) && !s.detour.Reached(ctx, target.Address()), nil
	})
	return result == true
}

// fingerprintOf returns the fingerprint of a request, which is the same for all of
// its attempts.
func fingerprintOf(request relay.Request) uint64 {
	caller := strconv.FormatUint(request.Caller, 16)
	return poison.Fingerprint(caller+" "+request.Host+" "+request.Method+" "+request.Target, request.Body)
}
