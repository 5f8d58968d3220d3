package batch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/relay"
)

const (
	// longOutput is the number of events in the output of a long item.
	longOutput = 60
	// haltEvent is the event at which the engine stops in the first run.
	haltEvent = 45
)

// haltingEngine generates the events before haltAt and then nothing more; a
// negative haltAt means that it generates all.
type haltingEngine struct {
	haltAt       int
	mu           sync.Mutex
	lastEventIDs []int
}

func (e *haltingEngine) Send(ctx context.Context, _ fleet.Target, request relay.Request) relay.Reply {
	e.mu.Lock()
	e.lastEventIDs = append(e.lastEventIDs, request.LastEventID)
	e.mu.Unlock()
	out, in := io.Pipe()
	go func() {
		for n := request.LastEventID + 1; n < longOutput; n++ {
			if n == e.haltAt {
				<-ctx.Done()
				break
			}
			if _, err := fmt.Fprintf(in, "%d\n", n); err != nil {
				return
			}
		}
		in.CloseWithError(ctx.Err())
	}()
	return relay.Answer{Status: http.StatusOK, Body: out, Signed: true, Streamed: true, Version: 1}
}

func (e *haltingEngine) ReadEvents(body io.Reader, emit func(Event) error) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		var n int
		if _, err := fmt.Sscan(scanner.Text(), &n); err != nil {
			return err
		}
		if err := emit(Event{ID: n, Data: scanner.Text()}); err != nil {
			return err
		}
	}
	return scanner.Err()
}

func (e *haltingEngine) firstLastEventID() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lastEventIDs) == 0 {
		return -2
	}
	return e.lastEventIDs[0]
}

// generated returns how many events of a batch's first item a keeper has.
func generated(k *Keeper, id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil {
		return 0
	}
	return len(j.items[0].texts)
}

// TestResumeFromCheckpoint stops the only node while it runs a long item: the
// next node must resume the item from the checkpoint.
func TestResumeFromCheckpoint(t *testing.T) {
	store := memory.New()
	first := newKeeper(t, newCluster(), store, &haltingEngine{haltAt: haltEvent}, "a")
	first.Accept(t.Context(), submissionOf(t, "s", "i0"))
	deadline := time.Now().Add(testLimit)
	for generated(first, "s") < haltEvent && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	before := store.Calls()
	first.saveCheckpoints(t.Context())
	first.saveCheckpoints(t.Context())
	check.Equal(t, "store calls of two saves without new events between them", store.Calls()-before, 1)
	first.Close()
	engine := &haltingEngine{haltAt: -1}
	c := newCluster()
	c.setDead("a", true)
	page := readUntil(t, newKeeper(t, c, store, engine, "b"), "s", 0)
	lines := strings.Split(page.Results[0].Text, "\n")
	check.Equal(t, "events in the result", len(lines), longOutput)
	for n, line := range lines {
		check.Equal(t, "an event", line, fmt.Sprint(n))
	}
	check.Equal(t, "last event before the resumed run", engine.firstLastEventID(), haltEvent-1)
}

// TestLoadCheckpointKeepsLongerBackup loads checkpoints over a backup: a
// checkpoint must replace the backup only if it holds more events or a complete
// result.
func TestLoadCheckpointKeepsLongerBackup(t *testing.T) {
	store := memory.New()
	k := newKeeper(t, newCluster(), store, &haltingEngine{haltAt: -1}, "a")
	save := func(complete bool, texts ...string) {
		t.Helper()
		list := []PartialOutput{{Item: "i", Texts: texts, Versions: []int{1}, Complete: complete}}
		if err := k.writeCheckpoint(t.Context(), "s", list, false); err != nil {
			t.Fatal(err)
		}
	}
	load := func() int {
		k.loadCheckpoint(t.Context(), "s")
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.partials.items["i"].texts)
	}
	k.StoreBackup([]PartialOutput{{Item: "i", Texts: []string{"0", "1"}, Versions: []int{1}}})
	check.Equal(t, "without a checkpoint", load(), 2)
	save(false, "0")
	check.Equal(t, "a shorter checkpoint", load(), 2)
	save(false, "0", "1", "2")
	check.Equal(t, "a longer checkpoint", load(), 3)
	save(true, "complete")
	check.Equal(t, "a pending result", load(), 1)
}

// TestCheckpointIncludesPendingResults checks that a checkpoint holds pending
// results beside the partial output of running items.
func TestCheckpointIncludesPendingResults(t *testing.T) {
	k := newKeeper(t, newCluster(), memory.New(), &haltingEngine{haltAt: -1}, "a")
	j := k.newJob(Head{ID: "s"}, submissionOf(t, "s", "i0", "i1"))
	j.items[0].texts = make([]string, minCheckpointEvents)
	j.results.Finish(Result{Item: "i1", Text: "a\nb", Versions: []int{1}})
	var got []string
	for _, r := range j.checkpoint(1 << 20) {
		got = append(got, fmt.Sprintf("%s %d %t", r.Item, len(r.Texts), r.Complete))
	}
	check.Equal(t, "saved items", got, []string{fmt.Sprintf("i0 %d false", minCheckpointEvents), "i1 2 true"})
	check.Equal(t, "items saved in zero bytes (i0 has empty texts)", len(j.checkpoint(0)), 1)
}
