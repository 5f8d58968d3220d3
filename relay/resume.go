package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/intact"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// stallTimeout is how long a started stream that can be resumed may go without a
	// complete event.
	// It lies between the 0.3 s from one event of a slow endpoint to the next and
	// the two seconds after which callers disconnect.
	stallTimeout = 1200 * time.Millisecond
	// maxStallTimeout and maxStallLatencies limit the same for endpoints whose events
	// usually come more slowly: callers wait for two seconds at least, and for four times
	// the target latency.
	maxStallTimeout   = 1900 * time.Millisecond
	maxStallLatencies = 4
	// noEventID is the ID of an event without one.
	noEventID = -1
)

var (
	errEventTooLong   = errors.New("stream event exceeds the size limit")
	errDuplicateEvent = errors.New("stream repeats an event that was already received")
	errEventGap       = errors.New("stream goes on with another event than the next one")
	errEventNoID      = errors.New("stream holds an event without an ID")
	errNoEvent        = errors.New("endpoint ended the stream without an event")
	errNoResumption   = errors.New("answer doesn't go on with the stream")
	errNoEventField   = errors.New("stream holds bytes that belong to no event")
)

// eventStream is the event stream of a successful answer. It forwards only complete events.
// If the route allows, it is resumed on another endpoint when its connection breaks.
//
// Only endpoints with the software that sent the first event continue the stream.
//
// It is designed for endpoints that crash, are released or reset connections in
// the middle of streams while others of the service have free slots.
type eventStream struct {
	ctx    context.Context
	active *activeRequest
	target fleet.Target
	// version is the weight version of the last event, 0 if it was not stated.
	version int
	body    io.ReadCloser
	// unframed reports whether the end of the body is not stated.
	unframed bool
	reader   *bufio.Reader
	// pending holds bytes of complete events that Read has not returned yet; lastID
	// is the highest event ID read so far.
	pending []byte
	lastID  int
	// counted is what the event that is read or pending takes of the answer's budget.
	counted int64
	// started reports whether the current endpoint has sent an event.
	started bool
	// eventAt is when its last event came.
	eventAt time.Time
	// resumed reports whether the stream was resumed on another endpoint.
	resumed bool
	err     error
}

func newEventStream(ctx context.Context, active *activeRequest, answer Answer, target fleet.Target) *eventStream {
	return &eventStream{
		ctx: ctx, active: active, target: target, version: answer.Version, body: answer.Body, unframed: answer.Unframed,
		reader: bufio.NewReader(answer.Body), lastID: active.request.LastEventID,
	}
}

// Read returns bytes of complete events. It resumes a broken stream if it can.
func (r *eventStream) Read(buffer []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		eventBytes, err := r.next()
		switch {
		case err == nil:
			r.pending = eventBytes
		case errors.Is(err, io.EOF):
			r.err = io.EOF
		default:
			r.err = r.resume(err)
			r.logBroken()
		}
	}
	n := copy(buffer, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// logBroken logs that the stream broke off, unless the caller has left.
func (r *eventStream) logBroken() {
	if r.err == nil || errors.Is(r.ctx.Err(), context.Canceled) {
		return
	}
	event.StreamBroken.Log(r.active.logger, zap.String("request", r.active.request.ID), zap.String("service", r.active.service),
		zap.Strings("endpoints", r.active.sentTo), zap.Int("after", r.lastID), zap.Error(r.err))
}

// Close closes the connection to the current endpoint.
func (r *eventStream) Close() error { return r.body.Close() }

// stallLimit returns how long the next event may take. It is longer once the stream has
// stalled: an endpoint's usual interval is not known before two of its events.
func (r *eventStream) stallLimit() time.Duration {
	longest := max(maxStallTimeout, maxStallLatencies*r.active.route.TargetLatency)
	if r.resumed {
		return longest
	}
	return r.active.fleet.StallLimit(r.target.ID(), stallTimeout, longest)
}

// next reads one event, with the comments before it. It returns io.EOF if the stream ended
// after a complete event, and another error if the endpoint stalls, disconnects, repeats an
// event or sends anything else than events.
func (r *eventStream) next() ([]byte, error) {
	var eventBytes []byte
	hold := intact.HoldOf(r.body)
	hold.Shrink(r.counted)
	r.counted = 0
	id, version, lineStart, inEvent := noEventID, r.version, 0, false
	if r.started && r.active.route.Resumable {
		// Closing the body unblocks a waiting read.
		body := r.body
		watchdog := time.AfterFunc(r.stallLimit(), func() { _ = body.Close() })
		defer watchdog.Stop()
	}
	for {
		chunk, err := r.reader.ReadSlice('\n')
		eventBytes = append(eventBytes, chunk...)
		if taken := int64(cap(eventBytes)); taken > r.counted {
			if err := hold.Grow(taken - r.counted); err != nil {
				return nil, err
			}
			r.counted = taken
		}
		line := eventBytes[lineStart:]
		switch {
		case len(eventBytes) > maxEventBytes:
			return nil, errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && (inEvent || len(bytes.TrimSpace(line)) > 0):
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) && !r.started && (r.unframed || r.lastID < 0):
			return nil, errNoEvent
		case errors.Is(err, io.EOF) && r.started && len(eventBytes) > 0:
			// Only comments follow the last event.
			return eventBytes, nil
		case err != nil:
			return nil, err
		}
		lineStart = len(eventBytes)
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0 && inEvent:
			return eventBytes, r.eventRead(id, version)
		case len(line) == 0 || line[0] == ':':
			continue
		case !IsEventField(line):
			return nil, errNoEventField
		}
		inEvent = true
		if n, ok := intField(line, idField); ok {
			id = n
		}
		if n, ok := intField(line, VersionField); ok {
			version = n
		}
	}
}

// eventRead records that a complete event was read. It returns an error if the event can't be
// the next one of the stream.
func (r *eventStream) eventRead(id, version int) error {
	switch {
	case id == noEventID:
		return errEventNoID
	case id <= r.lastID:
		return errDuplicateEvent
	case !r.started && r.lastID >= 0 && id > r.lastID+1:
		return errEventGap
	}
	now := time.Now()
	if r.started {
		r.active.fleet.RecordEventInterval(r.target.ID(), now.Sub(r.eventAt))
	}
	r.lastID, r.version, r.started, r.eventAt = id, version, true, now
	r.active.pinStarted(r.target)
	r.active.usage.firstEvent()
	return nil
}

// awaitResult waits for the result of the attempt with the given number. Results
// of other attempts, which started before the stream did, are dropped.
func (active *activeRequest) awaitResult(number int) attemptResult {
	for {
		result := <-active.results
		active.inFlight--
		if result.number == number {
			return result
		}
		if answer, ok := result.reply.(Answer); ok && answer.Body != nil {
			_ = answer.Body.Close()
		}
	}
}

// resume continues the stream on another endpoint after the last complete event.
// It returns an error if that is not possible.
func (r *eventStream) resume(cause error) error {
	active := r.active
	lostEndpoint := r.target.ID()
	_ = r.body.Close()
	active.attempts.RecordLost(lostEndpoint)
	active.request.LastEventID = r.lastID
	for r.ctx.Err() == nil && active.attempts.Next(time.Now()) == TryAnotherEndpoint {
		if outcome := active.startAttempt(r.ctx); outcome != nil {
			return fmt.Errorf("no other endpoint can resume the stream after event %d: %w", r.lastID, cause)
		}
		result := active.awaitResult(active.attempts.Sent)
		answer, ok := result.reply.(Answer)
		if ok && answer.Status == 200 && answer.Streamed && answer.Signed && answer.Version == r.version {
			r.body, r.unframed, r.target, r.started, r.resumed = answer.Body, answer.Unframed, result.target, false, true
			r.reader.Reset(answer.Body)
			r.counted = 0
			event.StreamResumed.Log(active.logger, zap.String("request", active.request.ID), zap.String("from", lostEndpoint),
				zap.String("endpoint", result.target.ID()), zap.String("software", string(result.target.Software())),
				zap.Int("after", r.lastID), zap.Error(cause))
			return nil
		}
		r.recordRejected(result)
	}
	return fmt.Errorf("stream ended after event %d and was not resumed: %w", r.lastID, cause)
}

// recordRejected records an attempt that does not go on with the stream, and why.
func (r *eventStream) recordRejected(result attemptResult) {
	active, cause := r.active, causeOf(result.reply)
	switch reply := result.reply.(type) {
	case NotRun:
		active.attempts.RecordNotRun(result.target.ID(), reply)
	case Answer:
		if reply.Body != nil {
			_ = reply.Body.Close()
		}
		cause = fmt.Errorf("%w: status %d, stream %t, weight version %d", errNoResumption, reply.Status, reply.Streamed, reply.Version)
		active.attempts.RecordLost(result.target.ID())
	case Lost:
		active.attempts.RecordLost(result.target.ID())
	}
	event.AttemptFailed.Log(active.logger, zap.String("request", active.request.ID), zap.String("endpoint", result.target.ID()),
		zap.Int("sent", active.attempts.Sent), zap.Bool("may_have_run", active.attempts.MayHaveRun), zap.Error(cause))
}
