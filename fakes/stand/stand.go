// Package stand has what the stand-ins of outside systems share: a server on
// one address that can die and come back.
//
// # Usage
//
//	server, err := stand.Listen("127.0.0.1:0", handler)
//	defer server.Close()
//	server.Kill()    // cuts all connections and refuses new ones
//	server.Restart() // listens on the same address again
package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	rebindPause = 5 * time.Millisecond
	rebindLimit = 2 * time.Second
	maxBody     = 32 << 20
)

// Server is an HTTP server that can be killed and restarted in place.
type Server struct {
	handler http.Handler
	address string
	mu      sync.Mutex
	server  *http.Server
	tasks   sync.WaitGroup
}

// Listen opens the address and serves.
func Listen(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	s := &Server{handler: handler, address: listener.Addr().String()}
	s.serve(listener)
	return s, nil
}

// URL returns the base address.
func (s *Server) URL() string { return "http://" + s.address }

// Kill cuts all connections and refuses new ones.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Restart listens on the same address again.
func (s *Server) Restart() error {
	deadline := time.Now().Add(rebindLimit)
	for {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(listener)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("listening again: %w", err)
		}
		time.Sleep(rebindPause)
	}
}

// Close stops the server and waits for it.
func (s *Server) Close() {
	s.Kill()
	s.tasks.Wait()
}

// Wait serves until ctx ends and then closes.
func (s *Server) Wait(ctx context.Context) {
	<-ctx.Done()
	s.Close()
}

func (s *Server) serve(listener net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	s.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close()
		}
	})
}

// Reply sends a JSON answer.
func Reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Read decodes a JSON body.
func Read(r *http.Request, value any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return fmt.Errorf("reading the body: %w", err)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("decoding the body: %w", err)
	}
	return nil
}
