// Package script is a server that answers each request with given bytes, whatever they are, and
// closes the connection.
//
// # Usage
//
//	url := script.Start(t, "HTTP/1.1 000 \r\n\r\n")
package script

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Start starts a server and returns its address as a URL. The server ends with the test.
func Start(t testing.TB, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { serve(conn, text) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		tasks.Wait()
	})
	return "http://" + listener.Addr().String()
}

func serve(conn net.Conn, text string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// Unread bytes would make the close a reset.
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	// An error means that the client has left.
	_, _ = io.WriteString(conn, text)
}
