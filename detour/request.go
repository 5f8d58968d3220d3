package detour

import (
	"errors"
	"net"
	"sync/atomic"
)

// lingerer is a connection that can be reset, such as *net.TCPConn.
type lingerer interface{ SetLinger(sec int) error }

// requestConn is a connection to an endpoint. If it is closed before the answer to a
// request has begun, it is reset: after an ordinary close the kernel would go on sending
// what a partition has held up, and a request that was given up would arrive when the
// partition heals.
type requestConn struct {
	net.Conn
	// heard is called when bytes have come, nil for none.
	heard func()
	// unanswered is true if the last bytes on the connection were written here.
	unanswered atomic.Bool
}

// Write writes bytes of a request.
func (c *requestConn) Write(p []byte) (int, error) {
	c.unanswered.Store(true)
	return c.Conn.Write(p)
}

// Read reads bytes of an answer.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unanswered.Store(false)
		if c.heard != nil {
			c.heard()
		}
	}
	return n, err
}

// Close closes the connection, or resets it if a request is unanswered.
func (c *requestConn) Close() error {
	var err error
	if tcp, ok := c.Conn.(lingerer); ok && c.unanswered.Load() {
		err = tcp.SetLinger(0)
	}
	return errors.Join(err, c.Conn.Close())
}
