package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

// testMaxOpen is the largest number of connections that a host keeps for others.
const testMaxOpen = 20

// onePeer reaches one other host.
type onePeer struct {
	pool    *peers.Pool
	address string
}

func (onePeer) Detours() []reach.Host { return []reach.Host{{Name: "b"}} }

func (p onePeer) Open(ctx context.Context, _ string, call *wirepb.Frame) (*peers.Stream, error) {
	return p.pool.Open(ctx, p.address, call)
}

func (p onePeer) Forget(string) { p.pool.Forget(p.address) }

// detourFixture is a host that connects to an endpoint through another one, whose process
// can be suspended for a while as its clock sees it.
type detourFixture struct {
	dialer   *Dialer
	path     reach.Path
	accepted chan net.Conn
	// stopHost closes the other host's listener and connections.
	stopHost  func() error
	suspended atomic.Int64
	leaving   atomic.Bool
}

func newDetourFixture(t testing.TB) *detourFixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &detourFixture{accepted: make(chan net.Conn, 1000), path: reach.Path{Host: "b", Address: listener.Addr().String()}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.accepted <- conn
		}
	}()
	book := reach.NewBook(time.Now)
	server := NewServer(ServerDeps{
		Book: book, Dialer: NewDialer(DialerDeps{Book: book}), MaxOpen: testMaxOpen, Known: func(a string) bool { return a == f.path.Address },
		OnFailed: func(string) {}, Leaving: f.leaving.Load, Scope: tally.NoopScope, Logger: zap.NewNop(),
		Clock: func() time.Duration { return waits.Boottime() + time.Duration(f.suspended.Load()) },
	})
	b, err := peers.Listen("127.0.0.1:0", func(ctx context.Context, call *wirepb.Frame, stream *peers.Stream) {
		server.Serve(ctx, call.GetDetourCall(), stream)
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	f.stopHost = b.Close
	pool := peers.NewPool()
	t.Cleanup(func() {
		pool.Close()
		_ = b.Close()
		_ = listener.Close()
	})
	f.dialer = NewDialer(DialerDeps{Peers: onePeer{pool, b.Address()}, Clock: waits.Boottime})
	return f
}

// open opens a connection and returns both of its ends.
func (f *detourFixture) open(t testing.TB) (caller, endpoint net.Conn) {
	t.Helper()
	caller, err := f.dialer.Dial(t.Context(), f.path)
	if err != nil {
		t.Fatal(err)
	}
	endpoint = <-f.accepted
	timer := time.AfterFunc(5*time.Second, func() { _ = caller.Close() })
	t.Cleanup(func() { timer.Stop() })
	if err := endpoint.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return caller, endpoint
}

func mustWrite(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func checkReads(t testing.TB, conn net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(conn, got)
	check.Equal(t, "error of reading", err, nil)
	check.Equal(t, "bytes read", string(got), want)
}

// TestBrokenAnswerLooksComplete ends an endpoint's connection in several ways: only a
// proper end may look like one through the other host.
func TestBrokenAnswerLooksComplete(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(t *testing.T, f *detourFixture, endpoint net.Conn)
		want error
	}{
		"closed":           {func(_ *testing.T, _ *detourFixture, endpoint net.Conn) { _ = endpoint.Close() }, io.EOF},
		"other host stops": {func(_ *testing.T, f *detourFixture, _ net.Conn) { _ = f.stopHost() }, io.ErrUnexpectedEOF},
		"reset": {func(t *testing.T, _ *detourFixture, endpoint net.Conn) {
			tcp, ok := endpoint.(*net.TCPConn)
			if !ok {
				t.Fatalf("accepted a %T", endpoint)
			}
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			f := newDetourFixture(t)
			caller, endpoint := f.open(t)
			defer caller.Close()
			mustWrite(t, caller, "question")
			checkReads(t, endpoint, "question")
			mustWrite(t, endpoint, "answer")
			checkReads(t, caller, "answer")
			tc.end(t, f, endpoint)
			if _, err := caller.Read(make([]byte, 1)); !errors.Is(err, tc.want) {
				t.Errorf("reading ends with %v, want %v", err, tc.want)
			}
		})
	}
}

// TestSuspendedHostPassesOldRequestOn suspends the other host while a request is on its
// way through it: the request must not reach the endpoint afterwards.
func TestSuspendedHostPassesOldRequestOn(t *testing.T) {
	f := newDetourFixture(t)
	caller, endpoint := f.open(t)
	defer caller.Close()
	mustWrite(t, caller, "first")
	checkReads(t, endpoint, "first")
	f.suspended.Store(int64(2 * maxDataAge))
	mustWrite(t, caller, "second")
	got, err := io.ReadAll(endpoint)
	check.Equal(t, "bytes that arrive later", string(got), "")
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the endpoint's connection ends with %v, want a reset", err)
	}
	if _, err := caller.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the caller's connection ends with %v, want an error", err)
	}
}

// TestRefusedDetours checks what a host says if it does not connect.
func TestRefusedDetours(t *testing.T) {
	f := newDetourFixture(t)
	failure := func(path reach.Path) reach.Failure {
		_, err := f.dialer.Dial(t.Context(), path)
		if err == nil {
			t.Fatal("connected")
		}
		return failureOf(path, err)
	}
	check.Equal(t, "an unknown address", failure(reach.Path{Host: "b", Address: "127.0.0.1:1"}), reach.Failure{Isolated: true})
	f.leaving.Store(true)
	check.Equal(t, "a leaving host", failure(f.path), reach.Failure{Isolated: true})
}

// BenchmarkConnect compares opening a connection and one exchange over both paths.
func BenchmarkConnect(b *testing.B) {
	f := newDetourFixture(b)
	for name, path := range map[string]reach.Path{"direct": reach.Direct(f.path.Address), "detour": f.path} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				conn, err := f.dialer.Dial(b.Context(), path)
				if err != nil {
					b.Fatal(err)
				}
				endpoint := <-f.accepted
				mustWrite(b, conn, "question")
				checkReads(b, endpoint, "question")
				mustWrite(b, endpoint, "answer")
				checkReads(b, conn, "answer")
				_ = conn.Close()
				_ = endpoint.Close()
			}
		})
	}
}

// TestDetoursAreBounded opens more connections through a host than it keeps for others.
func TestDetoursAreBounded(t *testing.T) {
	f := newDetourFixture(t)
	opened := 0
	for range 2 * testMaxOpen {
		conn, err := f.dialer.Dial(t.Context(), f.path)
		if err != nil {
			continue
		}
		defer conn.Close()
		opened++
	}
	check.Equal(t, "opened connections", opened, testMaxOpen)
}

// TestOwnDetoursAreBounded opens more connections through other hosts than this host may have.
func TestOwnDetoursAreBounded(t *testing.T) {
	const limit = testMaxOpen / 2
	f := newDetourFixture(t)
	f.dialer.deps.MaxOpen = limit
	var open []net.Conn
	for range 2 * limit {
		if conn, err := f.dialer.Dial(t.Context(), f.path); err == nil {
			open = append(open, conn)
		}
	}
	check.Equal(t, "opened connections", len(open), limit)
	for _, conn := range open {
		_ = conn.Close()
		_ = conn.Close()
	}
	check.Equal(t, "open connections", f.dialer.tunnels.Load(), 0)
	conn, err := f.dialer.Dial(t.Context(), f.path)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// TestResetDuringUploadThroughHost resets the connection of an endpoint to another host while that
// writes to it.
func TestResetDuringUploadThroughHost(t *testing.T) {
	const rounds = 200
	f := newDetourFixture(t)
	orderly := 0
	for range rounds {
		caller, endpoint := f.open(t)
		mustWrite(t, caller, "question")
		uploaded := make(chan struct{})
		go func() {
			defer close(uploaded)
			part := make([]byte, 4<<10)
			for {
				if _, err := caller.Write(part); err != nil {
					return
				}
			}
		}()
		checkReads(t, endpoint, "question")
		mustWrite(t, endpoint, "answer")
		checkReads(t, caller, "answer")
		if tcp, ok := endpoint.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = endpoint.Close()
		if _, err := caller.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			orderly++
		}
		_ = caller.Close()
		<-uploaded
	}
	check.Equal(t, "resets that looked like an orderly end", orderly, 0)
}
