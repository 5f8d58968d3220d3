// Package sample runs the samples of a group on one node: it generates each
// sample at an endpoint, checks the weight versions that generated it, and
// requests its score.
//
// A sample whose version is unknown or not accepted by the trainer is discarded
// and generated again. A sample that was resumed on another endpoint, or whose
// endpoint switched weights meanwhile, lists each version with its token range.
//
// # Usage
//
//	worker := sample.New(config, runner, budget, logger)
//	worker.Run(ctx, call, func(done *wirepb.SampleDone) { ... })
package sample

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/chart"
	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	progressTimeout = 2 * time.Second
	retryDelay      = 50 * time.Millisecond
	prefixBytes     = 256
)

var (
	// errNoScorer reports that the configuration has no scorer for the trainer.
	errNoScorer = errors.New("the sample can't be scored")

	// errTextOutdated reports that the trainer no longer accepts the versions that
	// generated the text.
	errTextOutdated = errors.New("the text is outdated")
)

type (
	// Worker runs samples. It is safe for concurrent use.
	Worker struct {
		config      *active.Config
		runner      *route.Runner
		scoreClient *scoreClient
		sampleChart *chart.Chart
		logger      *zap.Logger
	}

	// task is the state of one sample in progress.
	task struct {
		worker   *Worker
		call     *wirepb.RunGroup
		index    uint32
		machine  *chart.Machine
		attempts int
	}
)

// New returns a worker. The answers of scorers count towards the budget while they are read.
func New(config *active.Config, runner *route.Runner, answers *intact.Budget, logger *zap.Logger) *Worker {
	return &Worker{
		config:      config,
		runner:      runner,
		scoreClient: newScoreClient(answers),
		sampleChart: chart.MustLoad("sample"),
		logger:      logger,
	}
}

// Serve runs a group for another node and sends each sample once it is complete.
func (w *Worker) Serve(ctx context.Context, call *wirepb.RunGroup, stream *peers.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The other node sends nothing more, so Recv returns only when it has
		// closed the stream.
		_, _ = stream.Recv()
		cancel()
	}()
	var mu sync.Mutex
	err := w.Run(ctx, call, func(done *wirepb.SampleDone) {
		mu.Lock()
		defer mu.Unlock()
		if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_SampleDone{SampleDone: done}}); err != nil {
			cancel()
		}
	})
	end := &wirepb.GroupEnd{}
	if err != nil {
		end.Problem = err.Error()
	}
	_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_GroupEnd{GroupEnd: end}})
}

// Run runs all samples of the call and passes each to deliver once it is
// complete. A permanent error of one sample cancels the others.
func (w *Worker) Run(ctx context.Context, call *wirepb.RunGroup, deliver func(*wirepb.SampleDone)) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, index := range call.GetIndices() {
		group.Go(func() error {
			t := &task{worker: w, call: call, index: index, machine: w.sampleChart.Start()}
			done, err := t.run(ctx)
			if err != nil {
				return err
			}
			deliver(done)
			return nil
		})
	}
	return group.Wait()
}

// run generates the sample, again if necessary, until it is complete and accepted,
// an error is permanent, or ctx ends.
func (t *task) run(ctx context.Context) (*wirepb.SampleDone, error) {
	for {
		_ = t.machine.Fire("run")
		done, retryable, err := t.attempt(ctx)
		if err == nil {
			return done, nil
		}
		if ctx.Err() != nil || !retryable {
			return nil, fmt.Errorf("sample %d of group %s: %w", t.index, t.call.GetGroup(), err)
		}
		_ = waits.For(ctx, retryDelay)
	}
}

// attempt generates, checks and scores the sample once. On an error, retryable
// reports whether another attempt may succeed.
func (t *task) attempt(ctx context.Context) (done *wirepb.SampleDone, retryable bool, err error) {
	current := t.worker.config.Current()
	if current == nil {
		return nil, true, errors.New("no configuration is in force")
	}
	trainer, ok := current.Set().Trainer(t.call.GetTrainer())
	if !ok {
		return nil, false, fmt.Errorf("no trainer %s", t.call.GetTrainer())
	}
	text, result, err := t.generate(ctx, trainer)
	if err != nil {
		_ = t.machine.Fire("fail")
		return nil, true, err
	}
	_ = t.machine.Fire("generate")
	if reason := rejectionReason(trainer, result.Versions()); reason != "" {
		_ = t.machine.Fire("reject")
		event.SampleRejected.Log(t.worker.logger, zap.String("sample", t.id()), zap.String("reason", reason))
		return nil, true, errors.New(reason)
	}
	score, err := scoreUntilAnswered(ctx, func() (float64, error) { return t.score(ctx, text, result.Versions()) },
		func() { _ = t.machine.Fire("score_failed") })
	if err != nil {
		_ = t.machine.Fire("reject")
		return nil, !errors.Is(err, errNoScorer), err
	}
	_ = t.machine.Fire("score")
	return &wirepb.SampleDone{
		Index:         t.index,
		Text:          text,
		Versions:      result.Versions(),
		Score:         score,
		StartedUnixMs: result.StartedAt().UnixMilli(),
		Endpoint:      result.Endpoint(),
		Stream:        result.Stream(),
	}, false, nil
}

// score requests the score of a text once, under the configuration in force.
func (t *task) score(ctx context.Context, text string, versions []*wirepb.VersionRange) (float64, error) {
	set := t.worker.config.Current().Set()
	trainer, ok := set.Trainer(t.call.GetTrainer())
	if !ok {
		return 0, fmt.Errorf("%w: no trainer %s", errNoScorer, t.call.GetTrainer())
	}
	if reason := rejectionReason(trainer, versions); reason != "" {
		return 0, fmt.Errorf("%w: %s", errTextOutdated, reason)
	}
	scorer, ok := set.Scorer(trainer.Scorer())
	if !ok {
		return 0, fmt.Errorf("%w: no scorer %s", errNoScorer, trainer.Scorer())
	}
	return t.worker.scoreClient.score(ctx, scorer, scoreRequest{ID: t.id(), Prompt: t.call.GetPrompt(), Text: text})
}

func (t *task) generate(ctx context.Context, trainer specs.Trainer) (string, route.Result, error) {
	t.attempts++
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(trainer.StepTimeout())
	}
	prompt := t.call.GetPrompt()
	backend := specs.PoolBackend(trainer.Pool())
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
	if t.call.GetHedge() {
		// Prefix affinity would send a hedged sample to the same slow endpoint.
		prefix = 0
	}
	var text strings.Builder
	result, err := t.worker.runner.Run(ctx, route.Job{
		ID:      fmt.Sprintf("%s.%d.%d", t.id(), t.attempts, time.Now().UnixNano()),
		Backend: backend,
		PermitRequest: permit.Request{
			Priority: wirepb.Priority_PRIORITY_TRAINER,
			Share:    trainer.Name(),
			Weight:   trainer.Weight(),
			Deadline: deadline,
			Prefix:   prefix,
		},
		Prompt:          prompt,
		MaxTokens:       int(t.call.GetMaxTokens()),
		Seed:            xxhash.Sum64String(t.id()),
		ProgressTimeout: progressTimeout,
		Idempotent:      true,
		Emit: func(chunk engine.Chunk) error {
			for _, token := range chunk.Tokens {
				text.WriteString(token)
			}
			return nil
		},
	})
	return text.String(), result, err
}

// id returns the sample's id: trainer, step, attempt, group and index.
func (t *task) id() string {
	return ID(t.call.GetTrainer(), t.call.GetStep(), t.call.GetAttempt(), t.call.GetGroup(), t.index)
}

// ID returns the stable id of a sample.
func ID(trainer string, step uint64, attempt uint32, group string, index uint32) string {
	return fmt.Sprintf("%s/%d/%d/%s/%d", trainer, step, attempt, group, index)
}

// rejectionReason returns why the trainer does not accept a sample generated by
// these versions, "" if it does.
func rejectionReason(trainer specs.Trainer, ranges []*wirepb.VersionRange) string {
	if len(ranges) == 0 {
		return "the engine reported no version"
	}
	for _, r := range ranges {
		if r.GetVersion() == 0 {
			return fmt.Sprintf("the version from token %d on is unknown", r.GetFirstToken())
		}
		if !trainer.Accepts(r.GetVersion()) {
			return fmt.Sprintf("version %d is not accepted", r.GetVersion())
		}
	}
	return ""
}
