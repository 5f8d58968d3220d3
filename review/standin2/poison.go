package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	plainPath = "/lookup/"
	plainPool = "portal"
	// poisonBody makes each sampler crash that begins to run a request with it.
	poisonBody = "poison"
	// contactTime is contact_ms of the sheet, and maxRetries the number of retries that BUDGET
	// allows after it.
	contactTime = 3 * time.Second
	maxRetries  = 3
	heartbeats  = 3 * 1200 * time.Millisecond

	poisonMachines = 3
	poisonSamplers = 8
	// poisonInterval is the pause before the request comes again.
	poisonInterval = 4 * time.Second
	// poisonBefore and poisonAfter are how often it comes before and after all processes are
	// killed.
	poisonBefore, poisonAfter = 4, 6
	// workTime is how long a sampler works on a request, and on one that crashes it until it does.
	workTime, crashTime = 20 * time.Millisecond, 250 * time.Millisecond
	// samplerDownTime is how long a crashed sampler stays down: some seconds.
	samplerDownTime = 2 * time.Second
)

type (
	// plainSampler answers plain requests. Each start of it has an id of its own.
	plainSampler struct {
		site    *site
		name    string
		address string
		// crashes makes it crash when it has worked for crashTime on a request with poisonBody.
		crashes bool
		log     *poisonLog

		mu     sync.Mutex
		starts int
		server *http.Server
		conns  map[net.Conn]bool
	}

	// poisonLog holds when poisoned requests have reached samplers and crashed them.
	poisonLog struct {
		mu       sync.Mutex
		arrivals []arrival
		crashes  []time.Time
	}

	// arrival is when an attempt of the requester has reached a sampler.
	arrival struct {
		attempt string
		at      time.Time
	}
)

func (s *plainSampler) id() string { return fmt.Sprintf("%s-%d", s.name, s.starts) }

// start listens and registers a new start.
func (s *plainSampler) start(ctx context.Context) error {
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
		"service": plainPool, "address": s.address, "zone": "hall-0", "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1,
	})
	if err != nil {
		return err
	}
	_, err = s.site.store.Memory.Create(ctx, "servers", id, spec)
	return err
}

// crash ends the sampler as a crash of its process does: the address refuses connections and
// the open ones are reset. The entry of this start expires after three heartbeats.
func (s *plainSampler) crash() {
	s.mu.Lock()
	id, server, conns := s.id(), s.server, slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	s.site.record.printf("sampler %s has crashed", id)
	go func() {
		_ = server.Close()
	}()
	for _, c := range conns {
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

func (s *plainSampler) serve(w http.ResponseWriter, r *http.Request, id string) {
	attempt := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Attempt-Id", attempt)
		w.WriteHeader(http.StatusMisdirectedRequest)
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
		s.log.arrivals = append(s.log.arrivals, arrival{attempt: attempt, at: time.Now()})
		s.log.mu.Unlock()
	}
	if poisoned && s.crashes {
		time.Sleep(crashTime)
		s.log.mu.Lock()
		s.log.crashes = append(s.log.crashes, time.Now())
		s.log.mu.Unlock()
		s.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workTime)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Signature", "3e1b.07."+attempt)
	_, _ = io.WriteString(w, "answer")
}

func plainConfig() map[string]any {
	config := poolConfig("m0")
	config["routes"] = []map[string]any{{
		"name": "lookup", "hostname": hostname, "path_prefix": plainPath, "route_type": "idempotent", "timeout_ms": 3000,
		"target_latency_ms": 150, "priority": 2, "max_attempts": 2, "service": plainPool,
	}}
	config["services"] = []map[string]any{{"name": plainPool, "health_path": "/healthz", "max_conns": 110}}
	return config
}

// runPoison sends a request that crashes each sampler that runs it again and again, and kills all
// processes at the same moment in between.
func runPoison(ctx context.Context, rec *record, root, dir string, trouble bool) error {
	s, err := newSite(ctx, rec, root, dir, poisonMachines, plainConfig(), nil)
	defer s.close()
	if err != nil {
		return err
	}
	log := &poisonLog{}
	for i := range poisonSamplers {
		sampler := &plainSampler{site: s, name: fmt.Sprintf("i-%d", i), crashes: true, log: log}
		if err := sampler.start(ctx); err != nil {
			return err
		}
	}
	if err := s.awaitServed(); err != nil {
		return err
	}
	s.sendPoison("a", poisonBefore)
	killedAt := time.Now()
	if trouble {
		var kills sync.WaitGroup
		for _, m := range s.machines {
			kills.Go(func() { s.kill(m, false) })
		}
		kills.Wait()
	}
	time.Sleep(restartDelay)
	if err := s.awaitServed(); err != nil {
		return err
	}
	// From then on all machines are in touch.
	time.Sleep(contactTime)
	rec.printf("all machines are in touch")
	touchAt := time.Now()
	s.sendPoison("b", poisonAfter)
	log.mu.Lock()
	defer log.mu.Unlock()
	rec.printf("%d arrivals at samplers, %d crashes", len(log.arrivals), len(log.crashes))
	if len(log.crashes) < 3 {
		return fmt.Errorf("only %d samplers crashed", len(log.crashes))
	}
	late, from := make(map[string]int), log.crashes[2].Add(contactTime)
	for _, a := range log.arrivals {
		if a.at.After(from) && (a.at.Before(killedAt) || a.at.After(touchAt)) {
			late[a.attempt]++
		}
	}
	rec.printf("later than contact_ms after the third crash, from machines in touch, %d attempts of the requester reach samplers, with arrivals %v; BUDGET allows %d",
		len(late), late, maxRetries)
	if len(late) > maxRetries {
		return errBroken
	}
	return nil
}

// sendPoison sends the request that crashes samplers a number of times, at all machines in turn.
func (s *site) sendPoison(prefix string, times int) {
	for n := range times {
		if s.ctx.Err() != nil {
			return
		}
		attempt, m := fmt.Sprintf("%s-%d", prefix, n), s.machines[n%len(s.machines)]
		status, _ := s.lookup(m, attempt, poisonBody)
		s.record.printf("request %s to %s: status %d", attempt, m.name, status)
		time.Sleep(poisonInterval)
	}
}

// awaitServed waits until each machine serves a harmless request.
func (s *site) awaitServed() error {
	n := 0
	return s.await("a request is served", 10*time.Second, func() bool {
		for _, m := range s.machines {
			n++
			if status, _ := s.lookup(m, fmt.Sprintf("probe-%d", n), "hello"); status != http.StatusOK || s.known(m) != len(s.machines) {
				return false
			}
		}
		return true
	})
}

// lookup sends a plain request.
func (s *site) lookup(m *machine, attempt, body string) (int, []byte) {
	return s.call(http.MethodPost, m.address(callersPort), plainPath+"a", map[string]string{"Attempt-Id": attempt, "Deadline-Ms": "3000"}, []byte(body))
}
