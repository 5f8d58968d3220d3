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

const (
	// minStatus and maxStatus bound the status of an answer. Other numbers have no class.
	minStatus, maxStatus = 100, 599
	// minFinalStatus is the least status of an answer that is no interim one.
	minFinalStatus = 200
	// maxHeadBytes and maxHeadLines limit the head of an answer, interim answers included.
	maxHeadBytes = 64 << 10
	maxHeadLines = 500
	// headWeight is how many bytes of memory a byte of a head takes at most while it is decoded,
	// lineWeight what a line takes besides.
	headWeight = 4
	lineWeight = 200
)

var (
	errStatusLine  = errors.New("malformed status line")
	errHeaderLine  = errors.New("malformed header line")
	errHeadTooLong = fmt.Errorf("the head has over %d lines", maxHeadLines)
	errFraming     = errors.New("the end of the body is stated in ways that differ")
)

type (
	// headConn is a client's connection whose Read fails at the first malformed line in the head
	// of an answer, so that net/http does not guess what it means.
	headConn struct {
		net.Conn
		// expecting is set when a request is about to be written, to what its answer takes. The
		// next bytes read are the head of that.
		expecting atomic.Pointer[expectation]
		// head is the state of the present answer, and hold what it takes. Only the goroutine
		// that reads uses them.
		head head
		hold *Hold
		err  error
	}

	// expectation is an answer that is expected.
	expectation struct{ hold *Hold }

	// head checks the head of an answer, whose bytes may come in pieces.
	head struct {
		// expected is true until the head is complete, interim answers before it included.
		expected bool
		// line holds the beginning of a line whose end has not come yet.
		line []byte
		// lines is the number of lines, those of interim answers included.
		lines int
		// begun is true after the status line.
		begun bool
		// minor is the minor version of HTTP/1, and status that of the answer.
		minor, status int
		// encoded reports whether a line states an encoding of the body.
		encoded bool
		// sized reports whether a line states a length, nonempty whether it is above 0.
		sized, nonempty bool
	}
)

// expectAnswer prepares for the answer to a request, whose head counts for the hold.
func (c *headConn) expectAnswer(hold *Hold) { c.expecting.Store(&expectation{hold: hold}) }

// Read reads from the server.
func (c *headConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if expected := c.expecting.Swap(nil); expected != nil {
		c.head, c.hold = head{expected: true}, expected.hold
	}
	if !c.head.expected {
		return n, err
	}
	lines := c.head.lines
	size, headErr := c.head.read(p[:n])
	if headErr == nil {
		headErr = c.hold.Grow(int64(headWeight*size + lineWeight*(c.head.lines-lines)))
	}
	if headErr != nil {
		c.err = fmt.Errorf("reading the head of an answer: %w", headErr)
		return 0, c.err
	}
	return n, err
}

// read checks the next bytes on the connection and returns how many of them belong to the head.
func (h *head) read(text []byte) (int, error) {
	size := len(text)
	for h.expected && len(text) > 0 {
		line, rest, found := bytes.Cut(text, []byte("\n"))
		if !found || len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if !found {
			return size, nil
		}
		if err := h.readLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return 0, err
		}
		text, h.line = rest, nil
	}
	return size - len(text), nil
}

func (h *head) readLine(line []byte) error {
	if h.lines++; h.lines > maxHeadLines {
		return errHeadTooLong
	}
	switch {
	case !h.begun:
		return h.readStatus(line)
	case len(line) > 0:
		return h.readField(line)
	}
	if err := h.checkFraming(); err != nil {
		return err
	}
	*h = head{expected: h.status < minFinalStatus, lines: h.lines}
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
