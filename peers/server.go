// Package peers carries calls between the nodes: protobuf frames on yamux
// streams over TCP.
//
// A call is one stream. The caller's first frame holds the request; the kind of
// call determines the frames that follow. A Pool keeps one session with each
// address that it calls. It replaces a session whose call timed out, so that a
// stalled connection is not used again.
//
// # Usage
//
//	server, err := peers.Listen("127.0.0.1:7400", handler, logger)
//	defer server.Close()
//
//	pool := peers.NewPool()
//	defer pool.Close()
//	reply, err := pool.Do(ctx, address, frame)
package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 3 * time.Second
	// acceptRetryInterval is the pause after a connection could not be accepted.
	acceptRetryInterval = 100 * time.Millisecond
	// StreamWindowBytes limits the data of a stream that has arrived and is not read yet.
	StreamWindowBytes = 256 << 10
)

type (
	// Handler serves one call. The stream is closed when it returns.
	Handler func(ctx context.Context, call *wirepb.Frame, stream *Stream)

	// Server accepts calls from other nodes.
	Server struct {
		listener net.Listener
		handler  Handler
		logger   *zap.Logger
		ctx      context.Context
		cancel   context.CancelFunc
		tasks    sync.WaitGroup
		mu       sync.Mutex
		sessions map[*yamux.Session]struct{}
	}
)

// Listen listens on the address and serves calls until Close.
func Listen(address string, handler Handler, logger *zap.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	return Serve(listener, handler, logger), nil
}

// Serve serves the calls that come to a listener until Close.
func Serve(listener net.Listener, handler Handler, logger *zap.Logger) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener: listener,
		handler:  handler,
		logger:   logger,
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*yamux.Session]struct{}),
	}
	s.tasks.Go(s.accept)
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends all sessions and waits for their handlers.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mu.Lock()
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
	return err
}

// accept accepts connections until Close. An error may pass, as when descriptors run out.
func (s *Server) accept() {
	for s.ctx.Err() == nil {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() == nil {
				event.PeersNotAccepted.Log(s.logger, zap.Error(err))
			}
			_ = waits.For(s.ctx, acceptRetryInterval)
			continue
		}
		session, err := yamux.Server(conn, sessionConfig())
		if err != nil {
			_ = conn.Close()
			continue
		}
		s.tasks.Go(func() { s.serveSession(session) })
	}
}

func (s *Server) serveSession(session *yamux.Session) {
	s.mu.Lock()
	s.sessions[session] = struct{}{}
	s.mu.Unlock()
	defer func() {
		_ = session.Close()
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
	}()
	if s.ctx.Err() != nil {
		return
	}
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.tasks.Go(func() { s.serveStream(conn) })
	}
}

func (s *Server) serveStream(conn net.Conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stream := newStream(ctx, conn)
	defer stream.Close()
	call, err := stream.Recv()
	if err != nil {
		if !errors.Is(err, io.EOF) {
			s.logger.Debug("reading the first frame of a call failed", zap.Error(err))
		}
		return
	}
	s.handler(ctx, call, stream)
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = StreamWindowBytes
	return config
}
