package member

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/wirepb"
)

// heartbeats sends on all links every interval. Every roundsPerRejoin rounds, or
// while no other node is alive, it also tries a dead node and a seed, so that the
// parts of a partitioned fleet rejoin.
func (m *Members) heartbeats(ctx context.Context) error {
	ticker := time.NewTicker(m.config.Interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		m.sendHeartbeats(ctx, false)
		if round%roundsPerRejoin == 0 || len(m.View().Alive()) <= 1 {
			m.rejoin(ctx)
		}
		m.store.Expire()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// pushChanges rebuilds the view after a change and pushes new facts pushDelay
// later.
func (m *Members) pushChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.changed:
		}
		m.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pushDelay):
		}
		m.sendHeartbeats(ctx, true)
	}
}

// detectPauses marks the process as suspended when a tick comes so late that the
// process must have been stopped.
func (m *Members) detectPauses(ctx context.Context) error {
	tick := m.config.Interval / pauseChecksPerInterval
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > suspendedAfterIntervals*m.config.Interval {
			m.suspended.Store(true)
		}
		last = now
	}
}

// sendHeartbeats sends on all links concurrently. A push skips links without
// changes and links whose last heartbeat failed.
func (m *Members) sendHeartbeats(ctx context.Context, push bool) {
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range m.currentLinks() {
		if push && !m.hasChanges(l) {
			continue
		}
		group.Go(func() error {
			m.sendHeartbeat(ctx, l)
			return nil
		})
	}
	_ = group.Wait()
}

func (m *Members) hasChanges(l *link) bool {
	node, p, missed := l.snapshot()
	changed, _ := m.store.Since(p.pushedSeq, node.Name())
	return len(changed) > 0 && missed == 0
}

// sendHeartbeat sends one heartbeat. After maxMissed failures in a row it
// declares the node dead unless another way to reach it works.
func (m *Members) sendHeartbeat(ctx context.Context, l *link) {
	l.exchanging.Lock()
	defer l.exchanging.Unlock()
	node, p, _ := l.snapshot()
	answered, err := m.exchange(ctx, node, p)
	if err == nil {
		l.recordAnswer(answered)
		return
	}
	if ctx.Err() != nil {
		return
	}
	missed := l.recordMiss()
	if missed == maxMissed-1 {
		event.MemberSilentLink.Log(m.logger, zap.String("member", node.Name()), zap.Error(err))
		m.pool.Forget(node.PeerAddress())
	}
	if missed >= maxMissed && !m.reachable(ctx, node) {
		m.declareDead(node)
	}
}

// exchange sends the facts that the other node lacks and applies those that it
// returns. It returns the progress after the exchange.
func (m *Members) exchange(ctx context.Context, node Node, p progress) (progress, error) {
	changed, upto := m.store.Since(p.pushedSeq, node.Name())
	call := &wirepb.Exchange{
		From:             m.config.Self.GetName(),
		Facts:            changed,
		Since:            p.pulledSeq,
		SinceIncarnation: p.storeIncarnation,
	}
	reply, err := m.exchangeWith(ctx, node.PeerAddress(), call)
	if err != nil {
		return p, err
	}
	return progress{storeIncarnation: reply.GetIncarnation(), pushedSeq: upto, pulledSeq: reply.GetUpto()}, nil
}

// Notify sends facts directly to all other alive nodes and returns when each call
// has succeeded or failed. Nodes that were not reached get the facts by later
// pushes.
func (m *Members) Notify(ctx context.Context, published []*wirepb.Fact) (reached, attempted int) {
	var (
		group        errgroup.Group
		reachedCount atomic.Int64
	)
	group.SetLimit(maxConcurrentNotifications)
	for _, n := range m.View().Alive() {
		if n.Name() == m.config.Self.GetName() {
			continue
		}
		attempted++
		group.Go(func() error {
			call := &wirepb.Exchange{From: m.config.Self.GetName(), Facts: published, Tell: true}
			if _, err := m.exchangeWith(ctx, n.PeerAddress(), call); err == nil {
				reachedCount.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(reachedCount.Load()), attempted
}

func (m *Members) exchangeWith(ctx context.Context, address string, call *wirepb.Exchange) (*wirepb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Interval)
	defer cancel()
	frame := &wirepb.Frame{Body: &wirepb.Frame_Exchange{Exchange: call}}
	m.sent.Add(int64(proto.Size(frame)))
	replyFrame, err := m.pool.Do(ctx, address, frame)
	if err != nil {
		return nil, err
	}
	m.received.Add(int64(proto.Size(replyFrame)))
	reply := replyFrame.GetExchangeReply()
	m.applyFacts(reply.GetFacts(), reply.GetFrom())
	m.recordExchange()
	return reply, nil
}

// ServeExchange answers a heartbeat.
func (m *Members) ServeExchange(call *wirepb.Exchange) *wirepb.ExchangeReply {
	m.applyFacts(call.GetFacts(), call.GetFrom())
	m.refuteDeath()
	since := call.GetSince()
	incarnation := m.storeIncarnation()
	if call.GetTell() {
		return &wirepb.ExchangeReply{From: m.config.Self.GetName(), Incarnation: incarnation}
	}
	if call.GetSinceIncarnation() != incarnation {
		since = 0
	}
	changed, upto := m.store.Since(since, call.GetFrom())
	return &wirepb.ExchangeReply{
		From:        m.config.Self.GetName(),
		Incarnation: incarnation,
		Facts:       changed,
		Upto:        upto,
	}
}

// ServeProbe reports whether this node reaches a third one, for a watcher that
// can't; without a third node it answers at once.
func (m *Members) ServeProbe(ctx context.Context, probe *wirepb.Probe) *wirepb.ProbeReply {
	if probe.GetTargetAddress() == "" {
		return &wirepb.ProbeReply{Reached: true}
	}
	return &wirepb.ProbeReply{Reached: m.probe(ctx, probe.GetTargetAddress(), "")}
}

// storeIncarnation identifies the fact store of this process. Unlike the node's
// incarnation it doesn't change when the node refutes its death.
func (m *Members) storeIncarnation() uint64 { return m.startedNanos }

func (m *Members) applyFacts(received []*wirepb.Fact, from string) {
	for _, fact := range received {
		m.store.Apply(fact, from)
	}
}

// recordExchange records an answer of another node. It ends a suspension, since the
// answer carried the fact of the node's death if it had been declared dead.
func (m *Members) recordExchange() {
	m.exchanged.Add(1)
	if m.suspended.Load() {
		m.refresh()
		m.suspended.Store(false)
	}
}

// reachable probes an unresponsive node on a new connection and through peers.
func (m *Members) reachable(ctx context.Context, target Node) bool {
	if m.probe(ctx, target.PeerAddress(), "") {
		return true
	}
	helpers := m.View().Alive()
	tried := 0
	for _, i := range rand.Perm(len(helpers)) {
		helper := helpers[i]
		if helper.Name() == target.Name() || helper.Name() == m.config.Self.GetName() {
			continue
		}
		if m.probe(ctx, helper.PeerAddress(), target.PeerAddress()) {
			return true
		}
		tried++
		if tried == indirectProbes {
			break
		}
	}
	return false
}

// probe checks whether a node answers, or whether it reaches the target if one
// is given.
func (m *Members) probe(ctx context.Context, address, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.Interval)
	defer cancel()
	call := &wirepb.Probe{TargetAddress: target}
	replyFrame, err := m.pool.Do(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Probe{Probe: call}})
	return err == nil && replyFrame.GetProbeReply().GetReached()
}

func (m *Members) declareDead(n Node) {
	info := proto.CloneOf(n.info)
	info.State = wirepb.MemberState_MEMBER_STATE_DEAD
	m.store.Apply(memberFact(info), "")
}

// rejoin exchanges facts with a random dead node and with a random seed that the
// view doesn't contain.
func (m *Members) rejoin(ctx context.Context) {
	known := make(map[string]bool)
	for _, n := range m.View().All() {
		known[n.PeerAddress()] = true
	}
	var unknown []string
	for _, address := range m.config.Seeds {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) > 0 {
		m.introduce(ctx, unknown[rand.IntN(len(unknown))], nil)
	}
	if dead, ok := m.View().randomDead(); ok {
		m.introduce(ctx, dead.PeerAddress(), m.store.Get(keyPrefix+dead.Name()))
	}
}

// introduce sends this node's own fact to an address, and calleeFact, this node's
// fact about the callee, unless it is nil. It applies the facts that the callee
// has received since the last introduction.
func (m *Members) introduce(ctx context.Context, address string, calleeFact *wirepb.Fact) {
	m.mu.Lock()
	l := m.introductionLinks[address]
	if l == nil {
		l = &link{}
		m.introductionLinks[address] = l
	}
	m.mu.Unlock()
	l.exchanging.Lock()
	defer l.exchanging.Unlock()
	_, p, _ := l.snapshot()
	call := &wirepb.Exchange{
		From:             m.config.Self.GetName(),
		Facts:            []*wirepb.Fact{m.store.Get(keyPrefix + m.config.Self.GetName())},
		Since:            p.pulledSeq,
		SinceIncarnation: p.storeIncarnation,
	}
	if calleeFact != nil {
		call.Facts = append(call.Facts, calleeFact)
	}
	reply, err := m.exchangeWith(ctx, address, call)
	if err == nil {
		l.recordAnswer(progress{storeIncarnation: reply.GetIncarnation(), pulledSeq: reply.GetUpto()})
	}
}
