package edge

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// probeLimit is how long a connection to an endpoint that broke off may take: a
	// process that is gone refuses it within a round trip, which takes milliseconds.
	probeLimit = 100 * time.Millisecond
	// toldLimit is how long a failed answer waits at most until other nodes know of
	// the crash behind it; a node that can't be reached must not hold it up for
	// longer.
	toldLimit = 100 * time.Millisecond
)

// suspects knows the requests that crash endpoints, here and at other nodes.
type suspects struct {
	ledger *poison.Ledger
	others *others
	probes singleflight.Group
	logger *zap.Logger
}

var (
	_ relay.Suspects = (*suspects)(nil)
	_ roster.Extra   = (*suspects)(nil)
)

func newSuspects(o *others, logger *zap.Logger) *suspects {
	return &suspects{ledger: poison.NewLedger(time.Now), others: o, logger: logger}
}

// Crashes returns how many endpoints a request has crashed one after another.
func (s *suspects) Crashes(request relay.Request) int {
	if s.ledger.Empty() {
		return 0
	}
	return s.ledger.Crashes(fingerprintOf(request))
}

// Barred reports whether a request is not run any more, and for how long.
func (s *suspects) Barred(request relay.Request) (time.Duration, bool) {
	if s.ledger.Empty() {
		return 0, false
	}
	return s.ledger.Barred(fingerprintOf(request))
}

// BrokeOff counts a crash if the endpoint is gone. A connection alone breaks off
// for many reasons.
func (s *suspects) BrokeOff(
	ctx context.Context, target fleet.Target, request relay.Request, atStart int,
) <-chan struct{} {
	if !s.gone(ctx, target) {
		return nil
	}
	news, fresh := s.ledger.Crashed(fingerprintOf(request), atStart)
	kind := event.RequestSuspect
	if _, barred := s.ledger.Barred(news.Fingerprint); barred {
		kind = event.RequestBarred
	}
	kind.Log(s.logger, zap.String("request", request.ID), zap.String("endpoint", target.ID()),
		zap.Uint64("fingerprint", news.Fingerprint), zap.Int("crashes", news.Crashes), zap.Bool("told", fresh))
	if !fresh {
		return nil
	}
	told := make(chan struct{})
	timer := time.AfterFunc(toldLimit, func() { close(told) })
	s.tell(news, func() {
		if timer.Stop() {
			close(told)
		}
	})
	return told
}

// Answered clears a request that had crashes.
func (s *suspects) Answered(request relay.Request) {
	if news, fresh := s.ledger.Answered(fingerprintOf(request)); fresh {
		event.RequestCleared.Log(s.logger, zap.String("request", request.ID), zap.Uint64("fingerprint", news.Fingerprint))
		s.tell(news, func() {})
	}
}

// Refused returns what hellos carry: what is refused must reach also nodes that
// were cut off or started since.
func (s *suspects) Refused() []*wirepb.Suspect { return encodeSuspects(s.ledger.Refused()) }

// Learn takes what another node says.
func (s *suspects) Learn(list []*wirepb.Suspect) {
	for _, news := range decodeSuspects(list) {
		if s.ledger.Learn(news) {
			event.SuspectLearned.Log(s.logger, zap.Uint64("fingerprint", news.Fingerprint),
				zap.Int("crashes", news.Crashes), zap.Duration("left", news.Left))
		}
	}
}

// tell tells all other nodes and calls done once each has answered or can't.
func (s *suspects) tell(news poison.Suspicion, done func()) {
	list := encodeSuspects([]poison.Suspicion{news})
	told := s.others.toAll(&wirepb.Frame{Body: &wirepb.Frame_Suspects{Suspects: &wirepb.Suspects{List: list}}})
	go func() {
		told.Wait()
		done()
	}()
}

// gone reports whether an endpoint's process has ended: its address refuses
// connections. Those that broke off together share one probe.
func (s *suspects) gone(ctx context.Context, target fleet.Target) bool {
	result, _, _ := s.probes.Do(target.ID(), func() (any, error) {
		dialer := &net.Dialer{Timeout: probeLimit}
		conn, err := dialer.DialContext(context.WithoutCancel(ctx), "tcp", target.Address())
		if err == nil {
			return false, conn.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return result == true
}

// fingerprintOf identifies what a caller asks for, whatever the attempt.
func fingerprintOf(request relay.Request) uint64 {
	caller := strconv.FormatUint(request.Caller, 16)
	return poison.Fingerprint(caller+" "+request.Host+" "+request.Method+" "+request.Target, request.Body)
}
