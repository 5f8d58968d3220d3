package member

import (
	"fmt"
	"testing"

	"github.com/currantloft/currantloft/wirepb"
)

// fullSizeView returns a membership of the target size: 320 nodes, 4 regions, 11
// domains.
func fullSizeView(self string) *View {
	var all []Node
	for i := range 320 {
		domain := i % 11
		all = append(all, Node{info: &wirepb.Member{
			Name: fmt.Sprintf("node-%d", i), Domain: fmt.Sprintf("d%d", domain), Region: fmt.Sprintf("r%d", domain%4),
		}})
	}
	return newView(self, all)
}

func TestEveryNodeIsWatched(t *testing.T) {
	v := fullSizeView("node-0")
	links := make(map[string]int)
	for _, n := range v.Alive() {
		watchers := v.Watchers(n)
		if len(watchers) != watchersInDomain+watchersInRegion+watchersOtherRegion {
			t.Fatalf("%s has %d watchers", n.Name(), len(watchers))
		}
		for _, w := range watchers {
			links[w]++
		}
	}
	for name, n := range links {
		if n > 20 {
			t.Errorf("%s sends heartbeats to %d nodes", name, n)
		}
	}
}

// TestPushesReachAllNodes checks that pushes along the heartbeat links alone cross
// a full-size fleet in few hops.
func TestPushesReachAllNodes(t *testing.T) {
	v := fullSizeView("node-0")
	targets := make(map[string][]string)
	for _, n := range v.Alive() {
		for _, w := range v.Watchers(n) {
			targets[w] = append(targets[w], n.Name())
		}
	}
	hops := map[string]int{"node-0": 0}
	queue := []string{"node-0"}
	maxHops := 0
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		for _, next := range targets[name] {
			if _, ok := hops[next]; !ok {
				hops[next] = hops[name] + 1
				maxHops = max(maxHops, hops[next])
				queue = append(queue, next)
			}
		}
	}
	if len(hops) < 300 || maxHops > 10 {
		t.Errorf("pushes reach %d of 320 nodes in %d hops", len(hops), maxHops)
	}
}

func TestRankPutsDomainFirst(t *testing.T) {
	v := fullSizeView("node-0")
	for _, n := range v.Rank("cell", "d3", 5) {
		if n.Domain() != "d3" {
			t.Errorf("%s of domain %s is ranked before nodes of d3", n.Name(), n.Domain())
		}
	}
	if n := len(v.Rank("cell", "nowhere", 2)); n != 2 {
		t.Errorf("ranked %d nodes for a domain without nodes, want 2", n)
	}
}

func TestRankWhileAllLeave(t *testing.T) {
	var all []Node
	for i := range 3 {
		all = append(all, Node{info: &wirepb.Member{
			Name: fmt.Sprint(i), State: wirepb.MemberState_MEMBER_STATE_LEAVING,
		}})
	}
	if n := len(newView("0", all).Rank("cell", "", 1)); n != 1 {
		t.Errorf("ranked %d nodes for a cell while all are leaving, want 1", n)
	}
}
