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

// stallCount counts how often all connections open at the time were stalled.
var stallCount atomic.Int64

// stallToxic stalls a connection when stallCount is incremented: it drops all data
// from then on and leaves the connection open. New connections work.
type stallToxic struct{}

func init() { toxics.Register("hush", new(stallToxic)) }

// Pipe forwards data until the connection is stalled.
func (*stallToxic) Pipe(stub *toxics.ToxicStub) {
	stallsBefore := stallCount.Load()
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if stallCount.Load() == stallsBefore {
				stub.Output <- chunk
			}
		}
	}
}

// addStallToxics adds a stallToxic to both directions of a proxy.
func addStallToxics(t *testing.T, proxy *toxiproxy.Proxy) {
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
		"all connections between nodes stall": func(*fleet) { stallCount.Add(1) },
		"all connections between nodes stall twice": func(*fleet) {
			stallCount.Add(1)
			time.Sleep(2 * time.Second)
			stallCount.Add(1)
		},
		"a node is unreachable for its peers": func(f *fleet) { f.nodes[2].peerProxy.Stop() },
		"a node is unreachable for its peers for 3 s": func(f *fleet) {
			f.nodes[2].peerProxy.Stop()
			time.AfterFunc(3*time.Second, func() { _ = f.nodes[2].peerProxy.Start() })
		},
		"connections stall and a node is killed": func(f *fleet) {
			stallCount.Add(1)
			f.kill(f.nodes[1])
		},
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, demo.Size{
				Nodes: 5, Samplers: 4, Quotes: 3, Plains: 1, Heartbeat: 200 * time.Millisecond,
				Engine: model.Options{Version: 1, TokenTime: 5 * time.Millisecond},
			})
			for _, n := range f.nodes {
				addStallToxics(t, n.peerProxy)
			}
			f.apply(testDeclaration)
			callers := f.startQuoteCallers(6)
			checker := newStepChecker()
			f.awaitStep(checker, f.requestStep(1), 1, 1)
			second := f.requestStep(2)
			inject(f)
			before := callers.completedCount()
			f.awaitStep(checker, second, 2, 1)
			f.eventually("callers are served after the failure", func() bool { return callers.completedCount() > before+100 })
			f.awaitStep(checker, f.requestStep(3), 3, 1)
			callers.finish(t, before+100)
		})
	}
}
