// Package intake bounds the memory, connections and time that clients can take of a process
// before their requests are whole.
//
// A Server is an http.Server whose connections share a Budget with those of other servers.
// What a client has sent of a request counts towards the budget, until the request is answered.
// If the budget is used up, incomplete requests yield that have taken most memory for most
// time, or else the request is refused that needs more. Each server also limits the number of
// its connections: the one that has waited for its client for longest is closed for a new one.
//
// # Usage
//
//	budget := intake.NewBudget(bytes, time.Now)
//	server := intake.NewServer(intake.Config{Budget: budget, Connections: 500, Handler: handler, ...})
//	go server.Serve(listener)
//	defer server.Shutdown(ctx)
//
//	body, err := intake.ReadBody(r, limit, timeout) // in the handler
//	if err != nil {
//		intake.Refuse(w, r, func() { http.Error(w, err.Error(), http.StatusServiceUnavailable) })
//	}
package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

const (
	// RetryAfter is when a client may try again whose request was refused for lack of
	// memory: by then other incomplete requests yield.
	RetryAfter = minWait
	// headCeilingBytes is the largest head that net/http reads. Config.HeadBytes is less.
	headCeilingBytes = 8 << 20
	// DrainTimeout limits how long the rest of a refused request is read, drainBytes how much.
	DrainTimeout = 2 * time.Second
	drainBytes   = 64 << 20
)

// Tags of the metric requests_cut_short: what part of a request was refused, and why.
const (
	partConnection = "connection"
	partHead       = "head"
	partBody       = "body"

	causeLimit   = "limit"
	causeMemory  = "memory"
	causeYielded = "yielded"
	causeTimeout = "timeout"
	causeTooMany = "too_many"
	causeBroken  = "broken"
)

var (
	// ErrTooLarge reports that a body exceeds its limit.
	ErrTooLarge = errors.New("the body is larger than the configuration allows")
	// ErrTimeout reports that a body did not arrive in time.
	ErrTimeout = errors.New("the body did not arrive in time")

	errHeadTooLarge = errors.New("the head is larger than the configuration allows")
	errTooMany      = errors.New("too many connections, none of which waits for its client")
)

type (
	// Config configures a Server.
	Config struct {
		Budget *Budget
		// Connections is the largest number of open connections.
		Connections int
		// HeadBytes returns the largest size of a request's head, 0 for no limit.
		HeadBytes func() int
		// HeadTimeout, BodyTimeout and IdleTimeout limit how long a client may take for a
		// head and a body, and between requests. Handlers may give a body less time.
		HeadTimeout, BodyTimeout, IdleTimeout time.Duration
		Handler                               http.Handler
		Scope                                 tally.Scope
		Logger                                *zap.Logger
	}

	// Server is an HTTP server whose clients share a budget.
	Server struct {
		config Config
		group  *Group
		http   *http.Server
		logger *zap.Logger
	}

	// listener accepts connections that a Server admits.
	listener struct {
		net.Listener
		server *Server
	}
)

// NewServer returns a server.
func NewServer(config Config) *Server {
	s := &Server{config: config, group: config.Budget.NewGroup(config.Connections), logger: config.Logger}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: config.HeadTimeout, IdleTimeout: config.IdleTimeout, MaxHeaderBytes: headCeilingBytes,
		ConnState: func(c net.Conn, state http.ConnState) { c.(*conn).setState(state) },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: zap.NewStdLog(s.logger),
	}
	return s
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{Listener: l, server: s}) }

// Shutdown waits until all requests are answered and all connections closed.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes all connections.
func (s *Server) Close() error { return s.http.Close() }

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, server: l.server}
		c.inHead.Store(true)
		if c.hold = l.server.group.Admit(c.yield); c.hold != nil {
			return c, nil
		}
		l.server.count(partConnection, causeTooMany)
		event.ClientRefused.Log(l.server.logger, zap.Stringer("client", accepted.RemoteAddr()), zap.Error(errTooMany))
		_ = accepted.Close()
	}
}

// serve passes a request on to the handler. Until that has read its body, the client is
// awaited.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if c := fromContext(r.Context()); c != nil && r.Body != http.NoBody {
		c.await(s.config.BodyTimeout)
	}
	s.config.Handler.ServeHTTP(w, r)
}

// headLimit returns the largest size of a head.
func (s *Server) headLimit() int {
	if limit := s.config.HeadBytes(); limit > 0 {
		return min(limit, headCeilingBytes)
	}
	return http.DefaultMaxHeaderBytes
}

// count counts a request that was cut short.
func (s *Server) count(part, cause string) {
	s.config.Scope.Tagged(map[string]string{"part": part, "cause": cause}).Counter("requests_cut_short").Inc(1)
}

// await waits for the rest of a request for the given time at most.
func (c *conn) await(timeout time.Duration) {
	c.hold.Await()
	_ = c.SetReadDeadline(time.Now().Add(timeout))
}

// complete ends the time limit of a request that is whole.
func (c *conn) complete() {
	c.hold.Complete()
	_ = c.SetReadDeadline(time.Time{})
}

// ReadBody reads a request's body. It returns ErrTooLarge if the body exceeds the limit, 0 for
// none, ErrTimeout if it takes longer than the timeout, 0 for that of the server, and ErrBusy or
// ErrYielded if there is no memory for it. After an error the request is to be answered with Refuse.
func ReadBody(r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	c := fromContext(r.Context())
	if c != nil && timeout > 0 && r.Body != http.NoBody {
		c.await(min(timeout, c.server.config.BodyTimeout))
	}
	reader := bodyReader{request: r, limit: limit, conn: c}
	err := reader.readAll()
	if c == nil {
		return reader.body, err
	}
	if err == nil {
		c.complete()
		return reader.body, nil
	}
	if c.hold.Yielded() {
		err = ErrYielded
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrTimeout
	}
	c.hold.Release()
	c.server.count(partBody, causeOf(err))
	return nil, err
}

// Grow counts further bytes that a whole request takes until it is answered. It returns ErrBusy if
// there is no memory for them.
func Grow(r *http.Request, bytes int64) error {
	c := fromContext(r.Context())
	if c == nil {
		return nil
	}
	err := c.hold.Grow(bytes)
	if err != nil {
		c.server.count(partBody, causeOf(err))
	}
	return err
}

// Refuse answers a request whose body has not been read and discards for a short time what the
// client still sends: one that still writes when its connection closes may miss the answer.
func Refuse(w http.ResponseWriter, r *http.Request, answer func()) {
	controller := http.NewResponseController(w)
	// Otherwise the server reads the body before it answers. Connections that can't do this
	// answer later.
	_ = controller.EnableFullDuplex()
	answer()
	_ = controller.Flush()
	if r.Header.Get("Expect") != "" {
		// The client waits for a permission to send the body and has got this answer.
		return
	}
	if c := fromContext(r.Context()); c != nil {
		c.await(DrainTimeout)
	} else {
		_ = controller.SetReadDeadline(time.Now().Add(DrainTimeout))
	}
	// An error means that the client has left, or that the time is over.
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)
}

func causeOf(err error) string {
	switch {
	case errors.Is(err, ErrTooLarge):
		return causeLimit
	case errors.Is(err, ErrBusy):
		return causeMemory
	case errors.Is(err, ErrYielded):
		return causeYielded
	case errors.Is(err, ErrTimeout):
		return causeTimeout
	default:
		return causeBroken
	}
}
