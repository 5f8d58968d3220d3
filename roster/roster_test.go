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

	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

// bound is how soon a death or a stop must be known to all.
const bound = 4 * time.Second

// running is a node's roster with its listener.
type running struct {
	*Roster
	server *peers.Server
	pool   *peers.Pool
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func start(t *testing.T, store object.Store, name string, incarnation uint64) *running {
	t.Helper()
	n := &running{pool: peers.NewPool()}
	server, err := peers.Listen("127.0.0.1:0", func(ctx context.Context, call *wirepb.Frame, stream *peers.Stream) {
		reply := &wirepb.HelloReply{}
		switch body := call.GetBody().(type) {
		case *wirepb.Frame_Hello:
			reply = n.Serve(body.Hello)
		case *wirepb.Frame_HostLost:
			n.Lost(ctx, body.HostLost.GetName(), body.HostLost.GetIncarnation())
		}
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_HelloReply{HelloReply: reply}})
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	n.server = server
	n.Roster = New(Host{Name: name, Incarnation: incarnation, Peers: server.Address(), Power: 1000}, store, n.pool, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	n.OnDead(func(lost Host) {
		call := &wirepb.Frame{Body: &wirepb.Frame_HostLost{HostLost: &wirepb.HostLost{Name: lost.Name, Incarnation: lost.Incarnation}}}
		for _, h := range n.Others() {
			// A node that is not reached looks for itself later.
			_, _ = n.pool.Do(ctx, h.Peers, call)
		}
	})
	n.cancel = cancel
	n.done.Go(func() { _ = n.Run(ctx) })
	t.Cleanup(n.stop)
	return n
}

// stop ends the node as a kill would.
func (n *running) stop() {
	n.cancel()
	_ = n.server.Close()
	n.pool.Close()
	n.done.Wait()
}

// await waits until a condition holds at a node.
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

func awaitNodes(t *testing.T, nodes []*running, want int) {
	t.Helper()
	for _, n := range nodes {
		await(t, fmt.Sprintf("%s knows %d nodes", n.Self().Name, want), func() bool { return len(n.Staying()) == want })
	}
}

// hangingLists is a store that goes silent for lists after the first one.
type hangingLists struct {
	object.Store
	once sync.Once
	hung chan struct{}
	n    atomic.Int64
}

func (s *hangingLists) List(ctx context.Context, kind string, read object.Read) ([]object.Entry, uint64, error) {
	if s.n.Add(1) == 1 {
		return s.Store.List(ctx, kind, read)
	}
	s.once.Do(func() { close(s.hung) })
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestHellosGoOnInAnOutage finds a dead node while a list waits for the store.
func TestHellosGoOnInAnOutage(t *testing.T) {
	store := shelf.New()
	var nodes []*running
	var stores []*hangingLists
	for i := range 3 {
		s := &hangingLists{Store: store, hung: make(chan struct{})}
		stores = append(stores, s)
		nodes = append(nodes, start(t, s, fmt.Sprintf("n%d", i), 1))
	}
	awaitNodes(t, nodes, 3)
	for _, s := range stores {
		<-s.hung
	}
	nodes[2].stop()
	awaitNodes(t, nodes[:2], 2)
}

func TestNodesFindEachOther(t *testing.T) {
	store := shelf.New()
	var nodes []*running
	for i := range 9 {
		nodes = append(nodes, start(t, store, fmt.Sprintf("n%d", i), 1))
	}
	awaitNodes(t, nodes, 9)
	whole := t
	t.Run("a dead one is found out", func(t *testing.T) {
		nodes[4].stop()
		left := append(append([]*running(nil), nodes[:4]...), nodes[5:]...)
		awaitNodes(t, left, 8)
		if nodes[0].Alive("n4", 1) {
			t.Error("it counts as alive")
		}
	})
	t.Run("it comes back as another one", func(t *testing.T) {
		nodes[4] = start(whole, store, "n4", 2)
		awaitNodes(t, nodes, 9)
		if nodes[0].Alive("n4", 1) || !nodes[0].Alive("n4", 2) {
			t.Error("the starts are mixed up")
		}
	})
	t.Run("its clock went back before it started again", func(t *testing.T) {
		nodes[4].stop()
		nodes[4] = start(whole, store, "n4", 1)
		for _, n := range nodes {
			await(t, n.Self().Name+" knows the last start", func() bool { return n.Alive("n4", 1) })
		}
		awaitNodes(t, nodes, 9)
	})
	t.Run("one that leaves stays alive", func(t *testing.T) {
		nodes[2].Leave(t.Context())
		for _, n := range nodes {
			if names := n.Staying(); len(names) != 8 {
				t.Errorf("%s: %v stay, want eight", n.Self().Name, names)
			}
			if n != nodes[2] && !n.Alive("n2", 1) {
				t.Errorf("%s holds it dead", n.Self().Name)
			}
		}
	})
}

// TestTheStoreIsAway finds a node that registers while the store is away once it
// is back, and keeps the others meanwhile.
func TestTheStoreIsAway(t *testing.T) {
	store := shelf.New()
	nodes := []*running{start(t, store, "a", 1), start(t, store, "b", 1)}
	awaitNodes(t, nodes, 2)
	store.SetFaults(shelf.Faults{Refuse: true})
	nodes = append(nodes, start(t, store, "c", 1))
	awaitNodes(t, nodes[:2], 2)
	store.SetFaults(shelf.Faults{})
	awaitNodes(t, nodes, 3)
}

func TestKeepersAreTheLargeHosts(t *testing.T) {
	r := New(Host{Name: "small", Power: 192}, shelf.New(), nil, zap.NewNop())
	r.learn(Host{Name: "large", Power: 800})
	r.learn(Host{Name: "other", Power: 500})
	if got := fmt.Sprint(r.Keepers()); got != "[large other]" {
		t.Errorf("got %s", got)
	}
}

// TestALeavingNodeLeaves delivers a hello that was sent before the node began to
// leave after the one that says so.
func TestALeavingNodeLeaves(t *testing.T) {
	stays := &wirepb.HostInfo{Name: "other", Incarnation: 1}
	leaves := &wirepb.HostInfo{Name: "other", Incarnation: 1, Leaving: true}
	again := &wirepb.HostInfo{Name: "other", Incarnation: 2}
	check := func(t *testing.T, r *Roster, want string) {
		t.Helper()
		if got := fmt.Sprint(r.Staying()); got != want {
			t.Errorf("%s stay, want %s", got, want)
		}
	}
	fresh := func() *Roster {
		r := New(Host{Name: "self", Incarnation: 1}, shelf.New(), nil, zap.NewNop())
		r.Serve(&wirepb.Hello{From: stays})
		return r
	}
	t.Run("an older hello comes late", func(t *testing.T) {
		r := fresh()
		r.Serve(&wirepb.Hello{From: leaves})
		r.Serve(&wirepb.Hello{From: stays})
		check(t, r, "[self]")
	})
	t.Run("another node tells of it", func(t *testing.T) {
		r := fresh()
		r.learn(hostOf(leaves))
		check(t, r, "[self]")
		r.learn(hostOf(stays))
		check(t, r, "[self]")
	})
	t.Run("its next start stays", func(t *testing.T) {
		r := fresh()
		r.Serve(&wirepb.Hello{From: leaves})
		r.Serve(&wirepb.Hello{From: again})
		check(t, r, "[self other]")
	})
}

// TestClockWentBack tells of a start with a lower number after one that died.
func TestClockWentBack(t *testing.T) {
	first := &wirepb.HostInfo{Name: "other", Incarnation: 2, PeerAddress: "old"}
	second := &wirepb.HostInfo{Name: "other", Incarnation: 1, PeerAddress: "new"}
	r := New(Host{Name: "self", Incarnation: 1}, shelf.New(), nil, zap.NewNop())
	address := func(want string) {
		t.Helper()
		if due := r.due(); len(due) != 1 || due[0].Peers != want {
			t.Fatalf("hellos go to %v, want %s", due, want)
		}
	}
	alive := func(incarnation uint64, want bool) {
		t.Helper()
		if got := r.Alive("other", incarnation); got != want {
			t.Errorf("start %d alive: %t, want %t", incarnation, got, want)
		}
	}
	r.Serve(&wirepb.Hello{From: first})
	r.learn(hostOf(second))
	address("old")
	alive(2, true)
	r.failed(hostOf(first), syscall.ECONNREFUSED)
	r.learn(hostOf(second))
	address("new")
	alive(1, false)
	r.Serve(&wirepb.Hello{From: second})
	alive(1, true)
}
