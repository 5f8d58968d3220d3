package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
)

const (
	serverCapacity = 256 << 10
	serverTimeout  = 10 * time.Second
)

// statuses are the answers that a handler gives to errors of ReadBody.
var statuses = map[error]int{
	ErrTooLarge: http.StatusRequestEntityTooLarge, ErrTimeout: http.StatusRequestTimeout,
	ErrBusy: http.StatusServiceUnavailable, ErrYielded: http.StatusServiceUnavailable,
}

// testServer reads bodies of up to the server's capacity within a timeout.
type testServer struct {
	address string
	scope   tally.TestScope
	// hold keeps answers back until it is closed. held gets a value for each request that waits for it,
	// whose body is whole.
	hold, held chan struct{}
}

func startServer(t *testing.T, bodyTimeout time.Duration) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: listener.Addr().String(), scope: tally.NewTestScope("", nil), hold: make(chan struct{}), held: make(chan struct{}, 1)}
	server := NewServer(Config{
		Budget: NewBudget(serverCapacity, time.Now), Connections: 4, HeadBytes: func() int { return 1 << 10 },
		HeadTimeout: serverTimeout, BodyTimeout: serverTimeout, IdleTimeout: serverTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := ReadBody(r, serverCapacity, bodyTimeout)
			if err == nil {
				if r.URL.Path == "/held" {
					s.held <- struct{}{}
					<-s.hold
				}
				return
			}
			status := http.StatusBadRequest
			for known, code := range statuses {
				if errors.Is(err, known) {
					status = code
				}
			}
			Refuse(w, r, func() { http.Error(w, err.Error(), status) })
		}),
		Scope: s.scope, Logger: zap.NewNop(),
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// send sends bytes and returns the connection.
func (s *testServer) send(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(serverTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func checkStatus(t *testing.T, conn net.Conn, want int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	check.Equal(t, "status", response.StatusCode, want)
}

func (s *testServer) checkCounted(t *testing.T, part, cause string) {
	t.Helper()
	for _, c := range s.scope.Snapshot().Counters() {
		if c.Name() == "requests_cut_short" && c.Tags()["part"] == part && c.Tags()["cause"] == cause && c.Value() > 0 {
			return
		}
	}
	t.Errorf("no request is counted as cut short in its %s for %s", part, cause)
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// TestRefusals checks what clients get whose requests can't be received.
func TestRefusals(t *testing.T) {
	large := strings.Repeat("b", serverCapacity/2)
	t.Run("a body that is too large", func(t *testing.T) {
		s := startServer(t, 0)
		checkStatus(t, s.send(t, post("/", serverCapacity+1, "")), http.StatusRequestEntityTooLarge)
		s.checkCounted(t, partBody, causeLimit)
	})
	t.Run("a body that comes too late", func(t *testing.T) {
		s := startServer(t, 50*time.Millisecond)
		checkStatus(t, s.send(t, post("/", 10, "123")), http.StatusRequestTimeout)
		s.checkCounted(t, partBody, causeTimeout)
	})
	t.Run("a body that yields to another", func(t *testing.T) {
		s := startServer(t, 0)
		stalled := s.send(t, post("/", serverCapacity, large))
		time.Sleep(minWait + 100*time.Millisecond)
		checkStatus(t, s.send(t, post("/", len(large), large)), http.StatusOK)
		checkStatus(t, stalled, http.StatusServiceUnavailable)
		s.checkCounted(t, partBody, causeYielded)
	})
	t.Run("a body beside whole ones", func(t *testing.T) {
		s := startServer(t, 0)
		defer close(s.hold)
		held := s.send(t, post("/held", len(large), large))
		defer held.Close()
		select {
		case <-s.held:
		case <-time.After(serverTimeout):
			t.Fatal("the body that is to be held did not become whole")
		}
		checkStatus(t, s.send(t, post("/", len(large), large)), http.StatusServiceUnavailable)
		checkStatus(t, s.send(t, post("/", 5, "small")), http.StatusOK)
		s.checkCounted(t, partBody, causeMemory)
	})
	t.Run("a head that is too large", func(t *testing.T) {
		s := startServer(t, 0)
		checkStatus(t, s.send(t, "GET / HTTP/1.1\r\nLong: "+strings.Repeat("x", 8<<10)), http.StatusRequestHeaderFieldsTooLarge)
		s.checkCounted(t, partHead, causeLimit)
	})
	t.Run("a connection beside newer ones", func(t *testing.T) {
		s := startServer(t, 0)
		oldest := s.send(t, "GET /")
		for range 4 {
			s.send(t, "GET /")
		}
		checkStatus(t, s.send(t, post("/", 5, "small")), http.StatusOK)
		if n, err := oldest.Read(make([]byte, 1)); err == nil {
			t.Errorf("the oldest connection got %d bytes, want it to be closed", n)
		}
		s.checkCounted(t, partConnection, causeYielded)
	})
}
