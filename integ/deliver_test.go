package integ

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/fakes/objapi"
	"github.com/currantloft/currantloft/loads"
	"github.com/currantloft/currantloft/steps"
)

// TestKeeperKilledInMidDelivery kills the keeper while a step of many megabytes
// is on its way, and again with the platform down.
func TestKeeperKilledInMidDelivery(t *testing.T) {
	const groups, samples, tokens, linesBefore = 64, 8, 4000, 5
	for name, faults := range map[string]objapi.Faults{"platform up": {}, "platform down": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, demo.Size{
				Nodes: 5, Samplers: 8, Quotes: 1, Plains: 1, Heartbeat: 200 * time.Millisecond,
				Engine: model.Options{Version: 1, Token: 50 * time.Microsecond, Chunk: 500, FixedLength: true},
			})
			d := declared
			d.Groups, d.Samples, d.MaxTokens = groups, samples, tokens
			f.apply(d)
			asked := loads.Prompts(trainer, 1, groups)
			before := f.readLines(asked, linesBefore, func() {
				f.Platform().SetFaults(faults)
				f.kill(f.keeperOf(1))
				time.AfterFunc(time.Second, func() { f.Platform().SetFaults(objapi.Faults{}) })
			})
			got, err := f.client.Step(f.ctx, trainer, 1, asked)
			if err != nil {
				t.Fatal(err)
			}
			newLedger().take(t, got, asked, samples, 1, 0)
			for i, g := range before {
				if whole := got.Groups()[i]; whole.Group != g.Group || whole.Samples[0].Text != g.Samples[0].Text {
					t.Errorf("group %s came with other samples after the cut", g.Group)
				}
			}
		})
	}
}

// readLines asks a node that is not the keeper, reads some groups, lets the
// failure happen, and reads on until the answer is cut.
func (f *fleet) readLines(asked []steps.GroupRequest, lines int, fail func()) []steps.Group {
	f.t.Helper()
	body, err := json.Marshal(steps.Request{Groups: asked})
	if err != nil {
		f.t.Fatal(err)
	}
	keeper := make(chan *process, 1)
	go func() { keeper <- f.keeperOf(1) }()
	entry := f.nodes[0]
	response, err := http.Post(entry.url+"/v1/trainers/"+trainer+"/steps/1", "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	if <-keeper == entry {
		f.t.Log("the asked node is the keeper itself")
	}
	reader := bufio.NewReader(response.Body)
	var groups []steps.Group
	for n := 0; ; n++ {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return groups
		}
		if n == lines {
			fail()
		}
		var g steps.Group
		if json.Unmarshal(line, &g) == nil && g.Group != "" {
			groups = append(groups, g)
		}
		if bytes.HasPrefix(line, []byte(`{"end"`)) {
			f.t.Error("the answer was whole before the keeper died")
			return groups
		}
	}
}

// TestCutKeeperSealsOnce cuts a keeper off from the other nodes, not from the
// platform, while a step is made, and asks through it and through others.
func TestCutKeeperSealsOnce(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(declared)
	l := newLedger()
	f.take(l, f.ask(1), 1, 1)
	second := f.ask(2)
	keeper := f.keeperOf(2)
	keeper.peers.Stop()
	asked := loads.Prompts(trainer, 2, stepGroups)
	var tasks sync.WaitGroup
	results := make([]caller.Step, len(f.nodes))
	errs := make([]error, len(f.nodes))
	for i, n := range f.nodes {
		tasks.Go(func() {
			client := caller.New([]string{n.url}, "")
			defer client.Close()
			for f.ctx.Err() == nil {
				results[i], errs[i] = client.StepAt(f.ctx, n.url, trainer, 2, asked)
				if errs[i] == nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	tasks.Wait()
	whole := f.take(l, second, 2, 1)
	for i, got := range results {
		if errs[i] != nil || got.Summary() != whole.Summary() {
			t.Errorf("%s: got %v, %v; want %v", f.nodes[i].name, got.Summary(), errs[i], whole.Summary())
		}
	}
	f.take(l, f.ask(3), 3, 1)
}

// TestWholePath is the frame of the brief at the users' size: quotes, a
// non-idempotent call and a trainer through eight nodes, then SIGTERM to all.
func TestWholePath(t *testing.T) {
	size := userSize
	size.Heartbeat = 200 * time.Millisecond
	f := startFleet(t, size)
	f.apply(declared)
	q := f.startQuotes(8)
	l := newLedger()
	for step := range uint64(3) {
		f.take(l, f.ask(step+1), step+1, 1)
	}
	if answered := f.sendEverywhere("one-bill"); answered != 1 || f.runs("one-bill") != 1 {
		t.Errorf("answered %d times, ran %d times", answered, f.runs("one-bill"))
	}
	f.eventually("callers are served", func() bool { return q.count() > 100 })
	q.finish(t, 100)
	f.stopAllInFlight()
}
