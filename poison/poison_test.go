package poison

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/facts"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

const content = 7

// ring is a few nodes that know each other and push nothing by themselves.
type ring struct {
	wards  []*Ward
	silent []chan struct{}
}

func newRing(t *testing.T, nodes int) *ring {
	t.Helper()
	r := &ring{}
	ready := make(chan struct{})
	members := make([]*member.Members, nodes)
	var servers []*peers.Server
	for i := range nodes {
		frozen := make(chan struct{})
		serve := func(_ context.Context, call *wirepb.Frame, stream *peers.Stream) {
			<-ready
			select {
			case <-frozen:
				_, _ = stream.Recv()
				return
			default:
			}
			reply := members[i].ServeExchange(call.GetExchange())
			_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_ExchangeReply{ExchangeReply: reply}})
		}
		server, err := peers.Listen("127.0.0.1:0", serve, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		servers = append(servers, server)
		r.silent = append(r.silent, frozen)
	}
	for i := range nodes {
		store, pool := facts.NewStore(), peers.NewPool()
		t.Cleanup(pool.Close)
		for j, s := range servers {
			info := &wirepb.Member{Name: fmt.Sprint("node-", j), PeerAddress: s.Address(), Incarnation: 1}
			store.Apply(&wirepb.Fact{
				Key: "member/" + info.GetName(), Version: 1, Value: &wirepb.Fact_Member{Member: info},
			}, "")
		}
		self := &wirepb.Member{Name: fmt.Sprint("node-", i), PeerAddress: servers[i].Address()}
		members[i] = member.New(member.Config{Self: self, Interval: time.Minute}, store, pool, zap.NewNop())
		r.wards = append(r.wards, New(members[i], store, zap.NewNop()))
	}
	close(ready)
	return r
}

// freeze lets a node answer nothing from now on.
func (r *ring) freeze(node int) { close(r.silent[node]) }

func (r *ring) assertVerdict(t *testing.T, node int, want Verdict) {
	t.Helper()
	if got := r.wards[node].Judge(content); got != want {
		t.Errorf("node-%d judges %v, want %v", node, got, want)
	}
}

func TestSpread(t *testing.T) {
	defer goleak.VerifyNone(t)
	cases := []struct {
		name string
		do   func(r *ring)
		want Verdict
	}{
		{"one crash makes a suspect everywhere", func(r *ring) {
			r.wards[0].Crashed(content, false)
			r.wards[0].Spread(t.Context())
		}, Suspect},
		{"crashes at two nodes one after another add up", func(r *ring) {
			r.wards[0].Crashed(content, false)
			r.wards[0].Spread(t.Context())
			r.wards[1].Crashed(content, true)
			r.wards[1].Spread(t.Context())
		}, Quarantined},
		{"a caller that left does not stop it", func(r *ring) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			r.wards[0].Crashed(content, false)
			r.wards[0].Spread(ctx)
		}, Suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRing(t, 4)
			c.do(r)
			for i := range r.wards {
				r.assertVerdict(t, i, c.want)
			}
		})
	}
	t.Run("a frozen node holds it up for a bounded time", func(t *testing.T) {
		r := newRing(t, 4)
		r.freeze(3)
		r.wards[0].Crashed(content, false)
		begun := time.Now()
		r.wards[0].Spread(t.Context())
		if took := time.Since(begun); took < spreadLimit || took > 10*spreadLimit {
			t.Errorf("took %v, limit %v", took, spreadLimit)
		}
		r.assertVerdict(t, 1, Suspect)
		r.assertVerdict(t, 2, Suspect)
		r.assertVerdict(t, 3, Clear)
	})
}
