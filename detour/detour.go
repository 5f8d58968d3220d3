// Package detour carries requests to endpoints directly or through other hosts.
//
// A host that has lost its own path to an endpoint asks another host to connect to it, and
// sends its request over that connection. What is sent, and what becomes of the answer,
// stays with the host that has the request. Package reach decides over which path a
// request goes.
//
// The Dialer opens connections over a path, the Sender selects the paths of requests and
// gives up those that are broken, and the Server connects to endpoints for other hosts.
//
// A request runs no more often because of its path: it is sent over another one only if
// nothing of it was written before, or if it may be repeated. Bytes that were held up on
// the way to the other host, or in it, for longer than maxDataAge are not passed on, so
// that a request that was given up does not arrive later.
//
// # Usage
//
//	dialer := detour.NewDialer(detour.DialerDeps{Book: book, Peers: peers})
//	sender := detour.NewSender(detour.SenderDeps{Book: book, Dialer: dialer, Transport: transport})
//	reply := sender.Send(ctx, target, request)
//
//	server := detour.NewServer(detour.ServerDeps{Book: book, Dialer: dialer, Known: known})
//	server.Serve(ctx, call, stream)
package detour

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// dialTimeout limits opening a connection, also beyond the patience of the request
	// that asked for it: a later request may use it.
	dialTimeout = 400 * time.Millisecond
	// stalledTime is the silence of a host after which the connection with it may be
	// stalled. It answers within serveDialTimeout and a round trip.
	stalledTime = 300 * time.Millisecond
	// endpointKeepAlive is the interval of TCP keep-alive probes, and keepAliveProbes how
	// many may go unanswered: an unresponsive connection is detected after four seconds.
	// That is longer than an item or a request waits in silence, since an attempt that
	// is given up here resets its connection, and one that the kernel ends does not.
	endpointKeepAlive = 500 * time.Millisecond
	keepAliveProbes   = 7
	// maxDataAge is how old data may be that a host passes on to an endpoint: callers
	// expect that their requests end within half a second after they have left.
	maxDataAge = 400 * time.Millisecond
)

type (
	// Peers gives access to the other hosts.
	Peers interface {
		// Detours returns the hosts through which this one may connect.
		Detours() []reach.Host
		// Open starts a call to a host.
		Open(ctx context.Context, host string, call *wirepb.Frame) (*peers.Stream, error)
		// Forget makes the next call to a host use a new connection.
		Forget(host string)
	}

	// DialerDeps are the dependencies of a Dialer. All may be nil.
	DialerDeps struct {
		// Book gets what is learned of paths.
		Book *reach.Book
		// Peers connects to endpoints for this host.
		Peers Peers
		// Dial opens direct connections.
		Dial intact.DialFunc
		// Clock is the clock that includes suspension.
		Clock func() time.Duration
		// MaxOpen is the largest number of connections through other hosts, 0 for no limit.
		// Each takes up to peers.StreamWindowBytes of data that nobody has read.
		MaxOpen int
	}

	// Dialer opens connections over paths. It is safe for concurrent use.
	Dialer struct {
		deps DialerDeps
		// tunnels is the number of open connections through other hosts.
		tunnels atomic.Int64
	}

	// notOpenError reports that a host has not connected to an endpoint.
	notOpenError struct {
		host    string
		failure reach.Failure
	}
)

var errNoPeers = errors.New("no other host can be asked")

// Error returns why the host has not connected.
func (e *notOpenError) Error() string {
	return fmt.Sprintf("host %s has not connected (refused %t, isolated %t)", e.host, e.failure.Refused, e.failure.Isolated)
}

// NewDialer returns a dialer.
func NewDialer(deps DialerDeps) *Dialer {
	if deps.Book == nil {
		deps.Book = reach.NewBook(time.Now)
	}
	if deps.Dial == nil {
		deps.Dial = (&net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: endpointKeepAlive, Interval: endpointKeepAlive, Count: keepAliveProbes},
		}).DialContext
	}
	return &Dialer{deps: deps}
}

// Dial opens a connection over a path.
func (d *Dialer) Dial(ctx context.Context, path reach.Path) (net.Conn, error) {
	return d.open(ctx, path, false)
}

// Check opens a connection over a path and closes it.
func (d *Dialer) Check(ctx context.Context, path reach.Path) error {
	conn, err := d.open(ctx, path, true)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (d *Dialer) open(ctx context.Context, path reach.Path, check bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var conn net.Conn
	var err error
	if path.IsDirect() {
		conn, err = intact.Dial(d.deps.Dial)(ctx, "tcp", path.Address)
	} else {
		conn, err = d.dialThrough(ctx, path, check)
	}
	if err != nil {
		return nil, err
	}
	d.deps.Book.Connected(path)
	return &requestConn{Conn: conn, heard: func() { d.deps.Book.Heard(path) }}, nil
}

// dialThrough asks a host to connect to an endpoint.
func (d *Dialer) dialThrough(ctx context.Context, path reach.Path, check bool) (net.Conn, error) {
	if d.deps.Peers == nil {
		return nil, errNoPeers
	}
	if d.tunnels.Add(1) > int64(d.deps.MaxOpen) && d.deps.MaxOpen > 0 {
		d.tunnels.Add(-1)
		return nil, &notOpenError{host: path.Host, failure: reach.Failure{Isolated: true}}
	}
	conn, err := d.openTunnel(ctx, path, check)
	if err != nil {
		d.tunnels.Add(-1)
		return nil, err
	}
	return conn, nil
}

// openTunnel asks another host to connect to an endpoint.
func (d *Dialer) openTunnel(ctx context.Context, path reach.Path, check bool) (net.Conn, error) {
	// The connection outlives the context of the dial.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopWaiting := context.AfterFunc(ctx, cancel)
	call := &wirepb.Frame{Body: &wirepb.Frame_DetourCall{DetourCall: &wirepb.DetourCall{Address: path.Address, Check: check}}}
	stream, err := d.deps.Peers.Open(streamCtx, path.Host, call)
	if err != nil {
		cancel()
		return nil, &notOpenError{host: path.Host, failure: reach.Failure{Silent: true}}
	}
	askedAt := d.deps.Clock()
	frame, err := stream.Recv()
	receivedAt := d.deps.Clock()
	if !stopWaiting() && err == nil {
		err = ctx.Err()
	}
	if err != nil && receivedAt-askedAt > stalledTime {
		d.deps.Peers.Forget(path.Host)
	}
	reply := frame.GetDetourReply()
	if err != nil || !reply.GetOpen() {
		_ = stream.Close()
		cancel()
		failure := reach.Failure{Refused: reply.GetRefused(), Isolated: reply.GetUnable(), Silent: err != nil, ReachedBy: reply.GetReachedBy()}
		return nil, &notOpenError{host: path.Host, failure: failure}
	}
	return &tunnel{
		stream: stream, cancel: cancel, closed: sync.OnceFunc(func() { d.tunnels.Add(-1) }), path: path, clock: d.deps.Clock,
		offset: time.Duration(reply.GetClock()) - receivedAt,
	}, nil
}

// failureOf returns what an error of Dial says of the path.
func failureOf(path reach.Path, err error) reach.Failure {
	var notOpen *notOpenError
	if errors.As(err, &notOpen) {
		return notOpen.failure
	}
	return reach.Failure{Refused: errors.Is(err, syscall.ECONNREFUSED), Silent: !path.IsDirect()}
}
