package member

import (
	"math/rand/v2"
	"sort"

	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	watchersInDomain    = 2
	watchersInRegion    = 2
	watchersOtherRegion = 1
)

type (
	// Node is one member of the fleet.
	Node struct {
		info *wirepb.Member
	}

	// View is an immutable snapshot of the membership.
	View struct {
		self   string
		byName map[string]Node
		alive  []Node
	}
)

// Name returns the node's name.
func (n Node) Name() string { return n.info.GetName() }

// Domain returns the node's failure domain.
func (n Node) Domain() string { return n.info.GetDomain() }

// Region returns the node's region.
func (n Node) Region() string { return n.info.GetRegion() }

// PeerAddress returns where other nodes reach the node.
func (n Node) PeerAddress() string { return n.info.GetPeerAddress() }

// HTTPAddress returns where callers reach the node.
func (n Node) HTTPAddress() string { return n.info.GetHttpAddress() }

// State returns alive, leaving or dead.
func (n Node) State() wirepb.MemberState { return n.info.GetState() }

// Incarnation returns the node's incarnation, which grows with each start and
// each refuted death.
func (n Node) Incarnation() uint64 { return n.info.GetIncarnation() }

// Alive reports whether the node may be given new work.
func (n Node) Alive() bool { return n.State() == wirepb.MemberState_MEMBER_STATE_ALIVE }

// Running reports whether the node is alive or leaving.
func (n Node) Running() bool { return n.State() != wirepb.MemberState_MEMBER_STATE_DEAD }

func newView(self string, all []Node) *View {
	v := &View{self: self, byName: make(map[string]Node, len(all))}
	sort.Slice(all, func(i, j int) bool { return all[i].Name() < all[j].Name() })
	for _, n := range all {
		v.byName[n.Name()] = n
		if n.Alive() {
			v.alive = append(v.alive, n)
		}
	}
	return v
}

// Self returns the name of the node that holds the view.
func (v *View) Self() string { return v.self }

// Node returns the node of this name.
func (v *View) Node(name string) (Node, bool) {
	n, ok := v.byName[name]
	return n, ok
}

// Alive returns the nodes that may be given new work, sorted by name.
func (v *View) Alive() []Node { return v.alive }

// All returns every known node, dead ones included, sorted by name.
func (v *View) All() []Node {
	all := make([]Node, 0, len(v.byName))
	for _, n := range v.byName {
		all = append(all, n)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name() < all[j].Name() })
	return all
}

// Rank returns up to n nodes for the key by rendezvous hashing, those of the
// domain first. An empty domain stands for all nodes. Only alive nodes are
// ranked, or leaving ones while no node is alive.
func (v *View) Rank(key, domain string, n int) []Node {
	candidates := v.alive
	if len(candidates) == 0 {
		candidates = v.running()
	}
	var near, far []string
	for _, node := range candidates {
		if domain == "" || node.Domain() == domain {
			near = append(near, node.Name())
		} else {
			far = append(far, node.Name())
		}
	}
	names := rendez.Top(key, near, n)
	if len(names) < n {
		names = append(names, rendez.Top(key, far, n-len(names))...)
	}
	ranked := make([]Node, 0, len(names))
	for _, name := range names {
		ranked = append(ranked, v.byName[name])
	}
	return ranked
}

// running returns the nodes that are alive or leaving.
func (v *View) running() []Node {
	var running []Node
	for _, n := range v.All() {
		if n.Running() {
			running = append(running, n)
		}
	}
	return running
}

// Watchers returns the nodes that send heartbeats to the given one.
func (v *View) Watchers(target Node) []string {
	var domain, region, other []string
	for _, n := range v.alive {
		switch {
		case n.Name() == target.Name():
		case n.Domain() == target.Domain() && n.Region() == target.Region():
			domain = append(domain, n.Name())
		case n.Region() == target.Region():
			region = append(region, n.Name())
		default:
			other = append(other, n.Name())
		}
	}
	watchers := rendez.Top(target.Name(), domain, watchersInDomain)
	missing := watchersInDomain - len(watchers)
	watchers = append(watchers, rendez.Top(target.Name(), region, watchersInRegion+missing)...)
	return append(watchers, rendez.Top(target.Name(), other, watchersOtherRegion)...)
}

// Targets returns the running nodes that Self sends heartbeats to.
func (v *View) Targets() []Node {
	var targets []Node
	for _, n := range v.All() {
		if n.Name() == v.self || !n.Running() {
			continue
		}
		for _, watcher := range v.Watchers(n) {
			if watcher == v.self {
				targets = append(targets, n)
			}
		}
	}
	return targets
}

// randomDead returns a random dead node, to check whether it came back.
func (v *View) randomDead() (Node, bool) {
	var dead []Node
	for _, n := range v.byName {
		if !n.Running() && n.Name() != v.self {
			dead = append(dead, n)
		}
	}
	if len(dead) == 0 {
		return Node{}, false
	}
	return dead[rand.IntN(len(dead))], true
}
