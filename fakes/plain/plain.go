// Package plain is a fake of a plain service (one without a model) for tests: it
// echoes each request and counts how often each request ID ran.
//
// # Usage
//
//	service, err := plain.Start("127.0.0.1:0", time.Millisecond)
//	defer service.Close()
//	service.Runs()["request-1"]
package plain

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/currantloft/currantloft/fakes/server"
)

const (
	// CrashMark in a body crashes the service while it runs the request.
	CrashMark = "CRASH"

	maxBodyBytes = 1 << 20
	restartDelay = 300 * time.Millisecond
)

type (
	// Service is the fake service.
	Service struct {
		server *server.Server

		mu          sync.Mutex
		delay       time.Duration
		incarnation uint64
		leaving     bool
		runs        map[string]int
		crashes     int
		tasks       sync.WaitGroup
	}

	echoReply struct {
		RequestID string `json:"request_id"`
		Path      string `json:"path"`
		Body      string `json:"body"`
	}

	status struct {
		Incarnation uint64 `json:"incarnation"`
		Leaving     bool   `json:"leaving"`
		Running     int    `json:"running"`
	}
)

// Start starts the fake, which listens on the address; each request takes the delay.
func Start(address string, delay time.Duration) (*Service, error) {
	s := &Service{delay: delay, incarnation: uint64(time.Now().UnixNano()), runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("/", s.handleRequest)
	srv, err := server.Listen(address, mux)
	if err != nil {
		return nil, err
	}
	s.server = srv
	return s, nil
}

// URL returns the base address.
func (s *Service) URL() string { return s.server.URL() }

// Close stops the fake.
func (s *Service) Close() {
	s.server.Close()
	s.tasks.Wait()
}

// SetLeaving sets whether status reports state that the service's host is
// leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetDelay changes how long a request takes.
func (s *Service) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Runs returns how often each request ID ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Crashes returns the number of crashes.
func (s *Service) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

func (s *Service) handleStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, status{Incarnation: s.incarnation, Leaving: s.leaving})
}

func (s *Service) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.runs[id]++
	delay := s.delay
	s.mu.Unlock()
	if strings.Contains(string(body), CrashMark) {
		s.tasks.Go(s.crash)
		<-r.Context().Done()
		return
	}
	time.Sleep(delay)
	server.WriteJSON(w, http.StatusOK, echoReply{RequestID: id, Path: r.URL.Path, Body: string(body)})
}

func (s *Service) crash() {
	s.mu.Lock()
	s.crashes++
	s.incarnation++
	s.mu.Unlock()
	s.server.Kill()
	time.Sleep(restartDelay)
	_ = s.server.Restart()
}
