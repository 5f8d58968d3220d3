// Package member finds out which nodes are alive, leaving or dead, and spreads
// what many nodes must know soon.
//
// Each node has a handful of watchers, found by rendezvous hashing: two in its
// failure domain, two in its region's other domains, one in another region. A
// watcher sends it a heartbeat every interval; the heartbeat carries the facts
// that the other side lacks and its reply brings back what the watcher lacks.
// New facts are pushed at once, so a change crosses the fleet in a few hops.
//
// A node that misses several heartbeats is probed on a new connection and
// through two other nodes; if none reaches it, it is declared dead. A node that
// was declared dead, because it was frozen or cut off, starts a new incarnation
// once another node reaches it. Suspended tells the rest of the process that it
// may have been declared dead without knowing it.
//
// # Usage
//
//	m := member.New(member.Config{Self: info, Seeds: seeds, Interval: time.Second}, store, pool, logger)
//	err := m.Run(ctx)
//	view := m.View()
package member

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/facts"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	keyPrefix       = "member/"
	statesPerLife   = 4
	deadFactLife    = 10 * time.Minute
	missedLimit     = 3
	pushDelay       = 20 * time.Millisecond
	rejoinInterval  = 5
	indirectProbes  = 2
	suspensionGap   = 3
	watchTickFactor = 4
	// tellsAtOnce bounds the calls in flight of one Tell; 32 cover the target
	// of 320 nodes in ten rounds.
	tellsAtOnce = 32
)

type (
	// Config says who the node is and whom it knows at the start.
	Config struct {
		// Self describes the node; its incarnation is set by New.
		Self *wirepb.Member
		// Seeds are peer addresses to try while no other node is known.
		Seeds []string
		// Interval is the time between two heartbeats on a link.
		Interval time.Duration
	}

	// Members keeps the membership of one node.
	Members struct {
		config  Config
		store   *facts.Store
		pool    *peers.Pool
		logger  *zap.Logger
		changed chan struct{}
		push    chan struct{}

		mu    sync.Mutex
		self  *wirepb.Member
		links map[string]*link
		// introduced holds links to addresses that no known node has.
		introduced map[string]*link
		view       atomic.Pointer[View]

		started   uint64
		suspended atomic.Bool
		exchanged atomic.Int64
		sent      atomic.Int64
		received  atomic.Int64
	}

	// link is the state of heartbeats to one node.
	link struct {
		node        Node
		mu          sync.Mutex
		incarnation uint64
		pushed      uint64
		pulled      uint64
		missed      int
	}
)

// New returns the membership of a node that starts now.
func New(config Config, store *facts.Store, pool *peers.Pool, logger *zap.Logger) *Members {
	m := &Members{
		config:  config,
		store:   store,
		pool:    pool,
		logger:  logger,
		changed: make(chan struct{}, 1),
		push:    make(chan struct{}, 1),
		self:    proto.CloneOf(config.Self),
		links:   make(map[string]*link),

		introduced: make(map[string]*link),
	}
	m.self.Incarnation = uint64(time.Now().UnixMilli())
	m.started = uint64(time.Now().UnixNano())
	store.Notify(m.changed)
	m.publishSelf()
	m.refresh()
	return m
}

// Run keeps the membership until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.heartbeats(ctx) })
	group.Go(func() error { return m.changes(ctx) })
	group.Go(func() error { return m.pauses(ctx) })
	return group.Wait()
}

// View returns the present membership.
func (m *Members) View() *View { return m.view.Load() }

// Incarnation returns the number of the node's present life.
func (m *Members) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.GetIncarnation()
}

// Suspended reports whether the process was paused and has not yet heard from
// another node since; leases must not be relied on meanwhile.
func (m *Members) Suspended() bool { return m.suspended.Load() }

// Leave announces that the node is leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	m.self.State = wirepb.MemberState_MEMBER_STATE_LEAVING
	m.mu.Unlock()
	m.publishSelf()
}

// Publish takes a fact of this node and pushes it.
func (m *Members) Publish(fact *wirepb.Fact) { m.store.Apply(fact, "") }

// Traffic returns the bytes of facts and heartbeats sent and received.
func (m *Members) Traffic() (sent, received int64) { return m.sent.Load(), m.received.Load() }

// publishSelf states what the node says of itself.
func (m *Members) publishSelf() {
	m.mu.Lock()
	info := proto.CloneOf(m.self)
	m.mu.Unlock()
	m.store.Apply(memberFact(info), "")
}

func memberFact(info *wirepb.Member) *wirepb.Fact {
	fact := &wirepb.Fact{
		Key:     keyPrefix + info.GetName(),
		Version: info.GetIncarnation()*statesPerLife + uint64(info.GetState()),
		Value:   &wirepb.Fact_Member{Member: info},
	}
	if info.GetState() == wirepb.MemberState_MEMBER_STATE_DEAD {
		fact.RemainingMs = deadFactLife.Milliseconds()
	}
	return fact
}

// refresh rebuilds the view from the store and refutes the node's own death.
func (m *Members) refresh() {
	var all []Node
	for _, fact := range m.store.Prefix(keyPrefix) {
		if info := fact.GetMember(); info != nil {
			all = append(all, Node{info: info})
		}
	}
	old := m.view.Load()
	view := newView(m.config.Self.GetName(), all)
	m.view.Store(view)
	m.logChanges(old, view)
	m.refute(view)
	m.relink(view)
}

// refute starts a new incarnation if others know a life under this node's name
// that outranks the present one.
func (m *Members) refute(view *View) {
	seen, ok := view.Node(m.config.Self.GetName())
	if !ok || seen.Incarnation() <= m.Incarnation() {
		return
	}
	m.beginLife(seen.Incarnation() + 1)
}

// refuteDeath starts a new incarnation if others hold this node dead. It is
// called when another node has reached this one, so that a node that can reach
// others and can't be reached stays dead for them.
func (m *Members) refuteDeath() {
	info := m.store.Get(keyPrefix + m.config.Self.GetName()).GetMember()
	dead := info.GetState() == wirepb.MemberState_MEMBER_STATE_DEAD
	if dead && info.GetIncarnation() >= m.Incarnation() {
		m.beginLife(info.GetIncarnation() + 1)
	}
}

func (m *Members) beginLife(incarnation uint64) {
	m.mu.Lock()
	m.self.Incarnation = incarnation
	m.mu.Unlock()
	event.MemberRefuted.Log(m.logger, zap.Uint64("incarnation", incarnation))
	m.publishSelf()
}

func (m *Members) relink(view *View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make(map[string]*link)
	for _, n := range view.Targets() {
		l := m.links[n.Name()]
		if l == nil || l.node.Incarnation() != n.Incarnation() {
			l = &link{}
		}
		l.mu.Lock()
		l.node = n
		l.mu.Unlock()
		links[n.Name()] = l
	}
	m.links = links
}

func (m *Members) logChanges(old, view *View) {
	for _, n := range view.All() {
		before, known := Node{}, false
		if old != nil {
			before, known = old.Node(n.Name())
		}
		if known && before.State() == n.State() && before.Incarnation() == n.Incarnation() {
			continue
		}
		kind := event.MemberJoined
		switch n.State() {
		case wirepb.MemberState_MEMBER_STATE_LEAVING:
			kind = event.MemberLeaving
		case wirepb.MemberState_MEMBER_STATE_DEAD:
			kind = event.MemberDead
		}
		kind.Log(m.logger, zap.String("member", n.Name()), zap.String("domain", n.Domain()),
			zap.Uint64("incarnation", n.Incarnation()))
	}
}

// currentLinks returns the links of this moment.
func (m *Members) currentLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	return links
}
