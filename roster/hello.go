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

// helloLoop says hello and now and then reads the entries. A list takes seconds
// while the store is away; hellos must not wait for it.
func (r *Roster) helloLoop(ctx context.Context) {
	next, read := time.Time{}, object.Fresh
	listing, lists := false, make(chan error, 1)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case err := <-lists:
			listing = false
			if err != nil {
				event.HostListFailed.Log(r.logger, zap.Error(err))
				next = time.Now().Add(helloInterval)
			} else {
				next = time.Now().Add(max(listInterval, time.Duration(len(r.all()))*listPerNode))
				read = object.Stale
			}
		}
		if !listing && !time.Now().Before(next) {
			listing = true
			tasks.Go(func() { lists <- r.list(ctx, read) })
		}
		r.hello(ctx, r.due())
		timer.Reset(helloInterval)
	}
}

// all returns all nodes that are kept in mind.
func (r *Roster) all() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]Host, 0, len(r.hosts))
	for name, p := range r.hosts {
		if p.dead && time.Since(p.heard) > forgetAfter {
			delete(r.hosts, name)
			continue
		}
		hosts = append(hosts, p.host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// due returns the nodes to say hello to: the next ones in order of names, those
// that were only told of, and those that are dead or in doubt.
func (r *Roster) due() []Host {
	hosts := r.all()
	self := r.Self().Name
	first := sort.Search(len(hosts), func(i int) bool { return hosts[i].Name > self })
	var due []Host
	for n := range hosts {
		h := hosts[(first+n)%len(hosts)]
		r.mu.Lock()
		p := r.hosts[h.Name]
		doubt := p != nil && (!p.known || p.dead || p.failures > 0)
		r.mu.Unlock()
		if n < watched || doubt {
			due = append(due, h)
		}
	}
	return due
}

// Lost looks for a node that another one has not reached.
func (r *Roster) Lost(ctx context.Context, name string, incarnation uint64) {
	h, ok := r.Host(name)
	if !ok || h.Incarnation != incarnation || name == r.Self().Name {
		return
	}
	for range deadAfter {
		r.hello(ctx, []Host{h})
	}
}

// hello says hello to nodes once.
func (r *Roster) hello(ctx context.Context, hosts []Host) {
	r.mu.Lock()
	call := &wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: &wirepb.Hello{From: infoOf(r.self), Digest: r.digest()}}}
	r.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(atOnce)
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
	limited, cancel := context.WithTimeout(ctx, helloLimit)
	defer cancel()
	frame, err := r.pool.Do(limited, h.Peers, call)
	if err != nil {
		if ctx.Err() == nil {
			r.failed(h, err)
		}
		return
	}
	reply := frame.GetHelloReply()
	r.heard(reply.GetFrom())
	for _, info := range reply.GetHosts() {
		r.learn(hostOf(info))
	}
	if r.extra != nil {
		r.extra.Learn(reply.GetRefused())
	}
}

func (r *Roster) failed(h Host, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.hosts[h.Name]
	if p == nil || p.host.Incarnation != h.Incarnation || p.dead {
		return
	}
	p.failures++
	if p.failures >= deadAfter || errors.Is(err, syscall.ECONNREFUSED) {
		p.dead = true
		r.lostAt = time.Now()
		event.HostDead.Log(r.logger, zap.String("host", h.Name), zap.Int("failures", p.failures), zap.Error(err))
		if r.onDead != nil {
			go r.onDead(h)
		}
	}
}

// Serve answers a hello.
func (r *Roster) Serve(hello *wirepb.Hello) *wirepb.HelloReply {
	r.heard(hello.GetFrom())
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &wirepb.HelloReply{From: infoOf(r.self)}
	if r.extra != nil {
		reply.Refused = r.extra.Refused()
	}
	if r.digest() == hello.GetDigest() {
		return reply
	}
	for _, p := range r.hosts {
		if !p.dead {
			reply.Hosts = append(reply.Hosts, infoOf(p.host))
		}
	}
	return reply
}

// digest tells two nodes whether they know the same. The caller holds the lock.
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

func infoOf(h Host) *wirepb.HostInfo {
	return &wirepb.HostInfo{
		Name: h.Name, Incarnation: h.Incarnation, Domain: h.Domain,
		CallerAddress: h.Callers, PeerAddress: h.Peers, Leaving: h.Leaving, Power: h.Power,
	}
}

func hostOf(info *wirepb.HostInfo) Host {
	return Host{
		Name: info.GetName(), Incarnation: info.GetIncarnation(), Domain: info.GetDomain(),
		Callers: info.GetCallerAddress(), Peers: info.GetPeerAddress(), Leaving: info.GetLeaving(), Power: info.GetPower(),
	}
}
