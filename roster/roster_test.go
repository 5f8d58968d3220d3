package roster

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

// bound is how soon all nodes must have noticed that a node died or stopped.
const bound = 4 * time.Second

// testNode is a roster with its own listener.
type testNode struct {
	*Roster
	server *peers.Server
	pool   *peers.Pool
	cancel context.CancelFunc
	done   sync.WaitGroup
	// hellos counts the hellos that the node has received.
	hellos atomic.Int64
	// silent makes the node answer nothing, as if it were without power.
	silent atomic.Bool
}

func startNode(t *testing.T, store object.Store, name string, incarnation uint64) *testNode {
	t.Helper()
	n := &testNode{pool: peers.NewPool()}
	server, err := peers.Listen("127.0.0.1:0", func(ctx context.Context, call *wirepb.Frame, stream *peers.Stream) {
		reply := &wirepb.HelloReply{}
		switch body := call.GetBody().(type) {
		case *wirepb.Frame_Hello:
			reply = n.Serve(body.Hello)
		case *wirepb.Frame_HostLost:
			n.CheckHost(ctx, body.HostLost.GetName(), body.HostLost.GetIncarnation())
		}
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: reply}})
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	n.server = server
	n.Roster = New(Host{Name: name, Incarnation: incarnation, PeerAddress: server.Address(), Power: 1000}, store, n.pool, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	n.OnDead(func(lost Host) {
		call := &wirepb.Frame{Body: &wirepb.Frame_HostLost{HostLost: &wirepb.HostLost{Name: lost.Name, Incarnation: lost.Incarnation}}}
		for _, h := range n.Peers() {
			// A node that misses the notification finds the death by its own hellos.
			_, _ = n.pool.Do(ctx, h.PeerAddress, call)
		}
	})
	n.cancel = cancel
	n.done.Go(func() { _ = n.Run(ctx) })
	t.Cleanup(n.stop)
	return n
}

// stop ends the node without Leave, as a kill would.
func (n *testNode) stop() {
	n.cancel()
	_ = n.server.Close()
	n.pool.Close()
	n.done.Wait()
}

// await fails the test unless the condition holds within bound.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func awaitNodes(t *testing.T, nodes []*testNode, want int) {
	t.Helper()
	for _, n := range nodes {
		await(t, fmt.Sprintf("%s has %d active nodes", n.Self().Name, want), func() bool { return len(n.ActiveNames()) == want })
	}
}

// hangingListStore is a store that never answers a list after the first one.
type hangingListStore struct {
	object.Store
	once  sync.Once
	hung  chan struct{}
	lists atomic.Int64
}

func (s *hangingListStore) List(ctx context.Context, kind string, freshness object.Freshness) ([]object.Entry, uint64, error) {
	if s.lists.Add(1) == 1 {
		return s.Store.List(ctx, kind, freshness)
	}
	s.once.Do(func() { close(s.hung) })
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestHellosContinueDuringStoreOutage checks that a dead node is found while a
// list waits for the store. Hellos that ran in turn with the lists would stop.
func TestHellosContinueDuringStoreOutage(t *testing.T) {
	store := memory.New()
	var nodes []*testNode
	var stores []*hangingListStore
	for i := range 3 {
		s := &hangingListStore{Store: store, hung: make(chan struct{})}
		stores = append(stores, s)
		nodes = append(nodes, startNode(t, s, fmt.Sprintf("n%d", i), 1))
	}
	awaitNodes(t, nodes, 3)
	for _, s := range stores {
		<-s.hung
	}
	nodes[2].stop()
	awaitNodes(t, nodes[:2], 2)
}

func TestNodesFindEachOther(t *testing.T) {
	store := memory.New()
	var nodes []*testNode
	for i := range 9 {
		nodes = append(nodes, startNode(t, store, fmt.Sprintf("n%d", i), 1))
	}
	awaitNodes(t, nodes, 9)
	parent := t
	t.Run("a dead node is detected", func(t *testing.T) {
		nodes[4].stop()
		survivors := append(append([]*testNode(nil), nodes[:4]...), nodes[5:]...)
		awaitNodes(t, survivors, 8)
		if nodes[0].Alive("n4", 1) {
			t.Error("n0 considers the dead node n4 alive")
		}
	})
	t.Run("it restarts with a higher incarnation", func(t *testing.T) {
		nodes[4] = startNode(parent, store, "n4", 2)
		awaitNodes(t, nodes, 9)
		if nodes[0].Alive("n4", 1) || !nodes[0].Alive("n4", 2) {
			t.Error("n0 does not have exactly the second incarnation of n4 alive")
		}
	})
	t.Run("it restarts with a lower incarnation after its clock was set back", func(t *testing.T) {
		nodes[4].stop()
		nodes[4] = startNode(parent, store, "n4", 1)
		for _, n := range nodes {
			await(t, n.Self().Name+" has the last incarnation of n4 alive", func() bool { return n.Alive("n4", 1) })
		}
		awaitNodes(t, nodes, 9)
	})
	t.Run("a leaving node is alive but not active", func(t *testing.T) {
		nodes[2].Leave(t.Context())
		for _, n := range nodes {
			if names := n.ActiveNames(); len(names) != 8 {
				t.Errorf("%s: active nodes are %v, want eight", n.Self().Name, names)
			}
			if n != nodes[2] && !n.Alive("n2", 1) {
				t.Errorf("%s considers the leaving node n2 dead", n.Self().Name)
			}
		}
	})
}

// TestNodeRegistersAfterStoreOutage starts a node while the store refuses calls.
// The running nodes must consider each other alive meanwhile, and all must find
// the new one once the store is available again.
func TestNodeRegistersAfterStoreOutage(t *testing.T) {
	store := memory.New()
	nodes := []*testNode{startNode(t, store, "a", 1), startNode(t, store, "b", 1)}
	awaitNodes(t, nodes, 2)
	store.SetFaults(memory.Faults{Refuse: true})
	nodes = append(nodes, startNode(t, store, "c", 1))
	awaitNodes(t, nodes[:2], 2)
	store.SetFaults(memory.Faults{})
	awaitNodes(t, nodes, 3)
}

func TestKeepersAreTheLargeHosts(t *testing.T) {
	r := New(Host{Name: "small", Power: 192}, memory.New(), nil, zap.NewNop())
	r.recordReported(Host{Name: "large", Power: 800})
	r.recordReported(Host{Name: "other", Power: 500})
	if got := fmt.Sprint(r.Keepers()); got != "[large other]" {
		t.Errorf("got %s", got)
	}
}

// TestLeavingNodeStaysLeaving guards against reordered hellos: one that was sent
// before the node began to leave arrives after the one that announces it.
func TestLeavingNodeStaysLeaving(t *testing.T) {
	active := &wirepb.HostInfo{Name: "other", Incarnation: 1}
	leaving := &wirepb.HostInfo{Name: "other", Incarnation: 1, Leaving: true}
	restarted := &wirepb.HostInfo{Name: "other", Incarnation: 2}
	check := func(t *testing.T, r *Roster, want string) {
		t.Helper()
		if got := fmt.Sprint(r.ActiveNames()); got != want {
			t.Errorf("active nodes are %s, want %s", got, want)
		}
	}
	newRoster := func() *Roster {
		r := New(Host{Name: "self", Incarnation: 1}, memory.New(), nil, zap.NewNop())
		r.Serve(&wirepb.Hello{From: active})
		return r
	}
	t.Run("an older hello arrives late", func(t *testing.T) {
		r := newRoster()
		r.Serve(&wirepb.Hello{From: leaving})
		r.Serve(&wirepb.Hello{From: active})
		check(t, r, "[self]")
	})
	t.Run("another node reports the leaving node", func(t *testing.T) {
		r := newRoster()
		r.recordReported(fromHostInfo(leaving))
		check(t, r, "[self]")
		r.recordReported(fromHostInfo(active))
		check(t, r, "[self]")
	})
	t.Run("the next incarnation is not leaving", func(t *testing.T) {
		r := newRoster()
		r.Serve(&wirepb.Hello{From: leaving})
		r.Serve(&wirepb.Hello{From: restarted})
		check(t, r, "[self other]")
	})
}

// TestRestartWithLowerIncarnation reports an incarnation below one that is alive,
// then dead. It may only replace the dead one, and counts as alive only after its
// own hello. A host's clock that was set back gives it a lower incarnation.
func TestRestartWithLowerIncarnation(t *testing.T) {
	first := &wirepb.HostInfo{Name: "other", Incarnation: 2, PeerAddress: "old"}
	second := &wirepb.HostInfo{Name: "other", Incarnation: 1, PeerAddress: "new"}
	r := New(Host{Name: "self", Incarnation: 1}, memory.New(), nil, zap.NewNop())
	wantTarget := func(want string) {
		t.Helper()
		if targets := r.helloTargets(); len(targets) != 1 || targets[0].PeerAddress != want {
			t.Fatalf("hellos go to %v, want %s", targets, want)
		}
	}
	wantAlive := func(incarnation uint64, want bool) {
		t.Helper()
		if got := r.Alive("other", incarnation); got != want {
			t.Errorf("incarnation %d alive: %t, want %t", incarnation, got, want)
		}
	}
	r.Serve(&wirepb.Hello{From: first})
	r.recordReported(fromHostInfo(second))
	wantTarget("old")
	wantAlive(2, true)
	r.recordFailure(fromHostInfo(first), time.Now(), time.Now(), syscall.ECONNREFUSED)
	r.recordReported(fromHostInfo(second))
	wantTarget("new")
	wantAlive(1, false)
	r.Serve(&wirepb.Hello{From: second})
	wantAlive(1, true)
}

// An entry of another writer must name no host, and be logged once while it stays.
func TestOddEntryNamesNoHost(t *testing.T) {
	store := memory.New()
	odd := map[string]string{
		"no json": "?", "null": "null", "other": `{"name":"good","incarnation":99,"peers":"127.0.0.1:1"}`,
		"port":    `{"name":"port","incarnation":2,"peers":"127.0.0.1:70000","power":4294967295}`,
		"callers": `{"name":"callers","incarnation":2,"peers":"127.0.0.1:1","callers":":0"}`,
		"number":  `{"name":"number","incarnation":1e99,"peers":"127.0.0.1:1"}`,
	}
	odd["good"] = `{"name":"good","incarnation":2,"peers":"127.0.0.1:1","callers":"127.0.0.1:2","new":[]}`
	for name, spec := range odd {
		if _, err := store.Create(t.Context(), kindHosts, name, []byte(spec)); err != nil {
			t.Fatal(err)
		}
	}
	core, logs := observer.New(zap.InfoLevel)
	r := New(Host{Name: "self"}, store, nil, zap.New(core))
	for range 3 {
		check.Equal(t, "error", r.list(t.Context(), object.Fresh), nil)
	}
	found := make(map[string]uint64)
	for name, p := range r.hosts {
		found[name] = p.host.Incarnation
	}
	check.Equal(t, "hosts", found, map[string]uint64{"good": 2})
	check.Equal(t, "lines", logs.FilterMessage(event.HostListFailed.Name()).Len(), len(odd)-1)
}
