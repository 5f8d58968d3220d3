package batch

import (
	"errors"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
)

// TestNodeWithoutNotifications reads, continues and ends a batch through a node that
// was not notified of it: the node asks a hub and needs no call of the store, and it
// follows the batch to its next keeper.
func TestNodeWithoutNotifications(t *testing.T) {
	c, store := newCluster(), memory.New()
	engine := newJudge()
	engine.hold("late")
	hub := newKeeper(t, c, store, engine, "hub")
	outside := startKeeper(t, clusterPeers{cluster: c, name: "outside", outside: true}, store, engine)
	acceptAt(t, hub, "s", "i0", "late")
	readUntil(t, hub, "s", 0)
	before := store.Calls()
	page, err := outside.Read(t.Context(), "s", 0, 0)
	check.Equal(t, "error", err, nil)
	check.Equal(t, "results", page.Next, 1)
	body, err := outside.Body(t.Context(), "s", "late")
	check.Equal(t, "body", string(body), "body of late")
	check.Equal(t, "error reading the body", err, nil)
	check.Equal(t, "calls of the store", store.Calls()-before, 0)
	if _, err := outside.Read(t.Context(), "none", 0, 0); !errors.Is(err, ErrUnknown) {
		t.Errorf("unknown batch: %v, want %v", err, ErrUnknown)
	}

	next := newKeeper(t, c, store, engine, "next")
	c.setDead("hub", true)
	hub.Close()
	engine.release("late")
	page = readUntil(t, outside, "s", 1)
	check.Equal(t, "results after the takeover", len(page.Results), 2)
	check.Equal(t, "error of the end", outside.End(t.Context(), "s"), nil)
	check.Equal(t, "ended at the keeper", next.Dump()[0].Ended, true)
}
