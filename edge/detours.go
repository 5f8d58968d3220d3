package edge

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/currantloft/currantloft/detour"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/wirepb"
)

// hostsMaxAge is how long the list of hosts for detours is used, as requests ask for it
// several times.
const hostsMaxAge = 100 * time.Millisecond

// detourPeers gives a dialer access to the other hosts.
type detourPeers struct {
	*peerClient

	mu       sync.Mutex
	hosts    []reach.Host
	listedAt time.Time
}

var _ detour.Peers = (*detourPeers)(nil)

// Detours returns the hosts that run and are not leaving, without this one.
func (p *detourPeers) Detours() []reach.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.listedAt) < hostsMaxAge {
		return p.hosts
	}
	self := p.Self().Name
	p.hosts, p.listedAt = nil, time.Now()
	for _, h := range p.ActiveHosts() {
		if h.Name != self {
			p.hosts = append(p.hosts, reach.Host{Name: h.Name, Domain: h.Domain, Unreached: p.Unreached(h.Name)})
		}
	}
	return p.hosts
}

// Open starts a call to a host.
func (p *detourPeers) Open(ctx context.Context, host string, call *wirepb.Frame) (*peers.Stream, error) {
	h, ok := p.Host(host)
	if !ok {
		return nil, fmt.Errorf("host %s is gone", host)
	}
	return p.pool.Open(ctx, h.PeerAddress, call)
}

// Forget makes the next call to a host use a new connection.
func (p *detourPeers) Forget(host string) {
	if h, ok := p.Host(host); ok {
		p.pool.Forget(h.PeerAddress)
	}
}
