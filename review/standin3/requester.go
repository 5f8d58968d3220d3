package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

type (
	// request is what a requester sends.
	request struct {
		method, path, id string
		deadline         time.Duration
		header           []string
		body             string
	}

	// channel is a requester's connection to a host.
	channel struct {
		conn   net.Conn
		reader *bufio.Reader
	}

	// answer is what a requester gets for a request: a status, or why there is none.
	answer struct {
		status int
		header http.Header
		body   []byte
		// err is why the answer is not complete, nil if it is.
		err  error
		took time.Duration
	}
)

// text returns the request as it is written.
func (q request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, hostname, q.id, q.deadline.Milliseconds())
	for _, line := range q.header {
		b.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	return b.String()
}

// open opens a channel to a host within a second, as requesters do.
func open(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// openSlow opens a channel with a small window and segments of an Ethernet link, which a
// requester reads slowly.
func openSlow(address string) (*channel, error) {
	const window, segment = 16 << 10, 1460
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReaderSize(conn, 512)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// do sends a request and reads its answer, until half a second after its time budget.
func (c *channel) do(q request) answer {
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(q.deadline + 500*time.Millisecond))
	if _, err := io.WriteString(c.conn, q.text()); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err, took: time.Since(began)}
}

// ask sends a request on a new channel.
func ask(address string, q request) answer {
	c, err := open(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.do(q)
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("status %d after %d ms, %d bytes, complete %t", a.status, a.took.Milliseconds(), len(a.body), a.err == nil)
}
