// Package server holds what the fakes of external systems share: an HTTP server
// that can be killed and restarted on the same address, and helpers for JSON
// bodies.
//
// # Usage
//
//	srv, err := server.Listen("127.0.0.1:0", handler)
//	defer srv.Close()
//	srv.Kill()    // closes all connections and refuses new ones
//	srv.Restart() // listens on the same address again
package server

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
	rebindInterval = 5 * time.Millisecond
	rebindTimeout  = 2 * time.Second
	maxBodyBytes   = 32 << 20
)

// Server is an HTTP server that can be killed and restarted on the same address.
type Server struct {
	handler http.Handler
	address string
	mu      sync.Mutex
	server  *http.Server
	tasks   sync.WaitGroup
}

// Listen listens on the address and serves the handler.
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

// Kill closes all connections and refuses new ones.
func (s *Server) Kill() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Restart listens on the same address again. It retries for rebindTimeout while the
// address is in use.
func (s *Server) Restart() error {
	deadline := time.Now().Add(rebindTimeout)
	for {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serve(listener)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("listening on the address again: %w", err)
		}
		time.Sleep(rebindInterval)
	}
}

// Close stops the server and waits until it no longer serves.
func (s *Server) Close() {
	s.Kill()
	s.tasks.Wait()
}

// CloseOnDone closes the server when ctx ends.
func (s *Server) CloseOnDone(ctx context.Context) {
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

// WriteJSON writes a JSON response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// DecodeJSON decodes a JSON request body.
func DecodeJSON(r *http.Request, value any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("reading the body: %w", err)
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("decoding the body: %w", err)
	}
	return nil
}
