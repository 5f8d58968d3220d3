package member

import (
	"fmt"
	"testing"

	"github.com/currantloft/currantloft/wirepb"
)

// bigView is the membership of the target: 320 nodes, 4 regions, 11 domains.
func bigView(self string) *View {
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
	v := bigView("node-0")
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

// News reaches all nodes over the links in few hops, also after a fifth died.
func TestNewsReachesAll(t *testing.T) {
	v := bigView("node-0")
	out := make(map[string][]string)
	for _, n := range v.Alive() {
		for _, w := range v.Watchers(n) {
			out[w] = append(out[w], n.Name())
		}
	}
	reached := map[string]int{"node-0": 0}
	open := []string{"node-0"}
	deepest := 0
	for len(open) > 0 {
		name := open[0]
		open = open[1:]
		for _, next := range out[name] {
			if _, ok := reached[next]; !ok {
				reached[next] = reached[name] + 1
				deepest = max(deepest, reached[next])
				open = append(open, next)
			}
		}
	}
	if len(reached) < 300 || deepest > 10 {
		t.Errorf("pushes reach %d of 320 nodes in %d hops", len(reached), deepest)
	}
}

func TestRankKeepsDomainFirst(t *testing.T) {
	v := bigView("node-0")
	for _, n := range v.Rank("cell", "d3", 5) {
		if n.Domain() != "d3" {
			t.Errorf("%s is in %s", n.Name(), n.Domain())
		}
	}
	if n := len(v.Rank("cell", "nowhere", 2)); n != 2 {
		t.Errorf("%d nodes for a domain without nodes, want 2", n)
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
		t.Errorf("%d nodes keep a cell while all leave, want 1", n)
	}
}
