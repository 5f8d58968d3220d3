// Package objapi is a fake of the platform's object API for tests, served over HTTP:
// versions, conditional updates, watches and configurable faults.
//
// # Usage
//
//	platform, err := objapi.Start("127.0.0.1:0")
//	defer platform.Close()
//	platform.SetFaults(objapi.Faults{Down: true})
package objapi

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/currantloft/currantloft/fakes/server"
)

const (
	maxValueBytes   = 1 << 20
	versionHeader   = "Object-Version"
	ifVersionHeader = "If-Version"
)

type (
	// Faults are the failures that the API simulates.
	Faults struct {
		// Down makes every call fail with 503.
		Down bool `json:"down"`
		// Unresponsive makes every call block until its client cancels it.
		Unresponsive bool `json:"silent"`
		// DelayMs delays every call, in milliseconds.
		DelayMs int64 `json:"latency_ms"`
		// LoseAnswers is the number of writes that take effect, but whose
		// connection is closed without a response.
		LoseAnswers int `json:"lose_answers"`
		// LoseKind limits LoseAnswers to objects of this kind; empty means all.
		LoseKind string `json:"lose_kind"`
	}

	// Counts are the numbers of calls since the start.
	Counts struct {
		// Reads counts reads that do not wait.
		Reads int64 `json:"reads"`
		// Writes counts updates and deletes.
		Writes int64 `json:"writes"`
		// Watches counts reads that wait for a change.
		Watches int64 `json:"watches"`
		// Bytes counts the bytes of the bodies of updates.
		Bytes int64 `json:"bytes"`
		// ByKind counts updates by the kind of object.
		ByKind map[string]int64 `json:"by_kind"`
	}

	storedObject struct {
		body    []byte
		version uint64
	}

	// Platform is the fake object API.
	Platform struct {
		server *server.Server

		mu      sync.Mutex
		objects map[string]storedObject
		version uint64
		changed chan struct{}
		faults  Faults
		counts  Counts
	}
)

// Start starts the fake, which listens on the address.
func Start(address string) (*Platform, error) {
	p := &Platform{
		objects: make(map[string]storedObject),
		changed: make(chan struct{}),
		counts:  Counts{ByKind: make(map[string]int64)},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.withFaults(p.handleGet))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.withFaults(p.handlePut))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", p.withFaults(p.handleDelete))
	mux.HandleFunc("POST /faults", p.postFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, p.Counts())
	})
	srv, err := server.Listen(address, mux)
	if err != nil {
		return nil, err
	}
	p.server = srv
	return p, nil
}

// URL returns the base address.
func (p *Platform) URL() string { return p.server.URL() }

// Close stops the fake.
func (p *Platform) Close() { p.server.Close() }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.ByKind = make(map[string]int64, len(p.counts.ByKind))
	for kind, n := range p.counts.ByKind {
		counts.ByKind[kind] = n
	}
	return counts
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := server.DecodeJSON(r, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
}

// withFaults wraps a handler with the faults that apply to any call.
func (p *Platform) withFaults(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		if faults.Unresponsive {
			<-r.Context().Done()
			return
		}
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
		if faults.Down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		handler(w, r)
	}
}

func objectKey(r *http.Request) string { return r.PathValue("kind") + "/" + r.PathValue("name") }

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	above, _ := strconv.ParseUint(r.URL.Query().Get("above"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	p.mu.Lock()
	if wait > 0 {
		p.counts.Watches++
	} else {
		p.counts.Reads++
	}
	p.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		found, ok := p.objects[objectKey(r)]
		changed := p.changed
		down := p.faults.Down || p.faults.Unresponsive
		p.mu.Unlock()
		switch {
		case down:
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		case ok && (wait == 0 || found.version > above):
			w.Header().Set(versionHeader, strconv.FormatUint(found.version, 10))
			_, _ = w.Write(found.body)
			return
		case wait == 0:
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.Header().Set(versionHeader, strconv.FormatUint(above, 10))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(body) > maxValueBytes {
		http.Error(w, "want a value of at most 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseUint(r.Header.Get(ifVersionHeader), 10, 64)
	if err != nil {
		http.Error(w, "want the header If-Version", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	p.counts.ByKind[r.PathValue("kind")]++
	p.counts.Bytes += int64(len(body))
	found := p.objects[objectKey(r)]
	if found.version != expected {
		w.Header().Set(versionHeader, strconv.FormatUint(found.version, 10))
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.version++
	p.objects[objectKey(r)] = storedObject{body: body, version: p.version}
	close(p.changed)
	p.changed = make(chan struct{})
	if p.useAnswerLoss(r.PathValue("kind")) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(versionHeader, strconv.FormatUint(p.version, 10))
	w.WriteHeader(http.StatusOK)
}

// useAnswerLoss reports whether this write's answer is lost, and if so
// decrements Faults.LoseAnswers.
func (p *Platform) useAnswerLoss(kind string) bool {
	if p.faults.LoseAnswers == 0 || (p.faults.LoseKind != "" && p.faults.LoseKind != kind) {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) handleDelete(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	delete(p.objects, objectKey(r))
	w.WriteHeader(http.StatusNoContent)
}
