package member

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/facts"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

// testLimit bounds work that needs a few milliseconds unless it hangs.
const testLimit = 5 * time.Second

// startMember starts the membership of a node that answers heartbeats once
// answer returns true for them.
func startMember(t *testing.T, name string, seeds []string, answer func() bool) *Members {
	t.Helper()
	store := facts.NewStore()
	pool := peers.NewPool()
	t.Cleanup(pool.Close)
	var m *Members
	ready := make(chan struct{})
	server, err := peers.Listen("127.0.0.1:0", func(_ context.Context, call *wirepb.Frame, stream *peers.Stream) {
		<-ready
		if call.GetExchange() == nil || !answer() {
			return
		}
		reply := &wirepb.Frame{Body: &wirepb.Frame_ExchangeReply{ExchangeReply: m.ServeExchange(call.GetExchange())}}
		if err := stream.Send(reply); err != nil {
			t.Logf("answering a heartbeat: %v", err)
		}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Errorf("closing the listener: %v", err)
		}
	})
	self := &wirepb.Member{Name: name, Domain: "d", Region: "r", PeerAddress: server.Address()}
	m = New(Config{Self: self, Seeds: seeds, Interval: time.Second}, store, pool, zap.NewNop())
	close(ready)
	return m
}

// startPair starts two nodes that know each other.
func startPair(t *testing.T, answer func() bool) (a, b *Members) {
	t.Helper()
	a = startMember(t, "a", nil, func() bool { return true })
	b = startMember(t, "b", nil, answer)
	b.refresh()
	a.store.Apply(b.store.Get(keyPrefix+"b"), "b")
	a.refresh()
	return a, b
}

// assertReturns fails the test if work hangs.
func assertReturns(t *testing.T, name string, work func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	select {
	case <-done:
	case <-time.After(testLimit):
		t.Fatalf("%s did not return within %v", name, testLimit)
	}
}

// TestFirstHeartbeatEndsSuspension checks that the heartbeat whose answer ends a
// suspension returns: the answer rebuilds the links, also the one in use.
func TestFirstHeartbeatEndsSuspension(t *testing.T) {
	a, _ := startPair(t, func() bool { return true })
	a.suspended.Store(true)
	assertReturns(t, "heartbeat after a suspension", func() { a.sendHeartbeats(t.Context(), false) })
	if a.Suspended() {
		t.Error("node is still suspended although a peer has answered")
	}
}

// TestSilentPeerBlocksNoOtherWork checks that a heartbeat which waits for its
// answer holds up neither a change of the membership nor a reader of it.
func TestSilentPeerBlocksNoOtherWork(t *testing.T) {
	asked, release := make(chan struct{}), make(chan struct{})
	a, _ := startPair(t, func() bool {
		close(asked)
		<-release
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		a.sendHeartbeats(ctx, false)
	}()
	select {
	case <-asked:
	case <-ctx.Done():
		t.Fatal(errors.New("the peer got no heartbeat"))
	}
	start := time.Now()
	a.refresh()
	a.Incarnation()
	if took := time.Since(start); took > a.config.Interval/2 {
		t.Errorf("a change of the membership took %v while a heartbeat waited", took)
	}
	close(release)
	<-sent
}
