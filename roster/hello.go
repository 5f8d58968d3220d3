package roster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/wirepb"
)

// errReportedDead is the cause of a death that another node has reported.
var errReportedDead = errors.New("reported dead by another node")

// helloLoop sends hellos and periodically lists the store's entries. A list
// takes seconds while the store is unavailable, so it runs beside the hellos.
func (r *Roster) helloLoop(ctx context.Context) {
	nextList, freshness := time.Time{}, object.Fresh
	listing, listDone := false, make(chan error, 1)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case err := <-listDone:
			listing = false
			if err != nil {
				event.HostListFailed.Log(r.logger, zap.Error(err))
				nextList = time.Now().Add(helloInterval)
			} else {
				nextList = time.Now().Add(max(listInterval, time.Duration(len(r.allHosts()))*listIntervalPerNode))
				freshness = object.Stale
			}
		}
		if !listing && !time.Now().Before(nextList) {
			listing = true
			tasks.Go(func() { listDone <- r.list(ctx, freshness) })
		}
		r.hello(ctx, r.helloTargets(), true)
		interval := childHelloInterval
		if r.IsHub() {
			interval = helloInterval
		}
		timer.Reset(time.Duration(float64(interval) * (1 - helloJitter + 2*helloJitter*rand.Float64())))
	}
}

// allHosts returns all remembered hosts, dead ones included, sorted by name. It
// removes those that have been dead for longer than deadRetention.
func (r *Roster) allHosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allHostsLocked()
}

func (r *Roster) allHostsLocked() []Host {
	hosts := make([]Host, 0, len(r.hosts))
	for name, p := range r.hosts {
		if p.dead && time.Since(p.lastHeard) > deadRetention {
			delete(r.hosts, name)
			continue
		}
		hosts = append(hosts, p.host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// helloTargets returns the hosts to send a hello to. A host that is not a hub sends one
// to its parent, and to some other hubs while it starts. A hub sends them to the next
// helloFanout hubs in order of names, to the hubs that are unconfirmed or dead or whose
// last hello failed, and to those of its own hosts that are silent. A host that starts,
// or comes back, says hello itself.
func (r *Roster) helloTargets() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, now := r.topology(), time.Now()
	if isHub := t.isHub[r.self.Name]; isHub != !r.hubSince.IsZero() {
		r.hubSince = time.Time{}
		if isHub {
			r.hubSince = now
		}
	}
	var targets []Host
	if parent, ok := t.parents[r.self.Name]; ok {
		if p := r.hosts[parent]; p != nil {
			targets = append(targets, p.host)
		}
		if !r.settled() {
			targets = append(targets, r.otherHubs(t, parent)...)
		}
		return targets
	}
	hosts := r.allHostsLocked()
	first := sort.Search(len(hosts), func(i int) bool { return hosts[i].Name > r.self.Name })
	hubs := 0
	for offset := range hosts {
		h := hosts[(first+offset)%len(hosts)]
		p := r.hosts[h.Name]
		uncertain := !p.confirmed || p.dead || p.failures > 0 || p.differs
		if r.watchesAsHub(t, h, p) {
			if hubs < helloFanout || uncertain {
				targets = append(targets, h)
				p.differs = false
			}
			if !p.dead {
				hubs++
			}
		} else if t.parents[h.Name] == r.self.Name && (p.failures > 0 || now.Sub(p.lastHeard) > childSilence) {
			targets = append(targets, h)
		}
	}
	return targets
}

// otherHubs returns some hubs other than the named one. A host that starts may have a parent
// that is gone, of which it has only read the entry. The caller holds the lock.
func (r *Roster) otherHubs(t *topology, except string) []Host {
	var hubs []Host
	for _, i := range rand.Perm(len(t.hubs)) {
		h := t.hubs[i]
		if p := r.hosts[h.Name]; p != nil && h.Name != except && !p.dead && len(hubs) < startFanout {
			hubs = append(hubs, p.host)
		}
	}
	return hubs
}

// watchesAsHub reports whether hubs watch the host together: it is a hub, or could be
// one if it were not dead or leaving. The caller holds the lock.
func (r *Roster) watchesAsHub(t *topology, h Host, p *peer) bool {
	return t.isHub[h.Name] || (p.dead || h.Leaving) && t.couldBeHub(h)
}

// CheckHost checks a host that another node could not reach, and reports whether it is
// dead since then. Hubs check hubs for themselves; of other hosts the reporting node is
// the parent.
func (r *Roster) CheckHost(ctx context.Context, name string, incarnation uint64) bool {
	h, ok := r.Host(name)
	if !ok || h.Incarnation != incarnation || name == r.Self().Name {
		return false
	}
	r.mu.Lock()
	t := r.topology()
	check := t.isHub[r.self.Name] && (t.isHub[name] || h.Leaving)
	if !check {
		r.declareDead(h.Name, errReportedDead)
	}
	r.mu.Unlock()
	if !check {
		return true
	}
	for range maxHelloFailures {
		r.hello(ctx, []Host{h}, false)
	}
	return !r.Alive(name, incarnation)
}

// RecordLeaving records that another host is leaving, as reported by a hub.
func (r *Roster) RecordLeaving(name string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.hosts[name]
	if p != nil && p.host.Incarnation == incarnation && !p.host.Leaving {
		p.host.Leaving = true
		r.invalidate()
		event.HostLeaving.Log(r.logger, zap.String("host", name))
	}
}

// hello sends one hello to each of the hosts. Announce says whether a death that it
// finds is to be reported to the other nodes.
func (r *Roster) hello(ctx context.Context, hosts []Host, announce bool) {
	call, sentAt := r.helloCall(), time.Now()
	var group errgroup.Group
	group.SetLimit(maxConcurrentHellos)
	for _, h := range hosts {
		group.Go(func() error {
			r.helloTo(ctx, h, call, sentAt, announce)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		event.HostListFailed.Log(r.logger, zap.Error(err))
	}
}

func (r *Roster) helloCall() *wirepb.Frame {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: &wirepb.Hello{From: r.selfInfo(), Digest: r.digest(), Settled: r.settled()}}}
}

func (r *Roster) helloTo(ctx context.Context, h Host, call *wirepb.Frame, sentAt time.Time, announce bool) {
	err := r.sendHello(ctx, h, call, sentAt)
	died := err != nil && ctx.Err() == nil && r.countFailure(ctx, h, sentAt, err)
	if err != nil && !died && r.isSilentChild(h) {
		// The host has missed its own hello too, so the second try does not wait.
		sentAt = time.Now()
		err = r.sendHello(ctx, h, call, sentAt)
		died = err != nil && ctx.Err() == nil && r.countFailure(ctx, h, sentAt, err)
	}
	if died && announce && r.onDead != nil {
		go r.onDead(h)
	}
}

// countFailure records a failed hello, after it has asked other hosts whether this node is
// cut off itself.
func (r *Roster) countFailure(ctx context.Context, h Host, sentAt time.Time, err error) bool {
	failedAt, call := time.Now(), r.helloCall()
	var group errgroup.Group
	for _, other := range r.probeTargets(h) {
		group.Go(func() error { return r.sendHello(ctx, other, call, failedAt) })
	}
	if err := group.Wait(); err != nil {
		r.logger.Debug("asking whether this node is cut off", zap.Error(err))
	}
	return r.recordFailure(h, sentAt, failedAt, err)
}

// probeTargets returns hosts to ask whether this node is cut off.
func (r *Roster) probeTargets(failed Host) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.otherHubs(r.topology(), failed.Name)
}

// applyReply records what the answer to a hello says.
func (r *Roster) applyReply(reply *wirepb.HelloReply) {
	if leaving, ok := r.recordHello(reply.GetFrom()); ok && r.onLeaving != nil {
		r.onLeaving(leaving)
	}
	for _, info := range reply.GetHosts() {
		r.recordReported(fromHostInfo(info))
	}
	if reply.GetSettled() {
		if len(reply.GetHosts()) > 0 {
			r.adoptList(reply)
		}
		r.catchUp(reply.GetFrom().GetName())
	}
	if r.quarantine != nil {
		r.quarantine.Merge(reply.GetRefused())
	}
	if r.limits != nil && len(reply.GetLimits()) > 0 {
		r.limits.MergeLimits(reply.GetFrom().GetName(), reply.GetLimits())
	}
}

// sendHello sends one hello and records the answer.
func (r *Roster) sendHello(ctx context.Context, h Host, call *wirepb.Frame, sentAt time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	frame, err := r.pool.Do(ctx, h.PeerAddress, call)
	if err != nil {
		return err
	}
	r.recordAnswer(sentAt)
	r.applyReply(frame.GetHelloReply())
	return nil
}

// recordAnswer records that a hello was answered which was sent at the given time.
func (r *Roster) recordAnswer(sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sentAt.After(r.answeredAt) {
		r.answeredAt = sentAt
	}
}

// mayBeCutOff reports whether no hello sent since another one failed was answered, though
// there are hosts that could have. The caller holds the lock.
func (r *Roster) mayBeCutOff(failed string, failedAt time.Time) bool {
	if !r.answeredAt.Before(failedAt) || time.Since(r.answeredAt) >= isolationLimit {
		return false
	}
	for name, p := range r.hosts {
		if name != failed && !p.dead {
			return true
		}
	}
	return false
}

// isSilentChild reports whether the host belongs to this hub and has not said hello in
// time.
func (r *Roster) isSilentChild(h Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.hosts[h.Name]
	return p != nil && !p.dead && r.topology().parents[h.Name] == r.self.Name && time.Since(p.lastHeard) > childSilence
}

// catchUp records that this node has the list of a settled node, if that is a hub.
func (r *Roster) catchUp(from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.topology().isHub[from] && !r.discoveredAt.IsZero() {
		r.caughtUp = true
	}
}

// settled reports whether this node's list of hosts may replace those of other nodes:
// it has run for settleTime, or it has caught up. The caller holds the lock.
func (r *Roster) settled() bool {
	return r.caughtUp || !r.discoveredAt.IsZero() && time.Since(r.discoveredAt) > settleTime
}

// adoptList takes over what another node's list says of the hosts that it knows
// better: a parent's list of all hosts, and a hub's list of those that belong to it. A
// host that starts, or has just become a hub, also drops the hosts that a hub's list
// lacks: it has only read their entries, or was not told of their end as hubs are.
func (r *Roster) adoptList(reply *wirepb.HelloReply) {
	listed := make(map[string]uint64, len(reply.GetHosts()))
	for _, info := range reply.GetHosts() {
		listed[info.GetName()] = info.GetIncarnation()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	from, t := reply.GetFrom().GetName(), r.topology()
	isParent := t.parents[r.self.Name] == from
	starts := t.isHub[from] && (!r.settled() || time.Since(r.hubSince) < settleTime)
	if !isParent && !starts && !t.isHub[r.self.Name] {
		return
	}
	for name, p := range r.hosts {
		knowsBetter := isParent || !t.isHub[name] && t.parentOf(name) == from
		incarnation, ok := listed[name]
		if parent := r.hosts[t.parentOf(name)]; ok && p.dead && !knowsBetter && parent != nil {
			// The host may be back. The parent's own list says so.
			parent.differs = true
		}
		if name == from || !knowsBetter && !starts {
			continue
		}
		switch {
		case ok && knowsBetter && p.dead && p.host.Incarnation == incarnation && time.Since(p.deadAt) > settleTime:
			// Before that, the other node may not have found the death yet.
			p.dead, p.failures = false, 0
			r.invalidate()
		case !ok && !p.dead && !p.host.Leaving && time.Since(p.lastHeard) > settleTime:
			// The other node learns of a new host some hellos later than this one.
			r.declareDead(name, errReportedDead)
		}
	}
}

// recordFailure counts a hello that failed and declares the host dead after
// maxHelloFailures in a row, or at once if it refused the connection. It reports
// whether the host is dead since this failure. The failure says nothing of the host if this
// node may be cut off itself.
func (r *Roster) recordFailure(h Host, sentAt, failedAt time.Time, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.hosts[h.Name]
	if p == nil || p.host.Incarnation != h.Incarnation || p.dead {
		return false
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	// A hello sent before the last failure was counted may have met the same cut.
	if !refused && (r.mayBeCutOff(h.Name, failedAt) || sentAt.Before(p.countedAt)) {
		return false
	}
	p.failures++
	p.countedAt = time.Now()
	if p.failures < maxHelloFailures && !refused {
		return false
	}
	r.declareDead(h.Name, err)
	return true
}

// declareDead records that a host is dead. The caller holds the lock.
func (r *Roster) declareDead(name string, cause error) {
	p := r.hosts[name]
	if p == nil || p.dead {
		return
	}
	if r.topology().isHub[name] || p.host.Leaving {
		r.statusChangedAt = time.Now()
	}
	p.dead, p.lastHeard, p.deadAt = true, time.Now(), time.Now()
	r.invalidate()
	event.HostDead.Log(r.logger, zap.String("host", name), zap.Int("failures", p.failures), zap.Error(cause))
}

// Serve answers a hello.
func (r *Roster) Serve(hello *wirepb.Hello) *wirepb.HelloReply {
	if leaving, ok := r.recordHello(hello.GetFrom()); ok && r.onLeaving != nil {
		r.onLeaving(leaving)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &wirepb.HelloReply{From: r.selfInfo()}
	if r.quarantine != nil {
		reply.Refused = r.quarantine.ListQuarantined()
	}
	reply.Settled = r.settled()
	sameHosts := r.digest() == hello.GetDigest()
	if p := r.hosts[hello.GetFrom().GetName()]; p != nil && !sameHosts {
		p.differs = true
	}
	if r.limits != nil && (!sameHosts || !hello.GetSettled()) {
		reply.Limits = r.limits.ListLimits()
	}
	if sameHosts {
		return reply
	}
	for _, p := range r.hosts {
		if !p.dead {
			reply.Hosts = append(reply.Hosts, toHostInfo(p.host))
		}
	}
	return reply
}

// digest returns a hash of the hosts that are not dead, by which two nodes check
// whether they have the same ones. The caller holds the lock.
func (r *Roster) digest() uint64 {
	if r.cachedDigest != 0 {
		return r.cachedDigest
	}
	sum := hostDigest(r.self)
	for _, p := range r.hosts {
		if !p.dead {
			sum ^= hostDigest(p.host)
		}
	}
	r.cachedDigest = sum
	return sum
}

func hostDigest(h Host) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%t", h.Name, h.Incarnation, h.Leaving))
}

// selfInfo describes this host, as its hellos do. The caller holds the lock.
func (r *Roster) selfInfo() *wirepb.HostInfo {
	info := toHostInfo(r.self)
	info.Unreached = r.unreached
	return info
}

func toHostInfo(h Host) *wirepb.HostInfo {
	return &wirepb.HostInfo{
		Name: h.Name, Incarnation: h.Incarnation, Domain: h.Domain,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Leaving: h.Leaving, Power: h.Power,
	}
}

func fromHostInfo(info *wirepb.HostInfo) Host {
	return Host{
		Name: info.GetName(), Incarnation: info.GetIncarnation(), Domain: info.GetDomain(),
		CallerAddress: info.GetCallerAddress(), PeerAddress: info.GetPeerAddress(), Leaving: info.GetLeaving(), Power: info.GetPower(),
	}
}
