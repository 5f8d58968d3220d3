package integ

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	// hubSiteHosts is the size of a site in which six hosts are not hubs.
	hubSiteHosts = strongHosts + 5
	hubSiteLimit = 90 * time.Second
	// configLimit is the platform's bound for a configuration to be in force.
	configLimit = 2 * time.Second
)

// TestEdgeHostsOutsideTheHubs runs a site in which some hosts are not hubs and get
// messages through them: every host serves every batch and gets each configuration in
// time, also after hubs were killed and while hosts leave.
func TestEdgeHostsOutsideTheHubs(t *testing.T) {
	s := newSite(t, hubSiteHosts, hubSiteLimit)
	t.Run("batches", func(t *testing.T) {
		for i, h := range s.hosts {
			id := fmt.Sprintf("b%d", i)
			checkStatus(t, "a batch at "+h.name, s.submit(h, id, newBatchBody(id, 2, 1)), http.StatusAccepted)
		}
		for i, h := range s.hosts {
			id, other := fmt.Sprintf("b%d", i), s.hosts[(i+7)%len(s.hosts)]
			s.readComplete(id, newResultHistory(), 6, 1)
			checkStatus(t, "an unknown batch at "+h.name, s.status(h, h.callerAddress, "/currantloft/lots/none"), http.StatusNotFound)
			status, _ := s.send(http.MethodDelete, other.callerAddress, "/currantloft/lots/"+id, "", nil)
			checkStatus(t, "ending at "+other.name, status, http.StatusOK)
		}
	})
	t.Run("a configuration", func(t *testing.T) { s.checkConfigReaches(t, 2, s.hosts) })
	t.Run("hubs are killed", func(t *testing.T) {
		killed := s.hosts[:3]
		for _, h := range killed {
			s.kill(h)
		}
		s.hosts = s.hosts[3:]
		s.checkAddresses(killed, s.hosts)
		s.checkConfigReaches(t, 3, s.hosts)
		s.submitUntilAccepted("later", newBatchBody("later", 4, 1))
		s.readComplete("later", newResultHistory(), 12, 1)
	})
	t.Run("a hub and another host leave", func(t *testing.T) {
		leaving := []*host{s.hosts[0], s.hosts[len(s.hosts)-1]}
		s.hosts = s.hosts[1 : len(s.hosts)-1]
		for _, h := range leaving {
			h.signal(syscall.SIGTERM)
		}
		s.checkAddresses(leaving, s.hosts)
		for _, h := range leaving {
			status, _ := s.send(http.MethodPost, h.callerAddress, plainPath+"x", "late-"+h.name, []byte("hello"))
			checkStatus(t, "a request of a caller that still has the address of "+h.name, status, http.StatusOK)
		}
	})
}

// checkConfigReaches writes a configuration with one more route and checks that it is
// in force at the hosts in time.
func (s *site) checkConfigReaches(t *testing.T, version int, hosts []*host) {
	t.Helper()
	config := siteConfig(version)
	path := fmt.Sprintf("/new%d/", version)
	routes, ok := config["routes"].([]map[string]any)
	if !ok {
		t.Fatal("the configuration has no routes")
	}
	config["routes"] = append(routes, map[string]any{
		"name": "new", "hostname": routeHostname, "path_prefix": path, "route_type": "idempotent",
		"timeout_ms": 2000, "max_attempts": 2, "service": plainPool,
	})
	s.putObject("config", "main", config)
	changed := time.Now()
	for _, h := range hosts {
		s.eventually(h.name+" has "+path, func() bool { return s.status(h, h.callerAddress, path+"x") == http.StatusOK })
	}
	if took := time.Since(changed); took > configLimit {
		t.Errorf("in force at all hosts after %v, want up to %v", took, configLimit)
	}
}

// checkAddresses waits until no host names the addresses of the hosts that are gone.
func (s *site) checkAddresses(gone, hosts []*host) {
	s.t.Helper()
	for _, h := range hosts {
		s.eventually(h.name+" names no host that is gone", func() bool {
			addresses := s.addresses(h)
			return len(addresses) > 0 && !slices.ContainsFunc(gone, func(g *host) bool { return slices.Contains(addresses, g.callerAddress) })
		})
	}
}
