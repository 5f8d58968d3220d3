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

// heartbeats sends on all links every interval and now and then tries nodes
// that are held dead, and the seeds, so that parts that were cut rejoin.
func (m *Members) heartbeats(ctx context.Context) error {
	ticker := time.NewTicker(m.config.Interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		m.beatAll(ctx, false)
		if round%rejoinInterval == 0 || len(m.View().Alive()) <= 1 {
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

// changes rebuilds the view and pushes new facts soon after a change.
func (m *Members) changes(ctx context.Context) error {
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
		m.beatAll(ctx, true)
	}
}

// pauses notices that the process was stopped for a while.
func (m *Members) pauses(ctx context.Context) error {
	tick := m.config.Interval / watchTickFactor
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
		if now.Sub(last) > suspensionGap*m.config.Interval {
			m.suspended.Store(true)
		}
		last = now
	}
}

// beatAll sends on every link at once; a push leaves out links with nothing new.
func (m *Members) beatAll(ctx context.Context, push bool) {
	group, ctx := errgroup.WithContext(ctx)
	for _, l := range m.currentLinks() {
		if push && !m.hasNews(l) {
			continue
		}
		group.Go(func() error {
			m.beat(ctx, l)
			return nil
		})
	}
	_ = group.Wait()
}

func (m *Members) hasNews(l *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed, _ := m.store.Since(l.pushed, l.node.Name())
	return len(changed) > 0 && l.missed == 0
}

// beat sends one heartbeat and judges the link by the outcome.
func (m *Members) beat(ctx context.Context, l *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := m.exchange(ctx, l)
	if err == nil {
		l.missed = 0
		return
	}
	if ctx.Err() != nil {
		return
	}
	l.missed++
	if l.missed == missedLimit-1 {
		event.MemberSilentLink.Log(m.logger, zap.String("member", l.node.Name()), zap.Error(err))
		m.pool.Forget(l.node.PeerAddress())
	}
	if l.missed >= missedLimit && !m.reachable(ctx, l.node) {
		m.declareDead(l.node)
	}
}

// exchange sends the facts that the other side lacks and takes its own.
func (m *Members) exchange(ctx context.Context, l *link) error {
	changed, upto := m.store.Since(l.pushed, l.node.Name())
	call := &wirepb.Exchange{
		From:             m.config.Self.GetName(),
		Facts:            changed,
		Since:            l.pulled,
		SinceIncarnation: l.incarnation,
	}
	reply, err := m.exchangeWith(ctx, l.node.PeerAddress(), call)
	if err != nil {
		return err
	}
	l.pushed = upto
	l.pulled = reply.GetUpto()
	l.incarnation = reply.GetIncarnation()
	return nil
}

// Tell sends facts to all other nodes at once and returns when each has answered
// or ctx has ended. Of nodes that don't answer the pushes take care.
func (m *Members) Tell(ctx context.Context, list []*wirepb.Fact) (reached, asked int) {
	var (
		group errgroup.Group
		heard atomic.Int64
	)
	group.SetLimit(tellsAtOnce)
	for _, n := range m.View().Alive() {
		if n.Name() == m.config.Self.GetName() {
			continue
		}
		asked++
		group.Go(func() error {
			call := &wirepb.Exchange{From: m.config.Self.GetName(), Facts: list, Tell: true}
			if _, err := m.exchangeWith(ctx, n.PeerAddress(), call); err == nil {
				heard.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait()
	return int(heard.Load()), asked
}

func (m *Members) exchangeWith(ctx context.Context, address string, call *wirepb.Exchange) (*wirepb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Interval)
	defer cancel()
	frame := &wirepb.Frame{Body: &wirepb.Frame_Exchange{Exchange: call}}
	m.sent.Add(int64(proto.Size(frame)))
	answer, err := m.pool.Do(ctx, address, frame)
	if err != nil {
		return nil, err
	}
	m.received.Add(int64(proto.Size(answer)))
	reply := answer.GetExchangeReply()
	m.take(reply.GetFacts(), reply.GetFrom())
	m.heard()
	return reply, nil
}

// ServeExchange answers a heartbeat.
func (m *Members) ServeExchange(call *wirepb.Exchange) *wirepb.ExchangeReply {
	m.take(call.GetFacts(), call.GetFrom())
	m.refuteDeath()
	since := call.GetSince()
	incarnation := m.life()
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

// ServeProbe tries to reach a third node for a watcher that can't.
func (m *Members) ServeProbe(ctx context.Context, probe *wirepb.Probe) *wirepb.ProbeReply {
	if probe.GetTargetAddress() == "" {
		return &wirepb.ProbeReply{Reached: true}
	}
	return &wirepb.ProbeReply{Reached: m.probe(ctx, probe.GetTargetAddress(), "")}
}

// life identifies the process's fact store; a refutation doesn't change it.
func (m *Members) life() uint64 { return m.started }

func (m *Members) take(list []*wirepb.Fact, from string) {
	for _, fact := range list {
		m.store.Apply(fact, from)
	}
}

// heard notes that another node answered; a paused process has then learnt of
// its own death, if it was declared dead.
func (m *Members) heard() {
	m.exchanged.Add(1)
	if m.suspended.Load() {
		m.refresh()
		m.suspended.Store(false)
	}
}

// reachable probes a silent node on a new connection and through others.
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

// probe asks a node if it answers, or if it reaches the given target.
func (m *Members) probe(ctx context.Context, address, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.Interval)
	defer cancel()
	call := &wirepb.Probe{TargetAddress: target}
	answer, err := m.pool.Do(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Probe{Probe: call}})
	return err == nil && answer.GetProbeReply().GetReached()
}

func (m *Members) declareDead(n Node) {
	info := proto.CloneOf(n.info)
	info.State = wirepb.MemberState_MEMBER_STATE_DEAD
	m.store.Apply(memberFact(info), "")
}

// rejoin exchanges with one node that is held dead, or with a seed that the
// view does not hold.
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

// introduce tells an address of this node, and what is said of the callee, and
// takes what the callee has learnt since the last introduction.
func (m *Members) introduce(ctx context.Context, address string, ofCallee *wirepb.Fact) {
	m.mu.Lock()
	l := m.introduced[address]
	if l == nil {
		l = &link{}
		m.introduced[address] = l
	}
	m.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	call := &wirepb.Exchange{
		From:             m.config.Self.GetName(),
		Facts:            []*wirepb.Fact{m.store.Get(keyPrefix + m.config.Self.GetName())},
		Since:            l.pulled,
		SinceIncarnation: l.incarnation,
	}
	if ofCallee != nil {
		call.Facts = append(call.Facts, ofCallee)
	}
	reply, err := m.exchangeWith(ctx, address, call)
	if err == nil {
		l.pulled, l.incarnation = reply.GetUpto(), reply.GetIncarnation()
	}
}
