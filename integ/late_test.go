package integ

import (
	"net/http"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
)

// TestItemsStopThoughEndIsUnknown ends a batch whose items fail and start again all the
// time, so that no host gets the message of the end or lists it: no item may reach an
// endpoint later than the platform's bound.
func TestItemsStopThoughEndIsUnknown(t *testing.T) {
	const bound = 3 * time.Second
	s := newSite(t, 10, siteTimeout)
	for _, e := range s.engines {
		e.FailWith(http.StatusBadGateway)
	}
	s.submitUntilAccepted("b1", newBatchBody("b1", 12, 1))
	arrivals := func() (n int, last time.Time) {
		for _, e := range s.engines {
			for _, run := range e.Runs() {
				n++
				if run.At.After(last) {
					last = run.At
				}
			}
		}
		return n, last
	}
	s.eventually("items have started again", func() bool { n, _ := arrivals(); return n > 72 })
	s.store.Memory.SetFaults(memory.Faults{FailLists: "batch-ends"})
	if _, err := s.store.Memory.Create(t.Context(), "batch-ends", "b1", []byte(`{"ended_ms":1}`)); err != nil {
		t.Fatal(err)
	}
	endedAt := time.Now()
	s.eventually("the bound has long passed", func() bool { return time.Since(endedAt) > 2*bound })
	n, last := arrivals()
	if late := last.Sub(endedAt); late >= bound {
		t.Errorf("of %d requests the last one reached an endpoint %v after the end", n, late)
	}
	t.Logf("%d requests, the last one %v after the end", n, last.Sub(endedAt))
}
