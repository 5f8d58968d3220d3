package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
)

// switchingEngine is an endpoint that rejects all items while it loads other
// weights, although its reported load shows free slots.
type switchingEngine struct {
	instantEngine
	fleet   *fleet.Fleet
	readyAt time.Time

	mu         sync.Mutex
	rejections int
}

func (e *switchingEngine) Send(ctx context.Context, target fleet.Target, request relay.Request) relay.Reply {
	if !time.Now().Before(e.readyAt) {
		return e.instantEngine.Send(ctx, target, request)
	}
	e.fleet.RecordLoad(target.ID(), fleet.Load{Slots: 16})
	e.mu.Lock()
	e.rejections++
	e.mu.Unlock()
	return relay.NotRun{Sent: true, Full: true, Cause: errors.New("answered 503, not run")}
}

// TestItemsWaitDuringWeightSwitch submits a step while its endpoint loads
// weights for half a second: each item may be rejected once at most, not in
// every scheduling pass.
func TestItemsWaitDuringWeightSwitch(t *testing.T) {
	const items = 8
	engine := &switchingEngine{}
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	engine.fleet, engine.readyAt = k.deps.Fleet, time.Now().Add(500*time.Millisecond)
	var names []string
	for i := range items {
		names = append(names, fmt.Sprint("i", i))
	}
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", names...)).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
	check.Equal(t, "results", len(readUntil(t, k, "s", items-1).Results), items)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.rejections > items {
		t.Errorf("%d rejections for %d items, want one per item at most", engine.rejections, items)
	}
}
