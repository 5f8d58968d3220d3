package integ

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/platform/fake"
)

// slowInterval is the time between two events of sound engines that are slow. The users'
// callers wait at least two seconds for an event.
const slowInterval = 1250 * time.Millisecond

// newSlowSite starts a site whose engines take slowInterval for each event.
func newSlowSite(t *testing.T) *site {
	s := newSite(t, 3, siteTimeout)
	for _, e := range s.engines {
		e.Close()
		s.removeEndpoint(e)
	}
	s.engines = nil
	for i := range 3 {
		s.engines = append(s.engines, s.startEndpoint(fake.EngineOptions{
			ID: fmt.Sprintf("s%d", i), Service: enginePool, Models: []string{testModel}, Slots: 16, EventInterval: slowInterval,
		}))
	}
	return s
}

// runsOf returns how often the engines have begun to run a request.
func (s *site) runsOf(id string) int {
	n := 0
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// keeperOf returns the host that runs a batch's items.
func (s *site) keeperOf(id string) *host {
	s.t.Helper()
	var keeper *host
	s.eventually("a host runs batch "+id, func() bool {
		for _, h := range s.hosts {
			if slices.ContainsFunc(s.dump(h).Batches, func(j batch.JobState) bool { return j.Head.ID == id }) {
				keeper = h
			}
		}
		return keeper != nil
	})
	return keeper
}

// TestSlowStreamsAreCut runs items and a stream on engines that are slow and sound. A run
// must not be cut again and again: after a first one the engines are known to be slow.
func TestSlowStreamsAreCut(t *testing.T) {
	t.Run("items", func(t *testing.T) {
		t.Parallel()
		s := newSlowSite(t)
		checkStatus(t, "the batch", s.submit(s.hosts[0], "slow", newBatchBody("slow", 2, 1)), http.StatusAccepted)
		s.readComplete("slow", newResultHistory(), 6, 1)
		for g := range 2 {
			for i := range 3 {
				id := fmt.Sprintf("slow-%d-%d", g, i)
				if n := s.runsOf(id); n > 2 {
					t.Errorf("item %s of %d events ran %d times", id, fake.EventCount(id), n)
				}
			}
		}
	})
	t.Run("a stream", func(t *testing.T) {
		t.Parallel()
		s := newSlowSite(t)
		// The host that runs a batch's items learns from them how slow the engines are.
		checkStatus(t, "the batch", s.submit(s.hosts[0], "slow", newBatchBody("slow", 2, 1)), http.StatusAccepted)
		keeper := s.keeperOf("slow")
		s.readComplete("slow", newResultHistory(), 6, 1)
		for n := range 4 {
			id, p := fmt.Sprint("talk-", n), &pieces{software: make(map[string]bool)}
			if fake.EventCount(id) > 3 {
				continue
			}
			s.stream(keeper, id, id, p, func() {})
			// The second run is the hedge, as the first event comes late.
			if p.next != 3 || s.runsOf(id) > 2 {
				t.Errorf("stream %s got %d of 3 events in %d runs, want at most two", id, p.next, s.runsOf(id))
			}
		}
	})
}

// TestStalledStreamsNeverEnd lets an engine send only comments after an event: its items
// and streams must go on elsewhere.
func TestStalledStreamsNeverEnd(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	s.engines[0].StallAfter(1)
	started := time.Now()
	checkStatus(t, "the batch", s.submit(s.hosts[0], "stalled", newBatchBody("stalled", 4, 1)), http.StatusAccepted)
	s.readComplete("stalled", newResultHistory(), 12, 1)
	checkTook(t, "the batch", started, resultBound)
	for n := range 6 {
		id, p := fmt.Sprint("talk-", n), &pieces{software: make(map[string]bool)}
		s.stream(s.hosts[n%3], id, id, p, func() {})
		if p.next != fake.EventCount(id) {
			t.Errorf("stream %s got %d of %d events", id, p.next, fake.EventCount(id))
		}
	}
}
