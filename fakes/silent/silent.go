// Package silent passes TCP connections on until they are silenced: then it passes nothing on and
// closes nothing, while new connections work, as if something between the two ends had lost
// track of them.
//
// # Usage
//
//	proxy, err := silent.Start(target)
//	defer proxy.Close()
//	proxy.Address()     // connect here
//	proxy.SilenceOpen() // the connections that are open now go silent for good
package silent

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

type (
	// Proxy passes connections on to a target.
	Proxy struct {
		listener net.Listener
		target   string
		tasks    sync.WaitGroup

		mu    sync.Mutex
		conns []net.Conn
		// silence is closed to silence the connections that are open.
		silence chan struct{}
		closed  bool
	}

	// writer drops what is written once it is silenced.
	writer struct {
		io.Writer
		silence <-chan struct{}
	}
)

// Start starts a proxy on a loopback address.
func Start(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	p := &Proxy{listener: listener, target: target, silence: make(chan struct{})}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SilenceOpen silences the connections that are open.
func (p *Proxy) SilenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silence)
	p.silence = make(chan struct{})
}

// Close closes all connections and waits until they have ended.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for _, conn := range p.conns {
		err = errors.Join(err, ignoreClosed(conn.Close()))
	}
	p.mu.Unlock()
	p.tasks.Wait()
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil || !p.add(conn, upstream) {
			_ = conn.Close()
			continue
		}
		p.carry(conn, upstream)
	}
}

// add remembers the connections so that Close ends them. It returns false after Close.
func (p *Proxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns = append(p.conns, conns...)
	}
	return !p.closed
}

// carry passes data on in both directions. Unless they are silenced, the connections end
// together.
func (p *Proxy) carry(conn, upstream net.Conn) {
	p.mu.Lock()
	silence := p.silence
	p.mu.Unlock()
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(writer{to, silence}, from)
		select {
		case <-silence:
		default:
			_, _ = conn.Close(), upstream.Close()
		}
	}
	p.tasks.Go(func() { pass(upstream, conn) })
	p.tasks.Go(func() { pass(conn, upstream) })
}

// Write writes, or drops the bytes.
func (w writer) Write(b []byte) (int, error) {
	select {
	case <-w.silence:
		return len(b), nil
	default:
		return w.Writer.Write(b)
	}
}
