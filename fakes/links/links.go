// Package links breaks the connections that one process opens, as a file says which
// another process writes. It stands in for partitions between hosts and endpoints, which
// a test can't make on loopback.
//
// A line of the file names an address, or * for all, how new connections fail, and what
// becomes of open ones:
//
//	ADDRESS ok|hang|refuse live|hang|reset
//
// Of several lines that match, the last one counts. An open connection that hangs holds
// the bytes of both directions back until the file changes. Bytes that it holds back are
// lost if it is closed meanwhile, and the other side is told of the close afterwards.
//
// # Usage
//
//	l, err := links.Watch(ctx, path)
//	conn, err := l.Dial(ctx, "tcp", address)
package links

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pollInterval is how often the file is read.
	pollInterval = 5 * time.Millisecond
	// maxHold limits how long a closed connection is kept until its link heals.
	maxHold = 30 * time.Second
	// everywhere is the address of a line for all addresses.
	everywhere = "*"
)

type (
	// NewMode is how new connections fail.
	NewMode string

	// OpenMode is what becomes of open connections.
	OpenMode string

	// Fault is the fault of one address.
	Fault struct {
		// Address is the address, empty for all.
		Address string
		New     NewMode
		Open    OpenMode
	}

	// Links are the links of one process. It is safe for concurrent use.
	Links struct {
		path string

		mu      sync.Mutex
		text    string
		faults  []Fault
		changed chan struct{}
		conns   map[*conn]struct{}
	}

	// conn is a connection over a link.
	conn struct {
		net.Conn
		links   *Links
		address string
		closed  chan struct{}
		once    sync.Once
	}
)

// Modes.
const (
	NewOK     NewMode = "ok"
	NewHang   NewMode = "hang"
	NewRefuse NewMode = "refuse"

	OpenLive  OpenMode = "live"
	OpenHang  OpenMode = "hang"
	OpenReset OpenMode = "reset"
)

var errMalformed = errors.New("want ADDRESS ok|hang|refuse live|hang|reset")

// Write replaces the faults in a file that a process watches.
func Write(path string, faults ...Fault) error {
	var text strings.Builder
	for _, f := range faults {
		if f.Address == "" {
			f.Address = everywhere
		}
		fmt.Fprintf(&text, "%s %s %s\n", f.Address, f.New, f.Open)
	}
	// A rename, so that no reader sees a part of the faults.
	if err := os.WriteFile(path+".new", []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("writing faults: %w", err)
	}
	return os.Rename(path+".new", path)
}

// Watch follows the file until the context ends. A missing file means no faults.
func Watch(ctx context.Context, path string) (*Links, error) {
	l := &Links{path: path, changed: make(chan struct{}), conns: make(map[*conn]struct{})}
	if err := l.reload(); err != nil {
		return nil, err
	}
	go func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if err := l.reload(); err != nil {
					panic(err)
				}
			}
		}
	}()
	return l, nil
}

// reload reads the file and resets the connections that are to be.
func (l *Links) reload() error {
	text, err := os.ReadFile(l.path)
	if err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("reading faults: %w", err)
	}
	faults, err := parse(string(text))
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if string(text) == l.text {
		return nil
	}
	l.text, l.faults = string(text), faults
	close(l.changed)
	l.changed = make(chan struct{})
	for c := range l.conns {
		if l.faultLocked(c.address).Open == OpenReset {
			reset(c.Conn)
		}
	}
	return nil
}

func parse(text string) ([]Fault, error) {
	var faults []Fault
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			return nil, fmt.Errorf("%w, got %q", errMalformed, line)
		}
		faults = append(faults, Fault{Address: fields[0], New: NewMode(fields[1]), Open: OpenMode(fields[2])})
	}
	return faults, nil
}

// fault returns the fault of an address, and a channel that is closed at the next change.
func (l *Links) fault(address string) (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faultLocked(address), l.changed
}

func (l *Links) faultLocked(address string) Fault {
	found := Fault{New: NewOK, Open: OpenLive}
	for _, f := range l.faults {
		if f.Address == everywhere || f.Address == address {
			found = f
		}
	}
	return found
}

// Dial opens a connection.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	fault, _ := l.fault(address)
	switch fault.New {
	case NewHang:
		// A packet that is lost is sent again only after a second, so a dial that began
		// during the fault does not end soon after it.
		<-ctx.Done()
		return nil, fmt.Errorf("dialing %s: %w", address, os.ErrDeadlineExceeded)
	case NewRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	default:
	}
	var dialer net.Dialer
	dialed, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: dialed, links: l, address: address, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// awaitLink waits while the connection hangs. It returns an error if it is closed
// meanwhile.
func (c *conn) awaitLink() error {
	for {
		fault, changed := c.links.fault(c.address)
		if fault.Open != OpenHang {
			return nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Read reads bytes once the link lets them through.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if held := c.awaitLink(); held != nil {
		return 0, held
	}
	return n, err
}

// Write writes bytes, at once if the link lets them through, else as soon as it does.
func (c *conn) Write(p []byte) (int, error) {
	if fault, _ := c.links.fault(c.address); fault.Open != OpenHang {
		return c.Conn.Write(p)
	}
	held := append([]byte(nil), p...)
	go func() {
		if c.awaitLink() == nil {
			// A reader of this connection finds out if it is broken.
			_, _ = c.Conn.Write(held)
		}
	}()
	return len(p), nil
}

// SetLinger has no effect: bytes that are held back are lost with any close.
func (*conn) SetLinger(int) error { return nil }

// Close closes the connection. The other side learns of it when the link lets it.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.links.mu.Lock()
		delete(c.links.conns, c)
		c.links.mu.Unlock()
		fault, changed := c.links.fault(c.address)
		if fault.Open != OpenHang {
			reset(c.Conn)
			return
		}
		go func() {
			deadline := time.After(maxHold)
			for fault.Open == OpenHang {
				select {
				case <-changed:
					fault, changed = c.links.fault(c.address)
				case <-deadline:
					fault.Open = OpenReset
				}
			}
			reset(c.Conn)
		}()
	})
	return nil
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
