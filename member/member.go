// Package member tracks which nodes are alive, leaving or dead, and spreads facts
// that must reach many nodes quickly.
//
// Each node has a handful of watchers, selected by rendezvous hashing: two in its
// failure domain, two in its region's other domains, one in another region. A
// watcher sends it a heartbeat every interval. The heartbeat carries the facts
// that the node lacks, and the reply carries those that the watcher lacks. New
// facts are pushed without waiting for the next heartbeat, so a change crosses
// the fleet in a few hops.
//
// A node that misses several heartbeats is probed on a new connection and
// through two other nodes; if none reaches it, it is declared dead. A node that
// was declared dead, because it was paused or partitioned, starts a new
// incarnation once another node reaches it. After a pause, Suspended reports that
// the node may have been declared dead, until another node has answered it.
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
	keyPrefix               = "member/"
	statesPerIncarnation    = 4
	deadFactTTL             = 10 * time.Minute
	maxMissed               = 3
	pushDelay               = 20 * time.Millisecond
	roundsPerRejoin         = 5
	indirectProbes          = 2
	suspendedAfterIntervals = 3
	pauseChecksPerInterval  = 4
	// maxConcurrentNotifications bounds the calls in flight of one Notify. With 32 the
	// target of 320 nodes takes ten rounds.
	maxConcurrentNotifications = 32
)

type (
	// Config describes the node and how it finds its first peers.
	Config struct {
		// Self describes the node; its incarnation is set by New.
		Self *wirepb.Member
		// Seeds are peer addresses to try while no known node has them.
		Seeds []string
		// Interval is the time between two heartbeats on a link.
		Interval time.Duration
	}

	// Members maintains one node's view of the membership.
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
		// introductionLinks holds, by address, the links to the seeds and dead nodes
		// that introduce has called.
		introductionLinks map[string]*link
		view              atomic.Pointer[View]

		startedNanos uint64
		suspended    atomic.Bool
		exchanged    atomic.Int64
		sent         atomic.Int64
		received     atomic.Int64
	}

	// link holds the state of heartbeats to one node.
	link struct {
		// exchanging serializes the exchanges on the link. It is held while the peer
		// answers, so it must not be taken while another lock is held.
		exchanging sync.Mutex

		// mu guards the fields below. No call is made and no other lock is taken while
		// it is held.
		mu       sync.Mutex
		node     Node
		progress progress
		missed   int
	}

	// progress is how far the facts of two nodes have been exchanged: the sequence
	// numbers up to which they were pushed and pulled, and the incarnation of the
	// peer's fact store that pulledSeq refers to.
	progress struct {
		storeIncarnation uint64
		pushedSeq        uint64
		pulledSeq        uint64
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

		introductionLinks: make(map[string]*link),
	}
	m.self.Incarnation = uint64(time.Now().UnixMilli())
	m.startedNanos = uint64(time.Now().UnixNano())
	store.Subscribe(m.changed)
	m.publishSelf()
	m.refresh()
	return m
}

// Run maintains the membership until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.heartbeats(ctx) })
	group.Go(func() error { return m.pushChanges(ctx) })
	group.Go(func() error { return m.detectPauses(ctx) })
	return group.Wait()
}

// View returns the current membership.
func (m *Members) View() *View { return m.view.Load() }

// Incarnation returns the node's current incarnation.
func (m *Members) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.GetIncarnation()
}

// Suspended reports whether the process was paused and no other node has answered
// it since. Leases must not be relied on meanwhile.
func (m *Members) Suspended() bool { return m.suspended.Load() }

// Leave announces that the node is leaving.
func (m *Members) Leave() {
	m.mu.Lock()
	m.self.State = wirepb.MemberState_MEMBER_STATE_LEAVING
	m.mu.Unlock()
	m.publishSelf()
}

// Publish stores a fact of this node, which is then pushed to the peers.
func (m *Members) Publish(fact *wirepb.Fact) { m.store.Apply(fact, "") }

// Traffic returns the bytes of facts and heartbeats sent and received.
func (m *Members) Traffic() (sent, received int64) { return m.sent.Load(), m.received.Load() }

// publishSelf publishes the node's own description.
func (m *Members) publishSelf() {
	m.mu.Lock()
	info := proto.CloneOf(m.self)
	m.mu.Unlock()
	m.store.Apply(memberFact(info), "")
}

func memberFact(info *wirepb.Member) *wirepb.Fact {
	fact := &wirepb.Fact{
		Key:     keyPrefix + info.GetName(),
		Version: info.GetIncarnation()*statesPerIncarnation + uint64(info.GetState()),
		Value:   &wirepb.Fact_Member{Member: info},
	}
	if info.GetState() == wirepb.MemberState_MEMBER_STATE_DEAD {
		fact.RemainingMs = deadFactTTL.Milliseconds()
	}
	return fact
}

// refresh rebuilds the view from the store, logs its changes, and updates the
// incarnation and the links.
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
	m.raiseIncarnation(view)
	m.relink(view)
}

// raiseIncarnation starts a new incarnation if other nodes have a higher one under
// this node's name.
func (m *Members) raiseIncarnation(view *View) {
	seen, ok := view.Node(m.config.Self.GetName())
	if !ok || seen.Incarnation() <= m.Incarnation() {
		return
	}
	m.startIncarnation(seen.Incarnation() + 1)
}

// refuteDeath starts a new incarnation if this node was declared dead. It is
// called when another node has reached this one, so that a node that can reach
// others but can't be reached stays dead.
func (m *Members) refuteDeath() {
	info := m.store.Get(keyPrefix + m.config.Self.GetName()).GetMember()
	dead := info.GetState() == wirepb.MemberState_MEMBER_STATE_DEAD
	if dead && info.GetIncarnation() >= m.Incarnation() {
		m.startIncarnation(info.GetIncarnation() + 1)
	}
}

func (m *Members) startIncarnation(incarnation uint64) {
	m.mu.Lock()
	m.self.Incarnation = incarnation
	m.mu.Unlock()
	event.MemberRefutedOwnDeath.Log(m.logger, zap.Uint64("incarnation", incarnation))
	m.publishSelf()
}

func (m *Members) relink(view *View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make(map[string]*link)
	for _, n := range view.Targets() {
		l := m.links[n.Name()]
		if l == nil || !l.isTo(n) {
			l = &link{}
		}
		l.setNode(n)
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

// isTo reports whether the link leads to this incarnation of the node.
func (l *link) isTo(n Node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Incarnation() == n.Incarnation()
}

func (l *link) setNode(n Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node = n
}

// snapshot returns the node, the progress of exchanges with it, and how many
// heartbeats it has missed in a row.
func (l *link) snapshot() (n Node, p progress, missed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node, l.progress, l.missed
}

// recordAnswer records an exchange that the peer has answered.
func (l *link) recordAnswer(p progress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress, l.missed = p, 0
}

// recordMiss records an exchange without an answer and returns how many there
// were in a row.
func (l *link) recordMiss() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missed++
	return l.missed
}

// currentLinks returns a copy of the list of links.
func (m *Members) currentLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	return links
}
