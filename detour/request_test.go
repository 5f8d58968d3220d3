package detour

import (
	"io"
	"net"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestAnsweredConnectionClosesOrderly checks that a connection without an unanswered
// request is not reset: the endpoint may still be sending the end of an answer.
func TestAnsweredConnectionClosesOrderly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		t.Fatalf("dialed a %T", raw)
	}
	c := &requestConn{Conn: tcp}
	peer := <-accepted
	defer peer.Close()
	if _, err := c.Write([]byte("question")); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, len("answer"))); err != nil {
		t.Fatal(err)
	}
	check.Equal(t, "error of Close", c.Close(), nil)
	got, err := io.ReadAll(peer)
	check.Equal(t, "bytes that arrive", string(got), "question")
	check.Equal(t, "error at the endpoint", err, nil)
}
