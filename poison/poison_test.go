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

const testFingerprint = 7

// cluster is a few nodes that have discovered each other. Their push interval
// is a minute, so only Spread sends facts during a test.
type cluster struct {
	nodes  []*Quarantine
	frozen []chan struct{}
}

func newCluster(t *testing.T, nodes int) *cluster {
	t.Helper()
	c := &cluster{}
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
		c.frozen = append(c.frozen, frozen)
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
		c.nodes = append(c.nodes, New(members[i], store, zap.NewNop()))
	}
	close(ready)
	return c
}

// freeze makes a node stop answering.
func (c *cluster) freeze(node int) { close(c.frozen[node]) }

func (c *cluster) assertStatus(t *testing.T, node int, want Status) {
	t.Helper()
	if got := c.nodes[node].Status(testFingerprint); got != want {
		t.Errorf("node-%d has status %v, want %v", node, got, want)
	}
}

func TestSpread(t *testing.T) {
	defer goleak.VerifyNone(t)
	cases := []struct {
		name string
		run  func(c *cluster)
		want Status
	}{
		{"one crash makes a suspect at every node", func(c *cluster) {
			c.nodes[0].Crashed(testFingerprint, false)
			c.nodes[0].Spread(t.Context())
		}, StatusSuspect},
		{"consecutive crashes at two nodes add up", func(c *cluster) {
			c.nodes[0].Crashed(testFingerprint, false)
			c.nodes[0].Spread(t.Context())
			c.nodes[1].Crashed(testFingerprint, true)
			c.nodes[1].Spread(t.Context())
		}, StatusQuarantined},
		{"a disconnected caller does not stop the notification", func(c *cluster) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			c.nodes[0].Crashed(testFingerprint, false)
			c.nodes[0].Spread(ctx)
		}, StatusSuspect},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 4)
			tc.run(c)
			for i := range c.nodes {
				c.assertStatus(t, i, tc.want)
			}
		})
	}
	t.Run("a frozen node delays the notification up to the limit", func(t *testing.T) {
		c := newCluster(t, 4)
		c.freeze(3)
		c.nodes[0].Crashed(testFingerprint, false)
		started := time.Now()
		c.nodes[0].Spread(t.Context())
		if took := time.Since(started); took < spreadTimeout || took > 10*spreadTimeout {
			t.Errorf("took %v, limit %v", took, spreadTimeout)
		}
		c.assertStatus(t, 1, StatusSuspect)
		c.assertStatus(t, 2, StatusSuspect)
		c.assertStatus(t, 3, StatusClear)
	})
}
