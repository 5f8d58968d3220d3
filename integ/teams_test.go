package integ

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantloft/currantloft/platform/fake"
)

const (
	redKey   = "red-key-5550123"
	otherKey = "red-key-5550124"
	blueKey  = "blue-key-5550125"
)

// teamsConfig is the site's configuration with two teams and a public route. The red team
// has the keys.
func teamsConfig(version int, redKeys ...string) map[string]any {
	config := siteConfig(version)
	config["tenants"] = []map[string]any{
		{"name": "red", "api_keys": redKeys, "priority": 1},
		{"name": "blue", "api_keys": []string{blueKey}},
	}
	if routes, ok := config["routes"].([]map[string]any); ok {
		config["routes"] = append(routes, map[string]any{
			"name": "open", "hostname": routeHostname, "path_prefix": "/open/", "route_type": "idempotent",
			"timeout_ms": 2000, "max_attempts": 2, "service": plainPool, "public": true,
		})
	}
	return config
}

// call makes a call with a key, an empty one for none, and returns the status.
func (s *site) call(method, address, target, id, key string, body []byte) int {
	request, err := http.NewRequestWithContext(s.ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return 0
	}
	request.Host = routeHostname
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "2500")
	request.Header.Set("Tenant", "green")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// TestEdgeTeams runs hosts whose configuration has teams: guards against items without
// their team after their keeper was killed, batches of other teams that can be read, removed
// keys that are served, and keys that reach an endpoint, a log or a dump.
func TestEdgeTeams(t *testing.T) {
	s := newSite(t, 4, time.Minute)
	s.putObject("config", "main", teamsConfig(2, redKey, otherKey))
	s.eventually("the teams are in force at all hosts, whose copies are confirmed", func() bool {
		for _, h := range s.hosts {
			if s.dump(h).ConfigAgeMs < 0 || s.call(http.MethodPost, h.callerAddress, plainPath, "probe", "", nil) != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	var number atomic.Int64
	expect := func(h *host, method, target, key string, want int) {
		t.Helper()
		id := fmt.Sprint("r", number.Add(1))
		if got := s.call(method, h.callerAddress, target, id, key, []byte("body")); got != want {
			t.Errorf("%s %s at %s with key %q: status %d, want %d", method, target, h.name, key, got, want)
		}
	}
	for _, h := range s.hosts {
		expect(h, http.MethodPost, plainPath, redKey, 200)
		expect(h, http.MethodPost, streamPath, otherKey, 200)
		expect(h, http.MethodPost, plainPath, "unknown-key-5550126", 401)
		expect(h, http.MethodPost, "/open/", "", 200)
	}
	id, body := "red-batch", newBatchBody("red-batch", 4, 0)
	s.eventually("the batch is accepted", func() bool {
		return s.call(http.MethodPost, s.hosts[0].callerAddress, batchPath+id, id, redKey, body) == http.StatusAccepted
	})
	s.kill(s.keeperOf(id))
	var alive []*host
	for _, h := range s.hosts {
		if s.status(h, h.readyAddress, "/currantloft/readyz") == http.StatusOK {
			alive = append(alive, h)
		}
	}
	s.eventually("all items have run", func() bool {
		done := make(map[string]bool)
		for _, run := range s.endpointRuns() {
			done[run.ID] = true
		}
		for g := range 4 {
			for i := range 3 {
				if !done[fmt.Sprintf("%s-%d-%d", id, g, i)] {
					return false
				}
			}
		}
		return true
	})
	for _, h := range alive {
		expect(h, http.MethodGet, "/currantloft/lots/"+id+"?after=0", otherKey, 200)
		expect(h, http.MethodGet, "/currantloft/lots/"+id+"?after=0", blueKey, 404)
		expect(h, http.MethodGet, "/currantloft/items/"+id+"?id="+id+"-0-0", redKey, 200)
		expect(h, http.MethodDelete, "/currantloft/lots/"+id, blueKey, 404)
		expect(h, http.MethodDelete, "/currantloft/lots/"+id, "", 401)
		if got := s.call(http.MethodPost, h.callerAddress, batchPath+id, id, blueKey, body); got != http.StatusNotFound {
			t.Errorf("another team's submission of the batch at %s: status %d, want 404", h.name, got)
		}
	}
	expect(alive[0], http.MethodDelete, "/currantloft/lots/"+id, redKey, 200)
	expect(alive[1], http.MethodDelete, "/currantloft/lots/"+id, otherKey, 200)
	removedAt := time.Now()
	s.putObject("config", "main", teamsConfig(3, redKey))
	s.eventually("the removed key is refused at all hosts", func() bool {
		for _, h := range alive {
			if s.call(http.MethodPost, h.callerAddress, plainPath, fmt.Sprint("r", number.Add(1)), otherKey, nil) != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	if took := time.Since(removedAt); took > 3*time.Second {
		t.Errorf("the key was refused at all hosts after %v, want 3 s", took)
	}
	s.assertTeams()
	s.assertNoKeys(alive)
}

// endpointRuns returns the requests that reached endpoints.
func (s *site) endpointRuns() []fake.Run {
	var runs []fake.Run
	for _, list := range [][]*fake.Engine{s.engines, s.plains} {
		for _, e := range list {
			runs = append(runs, e.Runs()...)
		}
	}
	return runs
}

// assertTeams checks what reached the endpoints once the teams were in force: no key, and
// the team of the key, none on the public route and in reward calls.
func (s *site) assertTeams() {
	s.t.Helper()
	for _, run := range s.endpointRuns() {
		want := "red"
		if strings.HasSuffix(run.ID, "-reward") || run.Path == "/open/" {
			want = ""
		}
		if run.ID == "probe" {
			// It was sent before the teams were in force.
			want = "green"
		}
		if got := strings.Join(run.Header["Tenant"], ","); got != want {
			s.t.Errorf("request %s reached an endpoint for team %q, want %q", run.ID, got, want)
		}
		if key := run.Header["Authorization"]; key != nil && run.ID != "probe" {
			s.t.Errorf("request %s reached an endpoint with the key %q", run.ID, key)
		}
	}
}

// assertNoKeys checks the logs, dumps and metrics of the hosts.
func (s *site) assertNoKeys(hosts []*host) {
	s.t.Helper()
	for _, h := range s.hosts {
		log, err := os.ReadFile(h.log)
		if err != nil {
			s.t.Error(err)
		}
		texts := map[string][]byte{"log": log}
		for _, alive := range hosts {
			if alive == h {
				_, texts["dump"] = s.send(http.MethodGet, h.adminAddress, "/v1/dump", "", nil)
				_, texts["metrics"] = s.send(http.MethodGet, h.adminAddress, "/metrics", "", nil)
				if !json.Valid(texts["dump"]) || len(texts["metrics"]) == 0 {
					s.t.Errorf("%s has no dump or no metrics", h.name)
				}
			}
		}
		for name, text := range texts {
			if bytes.Contains(text, []byte("-key-55501")) {
				s.t.Errorf("the %s of %s holds a key", name, h.name)
			}
		}
	}
}
