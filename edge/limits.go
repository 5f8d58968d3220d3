package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/quota"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// permitCallTimeout limits asking another host for permits, which takes a few
	// milliseconds.
	permitCallTimeout = 200 * time.Millisecond
	// permitInterval is how often permits are asked for while some are wanted.
	permitInterval = 50 * time.Millisecond
	// minReportInterval is the least time between two reports of an endpoint's limit to
	// the other hosts. Hosts that miss one learn of the limit from their next answer.
	minReportInterval = time.Second
	// minFailureLogInterval is the least time between two log lines on one host that does
	// not grant permits.
	minFailureLogInterval = time.Second
	// allotterKey begins the rendezvous key of an endpoint's allotter.
	allotterKey = "limit/"
)

// limits asks the hosts that allot the permits of endpoints for some, and allots those
// of the endpoints that belong to this host.
type limits struct {
	book     *quota.Book
	allotter *quota.Allotter
	peers    *peerClient
	logger   *zap.Logger

	mu         sync.Mutex
	asking     map[string]bool
	reportedAt map[string]time.Time
	failedAt   map[string]time.Time
}

var _ roster.Limits = (*limits)(nil)

func newLimits(book *quota.Book, p *peerClient, logger *zap.Logger) *limits {
	l := &limits{
		book: book, allotter: quota.NewAllotter(book, time.Now), peers: p, logger: logger,
		asking: make(map[string]bool), reportedAt: make(map[string]time.Time), failedAt: make(map[string]time.Time),
	}
	book.OnChange(l.changed)
	return l
}

// run asks for the permits that are wanted until the context ends.
func (l *limits) run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		var recheck <-chan time.Time
		if needs := l.book.Needs(); len(needs) > 0 {
			l.ask(ctx, &tasks, needs)
		}
		if l.book.Wanting() {
			recheck = time.After(permitInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.book.Wanted():
		case <-recheck:
		}
	}
}

// ask sends the needs to the endpoints' allotters, one call at a time to each.
func (l *limits) ask(ctx context.Context, tasks *sync.WaitGroup, needs []quota.Need) {
	keepers, self := l.peers.Keepers(), l.peers.Self().Name
	byHost := make(map[string][]quota.Need)
	for _, need := range needs {
		if host, ok := rendez.First(allotterKey+need.Endpoint, keepers); ok {
			byHost[host] = append(byHost[host], need)
		}
	}
	for host, list := range byHost {
		if host == self {
			for _, need := range list {
				l.book.Apply(l.allotter.Ask(self, need))
			}
			continue
		}
		l.mu.Lock()
		busy := l.asking[host]
		l.asking[host] = true
		l.mu.Unlock()
		if !busy {
			tasks.Go(func() { l.askHost(ctx, host, list) })
		}
	}
}

// askHost asks one allotter. If that fails, this host uses its own share of the limits.
func (l *limits) askHost(ctx context.Context, host string, needs []quota.Need) {
	defer func() {
		l.mu.Lock()
		delete(l.asking, host)
		l.mu.Unlock()
	}()
	call := &wirepb.LimitCall{Host: l.peers.Self().Name}
	for _, need := range needs {
		call.Needs = append(call.Needs, encodeNeed(need))
	}
	ctx, cancel := context.WithTimeout(ctx, permitCallTimeout)
	defer cancel()
	started := time.Now()
	frame, err := l.peers.callHost(ctx, host, &wirepb.Frame{Body: &wirepb.Frame_LimitCall{LimitCall: call}})
	if err == nil && len(frame.GetLimitReply().GetGrants()) == len(needs) {
		for _, in := range frame.GetLimitReply().GetGrants() {
			grant := decodeGrant(in)
			// Otherwise a limit that goes back and forth between two hosts would never age.
			grant.Age += time.Since(started)
			l.book.Apply(grant)
		}
		return
	}
	l.logFailure(host, len(needs), err)
	if !l.peers.Discovered() {
		// The number of hosts, and so this host's share, is not known yet.
		return
	}
	for _, need := range needs {
		l.book.UseOwnShare(need.Endpoint, len(l.peers.ActiveNames()))
	}
}

// logFailure logs that a host granted nothing, at most once in minFailureLogInterval.
func (l *limits) logFailure(host string, endpoints int, err error) {
	l.mu.Lock()
	recent := time.Since(l.failedAt[host]) < minFailureLogInterval
	if !recent {
		l.failedAt[host] = time.Now()
	}
	l.mu.Unlock()
	if !recent {
		event.PermitsNotGranted.Log(l.logger, zap.String("host", host), zap.Int("endpoints", endpoints), zap.Error(err))
	}
}

// serve answers another host's call. A host that is not the allotter in its own view
// grants nothing, so that two hosts don't allot the same permits for longer than their
// views differ.
func (l *limits) serve(call *wirepb.LimitCall) *wirepb.LimitReply {
	keepers, self := l.peers.Keepers(), l.peers.Self().Name
	reply := &wirepb.LimitReply{}
	for _, in := range call.GetNeeds() {
		need := decodeNeed(in)
		if need.Count == 0 {
			l.learn(call.GetHost(), need.Fact)
			continue
		}
		if host, ok := rendez.First(allotterKey+need.Endpoint, keepers); !ok || host != self {
			return &wirepb.LimitReply{}
		}
		reply.Grants = append(reply.Grants, encodeGrant(l.allotter.Ask(call.GetHost(), need)))
	}
	return reply
}

func (l *limits) learn(from string, fact quota.Fact) {
	if l.book.Learn(fact) {
		event.EndpointLimitChanged.Log(l.logger, zap.String("endpoint", fact.Endpoint), zap.Stringer("to", fact.Limit), zap.String("learned", from))
	}
}

// ListLimits returns the limits that this host knows, for hosts that start.
func (l *limits) ListLimits() []*wirepb.EndpointLimit {
	var list []*wirepb.EndpointLimit
	for _, fact := range l.book.Facts() {
		list = append(list, encodeFact(fact))
	}
	return list
}

// MergeLimits adds the limits that another host knows.
func (l *limits) MergeLimits(from string, list []*wirepb.EndpointLimit) {
	for _, fact := range list {
		l.learn(from, decodeFact(fact))
	}
}

// isReport reports whether a call asks for no permits, so that it is passed on.
func isReport(call *wirepb.LimitCall) bool {
	return len(call.GetNeeds()) > 0 && call.GetNeeds()[0].GetCount() == 0
}

// changed logs that an endpoint's answer to this host has changed its limit, and
// reports it to the other hosts.
func (l *limits) changed(endpoint string, from, to quota.Limit) {
	event.EndpointLimitChanged.Log(l.logger, zap.String("endpoint", endpoint), zap.Stringer("from", from), zap.Stringer("to", to))
	l.mu.Lock()
	recent := time.Since(l.reportedAt[endpoint]) < minReportInterval
	if !recent {
		l.reportedAt[endpoint] = time.Now()
	}
	l.mu.Unlock()
	if recent {
		return
	}
	call := &wirepb.Frame{Body: &wirepb.Frame_LimitCall{LimitCall: &wirepb.LimitCall{
		Host: l.peers.Self().Name, Needs: []*wirepb.EndpointLimit{encodeNeed(quota.Need{Fact: l.book.Fact(endpoint)})},
	}}}
	l.peers.send(l.peers.Hubs(), call)
	l.peers.passOn(call)
}
