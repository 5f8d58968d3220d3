package integ

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/platform/fake"
)

// drainBound is the users' bound: later than this after a host has passed on an answer that
// says so, no request reaches the endpoint from it.
const drainBound = 2 * time.Second

// checkDrained checks that no request has begun to run at an endpoint later than drainBound
// after it began to leave.
func checkDrained(t *testing.T, e *fake.Engine, left time.Time) {
	t.Helper()
	for _, at := range e.Arrivals() {
		if late := at.Sub(left); late > drainBound {
			t.Errorf("a request reached the endpoint %v after it had said that it leaves", late)
			return
		}
	}
}

// TestLeavingEndpointGetsRequestsOfHostsWithoutStore lets endpoints leave while no host
// reaches the store: only their answers say so.
func TestLeavingEndpointGetsRequestsOfHostsWithoutStore(t *testing.T) {
	t.Run("one of each service", func(t *testing.T) {
		s := newSite(t, 4, siteTimeout)
		checkStatus(t, "the batch", s.submit(s.hosts[0], "b1", newBatchBody("b1", 4, 1)), http.StatusAccepted)
		s.store.Memory.SetFaults(memory.Faults{Unresponsive: true})
		left := time.Now()
		s.engines[0].SayLeaving()
		s.plains[0].SayLeaving()
		// A stream of the endpoint that leaves goes on to its end.
		for n := range 200 {
			h := s.hosts[n%4]
			s.send(http.MethodPost, h.callerAddress, plainPath+"x", fmt.Sprint("p", n), []byte("x"))
			id, p := fmt.Sprint("talk-", n), &pieces{software: make(map[string]bool)}
			if n%5 == 0 {
				s.stream(h, id, id, p, func() {})
				if p.next != fake.EventCount(id) {
					t.Errorf("stream %s got %d of %d events", id, p.next, fake.EventCount(id))
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(drainBound)
		all := s.firstTries("late", s.hosts, 20)
		if all.served != all.tried {
			t.Errorf("%d of %d requests served", all.served, all.tried)
		}
		checkDrained(t, s.engines[0], left)
		checkDrained(t, s.plains[0], left)
		s.store.Memory.SetFaults(memory.Faults{})
		s.readComplete("b1", newResultHistory(), 12, 1)
		checkDrained(t, s.engines[0], left)
	})
	t.Run("all of a service", func(t *testing.T) {
		s := newSite(t, 2, siteTimeout)
		for _, e := range s.plains {
			e.SayLeaving()
		}
		s.firstTries("told", s.hosts, 4)
		started := time.Now()
		status, _ := s.send(http.MethodPost, s.hosts[0].callerAddress, plainPath+"x", "none", []byte("x"))
		checkStatus(t, "a request that nobody takes", status, http.StatusServiceUnavailable)
		checkTook(t, "the refusal", started, refusalBound)
	})
}
