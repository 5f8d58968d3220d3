package engine

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	maxStalls     = 4
	probeAttempts = 2
)

// Fate says how a relayed stream ended.
type Fate int

// Fates of a stream.
const (
	// FateWhole means that the last chunk was relayed.
	FateWhole Fate = iota
	// FateNotRun means that the engine did not run the request.
	FateNotRun
	// FateCrashed means that the engine died with the request in flight.
	FateCrashed
	// FateUnreachable means that the engine does not answer new connections.
	FateUnreachable
	// FateLost means that the engine is alive but the stream can't go on.
	FateLost
	// FateCancelled means that the caller gave up.
	FateCancelled
)

type (
	// Relay follows one stream at one endpoint. When the connection goes silent
	// or breaks, it probes the engine on a new one and resumes there, without
	// repeating or losing a token.
	Relay struct {
		client      *Client
		base        string
		request     Request
		progress    time.Duration
		incarnation uint64
		next        int
		resumes     int
		stalls      int
		emit        func(Chunk) error
	}

	// EmitError says that the receiver of chunks failed.
	EmitError struct {
		cause error
	}
)

// Error returns the receiver's error.
func (e *EmitError) Error() string { return fmt.Sprintf("passing a chunk on: %v", e.cause) }

// Unwrap returns the cause.
func (e *EmitError) Unwrap() error { return e.cause }

// NewRelay returns a relay that calls emit for each chunk, in order.
// The incarnation is the engine's as last reported, 0 if unknown.
func NewRelay(
	client *Client, base string, request Request, progress time.Duration, incarnation uint64, emit func(Chunk) error,
) *Relay {
	return &Relay{
		client:      client,
		base:        base,
		request:     request,
		progress:    progress,
		incarnation: incarnation,
		next:        len(request.Generated),
		emit:        emit,
	}
}

// Resumes returns how often the stream was resumed on a new connection.
func (r *Relay) Resumes() int { return r.resumes }

// Next returns the index of the next token that is expected.
func (r *Relay) Next() int { return r.next }

// Run relays until the stream has ended one way or another.
func (r *Relay) Run(ctx context.Context) (Fate, error) {
	stream, err := r.open(ctx, func(ctx context.Context) (*Stream, error) {
		return r.client.Start(ctx, r.base, r.request)
	})
	for {
		if err == nil {
			err = r.follow(ctx, stream)
			if err == nil {
				return FateWhole, nil
			}
		}
		fate, again := r.judge(ctx, err)
		if !again {
			return fate, err
		}
		r.resumes++
		r.stalls++
		stream, err = r.open(ctx, func(ctx context.Context) (*Stream, error) {
			return r.client.Resume(ctx, r.base, r.request.Stream, r.next)
		})
	}
}

// judge decides between resuming and giving the stream up.
func (r *Relay) judge(ctx context.Context, err error) (fate Fate, again bool) {
	var notRun *NotRunError
	var emitErr *EmitError
	switch {
	case errors.As(err, &notRun) && r.resumes == 0:
		return FateNotRun, false
	case errors.As(err, &emitErr), ctx.Err() != nil:
		return FateCancelled, false
	case errors.Is(err, ErrNoStream), r.stalls >= maxStalls:
		return r.postMortem(ctx, FateLost), false
	}
	report, probeErr := r.probe(ctx)
	switch {
	case ctx.Err() != nil:
		return FateCancelled, false
	case probeErr != nil:
		return fateOfDead(probeErr), false
	case r.incarnation != 0 && report.Incarnation != r.incarnation:
		return FateCrashed, false
	}
	r.incarnation = report.Incarnation
	return FateLost, true
}

// postMortem tells a crash from a stream that a live engine has dropped.
func (r *Relay) postMortem(ctx context.Context, otherwise Fate) Fate {
	report, err := r.probe(ctx)
	if err != nil {
		return fateOfDead(err)
	}
	if r.incarnation != 0 && report.Incarnation != r.incarnation {
		return FateCrashed
	}
	return otherwise
}

// fateOfDead tells an engine whose host refuses connections, so that the
// process is gone, from one that can't be reached.
func fateOfDead(err error) Fate {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return FateCrashed
	}
	return FateUnreachable
}

func (r *Relay) probe(ctx context.Context) (report Status, err error) {
	for range probeAttempts {
		report, err = r.client.Probe(ctx, r.base)
		if err == nil || ctx.Err() != nil {
			return report, err
		}
	}
	return report, err
}

// open starts or resumes a stream; the engine must answer within the progress limit.
func (r *Relay) open(ctx context.Context, start func(context.Context) (*Stream, error)) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(r.progress, cancel)
	stream, err := start(ctx)
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	if !timer.Stop() {
		stream.Close()
		cancel()
		return nil, &LostError{cause: context.DeadlineExceeded}
	}
	inner := stream.cancel
	stream.cancel = func() {
		inner()
		cancel()
	}
	return stream, nil
}

// follow relays chunks until the last one, an error or silence.
func (r *Relay) follow(ctx context.Context, stream *Stream) error {
	defer stream.Close()
	timer := time.AfterFunc(r.progress, stream.cancel)
	defer timer.Stop()
	stop := context.AfterFunc(ctx, stream.cancel)
	defer stop()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		timer.Reset(r.progress)
		chunk, ok := r.trim(chunk)
		if !ok {
			return &LostError{cause: fmt.Errorf("tokens are missing: got %d, want %d", chunk.First, r.next)}
		}
		if len(chunk.Tokens) > 0 || chunk.Done {
			if err := r.emit(chunk); err != nil {
				return &EmitError{cause: err}
			}
		}
		r.next += len(chunk.Tokens)
		r.stalls = 0
		if chunk.Done {
			return nil
		}
	}
}

// trim drops tokens that were relayed before; false means a gap.
func (r *Relay) trim(chunk Chunk) (Chunk, bool) {
	if chunk.First > r.next {
		return chunk, false
	}
	seen := min(r.next-chunk.First, len(chunk.Tokens))
	chunk.Tokens = chunk.Tokens[seen:]
	chunk.First += seen
	return chunk, true
}
