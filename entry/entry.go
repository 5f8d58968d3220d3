// Package entry serves callers, trainers and operators over HTTP.
//
// Callers ask any node which addresses to use, keep the answer for its
// lifetime and send their requests there. Every answer says what is known of
// the request: answered, not run, or unknown. docs/INTERFACES.md has every
// route, header, status and field.
//
// # Usage
//
//	server := entry.New(parts)
//	err := server.Listen("127.0.0.11:7480")
//	defer server.Close()
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/claim"
	"github.com/currantloft/currantloft/flight"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/retry"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/steps"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	closeTimeout  = 5 * time.Second
)

type (
	// Parts are what a server works with.
	Parts struct {
		// Config tells what is declared.
		Config *active.Keeper
		// Members tells which nodes there are.
		Members *member.Members
		// Pool calls other nodes.
		Pool *peers.Pool
		// Desk gives permits.
		Desk *permit.Desk
		// Runner runs requests for tokens.
		Runner *route.Runner
		// Ward judges requests that may crash endpoints.
		Ward *poison.Ward
		// Claims makes sure that non-idempotent requests run once.
		Claims *claim.Claims
		// Steps keeps the steps of this node's trainers.
		Steps *steps.Keeper
		// Scope takes the metrics.
		Scope tally.Scope
		// Metrics serves them.
		Metrics http.Handler
		// Dump returns the state of the process.
		Dump func() any
		// Drain starts a planned stop.
		Drain func()
		// Profile serves profiles of the process under /debug/pprof/.
		Profile bool
		// AddressLifetime is how long a caller may keep an address answer.
		AddressLifetime time.Duration
		// Logger takes the events.
		Logger *zap.Logger
	}

	// Server serves HTTP for one node.
	Server struct {
		parts    Parts
		server   *http.Server
		listener net.Listener
		serving  sync.WaitGroup
		inFlight flight.Counter
		plain    *http.Client
		fresh    *http.Client
		budget   *retry.Budget
		ids      *idSource
		refusing chan struct{}
		once     sync.Once
	}
)

// New returns a server that does not listen yet.
func New(parts Parts) *Server {
	s := &Server{
		parts:    parts,
		ids:      newIDSource(parts.Members.View().Self()),
		budget:   retry.NewBudget(),
		refusing: make(chan struct{}),
		plain:    newPlainClient(true),
		fresh:    newPlainClient(false),
	}
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	return s
}

// Listen opens the address and serves until Close.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	s.listener = listener
	s.serving.Go(func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.parts.Logger.Error("serving callers", zap.Error(err))
		}
	})
	return nil
}

// Refuse makes the server answer new requests with "not run" from now on.
func (s *Server) Refuse() { s.once.Do(func() { close(s.refusing) }) }

// Idle returns a channel that is closed once no request is in flight.
func (s *Server) Idle() <-chan struct{} { return s.inFlight.Idle() }

// InFlight returns how many requests of callers and trainers are in flight.
func (s *Server) InFlight() int { return s.inFlight.Count() }

// Close stops listening and waits for what is in flight, for a few seconds.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	s.serving.Wait()
	s.plain.CloseIdleConnections()
	return err
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.Handle("POST /v1/services/{service}/requests", s.counted(s.tokens))
	mux.Handle("/v1/services/{service}/call/{path...}", s.counted(s.call))
	mux.Handle("POST /v1/trainers/{trainer}/steps/{step}", s.counted(s.step))
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/dump", s.dump)
	mux.HandleFunc("GET /v1/config", s.showConfig)
	mux.HandleFunc("POST /v1/config", s.applyConfig)
	mux.HandleFunc("POST /v1/drain", s.drain)
	mux.HandleFunc("POST /v1/endpoints/{endpoint}/leaving", s.markEndpoint(true))
	mux.HandleFunc("DELETE /v1/endpoints/{endpoint}/leaving", s.markEndpoint(false))
	mux.Handle("GET /metrics", s.parts.Metrics)
	if s.parts.Profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

// counted wraps a route of callers or trainers: it counts what is in flight and
// refuses new requests once the node is about to stop.
func (s *Server) counted(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add()
		defer s.inFlight.Done()
		select {
		case <-s.refusing:
			s.fail(w, problem{
				status: http.StatusServiceUnavailable, outcome: route.NotRun, retry: time.Millisecond,
				text: "this node is stopping: ask for addresses and use another",
			})
			return
		default:
		}
		handler(w, r)
	})
}
