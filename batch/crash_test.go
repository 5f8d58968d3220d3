package batch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
)

// crashingEngine crashes while it runs two items: always before the first event
// of the crasher, and several times after an event of the interrupted one.
type crashingEngine struct {
	instantEngine
	crasher, interrupted string

	mu   sync.Mutex
	runs map[string]int
}

func (e *crashingEngine) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	e.mu.Lock()
	e.runs[request.ID]++
	n := e.runs[request.ID]
	e.mu.Unlock()
	switch {
	case request.ID == e.crasher:
		return relay.Lost{Cause: io.ErrUnexpectedEOF}
	case request.ID == e.interrupted && n <= 2*maxCrashes:
		return relay.Answer{
			Status: 200, Signed: true, Streamed: true, Version: 1,
			Body: io.NopCloser(strings.NewReader(fmt.Sprint(request.LastEventID + 1))),
		}
	default:
		return e.instantEngine.Send(ctx, target, request)
	}
}

// ReadEvents emits one event; the stream of the interrupted item breaks off
// after it.
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
	if string(text) == e.interrupted {
		n = e.runs[e.interrupted] - 1
	}
	return emit(Event{ID: n, Data: string(text)})
}

// TestAbandonItemsThatCrashEndpoints checks that an item is abandoned when
// several endpoints in a row crash before its first event. An item whose
// endpoints crash after an event did not cause the crashes and must complete.
func TestAbandonItemsThatCrashEndpoints(t *testing.T) {
	engine := &crashingEngine{crasher: "crasher", interrupted: "interrupted", runs: make(map[string]int)}
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	// An endpoint that fails repeatedly is skipped for seconds, so the test needs
	// many.
	for i := range 12 {
		k.deps.Fleet.Put(fleet.Entry{
			ID: fmt.Sprint("e", i), Service: "pool", Address: "x:1", Slots: 16, Versions: map[string]int{testModel: 1},
		})
	}
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", "normal", "crasher", "interrupted")).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	failures := make(map[string]bool)
	for _, result := range readUntil(t, k, "s", 2).Results {
		failures[result.Item] = result.Failed
	}
	check.Equal(t, "failed items", failures, map[string]bool{"normal": false, "crasher": true, "interrupted": false})
	engine.mu.Lock()
	defer engine.mu.Unlock()
	check.Equal(t, "endpoints crashed by the crasher", engine.runs["crasher"], maxCrashes)
}
