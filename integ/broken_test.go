package integ

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// brokenUploadBytes is the size of a request whose answer comes while it is written.
	brokenUploadBytes = 1 << 20
	// brokenCallers send brokenRounds requests each, all at once.
	brokenCallers = 20
	brokenRounds  = 15
)

// brokenAnswer is an answer that is no whole one. ID is the request's id.
type brokenAnswer struct {
	text string
	// early answers come before the request's body is read; a reset follows.
	early bool
}

// TestEdgeBrokenAnswers lets endpoints send broken answers: no caller may get one as a success.
func TestEdgeBrokenAnswers(t *testing.T) {
	const signed = "Attempt-Id: ID\r\nResponse-Signature: s\r\n"
	for name, answer := range map[string]brokenAnswer{
		"reset during an upload": {"HTTP/1.1 200 OK\r\n" + signed + "\r\ntwenty bytes of body", true},
		"status 000":             {"HTTP/1.1 000 OK\r\n" + signed + "Content-Length: 4\r\n\r\nbody", false},
		"name with a blank":      {"HTTP/1.1 200 OK\r\n" + signed + "Foo : x\r\nContent-Length: 4\r\n\r\nbody", false},
		"chunked with a blank":   {"HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"name with a control":    {"HTTP/1.1 200 OK\r\n" + signed + "Foo\x01: x\r\nContent-Length: 4\r\n\r\nbody", false},
		"chunked and a length":   {"HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCrowdSite(t)
			s.addFloods(endlessAnswer{answer.text, ""}, func(f *flood) { f.early, f.end = answer.early, answer.end })
			body := make([]byte, 10)
			if answer.early {
				body = make([]byte, brokenUploadBytes)
			}
			statuses := make(map[int]int)
			var mu sync.Mutex
			var callers sync.WaitGroup
			for i := range brokenCallers {
				callers.Go(func() {
					for n := range brokenRounds {
						status, _ := s.send(http.MethodPost, s.hosts[0].callerAddress, endlessRoutes["idempotent"]+"x", fmt.Sprintf("broken-%d-%d", i, n), body)
						mu.Lock()
						statuses[status]++
						mu.Unlock()
					}
				})
			}
			callers.Wait()
			t.Logf("answers by status: %v", statuses)
			if statuses[http.StatusOK] > 0 || statuses[http.StatusBadGateway] == 0 {
				t.Errorf("answers by status: %v, want no success and failures of the host", statuses)
			}
		})
	}
}

// end ends the connection once the bytes written have arrived, by a reset if the answer is early.
func (a brokenAnswer) end(conn net.Conn) {
	time.Sleep(time.Millisecond)
	if tcp, ok := conn.(*net.TCPConn); ok && a.early {
		_ = tcp.SetLinger(0)
	}
}
