// Package route runs one request for tokens from its permit to its whole
// answer, over as many attempts as it may have.
//
// Each attempt follows the attempt state chart, so what may be said of the
// request at its end is what the chart's final state allows: only a request of
// which no attempt was ever written is "not run". An attempt that loses its
// endpoint goes on at another, after the tokens that were already passed on.
//
// # Usage
//
//	runner := route.New(desk, client, ward, logger)
//	result, err := runner.Run(ctx, job)
//	var failure *route.Error
//	if errors.As(err, &failure) {
//		failure.Outcome() // NotRun, Unknown or Barred
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
		// ID is unique in the fleet; stream ids are made from it.
		ID string
		// Backend names the pool's queue.
		Backend string
		// Ask describes the request to the cells; its deadline bounds the job.
		Ask permit.Ask
		// Prompt, MaxTokens and Seed go to the engine.
		Prompt string
		// MaxTokens bounds the answer.
		MaxTokens int
		// Seed makes samples of one prompt differ.
		Seed uint64
		// Progress is how long a stream may show nothing before it is probed.
		Progress time.Duration
		// Idempotent allows attempts after one that may have run.
		Idempotent bool
		// Claim, if set, must succeed before the first attempt is written.
		Claim func(context.Context) (*claim.Held, error)
		// Emit gets each chunk, in order and without gaps.
		Emit func(engine.Chunk) error
	}

	// Result describes a whole answer.
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
		desk    *permit.Desk
		client  *engine.Client
		ward    *poison.Ward
		budget  *retry.Budget
		attempt *chart.Chart
		logger  *zap.Logger
	}

	// run is the state of one job.
	run struct {
		*Runner
		job       Job
		result    Result
		generated []string
		exclude   []string
		held      *claim.Held
		written   bool
		// crashed is set once an endpoint crashed with the request in flight.
		crashed bool
	}
)

// New returns a runner.
func New(desk *permit.Desk, client *engine.Client, ward *poison.Ward, logger *zap.Logger) *Runner {
	return &Runner{
		desk:    desk,
		client:  client,
		ward:    ward,
		budget:  retry.NewBudget(),
		attempt: chart.MustLoad("attempt"),
		logger:  logger,
	}
}

// Versions returns which weight version made which tokens.
func (r Result) Versions() []*wirepb.VersionRange { return r.versions }

// Tokens returns how many tokens the answer has.
func (r Result) Tokens() int { return r.tokens }

// Endpoint returns where the answer ended.
func (r Result) Endpoint() string { return r.endpoint }

// Stream returns the id of the last stream.
func (r Result) Stream() string { return r.stream }

// Attempts returns how many attempts were made.
func (r Result) Attempts() int { return r.attempts }

// Resumes returns how often a silent connection was replaced.
func (r Result) Resumes() int { return r.resumes }

// StartedAt returns when the first token's attempt began.
func (r Result) StartedAt() time.Time { return r.startedAt }

// Run runs a job until its answer is whole or it is given up.
func (r *Runner) Run(ctx context.Context, job Job) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Ask.Deadline)
	defer cancel()
	r.budget.First()
	x := &run{Runner: r, job: job}
	for {
		err := x.try(ctx)
		if err == nil {
			return x.result, nil
		}
		var final *Error
		if !errors.As(err, &final) {
			err = x.waitToRetry(ctx, err)
		}
		if err != nil {
			x.giveUp(ctx)
			return x.result, err
		}
	}
}

// giveUp does what must be done before a caller learns that the request failed.
func (x *run) giveUp(ctx context.Context) {
	x.giveBackClaim(ctx)
	if x.crashed {
		x.ward.Spread(ctx)
	}
}

// try makes one attempt. An *Error is final, any other may be tried again.
func (x *run) try(ctx context.Context) error {
	x.result.attempts++
	machine := x.attempt.Start()
	verdict := x.ward.Judge(x.job.Ask.Fingerprint)
	if verdict == poison.Quarantined {
		return &Error{outcome: Barred, cause: errors.New("the request crashed endpoints before")}
	}
	ask := x.job.Ask
	ask.Exclude = x.exclude
	ask.Alone = verdict == poison.Suspect
	place, err := x.desk.Acquire(ctx, x.job.Backend, ask)
	if err != nil {
		return x.refused(err)
	}
	_ = machine.Fire("grant")
	if err := x.claim(ctx); err != nil {
		_ = machine.Fire("give_up")
		place.Done(permit.Result{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
		return err
	}
	return x.relay(ctx, machine, place, ask)
}

// refused turns a missing permit into the final answer.
func (x *run) refused(err error) error { return Refused(err, x.outcomeSoFar()) }

func (x *run) claim(ctx context.Context) error {
	if x.job.Claim == nil || x.held != nil {
		return nil
	}
	held, err := TakeClaim(ctx, x.job.Claim)
	x.held = held
	return err
}

func (x *run) giveBackClaim(ctx context.Context) {
	if x.held != nil && !x.written {
		x.held.Release(context.WithoutCancel(ctx))
	}
}

// relay follows the stream at the endpoint of the permit.
func (x *run) relay(ctx context.Context, machine *chart.Machine, place *permit.Permit, ask permit.Ask) error {
	begun := time.Now()
	if len(x.generated) == 0 {
		x.result.startedAt = begun
	}
	request := engine.Request{
		Stream:    fmt.Sprintf("%s.%d", x.job.ID, x.result.attempts),
		Prompt:    x.job.Prompt,
		MaxTokens: x.job.MaxTokens,
		Seed:      x.job.Seed,
		Generated: x.generated,
	}
	x.result.endpoint = place.Endpoint()
	x.result.stream = request.Stream
	before := len(x.generated)
	follower := engine.NewRelay(x.client, place.URL(), request, x.job.Progress, place.Incarnation(), x.emit)
	fate, err := follower.Run(ctx)
	x.result.resumes += follower.Resumes()
	if follower.Resumes() > 0 {
		event.StreamResumed.Log(x.logger, zap.String("stream", request.Stream),
			zap.String("endpoint", place.Endpoint()), zap.Int("resumes", follower.Resumes()))
	}
	x.note(machine, fate)
	place.Done(permit.Result{
		Outcome: outcomeOf(fate, err),
		Run:     time.Since(begun),
		Tokens:  len(x.generated) - before,
	})
	return x.conclude(ctx, machine, place, ask, fate, err)
}

// conclude decides what an attempt's end means for the request.
func (x *run) conclude(
	ctx context.Context, machine *chart.Machine, place *permit.Permit, ask permit.Ask, fate engine.Fate, err error,
) error {
	switch fate {
	case engine.FateWhole:
		return nil
	case engine.FateNotRun:
		x.exclude = append(x.exclude, place.Endpoint())
		return err
	case engine.FateCrashed:
		x.crashed = true
		x.ward.Crashed(x.job.Ask.Fingerprint, ask.Alone)
	case engine.FateCancelled:
		x.client.Cancel(ctx, place.URL(), x.result.stream)
		return &Error{outcome: Unknown, retry: retryLater, cause: err}
	}
	event.RequestUnknown.Log(x.logger, zap.String("request", x.job.ID), zap.String("endpoint", place.Endpoint()),
		zap.String("state", string(machine.State())), zap.Error(err))
	if !x.job.Idempotent {
		return &Error{outcome: Unknown, cause: err}
	}
	x.exclude = append(x.exclude, place.Endpoint())
	return err
}

// note moves the attempt's chart along what the relay found out.
func (x *run) note(machine *chart.Machine, fate engine.Fate) {
	if fate == engine.FateNotRun {
		_ = machine.Fire("connect_failed")
		return
	}
	x.written = true
	_ = machine.Fire("connect")
	_ = machine.Fire("write")
	if fate == engine.FateWhole {
		_ = machine.Fire("answer")
		return
	}
	_ = machine.Fire("lose")
}

func (x *run) emit(chunk engine.Chunk) error {
	x.generated = append(x.generated, chunk.Tokens...)
	x.result.tokens = len(x.generated)
	x.result.versions = extend(x.result.versions, chunk)
	return x.job.Emit(chunk)
}

// waitToRetry pauses before the next attempt or says that there is none.
func (x *run) waitToRetry(ctx context.Context, cause error) error {
	if x.result.attempts >= maxAttempts || !x.budget.Allow() {
		return &Error{outcome: x.outcomeSoFar(), retry: retryLater, cause: cause}
	}
	if err := waits.For(ctx, retry.Delay(x.result.attempts)); err != nil {
		return &Error{outcome: x.outcomeSoFar(), retry: retryLater, cause: errors.Join(cause, err)}
	}
	return nil
}

func (x *run) outcomeSoFar() Outcome {
	if x.written {
		return Unknown
	}
	return NotRun
}

// outcomeOf tells the cell how it went; an engine that could not be reached is
// as good as silent.
func outcomeOf(fate engine.Fate, err error) wirepb.Outcome {
	var notRun *engine.NotRunError
	switch fate {
	case engine.FateWhole:
		return wirepb.Outcome_OUTCOME_ANSWERED
	case engine.FateNotRun:
		if errors.As(err, &notRun) && !notRun.Refused() {
			return wirepb.Outcome_OUTCOME_SILENT
		}
		return wirepb.Outcome_OUTCOME_NOT_RUN
	case engine.FateCrashed:
		return wirepb.Outcome_OUTCOME_CRASHED
	case engine.FateUnreachable:
		return wirepb.Outcome_OUTCOME_SILENT
	case engine.FateCancelled:
		return wirepb.Outcome_OUTCOME_CANCELLED
	default:
		return wirepb.Outcome_OUTCOME_UNKNOWN
	}
}

// extend appends a chunk to the ranges, joining it with the last one if the
// same version made both.
func extend(ranges []*wirepb.VersionRange, chunk engine.Chunk) []*wirepb.VersionRange {
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
