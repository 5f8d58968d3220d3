package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

// TestChildUpdatesAreJoined checks that changes within an interval are sent together and
// that Close drops what is pending and returns.
func TestChildUpdatesAreJoined(t *testing.T) {
	r := roster.New(roster.Host{Name: "self"}, memory.New(), nil, zap.NewNop())
	u := newChildUpdates(&peerClient{Roster: r, logger: zap.NewNop()})
	pending := func() int {
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.pending)
	}
	u.add([]mirror.Update{{Kind: "a", Revision: 1}})
	for deadline := time.Now().Add(5 * time.Second); pending() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the first change was not sent at once")
		}
	}
	u.add([]mirror.Update{{Kind: "a", Revision: 2}})
	u.add([]mirror.Update{{Kind: "b", Revision: 3}})
	check.Equal(t, "kinds that wait", pending(), 2)
	u.Close()
	u.add([]mirror.Update{{Kind: "c", Revision: 4}})
	check.Equal(t, "kinds that wait after Close", pending(), 2)
	u.Close()
}

// TestFirstUpdateTellsWhenTheStoreWasRead guards against a host that has just started and lists
// for itself, since the first update to it can't say by its clock when the store was read.
func TestFirstUpdateTellsWhenTheStoreWasRead(t *testing.T) {
	var mu sync.Mutex
	var confirmed []string
	server, err := peers.Listen("127.0.0.1:0", func(_ context.Context, call *wirepb.Frame, stream *peers.Stream) {
		mu.Lock()
		defer mu.Unlock()
		for _, update := range decodeUpdates(call.GetStoreNews()) {
			if update.ReadAt > 0 {
				confirmed = append(confirmed, update.Kind)
			}
		}
		clock := waits.Boottime().Milliseconds()
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_BatchPage{BatchPage: &wirepb.BatchPage{ClockMs: clock}}})
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	p := &peerClient{pool: peers.NewPool(), logger: zap.NewNop()}
	defer p.pool.Close()
	h := roster.Host{Name: "started", Incarnation: 1, PeerAddress: server.Address()}
	p.sendUpdatesTo(h, []mirror.Update{{Kind: "listed", ReadAt: time.Second}, {Kind: "watched"}})
	p.sendUpdatesTo(h, []mirror.Update{{Kind: "again", ReadAt: time.Second}})
	mu.Lock()
	defer mu.Unlock()
	check.Equal(t, "updates with a time", confirmed, []string{"listed", "again"})
}
