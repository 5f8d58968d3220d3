package integ

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/links"
	"github.com/currantloft/currantloft/platform/fake"
)

const (
	// endlessPool is a service whose endpoints send answers without an end.
	endlessPool = "endless"
	// endlessServers is the number of its endpoints.
	endlessServers = 4
	// endlessTime is how long callers press.
	endlessTime = 2 * time.Second
	// endlessPieceBytes is the size of a write of an answer without an end.
	endlessPieceBytes = 16 << 10
)

// endlessRoutes maps kinds of routes to the endless service to their paths.
var endlessRoutes = map[string]string{
	"idempotent": "/endless/plain/", "non_idempotent": "/endless/once/", "streaming": "/endless/talk/", "rollout": "/endless/rollout/",
}

// endlessAnswer is the beginning of an answer, and a part that is repeated without end. A # in it
// is the part's number, in hexadecimal digits, a % the same in decimal ones, and ID the request's id.
type endlessAnswer struct{ begin, part string }

// endlessHeads are heads without an end.
func endlessHeads() map[string]endlessAnswer {
	const status = "HTTP/1.1 200 OK\r\n"
	return map[string]endlessAnswer{
		"status line":         {"HTTP/1.1 200 ", "x"},
		"no answer":           {"", "x"},
		"long header":         {status + "Long: ", "x"},
		"many headers":        {status, "N#:\r\n"},
		"one header often":    {status, "a:\r\n"},
		"interim answers":     {"", "HTTP/1.1 103 Early Hints\r\nN#: x\r\n\r\n"},
		"empty lines":         {"", "\r\n"},
		"trailers":            {status + "Attempt-Id: ID\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "N#: x\r\n"},
		"extension of chunks": {status + "Attempt-Id: ID\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	}
}

// endlessBodies are bodies without an end.
func endlessBodies() map[string]endlessAnswer {
	const (
		signed = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\n"
		stream = signed + "Content-Type: text/event-stream\r\n"
	)
	return map[string]endlessAnswer{
		"no length":          {signed + "\r\n", "x"},
		"small chunks":       {signed + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"huge length":        {signed + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"length at limit":    {signed + "Content-Length: 262144\r\n\r\n", ""},
		"error":              {strings.Replace(signed, "200 OK", "500 Internal Server Error", 1) + "\r\n", "x"},
		"refusal":            {"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: ID\r\n\r\n", "x"},
		"line of an event":   {stream + "\r\nid: 0\ndata: ", "x"},
		"lines of an event":  {stream + "\r\nid: 0\n", "data: x\n"},
		"comments":           {stream + "\r\n", ":x\n"},
		"whole events":       {stream + "\r\n", "id: %\ndata: " + strings.Repeat("x", 100) + "\n\n"},
		"event after events": {stream + "\r\nid: 0\ndata: x\n\nid: 1\ndata: ", "x"},
	}
}

// endlessSoak is the variable of the environment that plays all forms and not only some.
const endlessSoak = "CURRANTLOFT_SOAK"

// someOf returns the named answers, or all of them for a soak.
func someOf(answers map[string]endlessAnswer, names ...string) map[string]endlessAnswer {
	if os.Getenv(endlessSoak) != "" {
		return answers
	}
	some := make(map[string]endlessAnswer)
	for _, name := range names {
		some[name] = answers[name]
	}
	return some
}

// flood is a server whose answers have no end, or end as it is told.
type flood struct {
	listener net.Listener
	answer   endlessAnswer
	// requests counts the requests.
	requests atomic.Int64
	// early answers come before the request's body is read. end ends the connection after the
	// beginning of the answer, nil if the answer has no end.
	early bool
	end   func(conn net.Conn)
}

// startFlood starts a server whose answers have no end, unless the options give them one. It ends
// with the test.
func startFlood(t testing.TB, answer endlessAnswer, options ...func(*flood)) *flood {
	t.Helper()
	listener, err := net.Listen("tcp", newSubnet()+".1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &flood{listener: listener, answer: answer}
	for _, option := range options {
		option(f)
	}
	var tasks sync.WaitGroup
	done := make(chan struct{})
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() {
				stop := make(chan struct{})
				tasks.Go(func() {
					select {
					case <-done:
					case <-stop:
					}
					_ = conn.Close()
				})
				f.serve(conn)
				close(stop)
			})
		}
	})
	t.Cleanup(func() {
		close(done)
		_ = listener.Close()
		tasks.Wait()
	})
	return f
}

func (f *flood) address() string { return f.listener.Addr().String() }

func (f *flood) serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !f.early {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	f.requests.Add(1)
	begin := strings.ReplaceAll(f.answer.begin, "ID", request.Header.Get("Attempt-Id"))
	if _, err := io.WriteString(conn, begin); err != nil {
		return
	}
	if f.end != nil {
		f.end(conn)
		return
	}
	if f.answer.part == "" {
		// The rest never comes.
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	for n := 0; ; {
		var piece strings.Builder
		for piece.Len() < endlessPieceBytes {
			piece.WriteString(strings.ReplaceAll(strings.ReplaceAll(f.answer.part, "#", fmt.Sprintf("%x", n)), "%", strconv.Itoa(n)))
			n++
		}
		if _, err := io.WriteString(conn, piece.String()); err != nil {
			return
		}
	}
}

// addFloods registers endpoints of the endless service that answer like that, and waits until the
// hosts know its routes.
func (s *site) addFloods(answer endlessAnswer, options ...func(*flood)) []*flood {
	s.t.Helper()
	var floods []*flood
	for i := range endlessServers {
		f := startFlood(s.t, answer, options...)
		floods = append(floods, f)
		s.putObject("servers", fmt.Sprintf("flood-%d", i), map[string]any{
			"service": endlessPool, "address": f.address(), "zone": fmt.Sprintf("zone-%d", i%2), "version": "v1", "slots": 1000, "state": "ready",
			"models": []map[string]any{{"name": testModel, "version": 1}},
		})
	}
	config := siteConfig(2)
	list := config["routes"].([]map[string]any)
	for kind, path := range endlessRoutes {
		list = append(list, map[string]any{
			"name": kind, "hostname": routeHostname, "path_prefix": path, "route_type": kind, "resumable": kind == "streaming", "timeout_ms": 3000,
			"target_latency_ms": 400, "max_attempts": 3, "result_deadline_ms": 7500, "max_queue_s": 40, "service": endlessPool,
		})
	}
	config["routes"] = list
	config["services"] = append(config["services"].([]map[string]any), map[string]any{
		"name": endlessPool, "engine": map[string]any{"slots": 1000, "stride": 1, "models": []map[string]any{{"name": testModel}}},
	})
	s.putObject("config", "main", config)
	for _, h := range s.hosts {
		s.eventually("the routes are in force", func() bool {
			return s.status(h, h.callerAddress, endlessRoutes["idempotent"]+"x") != http.StatusNotFound
		})
	}
	return floods
}

// pressEndless sends requests by many callers at once for endlessTime, and counts the answers by
// status. It calls beside meanwhile.
func (s *site) pressEndless(h *host, kind string, callers int, beside func()) map[int]int {
	ctx, cancel := context.WithTimeout(s.ctx, endlessTime)
	defer cancel()
	var mu sync.Mutex
	var tasks sync.WaitGroup
	statuses := make(map[int]int)
	for i := range callers {
		tasks.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				status, _ := s.send(http.MethodPost, h.callerAddress, endlessRoutes[kind]+"x", fmt.Sprintf("%s-%d-%d", kind, i, n), []byte("x"))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	beside()
	tasks.Wait()
	return statuses
}

// TestCrowdOfEndlessAnswersThroughHost lets a host that reaches no endpoint get answers without an
// end through the others.
func TestCrowdOfEndlessAnswersThroughHost(t *testing.T) {
	binary, err := gatedBinary()
	if err != nil {
		t.Fatal(err)
	}
	answers := endlessBodies()
	maps.Copy(answers, endlessHeads())
	for name, answer := range someOf(answers, "many headers", "whole events") {
		t.Run(name, func(t *testing.T) {
			s := newSiteOfSettings(t, binary, fmt.Sprintf("limits.max_fds=%d\n", crowdDescriptors), 4, crowdTimeout, fake.EngineOptions{Software: "v1"})
			h := s.hosts[0]
			s.addFloods(answer)
			s.breakLinks(h, links.Fault{New: links.NewRefuse, Open: links.OpenReset})
			statuses := s.pressEndless(h, "idempotent", crowdSize, func() { s.checkServes(h) })
			t.Logf("answers by status: %v", statuses)
			s.checkMemory(t)
		})
	}
}

// checkEndless lets callers press for answers without an end.
func checkEndless(t *testing.T, kind string, answer endlessAnswer) {
	t.Helper()
	s := newCrowdSite(t)
	h := s.hosts[0]
	floods := s.addFloods(answer)
	statuses := s.pressEndless(h, kind, crowdSize, func() { s.checkServes(h) })
	var requests int64
	for _, f := range floods {
		requests += f.requests.Load()
	}
	t.Logf("%d requests at the endpoints, answers by status: %v", requests, statuses)
	if statuses[http.StatusOK] > 0 {
		t.Errorf("%d callers got an answer without an end as a whole one", statuses[http.StatusOK])
	}
	s.checkMemory(t)
}

// TestCrowdOfEndlessHeads guards against hosts that run out of memory by answers whose heads have
// no end.
func TestCrowdOfEndlessHeads(t *testing.T) {
	for name, answer := range someOf(endlessHeads(), "no answer", "one header often") {
		t.Run(name, func(t *testing.T) { checkEndless(t, "idempotent", answer) })
	}
}

// TestCrowdOfEndlessBodies guards against hosts that run out of memory by answers whose bodies
// have no end.
func TestCrowdOfEndlessBodies(t *testing.T) {
	for name, answer := range someOf(endlessBodies(), "no length", "error") {
		t.Run(name, func(t *testing.T) { checkEndless(t, "idempotent", answer) })
	}
	for name, answer := range someOf(endlessBodies(), "line of an event", "lines of an event") {
		t.Run("streamed, "+name, func(t *testing.T) { checkEndless(t, "streaming", answer) })
	}
}

// endlessItems is the number of items of a batch at endless engines.
const endlessItems = 300

// endlessBatch is a batch whose items go to the endless service.
func endlessBatch(id string) []byte {
	var items []map[string]any
	for i := range endlessItems {
		item := fmt.Sprintf("%s-%d", id, i)
		items = append(items, map[string]any{
			"id": item, "path": endlessRoutes["rollout"] + item, "group": fmt.Sprint("g", i/4), "tokens": 20, "headers": map[string]string{"Model": testModel},
		})
	}
	body, err := json.Marshal(map[string]any{"step": 1, "model": testModel, "min_version": 1, "desired_count": 1, "items": items})
	if err != nil {
		panic(err)
	}
	return body
}

// TestCrowdOfEndlessItems runs items at engines whose answers have no end.
func TestCrowdOfEndlessItems(t *testing.T) {
	answers := endlessBodies()
	maps.Copy(answers, endlessHeads())
	for name, answer := range someOf(answers, "one header often", "line of an event", "whole events") {
		t.Run(name, func(t *testing.T) {
			s := newCrowdSite(t)
			s.addFloods(answer)
			for _, id := range []string{"b1", "b2"} {
				body := endlessBatch(id)
				s.eventually("the batch is accepted", func() bool {
					status, _ := s.send(http.MethodPost, s.hosts[0].callerAddress, endlessRoutes["rollout"]+id, id, body)
					return status == http.StatusAccepted
				})
			}
			s.checkServes(s.hosts[0])
			time.Sleep(endlessTime)
			s.checkServes(s.hosts[0])
			s.checkMemory(t)
		})
	}
}

// TestCrowdOfEndlessReports registers many engines whose reports and answers to orders have no end.
func TestCrowdOfEndlessReports(t *testing.T) {
	const engines = 300
	for name, answer := range someOf(map[string]endlessAnswer{
		"many headers": endlessHeads()["many headers"], "body": {"HTTP/1.1 200 OK\r\n\r\n", " "},
	}, "many headers") {
		t.Run(name, func(t *testing.T) {
			s := newCrowdSite(t)
			s.addFloods(answer)
			f := startFlood(t, answer)
			for i := range engines {
				s.putObject("servers", fmt.Sprintf("engine-%d", i), map[string]any{
					"service": enginePool, "address": f.address(), "zone": fmt.Sprintf("zone-%d", i%2), "version": "v1", "slots": 8, "state": "ready",
					"models": []map[string]any{{"name": testModel, "version": 1}},
				})
			}
			s.putObject("versions", testModel, map[string]any{"model": testModel, "version": 2})
			s.eventually("engines are asked", func() bool { return f.requests.Load() > engines })
			time.Sleep(endlessTime)
			s.checkServes(s.hosts[0])
			t.Logf("%d calls", f.requests.Load())
			s.checkMemory(t)
		})
	}
}

// TestCrowdOfEndlessStoreReplies lets the store reply without an end to all calls for a while.
func TestCrowdOfEndlessStoreReplies(t *testing.T) {
	for name, answer := range someOf(map[string]endlessAnswer{
		"many headers": endlessHeads()["many headers"], "long header": endlessHeads()["long header"],
		"body": {"HTTP/1.1 200 OK\r\n\r\n", " "}, "objects": {"HTTP/1.1 200 OK\r\n\r\n{\"items\":[", `{"metadata":{"name":"n#","revision":1}},`},
	}, "objects") {
		t.Run(name, func(t *testing.T) {
			f := startFlood(t, answer)
			var flooding atomic.Bool
			s := newSiteVia(t, func(store *fake.Store) string { return startSwitch(t, store.Address(), f.address(), &flooding) }, 2, crowdTimeout)
			flooding.Store(true)
			s.eventually("the store is asked", func() bool { return f.requests.Load() > 20 })
			time.Sleep(endlessTime)
			flooding.Store(false)
			s.checkServes(s.hosts[0])
			t.Logf("%d calls", f.requests.Load())
			s.checkMemory(t)
		})
	}
}

// startSwitch starts a relay of connections to one address, or to another one while flooding is
// set. Connections end when that changes.
func startSwitch(t testing.TB, usual, other string, flooding *atomic.Bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	done := make(chan struct{})
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() {
				defer conn.Close()
				now, address := flooding.Load(), usual
				if now {
					address = other
				}
				server, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				var copies sync.WaitGroup
				ended := make(chan struct{}, 2)
				for _, pair := range [][2]net.Conn{{server, conn}, {conn, server}} {
					copies.Go(func() {
						_, _ = io.Copy(pair[0], pair[1])
						ended <- struct{}{}
					})
				}
				ticker := time.NewTicker(20 * time.Millisecond)
				defer ticker.Stop()
				for open := true; open && flooding.Load() == now; {
					select {
					case <-ticker.C:
					case <-ended:
						open = false
					case <-done:
						open = false
					}
				}
				_ = conn.Close()
				_ = server.Close()
				copies.Wait()
			})
		}
	})
	t.Cleanup(func() {
		close(done)
		_ = listener.Close()
		tasks.Wait()
	})
	return listener.Addr().String()
}
