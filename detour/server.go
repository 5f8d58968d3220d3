package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// serveDialTimeout limits connecting to an endpoint for another host, which waits a
	// little longer.
	serveDialTimeout = 100 * time.Millisecond
	// writeTimeout limits writing to an endpoint that reads nothing.
	writeTimeout = 5 * time.Second
	// waitInterval is how often Wait looks for open connections.
	waitInterval = 20 * time.Millisecond
	// readBufferBytes is the size of the buffer for data from an endpoint.
	readBufferBytes = 8 << 10
)

type (
	// ServerDeps are the dependencies of a Server.
	ServerDeps struct {
		Book   *reach.Book
		Dialer *Dialer
		// MaxOpen is the largest number of connections that this host keeps for others. Each
		// takes two descriptors, and up to peers.StreamWindowBytes of requests whose endpoint
		// reads slowly.
		MaxOpen int
		// Known reports whether an endpoint listens at the address. A host connects to
		// no other address.
		Known func(address string) bool
		// OnFailed is called when an endpoint can't be reached for another host.
		OnFailed func(address string)
		// Leaving reports whether this host is leaving.
		Leaving func() bool
		Clock   func() time.Duration
		Scope   tally.Scope
		Logger  *zap.Logger
	}

	// Server connects to endpoints for other hosts. It is safe for concurrent use.
	Server struct {
		deps ServerDeps
		open atomic.Int64
	}
)

// NewServer returns a server.
func NewServer(deps ServerDeps) *Server { return &Server{deps: deps} }

// Open returns the number of connections that are open for other hosts.
func (s *Server) Open() int64 { return s.open.Load() }

// Wait waits until no connection is open for other hosts, or the context ends. It is to
// be called once the host is leaving.
func (s *Server) Wait(ctx context.Context) {
	for s.open.Load() > 0 && waits.For(ctx, waitInterval) == nil {
	}
}

// Serve connects to an endpoint and carries data until either side ends.
func (s *Server) Serve(ctx context.Context, call *wirepb.DetourCall, stream *peers.Stream) {
	defer s.open.Add(-1)
	if s.open.Add(1) > int64(s.deps.MaxOpen) || s.deps.Leaving() {
		s.reply(stream, &wirepb.DetourReply{Unable: true})
		return
	}
	conn, reply := s.connect(ctx, call)
	s.deps.Scope.Tagged(map[string]string{"open": boolTag(reply.GetOpen())}).Counter("detours_served").Inc(1)
	if !s.reply(stream, reply) || conn == nil {
		if conn != nil {
			_ = conn.Close()
		}
		return
	}
	s.carry(conn, stream)
}

func boolTag(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func (s *Server) reply(stream *peers.Stream, reply *wirepb.DetourReply) bool {
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_DetourReply{DetourReply: reply}}); err != nil {
		s.deps.Logger.Debug("answering a call for a detour", zap.Error(err))
		return false
	}
	return true
}

// connect opens the connection to an endpoint, unless that has just failed.
func (s *Server) connect(ctx context.Context, call *wirepb.DetourCall) (net.Conn, *wirepb.DetourReply) {
	direct := reach.Direct(call.GetAddress())
	if !s.deps.Known(direct.Address) {
		// This host may learn of the endpoint later than others.
		return nil, &wirepb.DetourReply{Unable: true}
	}
	if s.deps.Book.JustFailed(direct) {
		return nil, &wirepb.DetourReply{Unable: s.deps.Book.Isolated(), ReachedBy: s.deps.Book.ReachedBy(direct.Address)}
	}
	ctx, cancel := context.WithTimeout(ctx, serveDialTimeout)
	defer cancel()
	conn, err := s.deps.Dialer.Dial(ctx, direct)
	if err != nil {
		failure := failureOf(direct, err)
		s.deps.Book.Failed(direct, failure)
		if !call.GetCheck() {
			s.deps.OnFailed(direct.Address)
		}
		return nil, &wirepb.DetourReply{
			Refused: failure.Refused, Unable: s.deps.Book.Isolated(), ReachedBy: s.deps.Book.ReachedBy(direct.Address),
		}
	}
	return conn, &wirepb.DetourReply{Open: true, Clock: int64(s.deps.Clock())}
}

// carry passes data on in both directions. The connection ends with the call.
func (s *Server) carry(conn net.Conn, stream *peers.Stream) {
	answers := make(chan struct{})
	go func() {
		defer close(answers)
		s.carryAnswers(conn, stream)
	}()
	s.carryRequests(conn, stream)
	_ = conn.Close()
	<-answers
}

// carryRequests passes data on to the endpoint until the call ends. Data that was held up
// for too long belongs to a request that was given up.
func (s *Server) carryRequests(conn net.Conn, stream *peers.Stream) {
	for {
		frame, err := stream.Recv()
		data := frame.GetDetourData()
		if err != nil || data == nil {
			return
		}
		if age := s.deps.Clock() - time.Duration(data.GetSentAt()); age > maxDataAge {
			event.DetourDataTooOld.Log(s.deps.Logger, zap.Stringer("endpoint", conn.RemoteAddr()), zap.Duration("age", age))
			return
		}
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			s.deps.Logger.Debug("limiting a write to an endpoint", zap.Error(err))
		}
		if _, err := conn.Write(data.GetData()); err != nil {
			return
		}
	}
}

// carryAnswers passes data on from the endpoint until its connection ends.
func (s *Server) carryAnswers(conn net.Conn, stream *peers.Stream) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := conn.Read(buffer)
		data := &wirepb.DetourData{Data: buffer[:n], End: errors.Is(err, io.EOF), Broken: err != nil && !errors.Is(err, io.EOF)}
		if sendErr := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_DetourData{DetourData: data}}); sendErr != nil || err != nil {
			return
		}
	}
}
