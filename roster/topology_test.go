package roster

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

// fleetOf returns hosts of which the first strong ones have four times the power of
// the others.
func fleetOf(strong, weak int) []Host {
	var hosts []Host
	for i := range strong + weak {
		h := Host{Name: fmt.Sprintf("h%03d", i), Power: 200}
		if i < strong {
			h.Power = 800
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// TestTopologyGrowth checks what grows with the number of hosts: the hubs with its
// square root, and the hosts of each hub by no more than that.
func TestTopologyGrowth(t *testing.T) {
	for _, tc := range []struct {
		strong, weak, wantHubs int
	}{
		{7, 0, 7}, {3, 9, 12}, {18, 232, 18}, {66, 0, 17}, {300, 0, 35}, {1000, 0, 64}, {1, 40, 4}, {2, 60, 4},
	} {
		t.Run(fmt.Sprintf("%d strong, %d weak", tc.strong, tc.weak), func(t *testing.T) {
			hosts := fleetOf(tc.strong, tc.weak)
			topo := newTopology(hosts)
			check.Equal(t, "hubs", len(topo.hubs), tc.wantHubs)
			children := make(map[string]int)
			for _, h := range hosts {
				parent, ok := topo.parents[h.Name]
				check.Equal(t, "has a parent", ok, !topo.isHub[h.Name])
				if ok {
					check.Equal(t, "parent is a hub", topo.isHub[parent], true)
					children[parent]++
				}
			}
			mean := float64(len(hosts)-tc.wantHubs) / float64(tc.wantHubs)
			for hub, n := range children {
				if float64(n) > 2.5*mean+2 {
					t.Errorf("%s has %d hosts, the mean is %.1f", hub, n, mean)
				}
			}
		})
	}
}

// TestTopologyIsStable checks that the loss of a host moves only what belonged to it.
func TestTopologyIsStable(t *testing.T) {
	hosts := fleetOf(18, 232)
	before := newTopology(hosts)
	lost := before.hubs[3].Name
	var left []Host
	for _, h := range hosts {
		if h.Name != lost {
			left = append(left, h)
		}
	}
	after := newTopology(left)
	for name, parent := range before.parents {
		if parent != lost && after.parents[name] != parent {
			t.Errorf("%s moved from %s to %s", name, parent, after.parents[name])
		}
	}
}

// startFleet starts nodes of which the first strong ones are strong, each with hello
// handling as edge has it.
func startFleet(t *testing.T, strong, weak int) []*testNode {
	t.Helper()
	store := memory.New()
	var nodes []*testNode
	for _, h := range fleetOf(strong, weak) {
		nodes = append(nodes, startPassingNode(t, store, h))
	}
	return nodes
}

func startPassingNode(t *testing.T, store *memory.Store, self Host) *testNode {
	t.Helper()
	n := &testNode{pool: peers.NewPool()}
	send := func(hosts []Host, call *wirepb.Frame) {
		for _, h := range hosts {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				// A node that misses a message learns of the change by its hellos.
				_, _ = n.pool.Do(ctx, h.PeerAddress, call)
			}()
		}
	}
	lost := func(h Host, leaving bool) *wirepb.Frame {
		return &wirepb.Frame{Body: &wirepb.Frame_HostLost{HostLost: &wirepb.HostLost{Name: h.Name, Incarnation: h.Incarnation, Leaving: leaving}}}
	}
	ready := make(chan struct{})
	server, err := peers.Listen("127.0.0.1:0", func(ctx context.Context, call *wirepb.Frame, stream *peers.Stream) {
		<-ready
		if n.silent.Load() {
			<-ctx.Done()
			return
		}
		reply := &wirepb.HelloReply{}
		switch body := call.GetBody().(type) {
		case *wirepb.Frame_Hello:
			n.hellos.Add(1)
			reply = n.Serve(body.Hello)
		case *wirepb.Frame_HostLost:
			h, _ := n.Host(body.HostLost.GetName())
			if body.HostLost.GetLeaving() {
				n.RecordLeaving(h.Name, body.HostLost.GetIncarnation())
			} else if n.CheckHost(ctx, h.Name, body.HostLost.GetIncarnation()) && n.CouldBeHub(h) {
				send(n.Children(), call)
			}
		}
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: reply}})
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	n.server = server
	self.Incarnation, self.PeerAddress = max(1, self.Incarnation), server.Address()
	n.Roster = New(self, store, n.pool, zap.NewNop())
	n.OnDead(func(h Host) {
		send(n.Hubs(), lost(h, false))
		if n.CouldBeHub(h) {
			send(n.Children(), lost(h, false))
		}
	})
	n.OnLeaving(func(h Host) { send(n.Children(), lost(h, true)) })
	close(ready)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() { _ = n.Run(ctx) })
	t.Cleanup(n.stop)
	return n
}

// settleBound is how soon all nodes of a large fleet must agree after their start or a
// change: two rounds of hellos between hubs and one of the other hosts.
const settleBound = 10 * time.Second

func awaitAgreement(t *testing.T, what string, nodes []*testNode, want int) {
	t.Helper()
	deadline := time.Now().Add(settleBound)
	for {
		wrong := ""
		for _, n := range nodes {
			if got := len(n.ActiveNames()); got != want {
				wrong = fmt.Sprintf("%s has %d active hosts, want %d", n.Self().Name, got, want)
			}
		}
		if wrong == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v: %s", what, settleBound, wrong)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestLargeFleet starts a fleet in which most hosts belong to a hub: all nodes find
// all others, learn of stops and deaths, and send few hellos.
func TestLargeFleet(t *testing.T) {
	const strong, weak = 14, 30
	nodes := startFleet(t, strong, weak)
	awaitAgreement(t, "start", nodes, strong+weak)
	t.Run("hellos", func(t *testing.T) {
		before := make([]int64, len(nodes))
		for i, n := range nodes {
			before[i] = n.hellos.Load()
		}
		const period = 3 * time.Second
		time.Sleep(period)
		for i, n := range nodes[strong:] {
			got := n.hellos.Load() - before[strong+i]
			if limit := int64(period/childHelloInterval) + 1; got > limit {
				t.Errorf("%s got %d hellos in %v, want up to %d", n.Self().Name, got, period, limit)
			}
		}
	})
	t.Run("a weak host dies", func(t *testing.T) {
		nodes[strong+weak-1].stop()
		nodes = nodes[:strong+weak-1]
		awaitAgreement(t, "death of a weak host", nodes, strong+weak-1)
	})
	t.Run("a hub dies", func(t *testing.T) {
		nodes[0].stop()
		nodes = nodes[1:]
		awaitAgreement(t, "death of a hub", nodes, strong+weak-2)
	})
	t.Run("a weak host leaves", func(t *testing.T) {
		nodes[len(nodes)-1].Leave(t.Context())
		awaitAgreement(t, "stop of a weak host", nodes, strong+weak-3)
	})
	t.Run("a hub leaves", func(t *testing.T) {
		nodes[1].Leave(t.Context())
		awaitAgreement(t, "stop of a hub", nodes, strong+weak-4)
	})
}

// maxNamed is for how long the other hosts may name one that is gone.
const maxNamed = 6 * time.Second

// TestStoppedHostStaysNamed lets a host that is not a hub lose power, and then a hub
// start again, which finds the lost host's entry in the store. No node may name the lost
// host for longer than maxNamed, nor name it again.
func TestStoppedHostStaysNamed(t *testing.T) {
	const strong, weak = 14, 10
	store := memory.New()
	hosts := fleetOf(strong, weak)
	var nodes []*testNode
	for _, h := range hosts {
		nodes = append(nodes, startPassingNode(t, store, h))
	}
	awaitAgreement(t, "start", nodes, strong+weak)
	lost := nodes[strong]
	lost.silent.Store(true)
	lost.cancel()
	lostAt := time.Now()
	nodes = append(nodes[:strong], nodes[strong+1:]...)
	// The hub starts again while the others find out.
	time.Sleep(maxNamed * 2 / 3)
	parents := newTopology(hosts).parents
	hub := slices.IndexFunc(hosts[:strong], func(h Host) bool {
		return h.Name != parents[lost.Self().Name] && slices.Contains(slices.Collect(maps.Values(parents)), h.Name)
	})
	nodes[hub].stop()
	restarted := hosts[hub]
	restarted.Incarnation = 2
	nodes[hub] = startPassingNode(t, store, restarted)
	time.Sleep(time.Until(lostAt.Add(maxNamed)))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range nodes {
			if slices.Contains(n.ActiveNames(), lost.Self().Name) {
				t.Fatalf("%s names the lost host %v after its end", n.Self().Name, time.Since(lostAt))
			}
		}
	}
}

// TestAdoptedListSparesNewHosts checks that a node which takes over its parent's list
// keeps the hosts that it has only just learned of, and drops the others that the list
// lacks: after the end of all processes, hosts come back faster than lists spread.
func TestAdoptedListSparesNewHosts(t *testing.T) {
	hosts := fleetOf(14, 30)
	hosts[20].Incarnation = uint64(time.Now().UnixNano())
	self := hosts[len(hosts)-1]
	r := New(self, memory.New(), nil, zap.NewNop())
	for _, h := range hosts[:len(hosts)-1] {
		r.recordReported(h)
	}
	fresh, old := hosts[20].Name, hosts[21].Name
	for name, p := range r.hosts {
		if name != fresh {
			p.lastHeard = time.Now().Add(-2 * settleTime)
		}
	}
	parent := newTopology(hosts).parents[self.Name]
	reply := &wirepb.HelloReply{From: toHostInfo(r.hosts[parent].host), Settled: true}
	for _, h := range hosts {
		if h.Name != fresh && h.Name != old {
			reply.Hosts = append(reply.Hosts, toHostInfo(h))
		}
	}
	r.adoptList(reply)
	check.Equal(t, "new host is alive", r.Alive(fresh, hosts[20].Incarnation), true)
	check.Equal(t, "other host is alive", r.Alive(old, 0), false)
	check.Equal(t, "listed host is alive", r.Alive(hosts[22].Name, 0), true)
}
