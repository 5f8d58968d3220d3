package engine

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	maxResumesWithoutChunk = 4
	probeAttempts          = 2
)

// EndReason is the reason that a relayed stream ended.
type EndReason int

// Reasons that a stream ended.
const (
	// EndComplete means that the last chunk was relayed.
	EndComplete EndReason = iota
	// EndNotRun means that the engine did not run the request.
	EndNotRun
	// EndCrashed means that the engine crashed with the request in flight.
	EndCrashed
	// EndUnreachable means that the engine does not answer new connections.
	EndUnreachable
	// EndLost means that the engine is alive but the stream can't be resumed, or
	// that maxResumesWithoutChunk resumes in a row brought no chunk.
	EndLost
	// EndCancelled means that the caller cancelled the request or no longer
	// accepts chunks.
	EndCancelled
)

type (
	// Relay follows one stream at one endpoint. When the connection stalls or
	// breaks, it probes the engine on a new one and resumes the stream there,
	// without repeating or losing a token.
	Relay struct {
		client            *Client
		base              string
		request           Request
		progressTimeout   time.Duration
		incarnation       uint64
		nextToken         int
		resumes           int
		resumesSinceChunk int
		emit              func(Chunk) error
	}

	// EmitError reports that the emit function failed.
	EmitError struct {
		cause error
	}
)

// Error returns the emit function's error.
func (e *EmitError) Error() string { return fmt.Sprintf("passing a chunk on: %v", e.cause) }

// Unwrap returns the cause.
func (e *EmitError) Unwrap() error { return e.cause }

// NewRelay returns a relay that calls emit for each chunk, in order. A stream
// without a chunk for the duration progressTimeout counts as stalled. The
// incarnation is the engine's as last reported, 0 if unknown.
func NewRelay(
	client *Client, base string, request Request, progressTimeout time.Duration, incarnation uint64, emit func(Chunk) error,
) *Relay {
	return &Relay{
		client:          client,
		base:            base,
		request:         request,
		progressTimeout: progressTimeout,
		incarnation:     incarnation,
		nextToken:       len(request.Generated),
		emit:            emit,
	}
}

// Resumes returns how many times the stream was resumed on a new connection.
func (r *Relay) Resumes() int { return r.resumes }

// NextToken returns the index of the next token expected from the engine.
func (r *Relay) NextToken() int { return r.nextToken }

// Run relays the stream until it has ended and returns the reason.
func (r *Relay) Run(ctx context.Context) (EndReason, error) {
	stream, err := r.open(ctx, func(ctx context.Context) (*Stream, error) {
		return r.client.Start(ctx, r.base, r.request)
	})
	for {
		if err == nil {
			err = r.follow(ctx, stream)
			if err == nil {
				return EndComplete, nil
			}
		}
		reason, resume := r.classify(ctx, err)
		if !resume {
			return reason, err
		}
		r.resumes++
		r.resumesSinceChunk++
		stream, err = r.open(ctx, func(ctx context.Context) (*Stream, error) {
			return r.client.Resume(ctx, r.base, r.request.Stream, r.nextToken)
		})
	}
}

// classify reports whether to resume the stream and, if not, why it ended.
func (r *Relay) classify(ctx context.Context, err error) (reason EndReason, resume bool) {
	var notRun *NotRunError
	var emitErr *EmitError
	switch {
	case errors.As(err, &notRun) && r.resumes == 0:
		return EndNotRun, false
	case errors.As(err, &emitErr), ctx.Err() != nil:
		return EndCancelled, false
	case errors.Is(err, ErrNoStream), r.resumesSinceChunk >= maxResumesWithoutChunk:
		return r.probeAfterLoss(ctx, EndLost), false
	}
	status, probeErr := r.probe(ctx)
	switch {
	case ctx.Err() != nil:
		return EndCancelled, false
	case probeErr != nil:
		return reasonOfFailedProbe(probeErr), false
	case r.incarnation != 0 && status.Incarnation != r.incarnation:
		return EndCrashed, false
	}
	r.incarnation = status.Incarnation
	return EndLost, true
}

// probeAfterLoss probes the engine of a lost stream and returns why the stream
// ended. If the engine is alive and has not restarted it returns otherwise,
// since only the stream is lost.
func (r *Relay) probeAfterLoss(ctx context.Context, otherwise EndReason) EndReason {
	status, err := r.probe(ctx)
	if err != nil {
		return reasonOfFailedProbe(err)
	}
	if r.incarnation != 0 && status.Incarnation != r.incarnation {
		return EndCrashed
	}
	return otherwise
}

// reasonOfFailedProbe returns the end reason after a failed probe. If the host
// refuses connections, the engine's process has exited; otherwise the engine is
// unreachable.
func reasonOfFailedProbe(err error) EndReason {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return EndCrashed
	}
	return EndUnreachable
}

func (r *Relay) probe(ctx context.Context) (status Status, err error) {
	for range probeAttempts {
		status, err = r.client.Probe(ctx, r.base)
		if err == nil || ctx.Err() != nil {
			return status, err
		}
	}
	return status, err
}

// open starts or resumes a stream. The engine must respond within the progress
// timeout.
func (r *Relay) open(ctx context.Context, start func(context.Context) (*Stream, error)) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(r.progressTimeout, cancel)
	stream, err := start(ctx)
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	if !timer.Stop() {
		stream.Close()
		cancel()
		return nil, &OutcomeUnknownError{cause: context.DeadlineExceeded}
	}
	inner := stream.cancel
	stream.cancel = func() {
		inner()
		cancel()
	}
	return stream, nil
}

// follow relays chunks until the last one, an error or a stall.
func (r *Relay) follow(ctx context.Context, stream *Stream) error {
	defer stream.Close()
	timer := time.AfterFunc(r.progressTimeout, stream.cancel)
	defer timer.Stop()
	stop := context.AfterFunc(ctx, stream.cancel)
	defer stop()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		chunk, ok := r.trim(chunk)
		if !ok {
			return &OutcomeUnknownError{cause: fmt.Errorf("tokens are missing: got %d to %d, want %d", chunk.First, chunk.First+len(chunk.Tokens), r.nextToken)}
		}
		if len(chunk.Tokens) == 0 && !chunk.Done {
			continue
		}
		if most := r.request.MaxTokens; most > 0 && r.nextToken+len(chunk.Tokens) > most {
			return &OutcomeUnknownError{cause: fmt.Errorf("the engine sends more than the %d tokens requested", most)}
		}
		timer.Reset(r.progressTimeout)
		if err := r.emit(chunk); err != nil {
			return &EmitError{cause: err}
		}
		r.nextToken += len(chunk.Tokens)
		r.resumesSinceChunk = 0
		if chunk.Done {
			return nil
		}
	}
}

// trim drops tokens that were already relayed. It returns false if tokens are
// missing before the chunk, or if the stream would end before the last one relayed.
func (r *Relay) trim(chunk Chunk) (Chunk, bool) {
	if chunk.First > r.nextToken || chunk.Done && chunk.First+len(chunk.Tokens) < r.nextToken {
		return chunk, false
	}
	repeated := min(r.nextToken-chunk.First, len(chunk.Tokens))
	chunk.Tokens = chunk.Tokens[repeated:]
	chunk.First += repeated
	return chunk, true
}
