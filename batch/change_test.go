package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
)

// changing is an endpoint that refuses all items while it changes weights, and
// tells a load that has room.
type changing struct {
	instant
	fleet *fleet.Fleet
	until time.Time

	mu      sync.Mutex
	refused int
}

func (e *changing) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	if !time.Now().Before(e.until) {
		return e.instant.Send(ctx, target, request)
	}
	e.fleet.Loaded(target.ID(), fleet.Load{Slots: 16})
	e.mu.Lock()
	e.refused++
	e.mu.Unlock()
	return relay.NotRun{Sent: true, Full: true, Cause: errors.New("answered 503, not run")}
}

// TestItemsWaitForNewWeights replays a step that comes while its endpoint loads
// for half a second: each item is refused once at most, not with every look.
func TestItemsWaitForNewWeights(t *testing.T) {
	const items = 8
	engine := &changing{}
	k := newKeeper(t, newRing(), shelf.New(), engine, "a")
	engine.fleet, engine.until = k.parts.Fleet, time.Now().Add(500*time.Millisecond)
	var names []string
	for i := range items {
		names = append(names, fmt.Sprint("i", i))
	}
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", names...)).(Kept); !ok {
		t.Fatal("not kept")
	}
	check.Equal(t, "results", len(readUntil(t, k, "s", items-1).Results), items)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.refused > items {
		t.Errorf("%d refusals of %d items", engine.refused, items)
	}
}
