package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// manyEndlessEngine sends events without end for items whose names begin with endless. For others it
// sends one event, and another one once it is released.
type manyEndlessEngine struct {
	instantEngine
	// ended counts the runs of endless items that have ended.
	ended    atomic.Int64
	released chan struct{}
	// observe is called after each event without end.
	observe func()
}

func (e *manyEndlessEngine) ReadEvents(body io.Reader, emit func(Event) error) error {
	name, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(name), "endless") {
		err := emit(Event{ID: 0, Data: "a"})
		<-e.released
		return errors.Join(err, emit(Event{ID: 1, Data: "b"}))
	}
	defer e.ended.Add(1)
	for id := 0; err == nil; id++ {
		err = emit(Event{ID: id, Data: strings.Repeat("a", 4<<10)})
		e.observe()
	}
	return err
}

// TestEndlessItemsTogether checks that texts without an end take no more memory together than is
// set aside, each being shorter than what can be stored, and that shorter texts are kept.
func TestEndlessItemsTogether(t *testing.T) {
	const limit, endless = 1 << 20, 8
	engine := &manyEndlessEngine{released: make(chan struct{})}
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	k.deps.TextBytes = limit
	var most atomic.Int64
	engine.observe = func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		sum := int64(0)
		for _, j := range k.jobs {
			for i := range j.items {
				sum += int64(textMemory(j.items[i].texts...))
			}
		}
		if total := k.textBytes(); sum != total {
			t.Errorf("texts take %d bytes, counted are %d", sum, total)
		}
		most.Store(max(most.Load(), sum))
	}
	others := []string{"other0", "other1", "other2", "other3"}
	acceptAt(t, k, "others", others...)
	var items []string
	for i := range endless {
		items = append(items, fmt.Sprint("endless", i))
	}
	acceptAt(t, k, "endless", items...)
	for deadline := time.Now().Add(testLimit); engine.ended.Load() < endless; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d runs without an end were ended", engine.ended.Load(), endless)
		}
	}
	close(engine.released)
	page := readUntil(t, k, "others", len(others)-1)
	for _, result := range page.Results {
		check.Equal(t, "text of "+result.Item, result, Result{Item: result.Item, Text: "a\nb", Versions: []int{1}})
	}
	check.Equal(t, "runs of other items", len(page.Results), len(others))
	if most := most.Load(); most > limit || most < limit/2 {
		t.Errorf("texts took up to %d bytes, want at most %d and at least half of it", most, limit)
	}
}
