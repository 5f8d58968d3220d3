// Package roster tells a node which other nodes there are: who is alive, who
// leaves, and where they listen.
//
// A node registers itself in the platform's store when it starts, reads who else
// has, and says hello to each of them over and over. What a node hears that way
// outlasts an outage of the store. Nothing is decided by it that must not be
// decided twice: that is the store's.
//
// # Usage
//
//	r := roster.New(self, store, pool, logger)
//	go r.Run(ctx)
//	r.Staying() // names of nodes that run and don't leave
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
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
	// kindHosts is the kind of the nodes' own entries.
	kindHosts = "hosts"
	// helloInterval is the pause between two hellos to a node.
	helloInterval = 700 * time.Millisecond
	// watched is how many nodes each node says hello to, its next ones in order of
	// names. Whoever finds a node dead tells all others, which look for
	// themselves, so that hellos don't grow with the fleet.
	watched = 6
	// helloLimit is how long a hello may take; an answer takes two milliseconds,
	// and a lost packet is sent again after 200.
	helloLimit = 600 * time.Millisecond
	// deadAfter is how many hellos in a row must fail; a refused connection
	// counts at once, since then the process is gone.
	deadAfter = 2
	// listInterval is how often the entries are read for nodes that no hello has
	// told of, in a small fleet; listPerNode stretches it in a large one.
	listInterval = 6 * time.Second
	listPerNode  = 300 * time.Millisecond
	// settleTime is how long after its registration a node may still lack others:
	// a hello takes some milliseconds, and a lost packet is sent again after 200.
	settleTime = 300 * time.Millisecond
	// registerPause is the pause between two tries to register.
	registerPause = 300 * time.Millisecond
	// forgetAfter is how long a dead node is kept in mind.
	forgetAfter = 90 * time.Second
	// atOnce bounds the hellos in flight.
	atOnce = 16
)

type (
	// Extra is what answers to hellos carry beside the nodes.
	Extra interface {
		// Refused returns the requests that the node does not run any more.
		Refused() []*wirepb.Suspect
		// Learn takes those of another node.
		Learn(refused []*wirepb.Suspect)
	}

	// Host is what is known of a node.
	Host struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Domain      string `json:"domain"`
		// Callers and Peers are where callers and other nodes connect.
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
		// Power is the host's processor, in thousandths of a core.
		Power   uint32 `json:"power"`
		Leaving bool   `json:"-"`
	}

	// Roster is safe for concurrent use.
	Roster struct {
		store  object.Store
		pool   *peers.Pool
		logger *zap.Logger
		onDead func(Host)
		extra  Extra

		mu   sync.Mutex
		self Host
		// settled is when the node knows all that had registered before it.
		settled time.Time
		lostAt  time.Time
		hosts   map[string]*peer
	}

	peer struct {
		host     Host
		failures int
		dead     bool
		// known says that the node itself was heard of, not only told of.
		known bool
		heard time.Time
	}
)

// New returns the roster of a node.
func New(self Host, store object.Store, pool *peers.Pool, logger *zap.Logger) *Roster {
	return &Roster{store: store, pool: pool, logger: logger, self: self, hosts: make(map[string]*peer)}
}

// OnDead sets what is called when a node is found dead. It must be set before Run.
func (r *Roster) OnDead(call func(Host)) { r.onDead = call }

// Carry sets what answers to hellos carry. It must be set before Run and Serve.
func (r *Roster) Carry(extra Extra) { r.extra = extra }

// Run registers the node and keeps the roster until the context ends.
func (r *Roster) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	// Of two nodes the one that lists after the other's registration finds it and
	// says hello, so that one list after the own registration is enough.
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

// Leave tells all other nodes that this one leaves.
func (r *Roster) Leave(ctx context.Context) {
	r.mu.Lock()
	r.self.Leaving = true
	r.mu.Unlock()
	r.hello(ctx, r.all())
}

// Alive reports whether that start of the node runs, leaving or not.
func (r *Roster) Alive(name string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.Name {
		return incarnation == r.self.Incarnation
	}
	p := r.hosts[name]
	return p != nil && !p.dead && p.host.Incarnation == incarnation
}

// Incarnation returns the start of a node, 0 if it isn't known.
func (r *Roster) Incarnation(name string) uint64 {
	if h, ok := r.Host(name); ok {
		return h.Incarnation
	}
	return 0
}

// Host returns a node that is not dead.
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

// Others returns the other nodes that are not dead, by name.
func (r *Roster) Others() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []Host
	for _, p := range r.hosts {
		if !p.dead {
			hosts = append(hosts, p.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// Staying returns the names of the nodes that run and don't leave.
func (r *Roster) Staying() []string {
	var names []string
	for _, h := range r.StayingHosts() {
		names = append(names, h.Name)
	}
	return names
}

// StayingHosts returns the nodes that run and don't leave, with this one.
func (r *Roster) StayingHosts() []Host {
	self := r.Self()
	var hosts []Host
	if !self.Leaving {
		hosts = append(hosts, self)
	}
	for _, h := range r.Others() {
		if !h.Leaving {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Keepers returns the names of the staying nodes that carry the heavy duties:
// those with at least half of the largest one's processor.
func (r *Roster) Keepers() []string {
	hosts := r.StayingHosts()
	most := uint32(0)
	for _, h := range hosts {
		most = max(most, h.Power)
	}
	var names []string
	for _, h := range hosts {
		if 2*h.Power >= most {
			names = append(names, h.Name)
		}
	}
	return names
}

// LastLost returns when a node was last found dead or alive again.
func (r *Roster) LastLost() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostAt
}

// register writes the node's own entry.
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
			r.settled = time.Now().Add(settleTime)
			r.mu.Unlock()
			return
		}
		event.HostListFailed.Log(r.logger, zap.Error(err))
		if waits.For(ctx, registerPause) != nil {
			return
		}
	}
}

// Settled reports whether the node has had time to learn of the others.
func (r *Roster) Settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.settled.IsZero() && time.Now().After(r.settled)
}

// list learns of nodes from their entries.
func (r *Roster) list(ctx context.Context, read object.Read) error {
	records, _, err := r.store.List(ctx, kindHosts, read)
	if err != nil {
		return fmt.Errorf("listing hosts: %w", err)
	}
	for _, record := range records {
		var h Host
		if err := json.Unmarshal(record.Spec, &h); err != nil || h.Name == "" {
			event.HostListFailed.Log(r.logger, zap.String("entry", record.Name), zap.Error(err))
			continue
		}
		r.learn(h)
	}
	return nil
}

// learn notes a node that was told of; it is heard of only by its own hello.
func (r *Roster) learn(h Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Name == r.self.Name {
		return
	}
	p := r.hosts[h.Name]
	switch {
	case p == nil || p.host.Incarnation < h.Incarnation:
		r.hosts[h.Name] = &peer{host: h, heard: time.Now()}
	case p.host.Incarnation > h.Incarnation && p.dead:
		// The host's clock may have gone back before its last start: only the node
		// itself can tell, at the address that it may have now.
		r.hosts[h.Name] = &peer{host: h, heard: p.heard, dead: true}
	case p.host.Incarnation > h.Incarnation:
		p.known = false
	default:
		p.host.Leaving = p.host.Leaving || h.Leaving
	}
}

// heard notes a hello or its answer from the node itself.
func (r *Roster) heard(info *wirepb.HostInfo) {
	if info.GetName() == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if info.GetName() == r.self.Name {
		return
	}
	h := hostOf(info)
	p := r.hosts[h.Name]
	if p != nil && p.dead {
		r.lostAt = time.Now()
	}
	// A start that leaves doesn't stay again: a hello that says otherwise was sent
	// earlier and overtaken.
	h.Leaving = h.Leaving || p != nil && p.host.Incarnation == h.Incarnation && p.host.Leaving
	if p == nil || p.host.Incarnation != h.Incarnation || p.dead {
		event.HostJoined.Log(r.logger, zap.String("host", h.Name), zap.Uint64("incarnation", h.Incarnation))
	}
	if h.Leaving && (p == nil || !p.host.Leaving) {
		event.HostLeaving.Log(r.logger, zap.String("host", h.Name))
	}
	r.hosts[h.Name] = &peer{host: h, heard: time.Now(), known: true}
}
