// Package steps delivers to each trainer the samples of its steps, each sample
// exactly once.
//
// Each trainer's steps are owned by one node, the keeper, selected by rendezvous
// hashing. The keeper distributes the groups over all nodes, gathers the samples,
// and seals the step: it writes the sample set to the platform in bulk and
// commits it with one conditional write of the trainer's record before the first
// byte goes to the trainer. Repeated requests for the step, at any node, return
// the same samples. A request for the next step acknowledges the previous one.
//
// The keeper needs no lease. The record's version is the fence: if two nodes
// act as the keeper at the same time, one of them seals the step, and the other
// reads the sealed step and delivers it.
//
// Staleness is checked at delivery. A sealed step that is too stale to deliver is
// superseded: a conditional write opens it again as a new attempt and fences the
// old one.
//
// # Usage
//
//	keeper := steps.New(deps)
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
	maxServeTries   = 5
	janitorInterval = time.Second
	movedIdleLimit  = 10 * time.Second
)

type (
	// Deps are the dependencies of a Keeper.
	Deps struct {
		// Config provides the current configuration.
		Config *active.Config
		// Members lists the nodes that may run groups.
		Members *member.Members
		// Platform stores records and sealed samples.
		Platform *object.Client
		// Pool holds the connections to other nodes.
		Pool *peers.Pool
		// Worker runs groups on this node.
		Worker *sample.Worker
		// Logger receives the log events.
		Logger *zap.Logger
	}

	// Sink receives the answer to a trainer.
	Sink interface {
		// Head starts the answer.
		Head(head *wirepb.StepHead) error
		// Data appends bytes to the answer's body.
		Data(data []byte) error
		// End ends the answer; complete is false if the body is truncated or empty.
		End(complete bool) error
	}

	// Keeper serves the steps of the trainers that this node owns.
	Keeper struct {
		deps   Deps
		chart  *chart.Chart
		ctx    context.Context
		cancel context.CancelFunc
		tasks  sync.WaitGroup

		mu   sync.Mutex
		jobs map[string]*job
	}

	// job is the node's state of one trainer.
	job struct {
		trainer string

		mu           sync.Mutex
		record       Record
		version      uint64
		recordLoaded bool
		run          *run
		waiting      int
		lastRequest  time.Time
	}

	// run is one sample set of a step, in progress or sealed.
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

	// refusedError is an answer to a trainer without samples: a final refusal, or
	// a failure after which the trainer should retry.
	refusedError struct {
		head *wirepb.StepHead
	}
)

// errFenced means that another keeper wrote the record since it was read.
var errFenced = errors.New("another keeper wrote the step's record")

// New returns a Keeper and starts its janitor.
func New(deps Deps) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		deps:   deps,
		chart:  chart.MustLoad("step"),
		ctx:    ctx,
		cancel: cancel,
		jobs:   make(map[string]*job),
	}
	k.tasks.Go(k.janitor)
	return k
}

// KeeperOf returns the node that owns the trainer's steps.
func KeeperOf(view *member.View, trainer string) (member.Node, bool) {
	ranked := view.Rank("step/"+trainer, "", 1)
	if len(ranked) == 0 {
		return member.Node{}, false
	}
	return ranked[0], true
}

// Close cancels all runs and waits for them to end.
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
		refused = notReadyError(err)
	}
	_ = sink.Head(refused.head)
	_ = sink.End(false)
}

// serve delivers the requested step. It tries again, up to maxServeTries times
// in all, if another keeper wrote the record or the samples became too stale to
// deliver.
func (k *Keeper) serve(ctx context.Context, call *wirepb.StepCall, sink Sink) error {
	trainer, request, err := k.parseCall(call)
	if err != nil {
		return err
	}
	j := k.jobOf(trainer.Name())
	j.beginRequest()
	defer j.endRequest()
	for range maxServeTries {
		r, err := k.openRun(ctx, j, trainer, call.GetStep(), request)
		if err != nil {
			return err
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return notReadyError(fmt.Errorf("step %d is not whole yet", r.step))
		}
		if r.err != nil {
			j.clearRun(r)
			if errors.Is(r.err, errFenced) {
				continue
			}
			return notReadyError(r.err)
		}
		stale, err := k.deliver(j, r, sink)
		if !stale || err != nil {
			return err
		}
	}
	return notReadyError(errors.New("the step's samples grow too old before they can be delivered"))
}

// parseCall looks up the trainer and parses its request.
func (k *Keeper) parseCall(call *wirepb.StepCall) (specs.Trainer, Request, error) {
	current := k.deps.Config.Current()
	if current == nil {
		return specs.Trainer{}, Request{}, notReadyError(errors.New("no configuration is in force yet"))
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

// openRun returns the run that answers the request: the one in progress, the
// sealed one, or a new one.
func (k *Keeper) openRun(
	ctx context.Context, j *job, trainer specs.Trainer, step uint64, request Request,
) (*run, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	digest := request.digest()
	if r := j.run; r != nil && r.step == step && r.digest == digest && !r.finished() {
		return r, nil
	}
	if err := k.refreshRecord(ctx, j); err != nil {
		return nil, notReadyError(err)
	}
	switch d := decide(j.record, j.version > 0, step, digest).(type) {
	case refuseStep:
		head := refusal(http.StatusConflict, d.reason)
		head.head.Expected = d.expected
		return nil, head
	case deliverStep:
		return k.sealedRun(ctx, j, request, digest)
	case sampleStep:
		return k.startRun(j, trainer, step, d.attempt, request, digest), nil
	default:
		return nil, fmt.Errorf("unknown decision %T", d)
	}
}

// refreshRecord reads the record. If the platform is unavailable the last record
// read is used; writes that build on it are conditional on its version.
func (k *Keeper) refreshRecord(ctx context.Context, j *job) error {
	var record Record
	version, err := object.GetRecord(ctx, k.deps.Platform, recordKind, j.trainer, &record)
	if err != nil {
		if j.recordLoaded {
			return nil
		}
		return fmt.Errorf("reading the step's record: %w", err)
	}
	j.record, j.version, j.recordLoaded = record, version, true
	return nil
}

// sealedRun returns a finished run with the sealed samples, from memory if this
// node has them, otherwise from the platform.
func (k *Keeper) sealedRun(ctx context.Context, j *job, request Request, digest string) (*run, error) {
	if r := j.run; r != nil && r.finished() && r.record.Digest == j.record.Digest && r.attempt == j.record.Attempt {
		return r, nil
	}
	groups, err := k.loadGroups(ctx, j.record)
	if err != nil {
		return nil, notReadyError(err)
	}
	event.StepTakenOver.Log(k.deps.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", j.record.Step))
	r := k.newRun(j.record.Step, j.record.Attempt, request, digest)
	r.groups, r.record = groups, j.record
	_ = r.machine.Fire("fill")
	_ = r.machine.Fire("seal")
	close(r.done)
	j.run = r
	return r, nil
}

// startRun starts a new sample set.
func (k *Keeper) startRun(
	j *job, trainer specs.Trainer, step uint64, attempt uint32, request Request, digest string,
) *run {
	if j.run != nil {
		j.run.cancel()
	}
	r := k.newRun(step, attempt, request, digest)
	ctx, cancel := context.WithCancel(k.ctx)
	r.cancel = cancel
	j.run = r
	event.StepOpened.Log(k.deps.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", step),
		zap.Uint32("attempt", attempt), zap.Int("groups", len(request.Groups)))
	base, version := j.record, j.version
	k.tasks.Go(func() {
		defer cancel()
		k.produce(ctx, j, r, trainer.Name(), base, version)
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

func (k *Keeper) jobOf(trainer string) *job {
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

func notReadyError(err error) *refusedError {
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
