package integ

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/currantloft/currantloft/platform/fake"
)

// maxOddLogBytes limits what a host logs in this test; the odd entries have megabytes.
const maxOddLogBytes = 200 << 10

// oddEntries are entries of another writer. Each has a place for a number that changes
// like a heartbeat.
func oddEntries() map[string]string {
	deep := strings.Repeat("[", 500_000) + "%d" + strings.Repeat("]", 500_000)
	entry := func(address, slots string) string {
		return `{"service":"` + plainPool + `","address":"` + address + `","state":"ready","slots":` + slots + `,"sequence":%d}`
	}
	return map[string]string{
		"deep":    deep,
		"more":    `{"service":"` + plainPool + `","address":"127.0.0.1:9","state":"ready","slots":4,"more":` + deep + `}`,
		"port":    entry("127.0.0.1:70000", "4"),
		"slots":   entry("127.0.0.1:9", "1e999"),
		"digits":  entry("127.0.0.1:9", strings.Repeat("9", 1<<20)),
		"no json": "{\"\xff\x00\":01,\"sequence\":%d}",
		"types":   `{"service":7,"address":[],"state":null,"slots":{},"sequence":%d}`,
		"text":    `"%d"`,
	}
}

// putRaw creates or replaces an object in the store, byte for byte.
func (s *site) putRaw(kind, name, spec string) {
	s.t.Helper()
	if _, err := s.store.Memory.Replace(s.ctx, kind, name, []byte(spec), 0); err != nil {
		if _, err = s.store.Memory.Create(s.ctx, kind, name, []byte(spec)); err != nil {
			s.t.Fatal(err)
		}
	}
}

// awaitEndpoint waits until all hosts use an endpoint, or until none does.
func (s *site) awaitEndpoint(id string, used bool) {
	s.t.Helper()
	for _, h := range s.hosts {
		s.eventually(fmt.Sprintf("%s at %s: %t", id, h.name, used), func() bool {
			// A removed endpoint leaves the dump when a request looks for one.
			s.status(h, h.callerAddress, plainPath+"x")
			state, found := s.dump(h), false
			for _, e := range state.Endpoints {
				found = found || e.Entry.ID == id
			}
			return len(state.Endpoints) > 0 && found == used
		})
	}
}

// TestOddEntriesEndNoHost writes odd objects of all kinds among those of the endpoints. The
// hosts must serve and follow all other changes, also a host that starts meanwhile.
func TestOddEntriesEndNoHost(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	checkAnswered := s.startHealthyCallers()
	writeOdd := func(n int) {
		for name, spec := range oddEntries() {
			s.putRaw("servers", "odd "+name, fmt.Sprintf(spec, n))
		}
	}
	writeOdd(0)
	for _, kind := range []string{"hosts", "versions", "config"} {
		s.putRaw(kind, "odd", fmt.Sprintf(oddEntries()["deep"], 0))
	}
	s.checkConfigReaches(t, 2, s.hosts)
	late := s.startEndpoint(fake.EngineOptions{ID: "late", Service: plainPool, Slots: 4})
	s.awaitEndpoint("late", true)

	s.kill(s.hosts[0])
	s.start(s.hosts[0])
	s.eventually("the restarted host is ready", func() bool {
		return s.status(s.hosts[0], s.hosts[0].readyAddress, "/currantloft/readyz") == http.StatusOK
	})
	s.awaitEndpoint("late", true)

	for n := range 20 {
		writeOdd(n)
		s.putRaw("servers", "late", fmt.Sprintf(oddEntries()["port"], n))
	}
	s.awaitEndpoint("late", false)
	if err := late.Register("ready"); err != nil {
		t.Fatal(err)
	}
	s.awaitEndpoint("late", true)
	s.removeEndpoint(late)
	s.awaitEndpoint("late", false)
	for name := range oddEntries() {
		if err := s.store.Memory.Delete(s.ctx, "servers", "odd "+name); err != nil {
			t.Fatal(err)
		}
	}
	s.nameVersion(2)
	s.eventually("a version is loaded", func() bool { return s.loads(2) > 0 })
	s.submitUntilAccepted("batch", newBatchBody("batch", 4, 2))
	s.readComplete("batch", newResultHistory(), 12, 2)
	checkAnswered(t)
	for _, h := range s.hosts {
		select {
		case <-h.ended():
			t.Errorf("%s has ended", h.name)
		default:
		}
		log, err := os.ReadFile(h.log)
		if err != nil {
			t.Fatal(err)
		}
		rejected := strings.Count(string(log), `"endpoint_entry_rejected"`)
		t.Logf("%s: %d bytes logged, %d entries rejected", h.name, len(log), rejected)
		// The first host logs them at both of its starts.
		if limit := 2*len(oddEntries()) + 1; rejected > limit || len(log) > maxOddLogBytes {
			t.Errorf("%s: %d entries rejected in %d bytes of log, want up to %d in %d", h.name, rejected, len(log), limit, maxOddLogBytes)
		}
	}
}
