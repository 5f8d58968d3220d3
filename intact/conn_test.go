package intact

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
)

const (
	testTimeout = 20 * time.Second
	// resetRounds is how often a connection is reset during an upload. Which system call a reset is
	// reported to varies.
	resetRounds = 500
	testPart    = "the beginning of an answer"
)

// acceptOnce starts a server that handles one connection.
func acceptOnce(t testing.TB, handle func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		// The client is connected once it writes.
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			handle(tcp)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// readDuringUpload reads from a server to the end of its connection while it uploads.
func readDuringUpload(t testing.TB, address string) (string, error) {
	t.Helper()
	conn, err := Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(testTimeout, func() { _ = conn.Close() })
	uploaded := make(chan struct{})
	go func() {
		defer close(uploaded)
		part := make([]byte, 4<<10)
		for {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}()
	got, err := io.ReadAll(conn)
	<-uploaded
	if !timer.Stop() {
		t.Error("the connection has not ended in time")
	}
	_ = conn.Close()
	return string(got), err
}

// TestResetDuringUploadLooksOrderly resets connections whose client writes.
func TestResetDuringUploadLooksOrderly(t *testing.T) {
	orderly := 0
	for range resetRounds {
		address := acceptOnce(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, testPart)
			time.Sleep(time.Millisecond)
			_ = conn.SetLinger(0)
		})
		if got, err := readDuringUpload(t, address); err == nil {
			orderly++
			check.Equal(t, "part", got, testPart)
		}
	}
	check.Equal(t, "resets that looked orderly", orderly, 0)
}

// TestOrderlyEndDuringUpload ends connections in order whose client writes, also if it reads on
// late or nothing.
func TestOrderlyEndDuringUpload(t *testing.T) {
	for name, read := range map[string]func(conn *net.TCPConn){
		"reads on":      func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
		"reads nothing": func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			address := acceptOnce(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, testPart)
				_ = conn.CloseWrite()
				read(conn)
			})
			got, err := readDuringUpload(t, address)
			check.Equal(t, "answer", got, testPart)
			check.Equal(t, "error", err, nil)
		})
	}
}

// scriptedConn ends reads with io.EOF, and fails a write once it is told to.
type scriptedConn struct {
	net.Conn
	fail     chan error
	deadline chan struct{}
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) Write([]byte) (int, error) { return 0, <-c.fail }

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// TestWriteInFlightAtTheEnd checks an end of reads while the write has not returned yet that the
// reset was reported to.
func TestWriteInFlightAtTheEnd(t *testing.T) {
	errReset := errors.New("reset")
	for name, tc := range map[string]struct{ write, want error }{
		"reset":        {errReset, errReset},
		"still blocks": {os.ErrDeadlineExceeded, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			raw := &scriptedConn{fail: make(chan error), deadline: make(chan struct{})}
			conn := NewConn(raw)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write([]byte("x"))
			}()
			for conn.writing.TryLock() {
				// The write has not begun.
				conn.writing.Unlock()
			}
			go func() {
				<-raw.deadline
				raw.fail <- tc.write
			}()
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, tc.want) {
				t.Errorf("reading ends with %v, want %v", err, tc.want)
			}
			<-written
		})
	}
}
