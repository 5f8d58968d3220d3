package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/origin"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// originCopies is how many other hosts get each record: two may die with this one.
	originCopies = 3
	// originAsked is how many hosts are asked for a record; those that started since
	// have none.
	originAsked = originCopies + 2
	// originTimeout limits asking other hosts for a record. The hosts that may have died
	// with the first one don't answer at all.
	originTimeout = 150 * time.Millisecond
	// maxOriginsPending limits the records that wait to be sent.
	maxOriginsPending = 1000
	// originKey begins the rendezvous key of a stream.
	originKey = "origin/"
)

// origins remembers which software began each stream, here and at other hosts, so that
// a caller can resume its stream after this host has died.
type origins struct {
	ledger *origin.Ledger
	peers  *peerClient
	fleet  *fleet.Fleet
	// settled reports whether the streaming routes have been in force for the given time,
	// and the configuration and the list of endpoints are current and were so for as long.
	settled func(context.Context, time.Duration) bool
	logger  *zap.Logger
	wake    chan struct{}

	mu      sync.Mutex
	pending map[string]fleet.Software
}

var _ relay.Origins = (*origins)(nil)

func newOrigins(p *peerClient, f *fleet.Fleet, settled func(context.Context, time.Duration) bool, logger *zap.Logger) *origins {
	return &origins{
		ledger: origin.NewLedger(time.Now), peers: p, fleet: f, settled: settled, logger: logger,
		wake: make(chan struct{}, 1), pending: make(map[string]fleet.Software),
	}
}

// Record records the software that began a stream and sends the record to other hosts.
func (o *origins) Record(attempt string, software fleet.Software) {
	if !o.ledger.Put(attempt, software) {
		return
	}
	o.mu.Lock()
	dropped := len(o.pending) >= maxOriginsPending
	if !dropped {
		o.pending[attempt] = software
	}
	o.mu.Unlock()
	if dropped {
		event.StreamOriginNotSent.Log(o.logger, zap.String("request", attempt), zap.String("reason", "too many wait"))
		return
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run sends records to other hosts until the context ends. Records that are made while
// some are sent go together afterwards.
func (o *origins) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.wake:
			o.flush(ctx)
		}
	}
}

func (o *origins) flush(ctx context.Context) {
	o.mu.Lock()
	records := o.pending
	o.pending = make(map[string]fleet.Software)
	o.mu.Unlock()
	byHost := make(map[string][]*wirepb.StreamOrigin)
	for attempt, software := range records {
		names := o.holders(attempt, originCopies)
		names = append(names, o.leaving(attempt, originCopies-len(names))...)
		for _, name := range names {
			byHost[name] = append(byHost[name], &wirepb.StreamOrigin{Attempt: attempt, Software: string(software)})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for name, list := range byHost {
		calls.Go(func() {
			_, err := o.peers.callHost(ctx, name, &wirepb.Frame{Body: &wirepb.Frame_OriginCall{OriginCall: &wirepb.OriginCall{Records: list}}})
			if err != nil {
				event.StreamOriginNotSent.Log(o.logger, zap.String("host", name), zap.Int("records", len(list)), zap.Error(err))
			}
		})
	}
	calls.Wait()
}

// holders returns the hosts, without this one, that have the records of a stream.
func (o *origins) holders(attempt string, count int) []string {
	var names []string
	self := o.peers.Self().Name
	for _, name := range rendez.Top(originKey+attempt, o.peers.Keepers(), count+1) {
		if name != self && len(names) < count {
			names = append(names, name)
		}
	}
	return names
}

// leaving returns the hosts that had the records of a stream before they began to leave.
// They still answer, and while many hosts stop no other one may have the record.
func (o *origins) leaving(attempt string, count int) []string {
	var names []string
	for _, h := range o.peers.Peers() {
		if h.Leaving && o.peers.CouldBeHub(h) {
			names = append(names, h.Name)
		}
	}
	return rendez.Top(originKey+attempt, names, count)
}

// Lookup returns the software that began a stream, and asks other hosts if this one does
// not know it.
func (o *origins) Lookup(ctx context.Context, attempt string) (fleet.Software, bool) {
	if software, ok := o.ledger.Get(attempt); ok {
		return software, true
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	names := append(o.holders(attempt, originAsked), o.leaving(attempt, originAsked)...)
	found := make(chan fleet.Software, len(names))
	call := &wirepb.Frame{Body: &wirepb.Frame_OriginCall{OriginCall: &wirepb.OriginCall{Attempt: attempt}}}
	for _, name := range names {
		go func() {
			frame, err := o.peers.callHost(ctx, name, call)
			if err != nil {
				o.logger.Debug("asking for the software of a stream", zap.String("host", name), zap.Error(err))
			}
			found <- fleet.Software(frame.GetOriginReply().GetSoftware())
		}()
	}
	for range names {
		if software := <-found; software != "" {
			o.ledger.Put(attempt, software)
			return software, true
		}
	}
	event.StreamOriginUnknown.Log(o.logger, zap.String("request", attempt), zap.Strings("asked", names))
	return "", false
}

// Sole returns the only software of a service's endpoints in the given time. Other hosts
// may have begun streams at endpoints that this one does not know, or by a configuration
// that it has not had.
func (o *origins) Sole(ctx context.Context, service string, within time.Duration) (fleet.Software, bool) {
	if !o.settled(ctx, within) {
		return "", false
	}
	return o.fleet.SoleSoftware(service, within)
}

// serve answers another host's call.
func (o *origins) serve(call *wirepb.OriginCall) *wirepb.OriginReply {
	for _, record := range call.GetRecords() {
		o.ledger.Put(record.GetAttempt(), fleet.Software(record.GetSoftware()))
	}
	software, _ := o.ledger.Get(call.GetAttempt())
	return &wirepb.OriginReply{Software: string(software)}
}
