package detour

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/wirepb"
)

// maxDataBytes limits the data in one frame.
const maxDataBytes = 64 << 10

type (
	// tunnel is a connection to an endpoint through another host. Deadlines are not
	// supported; its users close it.
	tunnel struct {
		stream *peers.Stream
		cancel context.CancelFunc
		// closed records that the tunnel is closed.
		closed func()
		path   reach.Path
		clock  func() time.Duration
		// offset is by how much the other host's clock is ahead, at least.
		offset time.Duration

		// unread is data that was received and not read.
		unread  []byte
		readErr error

		writing sync.Mutex
	}

	// tunnelAddr is the address of a tunnel's end.
	tunnelAddr string
)

var _ net.Conn = (*tunnel)(nil)

// Network returns the name of the network.
func (tunnelAddr) Network() string { return "detour" }

// String returns the address.
func (a tunnelAddr) String() string { return string(a) }

// Read reads data that the endpoint has sent. It returns io.EOF only if the endpoint has
// closed the connection, not if the other host has gone.
func (t *tunnel) Read(p []byte) (int, error) {
	for len(t.unread) == 0 {
		if t.readErr != nil {
			return 0, t.readErr
		}
		t.unread, t.readErr = t.receive()
	}
	n := copy(p, t.unread)
	t.unread = t.unread[n:]
	return n, nil
}

func (t *tunnel) receive() ([]byte, error) {
	frame, err := t.stream.Recv()
	data := frame.GetDetourData()
	switch {
	case errors.Is(err, io.EOF):
		return nil, fmt.Errorf("host %s has ended the connection: %w", t.path.Host, io.ErrUnexpectedEOF)
	case err != nil:
		return nil, err
	case data == nil:
		return nil, fmt.Errorf("host %s has sent an unexpected frame", t.path.Host)
	case data.GetEnd():
		return data.GetData(), io.EOF
	case data.GetBroken():
		return data.GetData(), syscall.ECONNRESET
	default:
		return data.GetData(), nil
	}
}

// Write sends data to the endpoint.
func (t *tunnel) Write(p []byte) (int, error) {
	t.writing.Lock()
	defer t.writing.Unlock()
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+maxDataBytes)]
		data := &wirepb.DetourData{Data: part, SentAt: int64(t.clock() + t.offset)}
		if err := t.stream.Send(&wirepb.Frame{Body: &wirepb.Frame_DetourData{DetourData: data}}); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

// Close closes the connection. The other host then resets or closes its own.
func (t *tunnel) Close() error {
	defer t.closed()
	defer t.cancel()
	return t.stream.Close()
}

// LocalAddr returns the name of the other host.
func (t *tunnel) LocalAddr() net.Addr { return tunnelAddr(t.path.Host) }

// RemoteAddr returns the endpoint's address.
func (t *tunnel) RemoteAddr() net.Addr { return tunnelAddr(t.path.Address) }

// SetDeadline is not supported.
func (*tunnel) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline is not supported.
func (*tunnel) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline is not supported.
func (*tunnel) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
