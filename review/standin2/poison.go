package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	streamPath = "/talk/"
	// poisonBody makes each sampler crash that begins to run a request with it.
	poisonBody = "poison"
	// contactTime is contact_ms of the sheet, and maxRetries the number of retries that BUDGET
	// allows after it.
	contactTime = 3 * time.Second
	maxRetries  = 3
	heartbeats  = 3 * 1200 * time.Millisecond

	poisonMachines = 3
	poisonSamplers = 6
	poisonTime     = 25 * time.Second
	poisonInterval = 700 * time.Millisecond
	streamEvents   = 8
	// samplerDownTime is how long a crashed sampler stays down: some seconds.
	samplerDownTime = 2 * time.Second
)

type (
	// streamSampler serves streams. Each start of it has an id of its own.
	streamSampler struct {
		site    *site
		name    string
		address string
		// crashes makes it crash when it has sent the first event of a request with poisonBody.
		crashes bool
		log     *poisonLog

		mu     sync.Mutex
		starts int
		server *http.Server
		conns  map[net.Conn]bool
	}

	// poisonLog holds when poisoned requests have reached samplers and crashed them.
	poisonLog struct {
		mu                sync.Mutex
		arrivals, crashes []time.Time
	}
)

func (s *streamSampler) id() string { return fmt.Sprintf("%s-%d", s.name, s.starts) }

// start listens and registers a new start.
func (s *streamSampler) start(ctx context.Context) error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = listener.Addr().String()
	s.starts++
	s.conns = make(map[net.Conn]bool)
	id, server := s.id(), &http.Server{ReadHeaderTimeout: callTimeout}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id) })
	server.ConnState = func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[c] = true
		}
		if state == http.StateClosed {
			delete(s.conns, c)
		}
	}
	s.server = server
	go func() { _ = server.Serve(listener) }()
	spec, err := json.Marshal(map[string]any{
		"service": enginePool, "address": s.address, "zone": "hall-0", "version": "v1", "slots": 16, "state": "ready",
		"cold_remaining_ms": 0, "phase": "both", "models": []map[string]any{{"name": "m0", "version": 1}}, "sequence": 1,
	})
	if err != nil {
		return err
	}
	_, err = s.site.store.Memory.Create(ctx, "servers", id, spec)
	return err
}

// crash ends the sampler as a crash of its process does: the address refuses connections and
// the open ones are reset. The entry of this start expires after three heartbeats.
func (s *streamSampler) crash() {
	s.mu.Lock()
	id, server, conns := s.id(), s.server, s.conns
	s.mu.Unlock()
	s.site.record.printf("sampler %s has crashed", id)
	go func() {
		_ = server.Close()
	}()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	time.AfterFunc(heartbeats, func() { _ = s.site.store.Memory.Delete(s.site.ctx, "servers", id) })
	time.AfterFunc(samplerDownTime, func() {
		if s.site.ctx.Err() == nil {
			if err := s.start(s.site.ctx); err != nil {
				s.site.record.printf("sampler %s can't start: %v", s.name, err)
			}
		}
	})
}

func (s *streamSampler) serve(w http.ResponseWriter, r *http.Request, id string) {
	attempt := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Attempt-Id", attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/currantloft/report" {
		_, _ = io.WriteString(w, `{"phase":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	poisoned := string(body) == poisonBody
	s.site.record.printf("request %s reaches sampler %s", attempt, id)
	if poisoned {
		s.log.mu.Lock()
		s.log.arrivals = append(s.log.arrivals, time.Now())
		s.log.mu.Unlock()
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Signature", "3e1b.07."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	for n := range streamEvents {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		if poisoned && s.crashes && n == 0 {
			s.log.mu.Lock()
			s.log.crashes = append(s.log.crashes, time.Now())
			s.log.mu.Unlock()
			time.Sleep(pollInterval)
			s.crash()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(pollInterval)
	}
}

func streamConfig() map[string]any {
	config := poolConfig("m0")
	config["routes"] = []map[string]any{{
		"name": "talk", "hostname": hostname, "path_prefix": streamPath, "route_type": "streaming", "timeout_ms": 10000,
		"target_latency_ms": 400, "priority": 1, "max_attempts": 3, "service": enginePool,
	}}
	return config
}

// runPoison sends a request that crashes each sampler that begins to run it again and again.
func runPoison(ctx context.Context, rec *record, root, dir string, trouble bool) error {
	s, err := newSite(ctx, rec, root, dir, poisonMachines, streamConfig(), nil)
	defer s.close()
	if err != nil {
		return err
	}
	log := &poisonLog{}
	for i := range poisonSamplers {
		sampler := &streamSampler{site: s, name: fmt.Sprintf("i-%d", i), crashes: trouble, log: log}
		if err := sampler.start(ctx); err != nil {
			return err
		}
	}
	probe := 0
	if err := s.await("a stream is served", 10*time.Second, func() bool {
		probe++
		status, body := s.talk(0, fmt.Sprintf("probe-%d", probe), "hello")
		return status == http.StatusOK && strings.Count(string(body), "\n\n") == streamEvents
	}); err != nil {
		return err
	}
	n := 0
	for start := time.Now(); time.Since(start) < poisonTime && ctx.Err() == nil; time.Sleep(poisonInterval) {
		attempt := fmt.Sprintf("p-%d", n)
		status, body := s.talk(n%poisonMachines, attempt, poisonBody)
		rec.printf("request %s to edge-%d: status %d, %d events", attempt, n%poisonMachines, status, strings.Count(string(body), "\n\n"))
		n++
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	rec.printf("%d arrivals at samplers, %d crashes", len(log.arrivals), len(log.crashes))
	if len(log.crashes) < 3 {
		return nil
	}
	late, from := 0, log.crashes[2].Add(contactTime)
	for _, at := range log.arrivals {
		if at.After(from) {
			late++
		}
	}
	rec.printf("%d arrivals later than contact_ms after the third crash; BUDGET allows %d", late, maxRetries)
	if late > maxRetries {
		return errBroken
	}
	return nil
}

// talk sends a request for a stream.
func (s *site) talk(machine int, attempt, body string) (int, []byte) {
	header := map[string]string{"Attempt-Id": attempt, "Deadline-Ms": "4000", "Model": "m0", "Token-Usage": "16,64"}
	return s.call(http.MethodPost, s.machines[machine].address(callersPort), streamPath+"a", header, []byte(body))
}
