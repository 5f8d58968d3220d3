package batch

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
)

// fragile crashes under some items: before an event, or after one each time.
type fragile struct {
	instant
	poison, unlucky string

	mu   sync.Mutex
	runs map[string]int
}

func (e *fragile) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	e.mu.Lock()
	e.runs[request.ID]++
	n := e.runs[request.ID]
	e.mu.Unlock()
	switch {
	case request.ID == e.poison:
		return relay.Lost{Cause: io.ErrUnexpectedEOF}
	case request.ID == e.unlucky && n <= 2*crashesAllowed:
		return relay.Answer{
			Status: 200, Signed: true, Streamed: true, Version: 1,
			Body: io.NopCloser(strings.NewReader(fmt.Sprint(request.After + 1))),
		}
	default:
		return e.instant.Send(ctx, target, request)
	}
}

// ReadEvents emits one event; the stream of an unlucky item ends after it.
func (e *fragile) ReadEvents(body io.Reader, emit func(Event) error) error {
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
	if string(text) == e.unlucky {
		n = e.runs[e.unlucky] - 1
	}
	return emit(Event{ID: n, Data: string(text)})
}

// TestItemsThatCrashEndpoints gives up an item under which endpoint after
// endpoint ends before its first event, and no other: one whose endpoints ended
// in the middle of it was only there.
func TestItemsThatCrashEndpoints(t *testing.T) {
	engine := &fragile{poison: "poison", unlucky: "unlucky", runs: make(map[string]int)}
	k := newKeeper(t, newRing(), shelf.New(), engine, "a")
	// An endpoint that fails again and again is passed over for seconds.
	for i := range 12 {
		k.parts.Fleet.Put(fleet.Entry{
			ID: fmt.Sprint("e", i), Service: "pool", Address: "x:1", Slots: 16, Versions: map[string]int{testModel: 1},
		})
	}
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", "calm", "poison", "unlucky")).(Kept); !ok {
		t.Fatal("not kept")
	}
	failed := make(map[string]bool)
	for _, result := range readUntil(t, k, "s", 2).Results {
		failed[result.Item] = result.Failed
	}
	check.Equal(t, "failed items", failed, map[string]bool{"calm": false, "poison": true, "unlucky": false})
	engine.mu.Lock()
	defer engine.mu.Unlock()
	check.Equal(t, "endpoints lost to the poison", engine.runs["poison"], crashesAllowed)
}
