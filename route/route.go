// Package route runs one request for tokens from its permit to its complete
// response, over a limited number of attempts.
//
// Each attempt follows the attempt state chart, whose final state determines the
// outcome: a request is "not run" only if none of its attempts may have run.
// A request that loses its endpoint is resumed on another endpoint, after the
// tokens that were already delivered.
//
// # Usage
//
//	runner := route.New(dispatcher, client, quarantine, logger)
//	result, err := runner.Run(ctx, job)
//	var failure *route.Error
//	if errors.As(err, &failure) {
//		failure.Outcome() // NotRun, Unknown, Quarantined or Claimed
//	}
package route

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/chart"
	"github.com/currantloft/currantloft/claim"
	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/retry"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const maxAttempts = 6

type (
	// Job is a request for tokens.
	Job struct {
		// ID is unique among all nodes; stream ids are derived from it.
		ID string
		// Backend is the name of the backend whose cells grant the permit.
		Backend string
		// PermitRequest is the permit request to the cells; its deadline bounds the job.
		PermitRequest permit.Request
		// Prompt is the text to continue.
		Prompt string
		// MaxTokens is the maximum number of tokens to generate.
		MaxTokens int
		// Seed varies the sampling between requests with the same prompt.
		Seed uint64
		// ProgressTimeout is how long a stream may stall before its engine is probed.
		ProgressTimeout time.Duration
		// Idempotent allows a further attempt after one that may have run.
		Idempotent bool
		// Claim, if set, must succeed before the first attempt is written.
		Claim func(context.Context) (*claim.Claim, error)
		// Emit is called for each chunk, in order and without gaps.
		Emit func(engine.Chunk) error
	}

	// Result describes a complete response.
	Result struct {
		versions  []*wirepb.VersionRange
		tokens    int
		endpoint  string
		stream    string
		attempts  int
		resumes   int
		startedAt time.Time
	}

	// Runner runs jobs at one node.
	Runner struct {
		dispatcher   *permit.Dispatcher
		client       *engine.Client
		quarantine   *poison.Quarantine
		retryBudget  *retry.Budget
		attemptChart *chart.Chart
		logger       *zap.Logger
	}

	// jobRun is the state of one job.
	jobRun struct {
		*Runner
		job        Job
		result     Result
		generated  []string
		exclude    []string
		heldClaim  *claim.Claim
		mayHaveRun bool
		// crashed is set once an endpoint has crashed while it ran the request.
		crashed bool
	}
)

// New returns a runner.
func New(dispatcher *permit.Dispatcher, client *engine.Client, quarantine *poison.Quarantine, logger *zap.Logger) *Runner {
	return &Runner{
		dispatcher:   dispatcher,
		client:       client,
		quarantine:   quarantine,
		retryBudget:  retry.NewBudget(),
		attemptChart: chart.MustLoad("attempt"),
		logger:       logger,
	}
}

// Versions returns the weight version that generated each range of tokens.
func (r Result) Versions() []*wirepb.VersionRange { return r.versions }

// Tokens returns the number of tokens in the response.
func (r Result) Tokens() int { return r.tokens }

// Endpoint returns the endpoint of the last attempt.
func (r Result) Endpoint() string { return r.endpoint }

// Stream returns the stream id of the last attempt.
func (r Result) Stream() string { return r.stream }

// Attempts returns the number of attempts.
func (r Result) Attempts() int { return r.attempts }

// Resumes returns how many times a stream was resumed on a new connection.
func (r Result) Resumes() int { return r.resumes }

// StartedAt returns the start of the attempt that generated the first token.
func (r Result) StartedAt() time.Time { return r.startedAt }

// Run runs a job until its response is complete or it has failed permanently.
func (r *Runner) Run(ctx context.Context, job Job) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, job.PermitRequest.Deadline)
	defer cancel()
	r.retryBudget.RecordFirst()
	j := &jobRun{Runner: r, job: job}
	for {
		err := j.attempt(ctx)
		if err == nil {
			return j.result, nil
		}
		var final *Error
		if !errors.As(err, &final) {
			err = j.waitToRetry(ctx, err)
		}
		if err != nil {
			j.abandon(ctx)
			return j.result, err
		}
	}
}

// abandon cleans up before the failure is returned to the caller. It releases
// the claim if no attempt may have run, and notifies all nodes of a crash.
func (j *jobRun) abandon(ctx context.Context) {
	j.releaseClaim(ctx)
	if j.crashed {
		j.quarantine.Spread(ctx)
	}
}

// attempt makes one attempt. An *Error is final, any other error may be retried.
func (j *jobRun) attempt(ctx context.Context) error {
	j.result.attempts++
	machine := j.attemptChart.Start()
	status := j.quarantine.Status(j.job.PermitRequest.Fingerprint)
	if status == poison.StatusQuarantined {
		return &Error{outcome: Quarantined, cause: errors.New("the request crashed endpoints before")}
	}
	permitRequest := j.job.PermitRequest
	permitRequest.Exclude = j.exclude
	permitRequest.Alone = status == poison.StatusSuspect
	slot, err := j.dispatcher.Acquire(ctx, j.job.Backend, permitRequest)
	if err != nil {
		return j.permitError(err)
	}
	_ = machine.Fire("grant")
	if err := j.claim(ctx); err != nil {
		_ = machine.Fire("give_up")
		slot.Done(permit.Result{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
		return err
	}
	return j.relay(ctx, machine, slot, permitRequest)
}

// permitError converts the error of a permit request to the final error, with
// the outcome of the attempts made so far.
func (j *jobRun) permitError(err error) error { return FromPermitError(err, j.outcomeSoFar()) }

func (j *jobRun) claim(ctx context.Context) error {
	if j.job.Claim == nil || j.heldClaim != nil {
		return nil
	}
	heldClaim, err := TakeClaim(ctx, j.job.Claim)
	j.heldClaim = heldClaim
	return err
}

func (j *jobRun) releaseClaim(ctx context.Context) {
	if j.heldClaim != nil && !j.mayHaveRun {
		j.heldClaim.Release(context.WithoutCancel(ctx))
	}
}

// relay runs the stream on the permit's endpoint.
func (j *jobRun) relay(ctx context.Context, machine *chart.Machine, slot *permit.Permit, permitRequest permit.Request) error {
	start := time.Now()
	if len(j.generated) == 0 {
		j.result.startedAt = start
	}
	request := engine.Request{
		Stream:    fmt.Sprintf("%s.%d", j.job.ID, j.result.attempts),
		Prompt:    j.job.Prompt,
		MaxTokens: j.job.MaxTokens,
		Seed:      j.job.Seed,
		Generated: j.generated,
	}
	j.result.endpoint = slot.Endpoint()
	j.result.stream = request.Stream
	tokensBefore := len(j.generated)
	streamRelay := engine.NewRelay(j.client, slot.URL(), request, j.job.ProgressTimeout, slot.Incarnation(), j.emit)
	reason, err := streamRelay.Run(ctx)
	j.result.resumes += streamRelay.Resumes()
	if streamRelay.Resumes() > 0 {
		event.StreamResumed.Log(j.logger, zap.String("stream", request.Stream),
			zap.String("endpoint", slot.Endpoint()), zap.Int("resumes", streamRelay.Resumes()))
	}
	j.recordEnd(machine, reason)
	slot.Done(permit.Result{
		Outcome: permitOutcome(reason, err),
		Run:     time.Since(start),
		Tokens:  len(j.generated) - tokensBefore,
	})
	return j.conclude(ctx, machine, slot, permitRequest, reason, err)
}

// conclude decides whether the request is complete, may be retried or has failed.
func (j *jobRun) conclude(
	ctx context.Context, machine *chart.Machine, slot *permit.Permit, permitRequest permit.Request, reason engine.EndReason, err error,
) error {
	switch reason {
	case engine.EndComplete:
		return nil
	case engine.EndNotRun:
		j.exclude = append(j.exclude, slot.Endpoint())
		return err
	case engine.EndCrashed:
		j.crashed = true
		j.quarantine.Crashed(j.job.PermitRequest.Fingerprint, permitRequest.Alone)
	case engine.EndCancelled:
		j.client.Cancel(ctx, slot.URL(), j.result.stream)
		return &Error{outcome: Unknown, retryAfter: defaultRetryAfter, cause: err}
	}
	event.RequestOutcomeUnknown.Log(j.logger, zap.String("request", j.job.ID), zap.String("endpoint", slot.Endpoint()),
		zap.String("state", string(machine.State())), zap.Error(err))
	if !j.job.Idempotent {
		return &Error{outcome: Unknown, cause: err}
	}
	j.exclude = append(j.exclude, slot.Endpoint())
	return err
}

// recordEnd fires the events of the attempt's chart that match the end of the
// stream. Unless the engine did not run the request, it also records that the
// request may have run.
func (j *jobRun) recordEnd(machine *chart.Machine, reason engine.EndReason) {
	if reason == engine.EndNotRun {
		_ = machine.Fire("connect_failed")
		return
	}
	j.mayHaveRun = true
	_ = machine.Fire("connect")
	_ = machine.Fire("write")
	if reason == engine.EndComplete {
		_ = machine.Fire("answer")
		return
	}
	_ = machine.Fire("lose")
}

func (j *jobRun) emit(chunk engine.Chunk) error {
	j.generated = append(j.generated, chunk.Tokens...)
	j.result.tokens = len(j.generated)
	j.result.versions = appendVersions(j.result.versions, chunk)
	return j.job.Emit(chunk)
}

// waitToRetry waits before the next attempt, or returns the final error if no
// attempt is left.
func (j *jobRun) waitToRetry(ctx context.Context, cause error) error {
	if j.result.attempts >= maxAttempts || !j.retryBudget.Allow() {
		return &Error{outcome: j.outcomeSoFar(), retryAfter: defaultRetryAfter, cause: cause}
	}
	if err := waits.For(ctx, retry.Delay(j.result.attempts)); err != nil {
		return &Error{outcome: j.outcomeSoFar(), retryAfter: defaultRetryAfter, cause: errors.Join(cause, err)}
	}
	return nil
}

func (j *jobRun) outcomeSoFar() Outcome {
	if j.mayHaveRun {
		return Unknown
	}
	return NotRun
}

// permitOutcome returns the outcome that is reported to the cell. An engine that
// could not be reached is reported as silent.
func permitOutcome(reason engine.EndReason, err error) wirepb.Outcome {
	var notRun *engine.NotRunError
	switch reason {
	case engine.EndComplete:
		return wirepb.Outcome_OUTCOME_ANSWERED
	case engine.EndNotRun:
		if errors.As(err, &notRun) && !notRun.Rejected() {
			return wirepb.Outcome_OUTCOME_SILENT
		}
		return wirepb.Outcome_OUTCOME_NOT_RUN
	case engine.EndCrashed:
		return wirepb.Outcome_OUTCOME_CRASHED
	case engine.EndUnreachable:
		return wirepb.Outcome_OUTCOME_SILENT
	case engine.EndCancelled:
		return wirepb.Outcome_OUTCOME_CANCELLED
	default:
		return wirepb.Outcome_OUTCOME_UNKNOWN
	}
}

// appendVersions adds the chunk's tokens to the version ranges. It extends the last
// range if the same version generated both.
func appendVersions(ranges []*wirepb.VersionRange, chunk engine.Chunk) []*wirepb.VersionRange {
	count := uint32(len(chunk.Tokens))
	if count == 0 {
		return ranges
	}
	if n := len(ranges); n > 0 && ranges[n-1].GetVersion() == chunk.Version {
		ranges[n-1].Tokens += count
		return ranges
	}
	return append(ranges, &wirepb.VersionRange{
		Version:    chunk.Version,
		FirstToken: uint32(chunk.First),
		Tokens:     count,
	})
}
