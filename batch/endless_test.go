package batch

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
)

// endlessEngine sends numbered events without end in the first run. To end a failing
// test, it stops after a limit.
type endlessEngine struct {
	instantEngine
	runs, sent atomic.Int64
}

const (
	endlessEventBytes = 64 << 10
	endlessLimit      = 64 << 20
)

func (e *endlessEngine) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	if e.runs.Add(1) > 1 {
		return e.instantEngine.Send(ctx, target, request)
	}
	return relay.Answer{Status: 200, Signed: true, Streamed: true, Version: 1, Body: io.NopCloser(strings.NewReader("endless"))}
}

func (e *endlessEngine) ReadEvents(body io.Reader, emit func(Event) error) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if string(text) != "endless" {
		return emit(Event{ID: 0, Data: string(text)})
	}
	for id := 0; e.sent.Load() < endlessLimit; id++ {
		if err := emit(Event{ID: id, Data: strings.Repeat("a", endlessEventBytes)}); err != nil {
			return err
		}
		e.sent.Add(endlessEventBytes)
	}
	return errors.New("the limit of the test is reached")
}

// TestEndlessItem checks that a run whose text has no end is given up when its text
// could not be stored any more, and that the item starts anew elsewhere.
func TestEndlessItem(t *testing.T) {
	engine := &endlessEngine{}
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	acceptAt(t, k, "s", "i0")
	result := readUntil(t, k, "s", 0).Results[0]
	check.Equal(t, "result", result, Result{Item: "i0", Text: "i0", Versions: []int{1}})
	if sent := engine.sent.Load(); sent > int64(k.deps.ValueBytes) {
		t.Errorf("%d bytes were taken, want at most %d", sent, k.deps.ValueBytes)
	}
}
