package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots        = 16
	kindSamplers = "servers"
)

type (
	// behaviour answers a request that a sampler runs.
	behaviour func(s *sampler, w http.ResponseWriter, r *http.Request, body []byte)

	// sampler is a server of a service. Each of its starts has a new id, at the same address.
	sampler struct {
		lab     *lab
		name    string
		service string
		answer  behaviour
		// models are the models of an engine, none for a plain service.
		models []string

		mu      sync.Mutex
		starts  int
		address string
		server  *http.Server
		closed  bool
	}
)

// startSampler starts a sampler and registers it.
func (l *lab) startSampler(name, service string, answer behaviour) (*sampler, error) {
	s := &sampler{lab: l, name: name, service: service, answer: answer, address: "127.0.0.1:0"}
	l.samplers = append(l.samplers, s)
	return s, s.start()
}

// id returns the id of the present start.
func (s *sampler) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("i-%s-%d", s.name, s.starts)
}

// startEngine starts a sampler of models.
func (l *lab) startEngine(name, service string, models []string, answer behaviour) (*sampler, error) {
	s := &sampler{lab: l, name: name, service: service, answer: answer, address: "127.0.0.1:0", models: models}
	l.samplers = append(l.samplers, s)
	return s, s.start()
}

func (s *sampler) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return listener.Close()
	}
	s.starts++
	s.address, s.server = listener.Addr().String(), server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return s.register("ready")
}

// register writes the sampler's entry into the store.
func (s *sampler) register(state string) error {
	id := s.id()
	s.lab.logf("sampler %s of %s at %s is %s", id, s.service, s.address, state)
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": "hall-0", "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1,
	}
	if len(s.models) > 0 {
		entry["phase"], entry["models"] = "both", s.modelList()
	}
	return s.lab.put(kindSamplers, id, entry)
}

func (s *sampler) close() {
	s.mu.Lock()
	s.closed = true
	server := s.server
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// serve answers one request, as the users' pages say.
func (s *sampler) serve(w http.ResponseWriter, r *http.Request) {
	id, attempt := s.id(), r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Attempt-Id", attempt)
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", id)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/currantloft/") {
		s.report(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lab.logf("sampler %s runs request %s %s", id, attempt, r.RequestURI)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Signature", "3e1b.07."+attempt)
	s.answer(s, w, r, body)
}

// plain answers with the request's own body.
func plain(_ *sampler, w http.ResponseWriter, _ *http.Request, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// stream answers with a number of events, of which the first comes after a delay.
func stream(w http.ResponseWriter, r *http.Request, events int, first, pause time.Duration, each func(n int)) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	controller := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	for n := range events {
		wait := pause
		if n == 0 {
			wait = first
		}
		if !sleep(r.Context(), wait) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil || controller.Flush() != nil {
			return
		}
		if each != nil {
			each(n)
		}
	}
}

// sleep waits for a time. It returns false if the context has ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// report answers a request for the sampler's report, and rejects orders: no version is named.
func (s *sampler) report(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "both", "models": s.modelList(), "busy": false, "sequence": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 90000, "handles": 0,
	})
}

// modelList returns the sampler's models as its entry and its report have them.
func (s *sampler) modelList() []map[string]any {
	list := []map[string]any{}
	for _, name := range s.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}
