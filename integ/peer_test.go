package integ

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"

	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/fakes/model"
)

// hushed counts how often all links that were open went silent.
var hushed atomic.Int64

// hushToxic drops what comes over a link that was open when the links went
// silent, and keeps the link open.
type hushToxic struct{}

func init() { toxics.Register("hush", new(hushToxic)) }

// Pipe passes data on until the links go silent.
func (*hushToxic) Pipe(stub *toxics.ToxicStub) {
	born := hushed.Load()
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if hushed.Load() == born {
				stub.Output <- chunk
			}
		}
	}
}

// addHush makes both directions of a proxy able to go silent.
func addHush(t *testing.T, proxy *toxiproxy.Proxy) {
	t.Helper()
	for _, direction := range []string{"upstream", "downstream"} {
		toxic := `{"name":"hush-` + direction + `","type":"hush","stream":"` + direction + `"}`
		if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestPeerLinks(t *testing.T) {
	cases := map[string]func(f *fleet){
		"all connections between nodes go silent": func(*fleet) { hushed.Add(1) },
		"all connections between nodes go silent twice": func(*fleet) {
			hushed.Add(1)
			time.Sleep(2 * time.Second)
			hushed.Add(1)
		},
		"a node can't be reached by the others": func(f *fleet) { f.nodes[2].peers.Stop() },
		"a node can't be reached for 3 s": func(f *fleet) {
			f.nodes[2].peers.Stop()
			time.AfterFunc(3*time.Second, func() { _ = f.nodes[2].peers.Start() })
		},
		"connections go silent and a node is killed": func(f *fleet) {
			hushed.Add(1)
			f.kill(f.nodes[1])
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, demo.Size{
				Nodes: 5, Samplers: 4, Quotes: 3, Plains: 1, Heartbeat: 200 * time.Millisecond,
				Engine: model.Options{Version: 1, Token: 5 * time.Millisecond},
			})
			for _, n := range f.nodes {
				addHush(t, n.peers)
			}
			f.apply(declared)
			q := f.startQuotes(6)
			l := newLedger()
			f.take(l, f.ask(1), 1, 1)
			second := f.ask(2)
			fail(f)
			before := q.count()
			f.take(l, second, 2, 1)
			f.eventually("callers are served after the failure", func() bool { return q.count() > before+100 })
			f.take(l, f.ask(3), 3, 1)
			q.finish(t, before+100)
		})
	}
}
