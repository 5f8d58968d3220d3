package intact

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// minStatus and maxStatus bound the status of an answer. Other numbers have no class.
const (
	minStatus, maxStatus = 100, 599
	// minFinalStatus is the least status of an answer that is no interim one.
	minFinalStatus = 200
)

var (
	errStatusLine = errors.New("malformed status line")
	errHeaderLine = errors.New("malformed header line")
	errFraming    = errors.New("the end of the body is stated in ways that differ")
)

type (
	// headConn is a client's connection whose Read fails at the first malformed line in the head
	// of an answer, so that net/http does not guess what it means.
	headConn struct {
		net.Conn
		// expecting is set when a request is about to be written. The next bytes read are the
		// head of its answer.
		expecting atomic.Bool
		// head is the state of the present answer. Only the goroutine that reads uses it.
		head head
		err  error
	}

	// head checks the head of an answer, whose bytes may come in pieces.
	head struct {
		// expected is true until the head is complete, interim answers before it included.
		expected bool
		// line holds the beginning of a line whose end has not come yet.
		line []byte
		// begun is true after the status line.
		begun bool
		// minor is the minor version of HTTP/1.
		minor, status int
		// encoded reports whether a line states an encoding of the body.
		encoded bool
		// sized reports whether a line states a length, nonempty whether it is above 0.
		sized, nonempty bool
	}
)

// expectAnswer prepares for the answer to a request.
func (c *headConn) expectAnswer() { c.expecting.Store(true) }

// Read reads from the server.
func (c *headConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.expecting.CompareAndSwap(true, false) {
		c.head = head{expected: true}
	}
	if headErr := c.head.read(p[:n]); headErr != nil {
		c.err = fmt.Errorf("reading the head of an answer: %w", headErr)
		return 0, c.err
	}
	return n, err
}

// read checks the next bytes on the connection. What follows the head is not looked at.
func (h *head) read(text []byte) error {
	for h.expected && len(text) > 0 {
		line, rest, found := bytes.Cut(text, []byte("\n"))
		if !found || len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if !found {
			return nil
		}
		if err := h.readLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		text, h.line = rest, nil
	}
	return nil
}

func (h *head) readLine(line []byte) error {
	switch {
	case !h.begun:
		return h.readStatus(line)
	case len(line) > 0:
		return h.readField(line)
	}
	if err := h.checkFraming(); err != nil {
		return err
	}
	*h = head{expected: h.status < minFinalStatus}
	return nil
}

// readStatus checks a status line. No request asks for another protocol.
func (h *head) readStatus(line []byte) error {
	var minor, status int
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !digits(version[len("HTTP/1."):], &minor) {
		return fmt.Errorf("%w %.40q", errStatusLine, line)
	}
	if len(code) != len("200") || !digits(code, &status) || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w %.40q: invalid status", errStatusLine, line)
	}
	h.begun, h.minor, h.status = true, minor, status
	return nil
}

// readField checks a header line. A name with a blank may be meant for another one, and a line
// that begins with one may be meant to go on with the line before: net/http accepts both.
func (h *head) readField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return fmt.Errorf("%w %.40q", errHeaderLine, line)
	}
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.encoded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.sized = true
		h.nonempty = h.nonempty || !bytes.Equal(bytes.Trim(value, " \t"), []byte("0"))
	}
	return nil
}

// checkFraming checks whether the lines of the head agree on where the body ends. net/http prefers
// one of them.
func (h *head) checkFraming() error {
	noBody := h.status < minFinalStatus || h.status == http.StatusNoContent
	if h.encoded && (h.sized || h.minor == 0 || noBody) || h.nonempty && noBody {
		return errFraming
	}
	return nil
}

// digits decodes an unsigned number. It reports false if there is another character.
func digits(text []byte, number *int) bool {
	*number = 0
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
		*number = 10**number + int(c-'0')
	}
	return true
}
