package permit

import (
	"context"
	"errors"
	"time"

	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/wirepb"
)

// Serve answers another node's request for a permit and holds the slot until that
// node reports the result or its connection ends.
func (d *Dispatcher) Serve(ctx context.Context, call *wirepb.PermitCall, stream *peers.Stream) {
	cell, ok := d.Cell(call.GetCell())
	if !ok {
		_ = stream.Refuse(&wirepb.Problem{
			Text:         "cell " + call.GetCell() + " is not configured here",
			NotRun:       true,
			RetryAfterMs: defaultRetryAfter.Milliseconds(),
		})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan Result, 1)
	go func() {
		defer cancel()
		done <- awaitDone(stream)
	}()
	grant, err := acquireWithUpdates(ctx, cell, requestOf(call), stream)
	if err != nil {
		refuse(stream, err)
		return
	}
	load := cell.Load()
	reply := &wirepb.PermitReply{
		Endpoint:    grant.Endpoint(),
		Url:         grant.URL(),
		Incarnation: grant.Incarnation(),
		Queued:      uint32(load.Queued),
		InFlight:    uint32(load.InFlight),
		Capacity:    uint32(load.Capacity),
	}
	if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_PermitReply{PermitReply: reply}}); err != nil {
		grant.Done(Result{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
		return
	}
	grant.Done(<-done)
}

// acquireWithUpdates waits for a slot and meanwhile sends the calling node an
// update every queueUpdateInterval.
func acquireWithUpdates(ctx context.Context, cell *Cell, request Request, stream *peers.Stream) (*Grant, error) {
	type acquired struct {
		grant *Grant
		err   error
	}
	results := make(chan acquired, 1)
	go func() {
		grant, err := cell.Acquire(ctx, request)
		results <- acquired{grant: grant, err: err}
	}()
	ticker := time.NewTicker(queueUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case result := <-results:
			return result.grant, result.err
		case <-ticker.C:
		}
		queued := &wirepb.PermitReply{Queued: uint32(cell.Load().Queued)}
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_PermitReply{PermitReply: queued}})
	}
}

// awaitDone reads the result of the request. If the connection is lost the outcome
// is unknown.
func awaitDone(stream *peers.Stream) Result {
	frame, err := stream.Recv()
	if err != nil {
		return Result{Outcome: wirepb.Outcome_OUTCOME_UNKNOWN}
	}
	done := frame.GetPermitDone()
	return Result{
		Outcome: done.GetOutcome(),
		Run:     time.Duration(done.GetRunUs()) * time.Microsecond,
		Tokens:  int(done.GetTokens()),
	}
}

func refuse(stream *peers.Stream, err error) {
	problem := &wirepb.Problem{Text: err.Error(), NotRun: true, RetryAfterMs: defaultRetryAfter.Milliseconds()}
	var refused *RefusedError
	if errors.As(err, &refused) {
		problem.Text = refused.reason
		problem.RetryAfterMs = refused.retryDelay.Milliseconds()
		problem.Barred = refused.quarantined
	}
	_ = stream.Refuse(problem)
}

func requestOf(call *wirepb.PermitCall) Request {
	return Request{
		Priority:    call.GetPriority(),
		Share:       call.GetShare(),
		Weight:      int(call.GetWeight()),
		Deadline:    time.Now().Add(time.Duration(call.GetDeadlineMs()) * time.Millisecond),
		Prefix:      call.GetPrefix(),
		Fingerprint: call.GetFingerprint(),
		Exclude:     call.GetExclude(),
		Alone:       call.GetAlone(),
	}
}
