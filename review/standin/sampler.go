package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// samplerOptions describe a sampler.
	samplerOptions struct {
		id, service string
		slots       int
		// model is served with version 1; empty for a plain service.
		model string
		// serve runs one request. It is called with the body once the sampler has begun to
		// work on it.
		serve func(e *sampler, w http.ResponseWriter, r *http.Request, body []byte)
	}

	// sampler is a stand-in of a sampler. It is safe for concurrent use.
	sampler struct {
		options samplerOptions
		site    *site
		server  *http.Server
		address string

		mu     sync.Mutex
		closed bool
		active int
		runs   []*samplerRun
	}

	// samplerRun is one request on which a sampler has worked.
	samplerRun struct {
		sampler, id, operation string
		began                  time.Time
		// ended is zero while the sampler works on it.
		ended time.Time
	}
)

// addSampler starts a sampler and registers it in the store.
func (s *site) addSampler(options samplerOptions) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("starting a sampler: %w", err)
	}
	e := &sampler{options: options, site: s, address: listener.Addr().String()}
	e.listen(listener)
	s.samplers = append(s.samplers, e)
	return e.register()
}

// register writes the sampler's entry.
func (e *sampler) register() error {
	options := e.options
	entry := map[string]any{
		"service": options.service, "address": e.address, "zone": "hall-a", "version": "v1", "slots": options.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	}
	if options.model != "" {
		entry["phase"], entry["models"] = "both", e.models()
	}
	return e.site.put("servers", options.id, entry)
}

func (e *sampler) listen(listener net.Listener) {
	server := &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	// Serve returns when the server is closed.
	go func() { _ = server.Serve(listener) }()
}

// Close ends the sampler.
func (e *sampler) Close() {
	e.mu.Lock()
	e.closed = true
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// crash ends the sampler as the end of its process does: its listener and its channels
// close. After a time it is back at its address under a new id, and the old entry is gone.
func (e *sampler) crash(down time.Duration, nextID string) {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	e.site.record.printf("%s crashes", e.id())
	_ = server.Close()
	go func() {
		time.Sleep(down)
		listener, err := net.Listen("tcp", e.address)
		if err != nil {
			e.site.record.printf("%s does not come back: %v", e.options.id, err)
			return
		}
		e.mu.Lock()
		old, closed := e.options.id, e.closed
		e.options.id = nextID
		e.mu.Unlock()
		if closed {
			_ = listener.Close()
			return
		}
		e.listen(listener)
		// The store in this process does not fail.
		_ = e.site.store.Memory.Delete(context.Background(), "servers", old)
		_ = e.register()
		e.site.record.printf("%s is back as %s", old, nextID)
	}()
}

// id returns the id of the sampler's present start.
func (e *sampler) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.options.id
}

func (e *sampler) models() []map[string]any {
	return []map[string]any{{"name": e.options.model, "version": 1, "adapters": []string{}}}
}

// ServeHTTP answers as the protocol says: a wrong instance gets 421, a full sampler says
// that it has not run the request, and all answers repeat the id.
func (e *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Keep-Alive", "timeout=10")
	if id := r.Header.Get("Attempt-Id"); id != "" {
		header.Set("Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id() {
		header.Set("Instance-Id", e.id())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/currantloft/report" {
		header.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"phase":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":90000,"handles":0}`, e.options.model)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	header.Set("Attempt-Id", id)
	run := &samplerRun{sampler: e.id(), id: id, operation: string(body), began: time.Now()}
	e.mu.Lock()
	header.Set("Instance-Load", fmt.Sprintf("%d,0,%d", e.active, e.options.slots))
	if e.active >= e.options.slots {
		e.mu.Unlock()
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.active++
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.site.record.printf("%s begins to run %s", run.sampler, id)
	defer func() {
		e.mu.Lock()
		e.active--
		run.ended = time.Now()
		e.mu.Unlock()
		e.site.record.printf("%s has stopped working on %s", run.sampler, id)
	}()
	e.options.serve(e, w, r, body)
}

// allRuns returns copies of all runs at all samplers.
func (s *site) allRuns() []samplerRun {
	var runs []samplerRun
	for _, e := range s.samplers {
		e.mu.Lock()
		for _, run := range e.runs {
			runs = append(runs, *run)
		}
		e.mu.Unlock()
	}
	return runs
}

// sign sets the digest of an answer.
func sign(w http.ResponseWriter, id string, body []byte) {
	w.Header().Set("Response-Signature", signature(id, body))
}

// signature returns the digest of an answer.
func signature(id string, body []byte) string {
	sum := fnv.New64a()
	_, _ = sum.Write(body)
	return "3e1b.07." + id + "." + strconv.FormatUint(sum.Sum64(), 16)
}
