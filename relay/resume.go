package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

const (
	// maxEventBytes bounds one event of a stream that may go on elsewhere.
	maxEventBytes = 1 << 20
	// stallLimit is how long a stream that has begun may bring nothing: a slow
	// endpoint's events come every 0.3 s, and callers leave after two seconds.
	stallLimit = 1200 * time.Millisecond
	// unnumbered stands for the id of what has none, such as a comment.
	unnumbered = -1
)

var (
	errLongEvent = errors.New("an event of the stream is too long")
	errTwice     = errors.New("an event of the stream stands twice")
)

// resuming is a stream of events that goes on at another endpoint when one breaks
// off. It passes on whole events only, so that none is cut in two.
//
// Load pattern: endpoints crash, are released or reset connections in the middle
// of streams while others of the service have room.
type resuming struct {
	ctx     context.Context
	run     *run
	version int
	body    io.ReadCloser
	reader  *bufio.Reader
	// ready is what can be read, last the id of the last event in it or before.
	ready []byte
	last  int
	// begun says that an event came from the present endpoint.
	begun bool
	err   error
}

func newResuming(ctx context.Context, x *run, answer Answer) *resuming {
	return &resuming{
		ctx: ctx, run: x, version: answer.Version, body: answer.Body,
		reader: bufio.NewReader(answer.Body), last: x.request.After,
	}
}

// Read returns bytes of whole events.
func (r *resuming) Read(buffer []byte) (int, error) {
	for len(r.ready) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		event, err := r.next()
		switch {
		case err == nil:
			r.ready = event
		case errors.Is(err, io.EOF):
			r.err = io.EOF
		default:
			r.err = r.goOn(err)
		}
	}
	n := copy(buffer, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

// Close ends the stream.
func (r *resuming) Close() error { return r.body.Close() }

// next reads one event; io.EOF means that the stream ended after a whole one.
func (r *resuming) next() ([]byte, error) {
	var raw []byte
	id := unnumbered
	if r.begun {
		// A read that waits ends with the body.
		body := r.body
		watchdog := time.AfterFunc(stallLimit, func() { _ = body.Close() })
		defer watchdog.Stop()
	}
	for {
		line, err := r.reader.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(raw) > maxEventBytes {
				return nil, errLongEvent
			}
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(raw)) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if n, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
				id = n
			}
		}
		if len(text) == 0 && len(bytes.TrimSpace(raw)) > 0 {
			if id <= r.last && id != unnumbered {
				return nil, errTwice
			}
			r.last, r.begun = max(r.last, id), true
			return raw, nil
		}
	}
}

// await returns the end of attempt n. Ends of others, which began when the stream
// had not, are dropped.
func (x *run) await(n int) attemptEnd {
	for {
		done := <-x.results
		x.open--
		if done.n == n {
			return done
		}
		if answer, ok := done.reply.(Answer); ok && answer.Body != nil {
			_ = answer.Body.Close()
		}
	}
}

// goOn takes the stream up at another endpoint after the last whole event, or
// returns why it can't.
func (r *resuming) goOn(cause error) error {
	x := r.run
	from := x.sentTo[len(x.sentTo)-1]
	_ = r.body.Close()
	x.state.NoteLost(from)
	x.request.After = r.last
	for r.ctx.Err() == nil && x.state.Next(time.Now()) == TryAnother {
		if end := x.start(r.ctx); end != nil {
			return fmt.Errorf("no other endpoint after event %d: %w", r.last, cause)
		}
		done := x.await(x.state.Sent)
		answer, ok := done.reply.(Answer)
		if ok && answer.Status == 200 && answer.Streamed && answer.Signed && answer.Version == r.version {
			r.body, r.begun = answer.Body, false
			r.reader.Reset(answer.Body)
			event.StreamResumed.Log(x.logger, zap.String("request", x.request.ID), zap.String("from", from),
				zap.String("endpoint", done.target.ID()), zap.Int("after", r.last), zap.Error(cause))
			return nil
		}
		if ok && answer.Body != nil {
			_ = answer.Body.Close()
		}
		if refused, ok := done.reply.(NotRun); ok {
			x.state.NoteNotRun(done.target.ID(), refused)
		} else {
			x.state.NoteLost(done.target.ID())
		}
	}
	return fmt.Errorf("the stream broke off after event %d: %w", r.last, cause)
}
