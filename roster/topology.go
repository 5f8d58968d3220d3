package roster

import (
	"math"
	"sort"

	"github.com/currantloft/currantloft/rendez"
)

const (
	// minHubs is the number of hosts up to which all of them are hubs.
	minHubs = 12
	// hubsPerRoot is how many hubs there are for each unit of the square root of the
	// number of hosts: with 250 hosts 32 hubs have some seven hosts to serve each.
	hubsPerRoot = 2
	// minStrongHubs is the number of hubs that a fleet with few strong hosts has at
	// least; weaker hosts make up for it.
	minStrongHubs = 4
	// strongShare is the share of the largest host's processor capacity that makes a
	// host strong.
	strongShare = 0.5
	// hubKey and parentKey are the rendezvous keys that select the hubs and the hub of
	// each other host.
	hubKey    = "hub"
	parentKey = "parent/"
)

// topology says through which hosts messages to the fleet go. The hubs send hellos
// and messages to each other directly. Each other host belongs to one hub, its
// parent, which watches it and passes messages on to it. So no host calls all others,
// and the calls of a change grow with the number of hosts and not with its square.
type topology struct {
	hubs []Host
	// hubNames holds the names of the hubs, and isHub and strong mark hosts by name.
	hubNames      []string
	isHub, strong map[string]bool
	// parents holds the parent of each active host that is not a hub.
	parents map[string]string
}

// newTopology returns the topology of a fleet of active hosts.
//
// It is designed for hundreds of hosts, of which a few have several times the
// processor capacity of the others, that start, stop and fail together.
func newTopology(active []Host) *topology {
	t := &topology{isHub: make(map[string]bool), strong: make(map[string]bool), parents: make(map[string]string)}
	largest := uint32(0)
	for _, h := range active {
		largest = max(largest, h.Power)
	}
	var strong []string
	for _, h := range active {
		if float64(h.Power) >= strongShare*float64(largest) {
			t.strong[h.Name] = true
			strong = append(strong, h.Name)
		}
	}
	for _, name := range chooseHubs(active, strong) {
		t.isHub[name] = true
	}
	for _, h := range active {
		if t.isHub[h.Name] {
			t.hubs = append(t.hubs, h)
			t.hubNames = append(t.hubNames, h.Name)
		}
	}
	for _, h := range active {
		if !t.isHub[h.Name] {
			t.parents[h.Name] = t.parentOf(h.Name)
		}
	}
	return t
}

// parentOf returns the hub to which a host that is not a hub belongs, also if the host
// is not active.
func (t *topology) parentOf(name string) string {
	if parent, ok := t.parents[name]; ok {
		return parent
	}
	parent, _ := rendez.First(parentKey+name, t.hubNames)
	return parent
}

// chooseHubs returns the names of the hubs: all hosts of a small fleet, else strong
// hosts.
func chooseHubs(active []Host, strong []string) []string {
	if len(active) <= minHubs {
		names := make([]string, 0, len(active))
		for _, h := range active {
			names = append(names, h.Name)
		}
		return names
	}
	want := max(minHubs, int(math.Ceil(hubsPerRoot*math.Sqrt(float64(len(active))))))
	hubs := rendez.Top(hubKey, strong, want)
	if len(hubs) >= minStrongHubs {
		return hubs
	}
	byPower := append([]Host(nil), active...)
	sort.SliceStable(byPower, func(i, j int) bool {
		if byPower[i].Power != byPower[j].Power {
			return byPower[i].Power > byPower[j].Power
		}
		return byPower[i].Name < byPower[j].Name
	})
	hubs = hubs[:0]
	for _, h := range byPower[:minStrongHubs] {
		hubs = append(hubs, h.Name)
	}
	return hubs
}

// couldBeHub reports whether a host that is not active is as strong as the hubs.
func (t *topology) couldBeHub(h Host) bool {
	if len(t.parents) == 0 {
		return true
	}
	weakest := uint32(math.MaxUint32)
	for _, hub := range t.hubs {
		weakest = min(weakest, hub.Power)
	}
	return h.Power >= weakest
}

// topology returns the current topology. The caller holds the lock.
func (r *Roster) topology() *topology {
	if r.cachedTopology == nil {
		active := make([]Host, 0, len(r.hosts)+1)
		if !r.self.Leaving {
			active = append(active, r.self)
		}
		for _, p := range r.hosts {
			if !p.dead && !p.host.Leaving {
				active = append(active, p.host)
			}
		}
		sort.Slice(active, func(i, j int) bool { return active[i].Name < active[j].Name })
		r.cachedTopology = newTopology(active)
	}
	return r.cachedTopology
}

// invalidate drops what was derived from the hosts. The caller holds the lock.
func (r *Roster) invalidate() { r.cachedTopology, r.cachedDigest = nil, 0 }

// IsHub reports whether this node passes messages on to other hosts.
func (r *Roster) IsHub() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topology().isHub[r.self.Name]
}

// CouldBeHub reports whether a host is a hub, or could be one if it were not dead or
// leaving. Only such a host may own batches.
func (r *Roster) CouldBeHub(h Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topology()
	return t.isHub[h.Name] || t.parents[h.Name] == "" && t.couldBeHub(h)
}

// Hubs returns the peers that get messages to the fleet directly: the hubs, and hosts
// that are leaving, which may still own batches.
func (r *Roster) Hubs() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topology()
	return r.selectHosts(func(h Host) bool { return t.isHub[h.Name] || h.Leaving })
}

// Children returns the peers to which this node passes messages on.
func (r *Roster) Children() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topology()
	if !t.isHub[r.self.Name] {
		return nil
	}
	return r.selectHosts(func(h Host) bool { return t.parents[h.Name] == r.self.Name })
}

// selectHosts returns the peers that are not dead and that match, sorted by name. The
// caller holds the lock.
func (r *Roster) selectHosts(match func(Host) bool) []Host {
	var hosts []Host
	for _, p := range r.hosts {
		if !p.dead && match(p.host) {
			hosts = append(hosts, p.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}
