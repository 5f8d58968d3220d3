package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/currantloft/currantloft/wirepb"
)

// maxFrameBytes limits a frame. A larger one is neither sent nor read.
const maxFrameBytes = 8 << 20

// errFrameTooLarge reports that a frame exceeds maxFrameBytes and nothing of it was sent.
var errFrameTooLarge = errors.New("the frame is too large")

type (
	// Stream carries the frames of one call. Send and Recv may be used by one
	// goroutine each.
	Stream struct {
		conn          net.Conn
		reader        *bufio.Reader
		stopAfterFunc func() bool
	}

	// RemoteError is a problem that the callee reported.
	RemoteError struct {
		problem *wirepb.Problem
	}
)

// Error returns the callee's text.
func (e *RemoteError) Error() string { return "remote: " + e.problem.GetText() }

// NotRun reports whether the callee states that nothing was done.
func (e *RemoteError) NotRun() bool { return e.problem.GetNotRun() }

// Quarantined reports whether the request is quarantined and must not be retried.
func (e *RemoteError) Quarantined() bool { return e.problem.GetBarred() }

// RetryAfter returns how long to wait before a retry, 0 if the callee gave no
// time.
func (e *RemoteError) RetryAfter() time.Duration {
	return time.Duration(e.problem.GetRetryAfterMs()) * time.Millisecond
}

// newStream wraps a connection, which is closed when ctx ends.
func newStream(ctx context.Context, conn net.Conn) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReader(conn)}
	s.stopAfterFunc = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	return s
}

// Send writes one frame.
func (s *Stream) Send(frame *wirepb.Frame) error {
	if size := proto.Size(frame); size > maxFrameBytes {
		return fmt.Errorf("sending a frame of %d bytes: %w", size, errFrameTooLarge)
	}
	writer := bufio.NewWriter(s.conn)
	if _, err := protodelim.MarshalTo(writer, frame); err != nil {
		return fmt.Errorf("sending a frame: %w", err)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("sending a frame: %w", err)
	}
	return nil
}

// Recv reads one frame. It returns a problem frame as a *RemoteError.
func (s *Stream) Recv() (*wirepb.Frame, error) {
	frame := &wirepb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := options.UnmarshalFrom(s.reader, frame); err != nil {
		return nil, fmt.Errorf("receiving a frame: %w", err)
	}
	if problem, ok := frame.GetBody().(*wirepb.Frame_Problem); ok {
		return nil, &RemoteError{problem: problem.Problem}
	}
	return frame, nil
}

// Refuse answers a call with a problem, which the caller's Recv returns as a
// *RemoteError.
func (s *Stream) Refuse(problem *wirepb.Problem) error {
	return s.Send(&wirepb.Frame{Body: &wirepb.Frame_Problem{Problem: problem}})
}

// Close ends the call in both directions.
func (s *Stream) Close() error {
	s.stopAfterFunc()
	return s.conn.Close()
}

// isTimeout reports whether an error is a timeout of the connection or context.
func isTimeout(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return true
	}
	return errors.Is(err, context.DeadlineExceeded)
}
