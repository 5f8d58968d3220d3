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

const (
	// recoveryLimit is the users' bound from a fault to the next answer.
	recoveryLimit = 12 * time.Second
	// manyTokensTimeout limits a test in which the fake engines generate two million
	// tokens, which takes them 9 s on a quiet machine.
	manyTokensTimeout = 90 * time.Second
)

// TestKeeperKilledDuringDelivery kills a step's keeper while it delivers many
// megabytes, with the platform up and down. The trainer's next request must return
// the same groups within recoveryLimit of the kill.
func TestKeeperKilledDuringDelivery(t *testing.T) {
	const groups, samples, tokens, linesBefore = 64, 8, 4000, 5
	for name, faults := range map[string]objapi.Faults{"platform up": {}, "platform down": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, demo.Size{
				Nodes: 5, Samplers: 8, Quotes: 1, Plains: 1, Heartbeat: 200 * time.Millisecond,
				Engine: model.Options{Version: 1, TokenTime: 50 * time.Microsecond, ChunkTokens: 500, FixedLength: true},
			}, manyTokensTimeout)
			d := testDeclaration
			d.Groups, d.Samples, d.MaxTokens = groups, samples, tokens
			f.apply(d)
			requested := loads.Prompts(trainer, 1, groups)
			var killed time.Time
			before := f.readLines(requested, linesBefore, func() {
				killed = time.Now()
				f.Platform().SetFaults(faults)
				f.kill(f.keeperOf(1))
				time.AfterFunc(time.Second, func() { f.Platform().SetFaults(objapi.Faults{}) })
			})
			got, err := f.client.Step(f.ctx, trainer, 1, requested)
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(killed); took > recoveryLimit {
				t.Errorf("step 1 was delivered %v after the kill, want at most %v", took, recoveryLimit)
			}
			newStepChecker().check(t, got, requested, samples, 1, 0)
			for i, g := range before {
				if complete := got.Groups()[i]; complete.Group != g.Group || complete.Samples[0].Text != g.Samples[0].Text {
					t.Errorf("group %s has other samples after the interrupted delivery", g.Group)
				}
			}
		})
	}
}

// readLines requests step 1 from the first node, calls inject when it has read
// the given number of lines and one more, and reads until the response breaks
// off. It returns the groups read.
func (f *fleet) readLines(requested []steps.GroupRequest, lines int, inject func()) []steps.Group {
	f.t.Helper()
	body, err := json.Marshal(steps.Request{Groups: requested})
	if err != nil {
		f.t.Fatal(err)
	}
	keeper := make(chan *process, 1)
	go func() { keeper <- f.keeperOf(1) }()
	target := f.nodes[0]
	response, err := http.Post(target.url+"/v1/trainers/"+trainer+"/steps/1", "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	if <-keeper == target {
		f.t.Log("the requested node is the keeper itself")
	}
	reader := bufio.NewReader(response.Body)
	var groups []steps.Group
	for n := 0; ; n++ {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return groups
		}
		if n == lines {
			inject()
		}
		var g steps.Group
		if json.Unmarshal(line, &g) == nil && g.Group != "" {
			groups = append(groups, g)
		}
		if bytes.HasPrefix(line, []byte(`{"end"`)) {
			f.t.Error("the response was complete before the keeper was killed")
			return groups
		}
	}
}

// TestIsolatedKeeperSealsOnce isolates a step's keeper from the other nodes but not
// from the platform while the step is generated: requests through any node must
// return the same sealed step.
func TestIsolatedKeeperSealsOnce(t *testing.T) {
	f := startFleet(t, smallFleet)
	f.apply(testDeclaration)
	checker := newStepChecker()
	f.awaitStep(checker, f.requestStep(1), 1, 1)
	second := f.requestStep(2)
	keeper := f.keeperOf(2)
	keeper.peerProxy.Stop()
	requested := loads.Prompts(trainer, 2, stepGroups)
	var tasks sync.WaitGroup
	results := make([]caller.Step, len(f.nodes))
	errs := make([]error, len(f.nodes))
	for i, n := range f.nodes {
		tasks.Go(func() {
			client := caller.New([]string{n.url}, "")
			defer client.Close()
			for f.ctx.Err() == nil {
				results[i], errs[i] = client.StepAt(f.ctx, n.url, trainer, 2, requested)
				if errs[i] == nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	tasks.Wait()
	complete := f.awaitStep(checker, second, 2, 1)
	for i, got := range results {
		if errs[i] != nil || got.Summary() != complete.Summary() {
			t.Errorf("%s: got %v, %v; want %v", f.nodes[i].name, got.Summary(), errs[i], complete.Summary())
		}
	}
	f.awaitStep(checker, f.requestStep(3), 3, 1)
}

// TestEndToEnd runs quotes, a non-idempotent call and a trainer through a fleet of the
// users' size, eight nodes, then sends SIGTERM to all of them.
func TestEndToEnd(t *testing.T) {
	size := userSize
	size.Heartbeat = 200 * time.Millisecond
	f := startFleet(t, size)
	f.apply(testDeclaration)
	callers := f.startQuoteCallers(8)
	checker := newStepChecker()
	for step := range uint64(3) {
		f.awaitStep(checker, f.requestStep(step+1), step+1, 1)
	}
	if answered := f.sendEverywhere("one-bill"); answered != 1 || f.runs("one-bill") != 1 {
		t.Errorf("answered %d times, ran %d times", answered, f.runs("one-bill"))
	}
	f.eventually("callers are served", func() bool { return callers.completedCount() > 100 })
	callers.finish(t, 100)
	f.stopAllInFlight()
}
