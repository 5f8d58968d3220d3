// Package entry serves callers, trainers and operators over HTTP.
//
// Callers request the addresses to use from any node, cache them for their
// lifetime and send their requests there. Every response to a request states its
// outcome, such as answered, not run, or unknown. docs/INTERFACES.md describes
// every route, header, status and field.
//
// All requests of one trainer are served by one node, the trainer's keeper;
// other nodes forward them to it.
//
// # Usage
//
//	server := entry.New(deps)
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
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/retry"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/steps"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	closeTimeout      = 5 * time.Second
)

type (
	// Deps are the dependencies of a server.
	Deps struct {
		// Config has the configuration in force.
		Config *active.Config
		// Members has the membership view of the nodes.
		Members *member.Members
		// Pool calls other nodes.
		Pool *peers.Pool
		// Dispatcher requests permits from the cells.
		Dispatcher *permit.Dispatcher
		// Runner runs requests for tokens.
		Runner *route.Runner
		// Quarantine quarantines requests that crash endpoints.
		Quarantine *poison.Quarantine
		// Claims ensures that a non-idempotent request runs at most once.
		Claims *claim.Claims
		// Answers is the memory for answers of plain services while they are read, nil for no
		// limit.
		Answers *intact.Budget
		// Steps serves the trainers that this node owns.
		Steps *steps.Keeper
		// Scope receives the metrics.
		Scope tally.Scope
		// Metrics serves the metrics over HTTP.
		Metrics http.Handler
		// Dump returns the internal state of the process for diagnostics.
		Dump func() any
		// Drain starts a graceful shutdown of the node.
		Drain func()
		// Profile enables the profiling routes under /debug/pprof/.
		Profile bool
		// AddressLifetime is how long a caller may cache the list of addresses.
		AddressLifetime time.Duration
		// Logger receives the events.
		Logger *zap.Logger
	}

	// Server serves HTTP for one node.
	Server struct {
		deps            Deps
		server          *http.Server
		listener        net.Listener
		serving         sync.WaitGroup
		inFlight        flight.Counter
		pooledClient    *http.Client
		singleUseClient *http.Client
		retryBudget     *retry.Budget
		ids             *idSource
		rejecting       chan struct{}
		rejectOnce      sync.Once
	}
)

// New returns a server; Listen starts it.
func New(deps Deps) *Server {
	s := &Server{
		deps:            deps,
		ids:             newIDSource(deps.Members.View().Self()),
		retryBudget:     retry.NewBudget(),
		rejecting:       make(chan struct{}),
		pooledClient:    newPlainClient(true, deps.Answers),
		singleUseClient: newPlainClient(false, deps.Answers),
	}
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
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
			s.deps.Logger.Error("HTTP server failed", zap.Error(err))
		}
	})
	return nil
}

// RejectRequests makes the server reject all new requests with the outcome "not
// run".
func (s *Server) RejectRequests() { s.rejectOnce.Do(func() { close(s.rejecting) }) }

// Idle returns a channel that is closed once no request is in flight.
func (s *Server) Idle() <-chan struct{} { return s.inFlight.Idle() }

// InFlight returns how many requests of callers and trainers are in flight.
func (s *Server) InFlight() int { return s.inFlight.Count() }

// Close stops listening and waits up to closeTimeout for requests in flight.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	s.serving.Wait()
	s.pooledClient.CloseIdleConnections()
	return err
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.Handle("POST /v1/services/{service}/requests", s.admit(s.tokens))
	mux.Handle("/v1/services/{service}/call/{path...}", s.admit(s.call))
	mux.Handle("POST /v1/trainers/{trainer}/steps/{step}", s.admit(s.step))
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/dump", s.dump)
	mux.HandleFunc("GET /v1/config", s.showConfig)
	mux.HandleFunc("POST /v1/config", s.applyConfig)
	mux.HandleFunc("POST /v1/drain", s.drain)
	mux.HandleFunc("POST /v1/endpoints/{endpoint}/leaving", s.markEndpoint(true))
	mux.HandleFunc("DELETE /v1/endpoints/{endpoint}/leaving", s.markEndpoint(false))
	mux.Handle("GET /metrics", s.deps.Metrics)
	if s.deps.Profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

// admit wraps a route of callers or trainers. It counts requests in flight and
// rejects new ones after RejectRequests.
func (s *Server) admit(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add()
		defer s.inFlight.Done()
		select {
		case <-s.rejecting:
			s.writeError(w, problem{
				status: http.StatusServiceUnavailable, outcome: route.NotRun, retryAfter: time.Millisecond,
				text: "this node is stopping: ask for addresses and use another",
			})
			return
		default:
		}
		handler(w, r)
	})
}
