package roster

import (
	"context"
	"errors"
	"fmt"
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
		r.hello(ctx, r.helloTargets())
		timer.Reset(helloInterval)
	}
}

// allHosts returns all remembered hosts, dead ones included, sorted by name. It
// removes dead ones that were last heard of more than deadRetention ago.
func (r *Roster) allHosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
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

// helloTargets returns the hosts to send a hello to: the next helloFanout in order
// of names, and those that are unconfirmed or dead or whose last hello failed.
func (r *Roster) helloTargets() []Host {
	hosts := r.allHosts()
	self := r.Self().Name
	first := sort.Search(len(hosts), func(i int) bool { return hosts[i].Name > self })
	var targets []Host
	for offset := range hosts {
		h := hosts[(first+offset)%len(hosts)]
		r.mu.Lock()
		p := r.hosts[h.Name]
		uncertain := p != nil && (!p.confirmed || p.dead || p.failures > 0)
		r.mu.Unlock()
		if offset < helloFanout || uncertain {
			targets = append(targets, h)
		}
	}
	return targets
}

// CheckHost checks a host that another node could not reach.
func (r *Roster) CheckHost(ctx context.Context, name string, incarnation uint64) {
	h, ok := r.Host(name)
	if !ok || h.Incarnation != incarnation || name == r.Self().Name {
		return
	}
	for range maxHelloFailures {
		r.hello(ctx, []Host{h})
	}
}

// hello sends one hello to each of the hosts.
func (r *Roster) hello(ctx context.Context, hosts []Host) {
	r.mu.Lock()
	call := &wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: &wirepb.Hello{From: toHostInfo(r.self), Digest: r.digest()}}}
	r.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentHellos)
	for _, h := range hosts {
		group.Go(func() error {
			r.helloTo(ctx, h, call)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		event.HostListFailed.Log(r.logger, zap.Error(err))
	}
}

func (r *Roster) helloTo(ctx context.Context, h Host, call *wirepb.Frame) {
	limited, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	frame, err := r.pool.Do(limited, h.PeerAddress, call)
	if err != nil {
		if ctx.Err() == nil {
			r.recordFailure(h, err)
		}
		return
	}
	reply := frame.GetHelloReply()
	r.recordHello(reply.GetFrom())
	for _, info := range reply.GetHosts() {
		r.recordReported(fromHostInfo(info))
	}
	if r.quarantine != nil {
		r.quarantine.Merge(reply.GetRefused())
	}
}

// recordFailure counts a hello that failed and declares the host dead after
// maxHelloFailures in a row, or at once if it refused the connection.
func (r *Roster) recordFailure(h Host, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.hosts[h.Name]
	if p == nil || p.host.Incarnation != h.Incarnation || p.dead {
		return
	}
	p.failures++
	if p.failures >= maxHelloFailures || errors.Is(err, syscall.ECONNREFUSED) {
		p.dead = true
		r.statusChangedAt = time.Now()
		event.HostDead.Log(r.logger, zap.String("host", h.Name), zap.Int("failures", p.failures), zap.Error(err))
		if r.onDead != nil {
			go r.onDead(h)
		}
	}
}

// Serve answers a hello.
func (r *Roster) Serve(hello *wirepb.Hello) *wirepb.HelloReply {
	r.recordHello(hello.GetFrom())
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &wirepb.HelloReply{From: toHostInfo(r.self)}
	if r.quarantine != nil {
		reply.Refused = r.quarantine.ListQuarantined()
	}
	if r.digest() == hello.GetDigest() {
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
	sum := hostDigest(r.self)
	for _, p := range r.hosts {
		if !p.dead {
			sum ^= hostDigest(p.host)
		}
	}
	return sum
}

func hostDigest(h Host) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%t", h.Name, h.Incarnation, h.Leaving))
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
