package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/currantloft/currantloft/wirepb"
)

const (
	dialTimeout = time.Second
	// retireCheckInterval is how often a forgotten session is checked for streams
	// that are still open.
	retireCheckInterval = time.Second
)

var errPoolClosed = errors.New("peer pool closed")

type (
	// Pool calls other nodes over one session for each address. It is safe for
	// concurrent use.
	Pool struct {
		observe func(call, reply *wirepb.Frame)

		mu          sync.Mutex
		connections map[string]*connection
		closed      bool
		done        chan struct{}
		tasks       sync.WaitGroup
	}

	// connection holds the session with one address. Its lock serializes dialing.
	connection struct {
		mu      sync.Mutex
		session *yamux.Session
	}
)

// NewPool returns a pool without sessions.
func NewPool() *Pool {
	return &Pool{connections: make(map[string]*connection), done: make(chan struct{})}
}

// Observe sets a function that is called for each answered call of Do. It must be
// called before the first call.
func (p *Pool) Observe(observe func(call, reply *wirepb.Frame)) { p.observe = observe }

// Close ends all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.done)
	connections := p.connections
	p.connections = make(map[string]*connection)
	p.mu.Unlock()
	for _, conn := range connections {
		conn.mu.Lock()
		if conn.session != nil {
			_ = conn.session.Close()
		}
		conn.mu.Unlock()
	}
	p.tasks.Wait()
}

// Open starts a call by sending its first frame.
func (p *Pool) Open(ctx context.Context, address string, call *wirepb.Frame) (*Stream, error) {
	session, dialed, err := p.session(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil && !dialed {
		p.drop(address, session)
		session, _, err = p.session(ctx, address)
		if err != nil {
			return nil, err
		}
		conn, err = session.OpenStream()
	}
	if err != nil {
		return nil, fmt.Errorf("opening a stream to %s: %w", address, err)
	}
	stream := newStream(ctx, conn)
	if err := stream.Send(call); err != nil {
		_ = stream.Close()
		if !errors.Is(err, errFrameTooLarge) {
			p.drop(address, session)
		}
		return nil, fmt.Errorf("calling %s: %w", address, err)
	}
	return stream, nil
}

// Do makes a call that has one reply. A call that times out makes the next one
// use a new connection, since the present one may be stalled.
func (p *Pool) Do(ctx context.Context, address string, call *wirepb.Frame) (*wirepb.Frame, error) {
	stream, err := p.Open(ctx, address, call)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	reply, err := stream.Recv()
	if err != nil {
		if isTimeout(err) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.Forget(address)
		}
		return nil, fmt.Errorf("calling %s: %w", address, err)
	}
	if p.observe != nil {
		p.observe(call, reply)
	}
	return reply, nil
}

// DoTwice makes a call that may be carried out twice. If it fails within half of the time until
// the context's deadline, it is made once more, over a new connection: an open one may have gone
// silent for good.
func (p *Pool) DoTwice(ctx context.Context, address string, call *wirepb.Frame) (*wirepb.Frame, error) {
	first, cancel := ctx, context.CancelFunc(func() {})
	if deadline, ok := ctx.Deadline(); ok {
		first, cancel = context.WithDeadline(ctx, deadline.Add(-time.Until(deadline)/2))
	}
	reply, err := p.Do(first, address, call)
	cancel()
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	return p.Do(ctx, address, call)
}

// Forget makes the next call to the address use a new connection. Streams that
// are open on the old one continue until they end or its keep-alive fails.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.connections[address]
	if conn == nil || p.closed {
		return
	}
	delete(p.connections, address)
	p.tasks.Go(func() { p.retire(conn) })
}

// retire closes a forgotten session once its last stream has ended.
func (p *Pool) retire(conn *connection) {
	conn.mu.Lock()
	session := conn.session
	conn.mu.Unlock()
	if session == nil {
		return
	}
	defer session.Close()
	ticker := time.NewTicker(retireCheckInterval)
	defer ticker.Stop()
	for !session.IsClosed() && session.NumStreams() > 0 {
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
	}
}

// drop closes a session and makes the next call dial again.
func (p *Pool) drop(address string, session *yamux.Session) {
	_ = session.Close()
	p.mu.Lock()
	conn := p.connections[address]
	p.mu.Unlock()
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.session == session {
		conn.session = nil
	}
}

// session returns the open session with an address, or dials one. The second
// result is true if it dialed.
func (p *Pool) session(ctx context.Context, address string) (*yamux.Session, bool, error) {
	peerConn, err := p.connection(address)
	if err != nil {
		return nil, false, err
	}
	peerConn.mu.Lock()
	defer peerConn.mu.Unlock()
	if peerConn.session != nil && !peerConn.session.IsClosed() {
		return peerConn.session, false, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, fmt.Errorf("dialing %s: %w", address, err)
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, false, fmt.Errorf("starting a session with %s: %w", address, err)
	}
	peerConn.session = session
	return session, true, nil
}

func (p *Pool) connection(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolClosed
	}
	conn := p.connections[address]
	if conn == nil {
		conn = &connection{}
		p.connections[address] = conn
	}
	return conn, nil
}
