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

	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/platform/stand"
)

// siteLimit is how long a test with edge processes may take.
const siteLimit = 40 * time.Second

func checkStatus(t testing.TB, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: status %d, want %d", what, got, want)
	}
}

func TestEdgeCalmPath(t *testing.T) {
	s := newSite(t, 3, siteLimit)
	for i, h := range s.hosts {
		status, body := s.send(http.MethodPost, h.callers, plainPath+"x", fmt.Sprintf("r%d", i), []byte("hello"))
		checkStatus(t, "a plain request", status, http.StatusOK)
		if string(body) != "answer to hello" {
			t.Errorf("got %q", body)
		}
		checkStatus(t, "an unknown path", s.status(h, h.callers, "/nowhere/"), http.StatusNotFound)
		checkStatus(t, "an unknown batch", s.status(h, h.callers, "/currantloft/lots/none"), http.StatusNotFound)
		checkStatus(t, "a bad batch", s.submit(h, "bad", []byte("{")), http.StatusBadRequest)
	}
	checkStatus(t, "a batch", s.submit(s.hosts[0], "b1", batchOf("b1", 4, 1)), http.StatusAccepted)
	checkStatus(t, "the same batch elsewhere", s.submit(s.hosts[1], "b1", batchOf("b1", 4, 1)), http.StatusAccepted)
	status, body := s.send(http.MethodGet, s.hosts[2].callers, "/currantloft/items/b1?id=b1-0-0", "", nil)
	checkStatus(t, "an item's body", status, http.StatusOK)
	if string(body) != "body of b1-0-0" {
		t.Errorf("got %q", body)
	}
	r := newRecord()
	s.readWhole("b1", r, 12, 1)
	checkStatus(t, "its end", s.end("b1"), http.StatusOK)
	checkStatus(t, "its end once more", s.end("b1"), http.StatusOK)
	s.readWhole("b1", r, 12, 1)
}

// TestEdgeBadInput answers what can't be read with a status and a text, and
// serves on.
func TestEdgeBadInput(t *testing.T) {
	s := newSite(t, 1, siteLimit)
	cases := map[string]struct {
		header, value string
		body          []byte
		want          int
	}{
		"headers above the limit":  {header: "Filler", value: strings.Repeat("x", 17<<10), want: http.StatusRequestHeaderFieldsTooLarge},
		"a body above the limit":   {body: make([]byte, 1<<20+1), want: http.StatusRequestEntityTooLarge},
		"a deadline without sense": {header: "Deadline-Ms", value: "soon", want: http.StatusBadRequest},
		"an event without sense":   {header: "Last-Event-Id", value: "one", want: http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.hosts[0].callers+plainPath+"x", bytes.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Host = hostName
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
				t.Errorf("the answer has no text: %v", err)
			}
		})
	}
	status, _ := s.send(http.MethodPost, s.hosts[0].callers, plainPath+"x", "good", []byte("hello"))
	checkStatus(t, "a good request afterwards", status, http.StatusOK)
	for _, run := range s.plains[0].Runs() {
		if run.ID == "bad" {
			t.Error("a request that could not be read ran")
		}
	}
}

// end ends a batch at the last host.
func (s *site) end(id string) int {
	status, _ := s.send(http.MethodDelete, s.hosts[len(s.hosts)-1].callers, "/currantloft/lots/"+id, "", nil)
	return status
}

// TestEdgeLostAnswerAtAccept loses the store's answers to a submission: it is
// kept once, whatever the trainer was told.
func TestEdgeLostAnswerAtAccept(t *testing.T) {
	s := newSite(t, 3, siteLimit)
	s.store.Shelf.SetFaults(shelf.Faults{LoseAnswers: 3})
	s.submitUntilKept("b1", batchOf("b1", 3, 1))
	s.readWhole("b1", newRecord(), 9, 1)
	if heads := s.store.Shelf.Names("batch-heads"); len(heads) != 1 {
		t.Errorf("heads %v, want one", heads)
	}
}

// TestEdgeRefusedBatchNeverRuns turns all submissions away for want of the store.
func TestEdgeRefusedBatchNeverRuns(t *testing.T) {
	s := newSite(t, 2, siteLimit)
	s.store.Shelf.SetFaults(shelf.Faults{Refuse: true})
	for _, h := range s.hosts {
		if status := s.submit(h, "b1", batchOf("b1", 2, 1)); status == http.StatusAccepted {
			t.Errorf("%s kept a batch that can't last", h.name)
		}
	}
	s.store.Shelf.SetFaults(shelf.Faults{})
	s.submitUntilKept("b2", batchOf("b2", 2, 1))
	s.readWhole("b2", newRecord(), 6, 1)
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if run.ID[:2] == "b1" {
				t.Errorf("item %s of a refused batch ran", run.ID)
			}
		}
	}
}

// TestEdgeKeeperKilled kills one host after the other while a batch runs.
func TestEdgeKeeperKilled(t *testing.T) {
	s := newSite(t, 4, siteLimit)
	s.submitUntilKept("b1", batchOf("b1", 20, 1))
	r := newRecord()
	page, _ := s.read(s.hosts[0], "b1", 0)
	r.note(t, page, 0, 1)
	for _, h := range s.hosts[:3] {
		s.kill(h)
	}
	s.hosts = s.hosts[3:]
	s.readWhole("b1", r, 60, 1)
}

// TestEdgeAllKilled kills all hosts at once and starts them again.
func TestEdgeAllKilled(t *testing.T) {
	s := newSite(t, 3, siteLimit)
	s.submitUntilKept("b1", batchOf("b1", 12, 1))
	r := newRecord()
	page, _ := s.read(s.hosts[0], "b1", 0)
	r.note(t, page, 0, 1)
	for _, h := range s.hosts {
		s.kill(h)
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	s.readWhole("b1", r, 36, 1)
}

// TestEdgeFrozenKeeper suspends the host that keeps a batch and wakes it once
// another has taken over: both write, readers see one order.
func TestEdgeFrozenKeeper(t *testing.T) {
	s := newSite(t, 3, siteLimit)
	s.submitUntilKept("b1", batchOf("b1", 20, 1))
	r := newRecord()
	for _, h := range s.hosts[:2] {
		h.signal(syscall.SIGSTOP)
	}
	all := s.hosts
	s.hosts = s.hosts[2:]
	s.eventually("the awake host reads some results", func() bool {
		page, status := s.read(s.hosts[0], "b1", 0)
		r.note(t, page, 0, 1)
		return status == http.StatusOK && len(page.Results) > 0
	})
	for _, h := range all {
		h.signal(syscall.SIGCONT)
	}
	s.hosts = all
	s.readWhole("b1", r, 60, 1)
}

// TestEdgeBrokenStreams cuts each stream after an event: runs go on after it.
func TestEdgeBrokenStreams(t *testing.T) {
	s := newSite(t, 2, siteLimit)
	for _, e := range s.engines {
		e.BreakAfter(1)
	}
	s.submitUntilKept("b1", batchOf("b1", 2, 1))
	s.readWhole("b1", newRecord(), 6, 1)
	resumed := false
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			resumed = resumed || run.After >= 0
		}
	}
	if !resumed {
		t.Error("no run went on after the events that were there")
	}
}

// TestEdgeStreamGoesOn breaks a caller's stream after each event; it goes on at
// another endpoint within the one answer.
func TestEdgeStreamGoesOn(t *testing.T) {
	s := newSite(t, 2, siteLimit)
	for _, e := range s.engines {
		e.BreakAfter(1)
	}
	for i := range 6 {
		id := fmt.Sprint("talk-", i)
		status, body := s.send(http.MethodPost, s.hosts[i%2].callers, talkPath+"x", id, []byte("x"))
		checkStatus(t, "a stream", status, http.StatusOK)
		checkStream(t, id, body)
	}
}

// checkStream compares a whole answer with all events of a request.
func checkStream(t testing.TB, id string, body []byte) {
	t.Helper()
	var want strings.Builder
	for n := range stand.Events(id) {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, stand.Event(id, n))
	}
	if string(body) != want.String() {
		t.Errorf("stream %s is %q, want %q", id, body, want.String())
	}
}

// TestEdgeFailingItems gives items up after as many failures as the route allows.
func TestEdgeFailingItems(t *testing.T) {
	for status, most := range map[int]int{http.StatusInternalServerError: 3, http.StatusUnprocessableEntity: 1} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			s := newSite(t, 2, siteLimit)
			for _, e := range s.engines {
				e.Fail(status)
			}
			s.submitUntilKept("b1", batchOf("b1", 1, 1))
			s.readWhole("b1", newRecord(), 3, 1)
			runs := make(map[string]int)
			for _, e := range s.engines {
				for _, run := range e.Runs() {
					runs[run.ID]++
				}
			}
			for item, n := range runs {
				if n != most {
					t.Errorf("item %s ran %d times, want %d", item, n, most)
				}
			}
		})
	}
}

// TestEdgeVersions names versions while batches run; each holder gives orders
// under an epoch of its own.
func TestEdgeVersions(t *testing.T) {
	s := newSite(t, 3, siteLimit)
	for version := 2; version <= 4; version++ {
		s.put("versions", testModel, map[string]any{"model": testModel, "version": version})
		id := fmt.Sprintf("b%d", version)
		s.submitUntilKept(id, batchOf(id, 4, version))
		s.readWhole(id, newRecord(), 12, version)
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
				t.Errorf("%s and %s gave orders under epoch %d", before, holder, epoch)
			}
			holders[key] = holder
		}
	}
}

// TestEdgeOrderCarriedOutLate leaves orders unanswered and carries them out when
// a newer version has been loaded by another holder: none takes an endpoint back.
func TestEdgeOrderCarriedOutLate(t *testing.T) {
	s := newSite(t, 3, siteLimit)
	name := func(version int) {
		s.put("versions", testModel, map[string]any{"model": testModel, "version": version})
	}
	const late = 6 * time.Second
	for _, e := range s.engines {
		e.DelayOrders(late)
	}
	name(2)
	s.eventually("an order waits to be carried out", func() bool { return waiting(s) > 0 })
	// The holder goes; the next one knows nothing of its orders.
	for _, e := range s.engines {
		e.DelayOrders(0)
	}
	for _, h := range s.hosts[:2] {
		s.kill(h)
	}
	s.hosts = s.hosts[2:]
	name(3)
	s.submitUntilKept("b1", batchOf("b1", 4, 3))
	s.readWhole("b1", newRecord(), 12, 3)
	s.eventually("the late orders were looked at", func() bool { return waiting(s) == 0 })
	s.submitUntilKept("b2", batchOf("b2", 4, 3))
	s.readWhole("b2", newRecord(), 12, 3)
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

// waiting returns how many orders are still to be carried out.
func waiting(s *site) int {
	n := 0
	for _, e := range s.engines {
		n += e.Waiting()
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

// TestEdgeStops stops a host while it keeps a batch and callers hold its address.
func TestEdgeStops(t *testing.T) {
	s := newSite(t, 3, siteLimit)
	s.submitUntilKept("b1", batchOf("b1", 20, 1))
	leaving := s.hosts[0]
	leaving.signal(syscall.SIGTERM)
	s.eventually("it is not ready any more", func() bool {
		return s.status(leaving, leaving.ready, "/currantloft/readyz") != http.StatusOK
	})
	s.eventually("no answer names it", func() bool {
		for _, address := range s.addresses(s.hosts[1]) {
			if address == leaving.callers {
				return false
			}
		}
		return true
	})
	status, _ := s.send(http.MethodPost, leaving.callers, plainPath+"x", "late", []byte("hello"))
	checkStatus(t, "a request of a caller that still has its address", status, http.StatusOK)
	s.hosts = s.hosts[1:]
	s.readWhole("b1", newRecord(), 60, 1)
	<-leaving.ended()
	if code := leaving.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("it ended with code %d", code)
	}
}

// TestEdgeConfigEverywhere changes the configuration while watches hear nothing.
func TestEdgeConfigEverywhere(t *testing.T) {
	s := newSite(t, 3, siteLimit)
	config := siteConfig(2)
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "new", "hostname": hostName, "path_prefix": "/new/", "route_type": "idempotent",
		"timeout_ms": 2000, "max_attempts": 2, "service": plainPool,
	})
	s.store.Shelf.SetFaults(shelf.Faults{Deaf: true})
	s.put("config", "main", config)
	changed := time.Now()
	for _, h := range s.hosts {
		s.eventually(h.name+" has the new route", func() bool { return s.status(h, h.callers, "/new/x") == http.StatusOK })
	}
	if took := time.Since(changed); took > 2*time.Second {
		t.Errorf("in force everywhere after %v, want 2 s", took)
	}
}
