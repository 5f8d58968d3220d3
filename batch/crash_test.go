package batch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/routes"
)

// manyCrashes is more crashes than a request would survive.
const manyCrashes = 6

// crashingEngine crashes during the first runs of an item: before the first event
// of the early one, and after an event of the late one.
type crashingEngine struct {
	instantEngine
	early, late string
	crashes     int

	mu   sync.Mutex
	runs map[string]int
}

func (e *crashingEngine) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	e.mu.Lock()
	e.runs[request.ID]++
	n := e.runs[request.ID]
	e.mu.Unlock()
	switch {
	case request.ID == e.early && n <= e.crashes:
		return relay.Lost{Cause: io.ErrUnexpectedEOF}
	case request.ID == e.late && n <= e.crashes:
		return relay.Answer{
			Status: 200, Signed: true, Streamed: true, Version: 1,
			Body: io.NopCloser(strings.NewReader(fmt.Sprint(request.LastEventID + 1))),
		}
	default:
		return e.instantEngine.Send(ctx, target, request)
	}
}

// ReadEvents emits one event; the stream of the late item breaks off after it.
func (e *crashingEngine) ReadEvents(body io.Reader, emit func(Event) error) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	n := 0
	if _, err := fmt.Sscan(string(text), &n); err == nil {
		if err := emit(Event{ID: n, Data: "part"}); err != nil {
			return err
		}
		return io.ErrUnexpectedEOF
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if string(text) == e.late {
		n = e.runs[e.late] - 1
	}
	return emit(Event{ID: n, Data: string(text)})
}

// crashingKeeper starts a keeper whose engines crash. It has enough endpoints that
// some are not paused after a crash.
func crashingKeeper(t *testing.T, crashes int) (*Keeper, *crashingEngine) {
	t.Helper()
	engine := &crashingEngine{early: "early", late: "late", crashes: crashes, runs: make(map[string]int)}
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	for i := range 12 {
		k.deps.Fleet.Put(fleet.Entry{
			ID: fmt.Sprint("e", i), Service: "pool", Address: "x:1", Slots: 16, Versions: map[string]int{testModel: 1},
		})
	}
	return k, engine
}

// TestItemOwedAfterCrashes checks that items complete although more endpoints crash
// under them than a request may crash.
func TestItemOwedAfterCrashes(t *testing.T) {
	k, engine := crashingKeeper(t, manyCrashes)
	acceptAt(t, k, "s", "normal", "early", "late")
	failures := make(map[string]bool)
	for _, result := range readUntil(t, k, "s", 2).Results {
		failures[result.Item] = result.Failed
	}
	check.Equal(t, "failed items", failures, map[string]bool{"normal": false, "early": false, "late": false})
	engine.mu.Lock()
	defer engine.mu.Unlock()
	check.Equal(t, "runs of the early item", engine.runs["early"], manyCrashes+1)
}

// TestItemWithoutEndToCrashes checks that an item whose endpoints always crash stays
// open, does not hold up other items, and is tried less and less often.
func TestItemWithoutEndToCrashes(t *testing.T) {
	k, engine := crashingKeeper(t, 1000)
	started := time.Now()
	acceptAt(t, k, "s", "normal", "early")
	readUntil(t, k, "s", 0)
	time.Sleep(2 * time.Second)
	page, err := k.Read(t.Context(), "s", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	check.Equal(t, "results", page.Next, 1)
	check.Equal(t, "first result", page.Results[0].Item, "normal")
	engine.mu.Lock()
	defer engine.mu.Unlock()
	// The pause after each run is 30 ms longer than the one before it.
	maxRuns := 1
	for pauses := 30 * time.Millisecond; pauses <= time.Since(started); maxRuns++ {
		pauses += time.Duration(maxRuns+1) * 30 * time.Millisecond
	}
	if runs := engine.runs["early"]; runs <= manyCrashes || runs > maxRuns {
		t.Errorf("the item ran %d times, want %d to %d", runs, manyCrashes+1, maxRuns)
	}
}

// versionedEngine answers with the weight version of its endpoint. It crashes after
// the first event of the first run.
type versionedEngine struct {
	mu      sync.Mutex
	runs    int
	crashed chan struct{}
}

func (e *versionedEngine) Send(_ context.Context, target fleet.Target, request relay.Request) relay.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs++
	version := 2
	if target.ID() == "e" {
		version = 1
	}
	return relay.Answer{
		Status: 200, Signed: true, Streamed: true, Version: version,
		Body: io.NopCloser(strings.NewReader(fmt.Sprint(e.runs, request.LastEventID+1))),
	}
}

func (e *versionedEngine) ReadEvents(body io.Reader, emit func(Event) error) error {
	var run, first int
	if _, err := fmt.Fscan(body, &run, &first); err != nil {
		return err
	}
	if err := emit(Event{ID: first, Data: fmt.Sprint("event ", first)}); err != nil {
		return err
	}
	if run == 1 {
		close(e.crashed)
		return io.ErrUnexpectedEOF
	}
	return nil
}

// TestItemOwedAfterItsVersionIsGone checks that an item which may have only one
// version is generated anew if no endpoint has the version of its partial output.
func TestItemOwedAfterItsVersionIsGone(t *testing.T) {
	engine := &versionedEngine{crashed: make(chan struct{})}
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	table := routes.NewTable(1, []routes.Route{{
		Host: "h", Prefix: "/b/", Kind: routes.Rollout, Shares: []routes.Share{{Service: "pool", Weight: 1}},
		MaxAttempts: 3, MaxQueue: time.Minute, ResultDeadline: testLimit, SingleVersion: true,
	}}, nil, nil, routes.Limits{})
	k.deps.Routes = func() *routes.Table { return table }
	acceptAt(t, k, "s", "i0")
	select {
	case <-engine.crashed:
	case <-time.After(testLimit):
		t.Fatal("the item did not run")
	}
	k.deps.Fleet.Remove("e", 0)
	k.deps.Fleet.Put(fleet.Entry{ID: "e2", Service: "pool", Address: "x:1", Slots: 16, Versions: map[string]int{testModel: 2}})
	result := readUntil(t, k, "s", 0).Results[0]
	check.Equal(t, "result", result, Result{Item: "i0", Text: "event 0", Versions: []int{2}})
}

func TestVersionUnavailable(t *testing.T) {
	entry := func(version int) fleet.Entry {
		return fleet.Entry{ID: "e", Service: "pool", Slots: 1, Versions: map[string]int{testModel: version}}
	}
	for name, tc := range map[string]struct {
		states []fleet.State
		want   bool
	}{
		"served":                       {[]fleet.State{{Entry: entry(3)}, {Entry: entry(4)}}, false},
		"endpoint is full":             {[]fleet.State{{Entry: entry(3), Full: true}, {Entry: entry(4)}}, false},
		"endpoint is busy":             {[]fleet.State{{Entry: entry(3), OwnInFlight: 1}, {Entry: entry(4)}}, false},
		"endpoint is paused":           {[]fleet.State{{Entry: entry(3), Paused: true}, {Entry: entry(4)}}, true},
		"endpoint changes its version": {[]fleet.State{{Entry: entry(3), ChangingModel: testModel}, {Entry: entry(4)}}, true},
		"only another version":         {[]fleet.State{{Entry: entry(4)}}, true},
		"other endpoint is full":       {[]fleet.State{{Entry: entry(4), Full: true}}, true},
		"other endpoint is paused":     {[]fleet.State{{Entry: entry(4), Paused: true}}, false},
		"other version is too old":     {[]fleet.State{{Entry: entry(1)}}, false},
		"no endpoint":                  {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := WaitingItem{Model: testModel, MinVersion: 2, PinnedVersion: 3}
			check.Equal(t, "unavailable", w.versionUnavailable(tc.states), tc.want)
			w.PinnedVersion = 0
			check.Equal(t, "unavailable without a pinned version", w.versionUnavailable(tc.states), false)
		})
	}
}

// TestItemWaitsForItsSoftware checks how long partial output waits for an endpoint that
// may continue it before the item is generated anew.
func TestItemWaitsForItsSoftware(t *testing.T) {
	entry := func(software string) fleet.Entry {
		return fleet.Entry{
			ID: "e", Service: "pool", SoftwareVersion: software, Slots: 1, Versions: map[string]int{testModel: 3},
		}
	}
	const second = time.Second
	for name, tc := range map[string]struct {
		states       []fleet.State
		regeneration time.Duration
		restarts     int
		want         time.Duration
		stuck        bool
	}{
		"served":                        {[]fleet.State{{Entry: entry("v1")}, {Entry: entry("v2")}}, second, 0, 0, false},
		"its version is gone":           {[]fleet.State{{Entry: entry("v2")}}, second, 0, minRestartDelay, true},
		"its version has crashed":       {[]fleet.State{{Entry: entry("v1"), Paused: true}, {Entry: entry("v2")}}, second, 0, second, true},
		"its version has crashed, long": {[]fleet.State{{Entry: entry("v1"), Paused: true}, {Entry: entry("v2")}}, 9 * second, 0, maxRestartDelay, true},
		"its version is full, short":    {[]fleet.State{{Entry: entry("v1"), OwnInFlight: 1}, {Entry: entry("v2")}}, 0, 0, minRestartDelay, true},
		"its version takes no requests": {[]fleet.State{{Entry: entry("v1"), Limited: true}, {Entry: entry("v2")}}, second, 0, second, true},
		"all are full":                  {[]fleet.State{{Entry: entry("v1"), OwnInFlight: 1}, {Entry: entry("v2"), OwnInFlight: 1}}, second, 0, 0, false},
		"its version is not stated":     {[]fleet.State{{Entry: entry("")}, {Entry: entry("v2")}}, second, 0, minRestartDelay, true},
		"no endpoint":                   {nil, second, 0, 0, false},
		"after a restart":               {[]fleet.State{{Entry: entry("v1"), Paused: true}, {Entry: entry("v2")}}, 0, 1, second, true},
		"after many restarts":           {[]fleet.State{{Entry: entry("v1"), Paused: true}, {Entry: entry("v2")}}, 0, 9, maxRestartDelay, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := WaitingItem{Model: testModel, MinVersion: 2, Software: "pool/v1"}
			got, stuck := w.restartDelay(tc.states, tc.regeneration, tc.restarts)
			check.Equal(t, "stuck", stuck, tc.stuck)
			check.Equal(t, "delay", got, tc.want)
		})
	}
}
