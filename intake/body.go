package intake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

const (
	// firstBufferBytes is the size of the first buffer for a body of unknown length.
	firstBufferBytes = 4 << 10
	// maxFirstBufferBytes limits the first buffer for a body of known length, since a client
	// may announce more than it sends.
	maxFirstBufferBytes = 64 << 10
	// probeBytes is the size of a read while the buffer is full: the body may end there.
	probeBytes = 512
)

// bodyReader reads a body into a buffer that grows with what has arrived.
type bodyReader struct {
	request *http.Request
	limit   int64
	// conn is the connection that the buffer counts for, nil for none.
	conn *conn
	body []byte
}

func (b *bodyReader) readAll() error {
	if b.limit > 0 && b.request.ContentLength > b.limit {
		return ErrTooLarge
	}
	var probe [probeBytes]byte
	for {
		space, full := b.body[len(b.body):cap(b.body)], len(b.body) == cap(b.body)
		if full {
			space = probe[:]
		}
		n, err := b.request.Body.Read(space)
		if b.limit > 0 && int64(len(b.body)+n) > b.limit {
			return ErrTooLarge
		}
		if full && n > 0 {
			if err := b.grow(n); err != nil {
				return err
			}
		}
		b.body = b.body[:len(b.body)+n]
		if full {
			copy(b.body[len(b.body)-n:], probe[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a body: %w", err)
		}
	}
}

// grow replaces the buffer by one with room for at least n more bytes.
func (b *bodyReader) grow(n int) error {
	size := max(firstBufferBytes, 2*cap(b.body))
	if known := int(b.request.ContentLength); known > 0 {
		if cap(b.body) == 0 {
			size = maxFirstBufferBytes
		}
		size = min(size, known)
	}
	size = max(size, len(b.body)+n)
	if b.conn != nil {
		if err := b.conn.hold.Grow(int64(size - cap(b.body))); err != nil {
			return err
		}
	}
	b.body = append(make([]byte, 0, size), b.body...)
	return nil
}
