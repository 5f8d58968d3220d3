// Package roster tracks the nodes of the fleet: which are alive, which are
// leaving, and where they listen.
//
// A node registers itself in the platform's store when it starts, lists the
// entries of the other nodes, and periodically sends a hello, the heartbeat of
// this package, to some of them. The answer to a hello also carries the live hosts
// that the answering node has, unless both nodes have the same ones, so the roster
// stays up to date during an outage of the store. The roster is eventually
// consistent: decisions that must be made only once are made by the store.
//
// Some hosts are hubs, all of them in a small fleet. Hubs send hellos to other hubs
// and check each other's reports. Every other host belongs to one hub, its parent: it
// sends hellos only to its parent and takes over the parent's list, and its parent
// reports its death.
//
// # Usage
//
//	r := roster.New(self, store, pool, logger)
//	go r.Run(ctx)
//	r.ActiveNames() // names of the nodes that run and are not leaving
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// kindHosts is the kind of the store's entries under which nodes register.
	kindHosts = "hosts"
	// helloInterval is the pause between two hellos to a host.
	helloInterval = 700 * time.Millisecond
	// helloFanout is how many hubs each hub sends hellos to: the next ones in order of
	// names. A hub that finds a host dead notifies the other hubs, which then check for
	// themselves, so the hellos of a node don't grow with the fleet.
	helloFanout = 6
	// startFanout is how many other hubs a host that is not a hub sends hellos to until it
	// is settled.
	startFanout = 2
	// childHelloInterval is the pause between two hellos of a host to its parent.
	childHelloInterval = 1400 * time.Millisecond
	// childSilence is how long a hub waits for a hello of a host that belongs to it
	// before it sends one itself. That covers a late hello and a lost packet.
	childSilence = childHelloInterval*11/10 + helloTimeout
	// helloJitter is the share by which the pauses between hellos vary, so that hosts
	// that started together don't stay in step.
	helloJitter = 0.1
	// settleTime is how long a node runs until its list of hosts may replace those of
	// other nodes.
	settleTime = 3 * time.Second
	// helloTimeout bounds one hello. An answer takes two milliseconds, and a lost
	// packet is retransmitted after 200.
	helloTimeout = 600 * time.Millisecond
	// maxHelloFailures is how many hellos in a row must fail for a host to be
	// considered dead. A refused connection suffices alone, since it means that the
	// process has ended.
	maxHelloFailures = 2
	// isolationLimit is how long a node of which no hello is answered takes the fault for its
	// own and counts no failed hellos. After that the others count as dead.
	isolationLimit = 8 * time.Second
	// listInterval is the pause between two lists of the store's entries, which find
	// hosts that no hello has reported. In a large fleet the pause is longer:
	// listIntervalPerNode for each known host.
	listInterval        = 6 * time.Second
	listIntervalPerNode = 300 * time.Millisecond
	// discoveryDelay is how long after its registration a node may still lack peers.
	// A hello takes some milliseconds, and a lost packet is retransmitted after 200.
	discoveryDelay = 300 * time.Millisecond
	// registerRetryDelay is the pause between two attempts to register.
	registerRetryDelay = 300 * time.Millisecond
	// unreachedMaxAge is how long a host's number of endpoints that it does not reach is
	// used after its last hello or reply: some hellos to the hubs it has no others with.
	unreachedMaxAge = 5 * time.Second
	// deadRetention is how long a dead host is remembered.
	deadRetention = 90 * time.Second
	// maxConcurrentHellos bounds the hellos in flight.
	maxConcurrentHellos = 16
)

type (
	// Quarantine holds the requests that the node rejects, which the answers to
	// hellos also carry.
	Quarantine interface {
		// ListQuarantined returns the requests that the node rejects.
		ListQuarantined() []*wirepb.Suspect
		// Merge adds the requests that another node rejects.
		Merge(refused []*wirepb.Suspect)
	}

	// Limits holds the endpoints' limits that the node knows. Answers to hellos of nodes
	// that start or were cut off carry them.
	Limits interface {
		// ListLimits returns the limits that the node knows.
		ListLimits() []*wirepb.EndpointLimit
		// MergeLimits adds the limits that another node knows.
		MergeLimits(from string, list []*wirepb.EndpointLimit)
	}

	// Host describes a node.
	Host struct {
		Name string `json:"name"`
		// Incarnation is when the host started, in Unix nanoseconds of its own clock.
		Incarnation uint64 `json:"incarnation"`
		Domain      string `json:"domain"`
		// CallerAddress and PeerAddress are the addresses for callers and for other
		// nodes.
		CallerAddress string `json:"callers"`
		PeerAddress   string `json:"peers"`
		// Power is the host's processor capacity, in thousandths of a core.
		Power   uint32 `json:"power"`
		Leaving bool   `json:"-"`
	}

	// Roster tracks the hosts of the fleet for one node. It is safe for concurrent
	// use.
	Roster struct {
		store  object.Store
		pool   *peers.Pool
		logger *zap.Logger
		// unreadable holds the names of the entries that the last list could not read.
		// Only one list runs at a time.
		unreadable map[string]bool
		onDead     func(Host)
		onLeaving  func(Host)
		quarantine Quarantine
		limits     Limits

		mu   sync.Mutex
		self Host
		// unreached is the number of endpoints that only other hosts reach.
		unreached uint32
		// discoveredAt is when the node is expected to have learned of all nodes that
		// registered before it; zero until it has registered.
		discoveredAt time.Time
		// caughtUp is true once the node has what a settled hub knows.
		caughtUp bool
		// answeredAt is when the last hello was sent that was answered; zero if none was.
		answeredAt time.Time
		// hubSince is since when the node is a hub, zero if it is none.
		hubSince time.Time
		// statusChangedAt is when a host was last found dead or alive again.
		statusChangedAt time.Time
		hosts           map[string]*peer
		// cachedTopology and cachedDigest are derived from the hosts; nil and 0 if they
		// have changed since.
		cachedTopology *topology
		cachedDigest   uint64
	}

	peer struct {
		host     Host
		failures int
		dead     bool
		// confirmed is true once the host itself has sent or answered a hello; before,
		// only the store or another node has reported it.
		confirmed bool
		// differs reports whether the host has said hello with another list of hosts. Only
		// its answer to a hello would bring that list.
		differs bool
		// unreached is the number of endpoints that only others reach, and unreachedAt when
		// the host said so.
		unreached   uint32
		unreachedAt time.Time
		// lastHeard is when the host itself was last heard, or when a dead one was found
		// dead; of a host that others have reported it is when it started.
		lastHeard time.Time
		// deadAt is when the host was found dead, and countedAt when a failed hello to it was
		// last counted.
		deadAt, countedAt time.Time
	}
)

// New returns the roster of a node.
func New(self Host, store object.Store, pool *peers.Pool, logger *zap.Logger) *Roster {
	return &Roster{store: store, pool: pool, logger: logger, self: self, hosts: make(map[string]*peer)}
}

// OnDead sets a function that is called when this node's own hellos find a host dead.
// It must be called before Run.
func (r *Roster) OnDead(call func(Host)) { r.onDead = call }

// OnLeaving sets a function that is called when a host says that it is leaving. It
// must be called before Run and Serve.
func (r *Roster) OnLeaving(call func(Host)) { r.onLeaving = call }

// SetQuarantine sets the quarantine whose requests the answers to hellos carry. It
// must be called before Run and Serve.
func (r *Roster) SetQuarantine(quarantine Quarantine) { r.quarantine = quarantine }

// SetLimits sets the limits that the answers to hellos carry. It must be called before
// Run.
func (r *Roster) SetLimits(limits Limits) { r.limits = limits }

// Run registers the node and keeps the roster up to date until the context ends.
func (r *Roster) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	// A node lists the store after it has registered: of two nodes, the one that
	// registers last finds the other in its list and sends it a hello, so one list
	// is enough for them to find each other.
	group.Go(func() error {
		r.register(ctx)
		r.helloLoop(ctx)
		return nil
	})
	return group.Wait()
}

// Self returns this node.
func (r *Roster) Self() Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Leave notifies the hubs that this node is leaving. They pass it on to the other
// hosts.
func (r *Roster) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.Leaving = true
	r.invalidate()
	r.mu.Unlock()
	r.hello(ctx, r.Hubs(), true)
}

// SetUnreached records how many endpoints only other hosts reach, and tells the hubs if
// that has changed. While there are some, it is to be called again within
// unreachedMaxAge.
func (r *Roster) SetUnreached(ctx context.Context, endpoints int) {
	r.mu.Lock()
	changed := r.unreached != uint32(endpoints) || endpoints > 0
	r.unreached = uint32(endpoints)
	r.mu.Unlock()
	if changed {
		r.hello(ctx, r.Hubs(), false)
	}
}

// Unreached returns the number of endpoints that a host says only others reach, 0 if it
// has not said so lately.
func (r *Roster) Unreached(name string) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.Name {
		return r.unreached
	}
	p := r.hosts[name]
	if p == nil || time.Since(p.unreachedAt) > unreachedMaxAge {
		return 0
	}
	return p.unreached
}

// Alive reports whether this incarnation of the host runs, leaving or not.
func (r *Roster) Alive(name string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.Name {
		return incarnation == r.self.Incarnation
	}
	p := r.hosts[name]
	return p != nil && !p.dead && p.host.Incarnation == incarnation
}

// Incarnation returns the incarnation of a host that is not dead, 0 if there is
// none.
func (r *Roster) Incarnation(name string) uint64 {
	if h, ok := r.Host(name); ok {
		return h.Incarnation
	}
	return 0
}

// Host returns the host of this name unless it is dead or unknown.
func (r *Roster) Host(name string) (Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.Name {
		return r.self, true
	}
	p := r.hosts[name]
	if p == nil || p.dead {
		return Host{}, false
	}
	return p.host, true
}

// Peers returns the peers that are not dead, sorted by name.
func (r *Roster) Peers() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selectHosts(func(Host) bool { return true })
}

// ActiveNames returns the names of the hosts that run and are not leaving.
func (r *Roster) ActiveNames() []string {
	var names []string
	for _, h := range r.ActiveHosts() {
		names = append(names, h.Name)
	}
	return names
}

// ActiveHosts returns the hosts that run and are not leaving, this node first.
func (r *Roster) ActiveHosts() []Host {
	self := r.Self()
	var hosts []Host
	if !self.Leaving {
		hosts = append(hosts, self)
	}
	for _, h := range r.Peers() {
		if !h.Leaving {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Keepers returns the names of the hosts that take on the costly roles, such as
// owning batches (being their keeper) and listing the store for their peers: the
// hubs that have at least half the processor capacity of the largest host.
func (r *Roster) Keepers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topology()
	var names []string
	for _, h := range t.hubs {
		if t.strong[h.Name] {
			names = append(names, h.Name)
		}
	}
	return names
}

// LastStatusChange returns when a host was last found dead or alive again.
func (r *Roster) LastStatusChange() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statusChangedAt
}

// register writes the node's own entry, retrying until it succeeds or the context
// ends.
func (r *Roster) register(ctx context.Context) {
	self := r.Self()
	spec, err := json.Marshal(self)
	if err != nil {
		event.HostListFailed.Log(r.logger, zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		_, err := r.store.Create(ctx, kindHosts, self.Name, spec)
		var exists *object.ExistsError
		if errors.As(err, &exists) {
			_, err = r.store.Replace(ctx, kindHosts, self.Name, spec, 0)
		}
		if err == nil {
			r.mu.Lock()
			r.discoveredAt = time.Now().Add(discoveryDelay)
			r.mu.Unlock()
			return
		}
		event.HostListFailed.Log(r.logger, zap.Error(err))
		if waits.For(ctx, registerRetryDelay) != nil {
			return
		}
	}
}

// Discovered reports whether the node has had time to learn of its peers.
func (r *Roster) Discovered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.discoveredAt.IsZero() && time.Now().After(r.discoveredAt)
}

// list records the hosts that are registered in the store.
func (r *Roster) list(ctx context.Context, freshness object.Freshness) error {
	records, _, err := r.store.List(ctx, kindHosts, freshness)
	if err != nil {
		return fmt.Errorf("listing hosts: %w", err)
	}
	unreadable := make(map[string]bool)
	for _, record := range records {
		h, err := decodeEntry(record)
		if err != nil {
			unreadable[record.Name] = true
			if !r.unreadable[record.Name] {
				event.HostListFailed.Log(r.logger, zap.String("entry", record.Name), zap.Error(err))
			}
			continue
		}
		r.recordReported(h)
		r.keepDead(h)
	}
	r.unreadable = unreadable
	return nil
}

// decodeEntry decodes a host's entry. Another writer may have corrupted it.
func decodeEntry(record object.Entry) (Host, error) {
	var h Host
	if err := json.Unmarshal(record.Spec, &h); err != nil {
		return Host{}, fmt.Errorf("decoding a host's entry: %w", err)
	}
	if h.Name == "" || h.Name != record.Name {
		return Host{}, fmt.Errorf("the entry names the host %q", h.Name)
	}
	if !isAddress(h.PeerAddress) || h.CallerAddress != "" && !isAddress(h.CallerAddress) {
		return Host{}, fmt.Errorf("%q or %q is no address", h.PeerAddress, h.CallerAddress)
	}
	return h, nil
}

// isAddress reports whether a text is an IP address with a port.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// keepDead prolongs the memory of a dead host that is still registered, so that its
// entry does not bring it back.
func (r *Roster) keepDead(h Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.hosts[h.Name]; p != nil && p.dead && p.host.Incarnation == h.Incarnation {
		p.lastHeard = time.Now()
	}
}

// recordReported records a host that the store or another node reported. Only the
// host's own hello confirms it.
func (r *Roster) recordReported(h Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Name == r.self.Name {
		return
	}
	p := r.hosts[h.Name]
	r.invalidate()
	switch {
	case p == nil || p.host.Incarnation < h.Incarnation:
		// A report tells that the host has started, and nothing of later.
		r.hosts[h.Name] = &peer{host: h, lastHeard: startOf(h, time.Now())}
	case p.host.Incarnation > h.Incarnation && p.dead:
		// The host's clock may have been set back before its last start, so the lower
		// incarnation may be the later one. Only a hello to the reported address shows
		// which it is.
		r.hosts[h.Name] = &peer{host: h, lastHeard: p.lastHeard, dead: true}
	case p.host.Incarnation > h.Incarnation:
		p.confirmed = false
	default:
		p.host.Leaving = p.host.Leaving || h.Leaving
	}
}

// startOf returns when a host started by its own clock, at the latest now.
func startOf(h Host, now time.Time) time.Time {
	started := time.Unix(0, int64(min(h.Incarnation, math.MaxInt64)))
	if started.After(now) {
		return now
	}
	return now.Add(started.Sub(now))
}

// recordHello records a hello, or the answer to one, from the host itself. It returns
// the host if it has begun to leave.
func (r *Roster) recordHello(info *wirepb.HostInfo) (leaving Host, ok bool) {
	if info.GetName() == "" {
		return Host{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if info.GetName() == r.self.Name {
		return Host{}, false
	}
	h := fromHostInfo(info)
	p := r.hosts[h.Name]
	if p != nil && !p.dead && p.host == h {
		p.confirmed, p.failures, p.lastHeard = true, 0, time.Now()
		p.unreached, p.unreachedAt = info.GetUnreached(), time.Now()
		return Host{}, false
	}
	// An incarnation that is leaving never stops leaving: a hello without the mark
	// was sent earlier and arrived late.
	h.Leaving = h.Leaving || p != nil && p.host.Incarnation == h.Incarnation && p.host.Leaving
	if p == nil || p.host.Incarnation != h.Incarnation || p.dead {
		event.HostJoined.Log(r.logger, zap.String("host", h.Name), zap.Uint64("incarnation", h.Incarnation))
	}
	leaves := h.Leaving && (p == nil || !p.host.Leaving)
	if leaves {
		event.HostLeaving.Log(r.logger, zap.String("host", h.Name))
	}
	r.invalidate()
	r.hosts[h.Name] = &peer{
		host: h, lastHeard: time.Now(), confirmed: true, unreached: info.GetUnreached(), unreachedAt: time.Now(),
	}
	if p != nil && p.dead && r.topology().isHub[h.Name] {
		r.statusChangedAt = time.Now()
	}
	return h, leaves
}
