package intact

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the peer has closed the connection in
// order.
//
// The kernel reports a reset to one system call only. If that is a write, reads return io.EOF
// from then on, as after an orderly close.
type Conn struct {
	net.Conn

	// ended is set once the peer has closed the connection. Nothing is written any more.
	ended atomic.Bool
	// writing is held during a write. It guards writeErr, the error of the first write that
	// failed.
	writing  sync.Mutex
	writeErr error
}

// pastDeadline makes a write that is in flight return.
var pastDeadline = time.Unix(1, 0)

// NewConn returns a connection that tells an orderly end from a reset. It takes over conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write writes to the peer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the peer.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if endErr := c.checkEnd(); endErr != nil {
			err = endErr
		}
	}
	return n, err
}

// checkEnd returns an error if a write has failed. It waits for one that is in flight, which may
// be the one that the reset is reported to.
func (c *Conn) checkEnd() error {
	c.ended.Store(true)
	err := c.SetWriteDeadline(pastDeadline)
	if errors.Is(err, os.ErrNoDeadline) {
		// The connection is not the kernel's.
		return nil
	}
	if err != nil {
		return fmt.Errorf("ending writes: %w", err)
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("the connection broke during a write: %w", c.writeErr)
	}
	return nil
}

// SetLinger sets how Close treats unsent data, if the connection supports it.
func (c *Conn) SetLinger(sec int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return conn.SetLinger(sec)
	}
	return nil
}
