package batch

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

// A head that can't be read, or is another batch's, must be logged once while it stays.
func TestOddHeadIsLoggedOnce(t *testing.T) {
	store := memory.New()
	heads := map[string]string{
		"b-1": `{"id":"b-1","items":3}`, "no json": "?", "null": "null", "a copy": `{"id":"b-1","items":9}`, "number": `{"id":"number","items":1e99}`,
	}
	for name, spec := range heads {
		if _, err := store.Create(t.Context(), kindHeads, name, []byte(spec)); err != nil {
			t.Fatal(err)
		}
	}
	core, logs := observer.New(zap.InfoLevel)
	k := &Keeper{deps: Deps{Store: store, Logger: zap.New(core)}, batches: make(map[string]*knownBatch)}
	for range 3 {
		check.Equal(t, "error", k.listBatches(t.Context(), object.Fresh), nil)
	}
	check.Equal(t, "batches", len(k.batches), 1)
	check.Equal(t, "items", k.batches["b-1"].head.Items, 3)
	check.Equal(t, "lines", logs.FilterMessage(event.BatchUnreadable.Name()).Len(), len(heads)-1)
}
