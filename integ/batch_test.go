package integ

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/platform/fake"
)

// siteTimeout limits a test with edge processes.
const siteTimeout = 40 * time.Second

func checkStatus(t testing.TB, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: status %d, want %d", what, got, want)
	}
}

func TestEdgeNoFaults(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	for i, h := range s.hosts {
		status, body := s.send(http.MethodPost, h.callerAddress, plainPath+"x", fmt.Sprintf("r%d", i), []byte("hello"))
		checkStatus(t, "a plain request", status, http.StatusOK)
		if string(body) != "answer to hello" {
			t.Errorf("got %q", body)
		}
		checkStatus(t, "an unknown path", s.status(h, h.callerAddress, "/nowhere/"), http.StatusNotFound)
		checkStatus(t, "an unknown batch", s.status(h, h.callerAddress, "/currantloft/lots/none"), http.StatusNotFound)
		checkStatus(t, "a bad batch", s.submit(h, "bad", []byte("{")), http.StatusBadRequest)
	}
	checkStatus(t, "a batch", s.submit(s.hosts[0], "b1", newBatchBody("b1", 4, 1)), http.StatusAccepted)
	checkStatus(t, "the same batch at another host", s.submit(s.hosts[1], "b1", newBatchBody("b1", 4, 1)), http.StatusAccepted)
	status, body := s.send(http.MethodGet, s.hosts[2].callerAddress, "/currantloft/items/b1?id=b1-0-0", "", nil)
	checkStatus(t, "an item's body", status, http.StatusOK)
	if string(body) != "body of b1-0-0" {
		t.Errorf("got %q", body)
	}
	history := newResultHistory()
	s.readComplete("b1", history, 12, 1)
	checkStatus(t, "ending the batch", s.endBatch("b1"), http.StatusOK)
	checkStatus(t, "ending the batch again", s.endBatch("b1"), http.StatusOK)
	s.readComplete("b1", history, 12, 1)
}

// TestEdgeNotReadyWithoutEndpoints starts a host that can't list the endpoints: it
// must not count as ready, and once it does, it must answer requests.
func TestEdgeNotReadyWithoutEndpoints(t *testing.T) {
	s := newSite(t, 1, siteTimeout)
	h := s.hosts[0]
	s.kill(h)
	s.store.Memory.SetFaults(memory.Faults{FailLists: "servers"})
	s.start(h)
	s.eventually("the host has the configuration", func() bool {
		status, _ := s.send(http.MethodPost, h.callerAddress, plainPath+"x", "r0", []byte("hello"))
		return status == http.StatusServiceUnavailable
	})
	checkStatus(t, "readiness without endpoints", s.status(h, h.readyAddress, "/currantloft/readyz"), http.StatusServiceUnavailable)
	s.store.Memory.SetFaults(memory.Faults{})
	s.eventually("the host is ready", func() bool {
		return s.status(h, h.readyAddress, "/currantloft/readyz") == http.StatusOK
	})
	status, _ := s.send(http.MethodPost, h.callerAddress, plainPath+"x", "r1", []byte("hello"))
	checkStatus(t, "a request to the ready host", status, http.StatusOK)
}

// TestEdgeBadInput sends malformed requests: each gets a status and an error text,
// none runs, and the host continues to serve.
func TestEdgeBadInput(t *testing.T) {
	s := newSite(t, 1, siteTimeout)
	cases := map[string]struct {
		header, value string
		body          []byte
		want          int
	}{
		"headers above the limit": {header: "Filler", value: strings.Repeat("x", 17<<10), want: http.StatusRequestHeaderFieldsTooLarge},
		"a body above the limit":  {body: make([]byte, 1<<20+1), want: http.StatusRequestEntityTooLarge},
		"a malformed deadline":    {header: "Deadline-Ms", value: "soon", want: http.StatusBadRequest},
		"a malformed event id":    {header: "Last-Event-Id", value: "one", want: http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.hosts[0].callerAddress+plainPath+"x", bytes.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Host = routeHostname
			request.Header.Set("Attempt-Id", "bad")
			if c.header != "" {
				request.Header.Set(c.header, c.value)
			}
			response, err := s.client.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			checkStatus(t, name, response.StatusCode, c.want)
			var answer struct {
				Error string `json:"error"`
			}
			if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.Error == "" {
				t.Errorf("the error response has no error text: %v", err)
			}
		})
	}
	status, _ := s.send(http.MethodPost, s.hosts[0].callerAddress, plainPath+"x", "good", []byte("hello"))
	checkStatus(t, "a good request afterwards", status, http.StatusOK)
	for _, run := range s.plains[0].Runs() {
		if run.ID == "bad" {
			t.Error("a malformed request ran")
		}
	}
}

// endBatch ends a batch at the last host.
func (s *site) endBatch(id string) int {
	status, _ := s.send(http.MethodDelete, s.hosts[len(s.hosts)-1].callerAddress, "/currantloft/lots/"+id, "", nil)
	return status
}

// TestEdgeLostAnswerAtAccept loses the store's answers while a batch is submitted:
// the batch is accepted exactly once, even if the trainer got an error.
func TestEdgeLostAnswerAtAccept(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	s.store.Memory.SetFaults(memory.Faults{LoseAnswers: 3})
	s.submitUntilAccepted("b1", newBatchBody("b1", 3, 1))
	s.readComplete("b1", newResultHistory(), 9, 1)
	if heads := s.store.Memory.Names("batch-heads"); len(heads) != 1 {
		t.Errorf("batch heads %v, want one", heads)
	}
}

// TestEdgeRefusedBatchNeverRuns submits a batch while the store refuses all calls:
// the batch must be rejected, and none of its items may run later.
func TestEdgeRefusedBatchNeverRuns(t *testing.T) {
	s := newSite(t, 2, siteTimeout)
	s.store.Memory.SetFaults(memory.Faults{Refuse: true})
	for _, h := range s.hosts {
		if status := s.submit(h, "b1", newBatchBody("b1", 2, 1)); status == http.StatusAccepted {
			t.Errorf("%s accepted a batch that can't be stored durably", h.name)
		}
	}
	s.store.Memory.SetFaults(memory.Faults{})
	s.submitUntilAccepted("b2", newBatchBody("b2", 2, 1))
	s.readComplete("b2", newResultHistory(), 6, 1)
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if run.ID[:2] == "b1" {
				t.Errorf("item %s of a refused batch ran", run.ID)
			}
		}
	}
}

// TestEdgeKeeperKilled kills three of four hosts while a batch runs: the last
// one completes it and preserves the order of the results that were read
// before.
func TestEdgeKeeperKilled(t *testing.T) {
	s := newSite(t, 4, siteTimeout)
	s.submitUntilAccepted("b1", newBatchBody("b1", 20, 1))
	history := newResultHistory()
	page, _ := s.readResults(s.hosts[0], "b1", 0)
	history.check(t, page, 0, 1)
	for _, h := range s.hosts[:3] {
		s.kill(h)
	}
	s.hosts = s.hosts[3:]
	s.readComplete("b1", history, 60, 1)
}

// TestEdgeAllKilled kills all hosts while a batch runs and starts them again: the
// batch completes and its results stay in the same order.
func TestEdgeAllKilled(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	s.submitUntilAccepted("b1", newBatchBody("b1", 12, 1))
	history := newResultHistory()
	page, _ := s.readResults(s.hosts[0], "b1", 0)
	history.check(t, page, 0, 1)
	for _, h := range s.hosts {
		s.kill(h)
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	s.readComplete("b1", history, 36, 1)
}

// TestEdgeFrozenKeeper suspends two of three hosts, among them the keeper of a
// batch, the host that owns it, and resumes them after the third has taken
// over: both keepers may write results, but readers see a single order.
func TestEdgeFrozenKeeper(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	s.submitUntilAccepted("b1", newBatchBody("b1", 20, 1))
	history := newResultHistory()
	for _, h := range s.hosts[:2] {
		h.signal(syscall.SIGSTOP)
	}
	all := s.hosts
	s.hosts = s.hosts[2:]
	s.eventually("the running host returns some results", func() bool {
		page, status := s.readResults(s.hosts[0], "b1", 0)
		history.check(t, page, 0, 1)
		return status == http.StatusOK && len(page.Results) > 0
	})
	for _, h := range all {
		h.signal(syscall.SIGCONT)
	}
	s.hosts = all
	s.readComplete("b1", history, 60, 1)
}

// TestEdgeItemsResume cuts each engine's streams after one event: items of a batch
// are resumed after the events already received.
func TestEdgeItemsResume(t *testing.T) {
	s := newSite(t, 2, siteTimeout)
	for _, e := range s.engines {
		e.BreakAfter(1)
	}
	s.submitUntilAccepted("b1", newBatchBody("b1", 2, 1))
	s.readComplete("b1", newResultHistory(), 6, 1)
	resumed := false
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			resumed = resumed || run.After >= 0
		}
	}
	if !resumed {
		t.Error("no run was resumed after the events already received")
	}
}

// TestEdgeStreamResumes cuts the engines' streams after each event: the caller's
// stream is resumed on another endpoint and arrives complete in one response.
func TestEdgeStreamResumes(t *testing.T) {
	s := newSite(t, 2, siteTimeout)
	for _, e := range s.engines {
		e.BreakAfter(1)
	}
	for i := range 6 {
		id := fmt.Sprint("talk-", i)
		status, body := s.send(http.MethodPost, s.hosts[i%2].callerAddress, streamPath+"x", id, []byte("x"))
		checkStatus(t, "a stream", status, http.StatusOK)
		checkStream(t, id, body)
	}
}

// TestEdgeErrorTextWithinStream lets the engines end each stream with the text of an error
// after an event: neither the callers' streams nor the texts of items may hold it.
func TestEdgeErrorTextWithinStream(t *testing.T) {
	s := newSite(t, 2, siteTimeout)
	for _, e := range s.engines {
		e.ErrorAfter(2)
	}
	s.submitUntilAccepted("b1", newBatchBody("b1", 1, 1))
	for i := range 6 {
		id := fmt.Sprint("talk-", i)
		status, body := s.send(http.MethodPost, s.hosts[i%2].callerAddress, streamPath+"x", id, []byte("x"))
		checkStatus(t, "a stream", status, http.StatusOK)
		checkStream(t, id, body)
	}
	s.readComplete("b1", newResultHistory(), 3, 1)
}

// checkStream compares a complete stream with the expected events of a request.
func checkStream(t testing.TB, id string, body []byte) {
	t.Helper()
	var want strings.Builder
	for n := range fake.EventCount(id) {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, fake.Event(id, n))
	}
	if string(body) != want.String() {
		t.Errorf("stream %s is %q, want %q", id, body, want.String())
	}
}

// TestEdgeFailingItems checks that an item is abandoned after as many attempts as
// the route allows, and after one if its status must not be retried.
func TestEdgeFailingItems(t *testing.T) {
	for status, wantRuns := range map[int]int{http.StatusInternalServerError: 3, http.StatusUnprocessableEntity: 1} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			s := newSite(t, 2, siteTimeout)
			for _, e := range s.engines {
				e.FailWith(status)
			}
			s.submitUntilAccepted("b1", newBatchBody("b1", 1, 1))
			s.readComplete("b1", newResultHistory(), 3, 1)
			runs := make(map[string]int)
			for _, e := range s.engines {
				for _, run := range e.Runs() {
					runs[run.ID]++
				}
			}
			for item, n := range runs {
				if n != wantRuns {
					t.Errorf("item %s ran %d times, want %d", item, n, wantRuns)
				}
			}
		})
	}
}

// TestEdgeVersions switches to new model versions between batches and kills hosts:
// no two hosts may send orders with the same epoch.
func TestEdgeVersions(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	for version := 2; version <= 4; version++ {
		s.putObject("versions", testModel, map[string]any{"model": testModel, "version": version})
		id := fmt.Sprintf("b%d", version)
		s.submitUntilAccepted(id, newBatchBody(id, 4, version))
		s.readComplete(id, newResultHistory(), 12, version)
		if version == 3 {
			for _, h := range s.hosts[:2] {
				s.kill(h)
			}
			s.hosts = s.hosts[2:]
		}
	}
	holders := make(map[string]string)
	for _, e := range s.engines {
		for _, order := range e.Orders() {
			var holder, model string
			var epoch, version int
			if _, err := fmt.Sscanf(splitOrder(order), "%s %d %s %d", &holder, &epoch, &model, &version); err != nil {
				t.Fatal(err)
			}
			key := fmt.Sprint(epoch)
			if before, ok := holders[key]; ok && before != holder {
				t.Errorf("%s and %s sent orders with the same epoch %d", before, holder, epoch)
			}
			holders[key] = holder
		}
	}
}

// TestEdgeOrderCarriedOutLate delays orders at the engines until another host has
// had a newer version loaded: a late order must not return an endpoint to the
// older version.
func TestEdgeOrderCarriedOutLate(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	setVersion := func(version int) {
		s.putObject("versions", testModel, map[string]any{"model": testModel, "version": version})
	}
	const delay = 6 * time.Second
	for _, e := range s.engines {
		e.DelayOrders(delay)
	}
	setVersion(2)
	s.eventually("an order is delayed", func() bool { return delayedOrders(s) > 0 })
	// The next order sender has no record of the delayed orders.
	for _, e := range s.engines {
		e.DelayOrders(0)
	}
	for _, h := range s.hosts[:2] {
		s.kill(h)
	}
	s.hosts = s.hosts[2:]
	setVersion(3)
	s.submitUntilAccepted("b1", newBatchBody("b1", 4, 3))
	s.readComplete("b1", newResultHistory(), 12, 3)
	s.eventually("no delayed order is pending", func() bool { return delayedOrders(s) == 0 })
	s.submitUntilAccepted("b2", newBatchBody("b2", 4, 3))
	s.readComplete("b2", newResultHistory(), 12, 3)
	for i, e := range s.engines {
		last := 0
		for _, loaded := range e.Versions() {
			var version int
			if _, err := fmt.Sscanf(loaded, testModel+"/%d", &version); err != nil {
				t.Fatal(err)
			}
			if version < last {
				t.Errorf("engine %d loaded %v, an older version after a newer one", i, e.Versions())
			}
			last = version
		}
	}
}

// delayedOrders returns the number of delayed orders that are still pending at the
// engines.
func delayedOrders(s *site) int {
	n := 0
	for _, e := range s.engines {
		n += e.DelayedOrders()
	}
	return n
}

func splitOrder(order string) string {
	out := []byte(order)
	for i := range out {
		if out[i] == '/' {
			out[i] = ' '
		}
	}
	return string(out)
}

// TestEdgeDrainsOnSIGTERM sends SIGTERM to a host while a batch runs and callers may
// still have its address: the host drains, then exits with code 0.
func TestEdgeDrainsOnSIGTERM(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	s.submitUntilAccepted("b1", newBatchBody("b1", 20, 1))
	leaving := s.hosts[0]
	leaving.signal(syscall.SIGTERM)
	s.eventually("the leaving host is no longer ready", func() bool {
		return s.status(leaving, leaving.readyAddress, "/currantloft/readyz") != http.StatusOK
	})
	s.eventually("name resolution no longer returns the leaving host", func() bool {
		for _, address := range s.addresses(s.hosts[1]) {
			if address == leaving.callerAddress {
				return false
			}
		}
		return true
	})
	status, _ := s.send(http.MethodPost, leaving.callerAddress, plainPath+"x", "late", []byte("hello"))
	checkStatus(t, "a request of a caller that still has its address", status, http.StatusOK)
	s.hosts = s.hosts[1:]
	s.readComplete("b1", newResultHistory(), 60, 1)
	<-leaving.ended()
	if code := leaving.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the leaving host exited with code %d", code)
	}
}

// TestEdgeConfigWithoutWatchEvents changes the configuration while the store's watches
// deliver no events: it must still be in force at all hosts within 2 s.
func TestEdgeConfigWithoutWatchEvents(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	config := siteConfig(2)
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "new", "hostname": routeHostname, "path_prefix": "/new/", "route_type": "idempotent",
		"timeout_ms": 2000, "max_attempts": 2, "service": plainPool,
	})
	s.store.Memory.SetFaults(memory.Faults{NoChanges: true})
	s.putObject("config", "main", config)
	changed := time.Now()
	for _, h := range s.hosts {
		s.eventually(h.name+" has the new route", func() bool { return s.status(h, h.callerAddress, "/new/x") == http.StatusOK })
	}
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("in force everywhere after %v, want 2 s", took)
	}
}
