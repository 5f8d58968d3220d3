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
	dialTimeout    = time.Second
	retireInterval = time.Second
)

var errPoolClosed = errors.New("peer pool closed")

type (
	// Pool calls other nodes. It is safe for concurrent use.
	Pool struct {
		observe func(call, reply *wirepb.Frame)

		mu       sync.Mutex
		sessions map[string]*slot
		closed   bool
		done     chan struct{}
		tasks    sync.WaitGroup
	}

	// slot serializes dialing to one address.
	slot struct {
		mu      sync.Mutex
		session *yamux.Session
	}
)

// NewPool returns a pool without sessions.
func NewPool() *Pool {
	return &Pool{sessions: make(map[string]*slot), done: make(chan struct{})}
}

// Observe sets what is told of each call of Do that was answered. It must be set
// before the first call.
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
	slots := p.sessions
	p.sessions = make(map[string]*slot)
	p.mu.Unlock()
	for _, s := range slots {
		s.mu.Lock()
		if s.session != nil {
			_ = s.session.Close()
		}
		s.mu.Unlock()
	}
	p.tasks.Wait()
}

// Open starts a call by sending its first frame.
func (p *Pool) Open(ctx context.Context, address string, call *wirepb.Frame) (*Stream, error) {
	session, fresh, err := p.session(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil && !fresh {
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
		p.drop(address, session)
		return nil, fmt.Errorf("calling %s: %w", address, err)
	}
	return stream, nil
}

// Do makes a call that has one reply. A call that times out drops the session,
// since its connection may have gone silent.
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

// Forget makes the next call to the address use a new connection. Streams that
// are open on the old one go on until they end or its keep-alive fails.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[address]
	if s == nil || p.closed {
		return
	}
	delete(p.sessions, address)
	p.tasks.Go(func() { p.retire(s) })
}

// retire closes a forgotten session once its last stream has ended.
func (p *Pool) retire(s *slot) {
	s.mu.Lock()
	session := s.session
	s.mu.Unlock()
	if session == nil {
		return
	}
	defer session.Close()
	ticker := time.NewTicker(retireInterval)
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
	s := p.sessions[address]
	p.mu.Unlock()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == session {
		s.session = nil
	}
}

func (p *Pool) session(ctx context.Context, address string) (*yamux.Session, bool, error) {
	s, err := p.slot(address)
	if err != nil {
		return nil, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil && !s.session.IsClosed() {
		return s.session, false, nil
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
	s.session = session
	return session, true, nil
}

func (p *Pool) slot(address string) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolClosed
	}
	s := p.sessions[address]
	if s == nil {
		s = &slot{}
		p.sessions[address] = s
	}
	return s, nil
}
