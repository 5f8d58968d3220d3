package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

const (
	// headWeight is how many bytes of memory a byte of a head takes once it is decoded, for
	// heads of many short headers.
	headWeight = 8
	// headSlackBytes is by how much the bytes read for a head may exceed the limit: net/http
	// reads up to 4 KiB ahead, and the limit does not count all separators.
	headSlackBytes = 5 << 10
	// lingerTime and lingerBytes limit what is read from a client after its refusal. A client
	// that still writes when its connection closes may miss the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

type (
	// conn is a client's connection. What it reads before a request is whole counts towards
	// a budget.
	conn struct {
		net.Conn
		server *Server
		hold   *Hold

		// inHead is true while the head of a request is read.
		inHead atomic.Bool
		// headBytes is the number of bytes read of the present head. Only the goroutine that
		// reads heads uses it.
		headBytes int

		mu sync.Mutex
		// yielded is true once the connection has to end for others.
		yielded bool
		// inRequest is true while a handler has a request, whose answer says why it ends.
		inRequest bool
	}

	connKey struct{}
)

// fromContext returns the connection of a request, nil if the request has none.
func fromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Read reads from the client.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	if c.headBytes == 0 {
		c.hold.Await()
	}
	c.headBytes += n
	if c.headBytes > c.server.headLimit()+headSlackBytes {
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, causeLimit, errHeadTooLarge)
	}
	if err := c.hold.Grow(int64(n * headWeight)); err != nil {
		return 0, c.refuse(http.StatusServiceUnavailable, causeMemory, err)
	}
	return n, err
}

// refuse answers a request whose head is not whole, of which net/http knows nothing yet. It
// returns an error on which net/http closes the connection silently.
func (c *conn) refuse(status int, cause string, err error) error {
	c.server.count(partHead, cause)
	event.ClientRefused.Log(c.server.logger, zap.Stringer("client", c.RemoteAddr()), zap.Int("status", status), zap.Error(err))
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %.3f\r\n", RetryAfter.Seconds())
	}
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n", status, http.StatusText(status), retry)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	return io.EOF
}

// CloseWrite closes the connection for writing. net/http does so before it closes a
// connection whose client may still write.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetReadDeadline limits reads from the client, unless the connection has to end.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yielded {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// yield ends the connection for others. Within a request the read of its body fails, so that
// its handler can answer; else there is nobody to answer to.
func (c *conn) yield() {
	c.mu.Lock()
	c.yielded = true
	inRequest := c.inRequest
	if inRequest {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if !inRequest {
		c.server.count(partConnection, causeYielded)
		_ = c.Close()
	}
}

// setState follows the states of net/http: a connection becomes active when a head is whole.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		c.setInRequest(true)
		c.hold.Complete()
	case http.StateIdle:
		c.setInRequest(false)
		c.hold.Release()
		c.headBytes = 0
		c.inHead.Store(true)
	case http.StateClosed, http.StateHijacked:
		c.hold.Close()
	case http.StateNew:
	}
}

func (c *conn) setInRequest(value bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = value
}
