// Package steps gives each trainer the samples of its steps, each sample once.
//
// One node keeps each trainer's steps, found by rendezvous hashing. It spreads
// the groups over all nodes, gathers the samples, and seals the step: the
// sample set is written to the platform in bulk and one conditional write of
// the trainer's record fixes it before the first byte goes to the trainer.
// Whoever asks for the same step again, at any node, gets the same samples.
// Asking for the next step acknowledges the one before.
//
// There is no lease to run out. The record's version is the fence: of two nodes
// that both believe to be the keeper, one seals, and the other finds the sealed
// step and hands that out.
//
// Staleness is checked at delivery. A sealed step that grew too old is opened
// again as a new attempt, by a conditional write that fences the old one.
//
// # Usage
//
//	keeper := steps.New(parts)
//	defer keeper.Close()
//	keeper.Serve(ctx, call, sink)
package steps

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/chart"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/sample"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	retryAfter      = time.Second
	maxRounds       = 5
	janitorInterval = time.Second
	movedLimit      = 10 * time.Second
)

type (
	// Parts are what a keeper works with.
	Parts struct {
		// Config tells what is declared.
		Config *active.Keeper
		// Members tells which nodes may run groups.
		Members *member.Members
		// Platform keeps records and sealed samples.
		Platform *object.Client
		// Pool calls other nodes.
		Pool *peers.Pool
		// Worker runs groups at this node.
		Worker *sample.Worker
		// Logger takes the events.
		Logger *zap.Logger
	}

	// Sink takes the answer to a trainer.
	Sink interface {
		// Head begins the answer.
		Head(head *wirepb.StepHead) error
		// Data adds bytes to the answer's body.
		Data(data []byte) error
		// End finishes the answer; whole is false if it was cut.
		End(whole bool) error
	}

	// Keeper keeps the steps of the trainers that fall to this node.
	Keeper struct {
		parts  Parts
		chart  *chart.Chart
		ctx    context.Context
		cancel context.CancelFunc
		tasks  sync.WaitGroup

		mu   sync.Mutex
		jobs map[string]*job
	}

	// job is what the node holds of one trainer.
	job struct {
		trainer string

		mu      sync.Mutex
		record  Record
		version uint64
		known   bool
		run     *run
		waiting int
		lastAsk time.Time
	}

	// run is one sample set of a step, being made or sealed.
	run struct {
		step    uint64
		attempt uint32
		request Request
		digest  string
		machine *chart.Machine
		cancel  context.CancelFunc

		done   chan struct{}
		groups []Group
		record Record
		err    error
	}

	// refusedError is a final answer to a trainer.
	refusedError struct {
		head *wirepb.StepHead
	}
)

// errFenced says that another keeper changed the record in between.
var errFenced = errors.New("another keeper wrote the step's record")

// New returns a keeper and starts its janitor.
func New(parts Parts) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		parts:  parts,
		chart:  chart.MustLoad("step"),
		ctx:    ctx,
		cancel: cancel,
		jobs:   make(map[string]*job),
	}
	k.tasks.Go(k.janitor)
	return k
}

// KeeperOf returns the node that the trainer's steps fall to.
func KeeperOf(view *member.View, trainer string) (member.Node, bool) {
	ranked := view.Rank("step/"+trainer, "", 1)
	if len(ranked) == 0 {
		return member.Node{}, false
	}
	return ranked[0], true
}

// Close ends all runs and waits for them.
func (k *Keeper) Close() {
	k.cancel()
	k.tasks.Wait()
}

func (e *refusedError) Error() string { return e.head.GetReason() }

// Serve answers a trainer's request for a step.
func (k *Keeper) Serve(ctx context.Context, call *wirepb.StepCall, sink Sink) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	err := k.serve(ctx, call, sink)
	if err == nil {
		return
	}
	var refused *refusedError
	if !errors.As(err, &refused) {
		refused = notReady(err)
	}
	_ = sink.Head(refused.head)
	_ = sink.End(false)
}

func (k *Keeper) serve(ctx context.Context, call *wirepb.StepCall, sink Sink) error {
	trainer, request, err := k.check(call)
	if err != nil {
		return err
	}
	j := k.job(trainer.Name())
	j.enter()
	defer j.leave()
	for range maxRounds {
		r, err := k.open(ctx, j, trainer, call.GetStep(), request)
		if err != nil {
			return err
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return notReady(fmt.Errorf("step %d is not whole yet", r.step))
		}
		if r.err != nil {
			j.forget(r)
			if errors.Is(r.err, errFenced) {
				continue
			}
			return notReady(r.err)
		}
		stale, err := k.deliver(j, r, sink)
		if !stale || err != nil {
			return err
		}
	}
	return notReady(errors.New("the step's samples grow too old before they can be delivered"))
}

// check finds the trainer and reads its request.
func (k *Keeper) check(call *wirepb.StepCall) (specs.Trainer, Request, error) {
	current := k.parts.Config.Current()
	if current == nil {
		return specs.Trainer{}, Request{}, notReady(errors.New("no configuration is in force yet"))
	}
	trainer, ok := current.Set().Trainer(call.GetTrainer())
	if !ok {
		return trainer, Request{}, refusal(http.StatusNotFound, "no trainer "+call.GetTrainer()+" is declared")
	}
	request, err := ParseRequest(call.GetBody(), trainer)
	if err != nil {
		return trainer, request, refusal(http.StatusBadRequest, err.Error())
	}
	return trainer, request, nil
}

// open returns the run that answers the request: one under way, the sealed one,
// or a new one.
func (k *Keeper) open(
	ctx context.Context, j *job, trainer specs.Trainer, step uint64, request Request,
) (*run, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	digest := request.digest()
	if r := j.run; r != nil && r.step == step && r.digest == digest && !r.finished() {
		return r, nil
	}
	if err := k.refresh(ctx, j); err != nil {
		return nil, notReady(err)
	}
	switch d := decide(j.record, j.version > 0, step, digest).(type) {
	case refuseStep:
		head := refusal(http.StatusConflict, d.reason)
		head.head.Expected = d.expected
		return nil, head
	case deliverStep:
		return k.reopen(ctx, j, request, digest)
	case sampleStep:
		return k.start(j, trainer, step, d.attempt, request, digest), nil
	default:
		return nil, fmt.Errorf("unknown decision %T", d)
	}
}

// refresh reads the record. Without a platform the last known one serves: what
// rests on it is written conditionally.
func (k *Keeper) refresh(ctx context.Context, j *job) error {
	var record Record
	version, err := object.GetRecord(ctx, k.parts.Platform, recordKind, j.trainer, &record)
	if err != nil {
		if j.known {
			return nil
		}
		return fmt.Errorf("reading the step's record: %w", err)
	}
	j.record, j.version, j.known = record, version, true
	return nil
}

// reopen returns a finished run with the sealed samples, from memory if the
// node still has them.
func (k *Keeper) reopen(ctx context.Context, j *job, request Request, digest string) (*run, error) {
	if r := j.run; r != nil && r.finished() && r.record.Digest == j.record.Digest && r.attempt == j.record.Attempt {
		return r, nil
	}
	groups, err := k.loadGroups(ctx, j.record)
	if err != nil {
		return nil, notReady(err)
	}
	event.StepTakenOver.Log(k.parts.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", j.record.Step))
	r := k.newRun(j.record.Step, j.record.Attempt, request, digest)
	r.groups, r.record = groups, j.record
	_ = r.machine.Fire("fill")
	_ = r.machine.Fire("seal")
	close(r.done)
	j.run = r
	return r, nil
}

// start begins a new sample set.
func (k *Keeper) start(
	j *job, trainer specs.Trainer, step uint64, attempt uint32, request Request, digest string,
) *run {
	if j.run != nil {
		j.run.cancel()
	}
	r := k.newRun(step, attempt, request, digest)
	ctx, cancel := context.WithCancel(k.ctx)
	r.cancel = cancel
	j.run = r
	event.StepOpened.Log(k.parts.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", step),
		zap.Uint32("attempt", attempt), zap.Int("groups", len(request.Groups)))
	base, version := j.record, j.version
	k.tasks.Go(func() {
		defer cancel()
		k.make(ctx, j, r, trainer.Name(), base, version)
	})
	return r
}

func (k *Keeper) newRun(step uint64, attempt uint32, request Request, digest string) *run {
	return &run{
		step:    step,
		attempt: attempt,
		request: request,
		digest:  digest,
		machine: k.chart.Start(),
		cancel:  func() {},
		done:    make(chan struct{}),
	}
}

func (k *Keeper) job(trainer string) *job {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[trainer]
	if j == nil {
		j = &job{trainer: trainer}
		k.jobs[trainer] = j
	}
	return j
}

func refusal(status int, reason string) *refusedError {
	return &refusedError{head: &wirepb.StepHead{Status: uint32(status), Outcome: "not_run", Reason: reason}}
}

func notReady(err error) *refusedError {
	var refused *refusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &refusedError{head: &wirepb.StepHead{
		Status:       http.StatusServiceUnavailable,
		Outcome:      "not_ready",
		Reason:       err.Error(),
		RetryAfterMs: retryAfter.Milliseconds(),
	}}
}
