package steps

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	hedgeMinDoneShare  = 0.9
	hedgeLatencyFactor = 2
	hedgeCheckInterval = 50 * time.Millisecond
	retryDelay         = 200 * time.Millisecond
	nodesPerGroup      = 8
)

type (
	// gatherer gathers the samples of one step.
	gatherer struct {
		keeper  *Keeper
		run     *run
		trainer specs.Trainer
		start   time.Time

		mu              sync.Mutex
		expected        int
		completionTimes []time.Duration
	}

	// groupCollector collects the samples of one group.
	groupCollector struct {
		gatherer *gatherer
		request  GroupRequest
		mu       sync.Mutex
		received map[uint32]Sample
		done     chan struct{}
	}
)

// gather fills the entries of groups that are still empty.
func (k *Keeper) gather(ctx context.Context, r *run, trainer specs.Trainer, groups []Group) error {
	g := &gatherer{keeper: k, run: r, trainer: trainer, start: time.Now()}
	tasks, ctx := errgroup.WithContext(ctx)
	gatherCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	for i := range groups {
		if groups[i].Samples == nil {
			g.expected += trainer.Samples()
		}
	}
	var watch sync.WaitGroup
	hedge := make(chan struct{})
	watch.Go(func() { g.watchStragglers(gatherCtx, hedge) })
	for i := range groups {
		if groups[i].Samples != nil {
			continue
		}
		tasks.Go(func() error {
			collector := &groupCollector{
				gatherer: g,
				request:  r.request.Groups[i],
				received: make(map[uint32]Sample),
				done:     make(chan struct{}),
			}
			samples, err := collector.collect(ctx, hedge)
			groups[i] = Group{Group: collector.request.Group, Samples: samples}
			return err
		})
	}
	err := tasks.Wait()
	stopWatch()
	watch.Wait()
	return err
}

// watchStragglers closes hedge once the missing samples are late.
func (g *gatherer) watchStragglers(ctx context.Context, hedge chan<- struct{}) {
	for waits.For(ctx, hedgeCheckInterval) == nil {
		if g.stragglersLate() {
			close(hedge)
			return
		}
	}
}

// stragglersLate reports whether the missing samples are late. Once most
// samples are complete, the limit is a multiple of their median time; before
// that it is half of the step's timeout.
func (g *gatherer) stragglersLate() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	elapsed := time.Since(g.start)
	done := len(g.completionTimes)
	if done == 0 || float64(done) < hedgeMinDoneShare*float64(g.expected) {
		return elapsed > g.trainer.StepTimeout()/2
	}
	return elapsed > hedgeLatencyFactor*g.completionTimes[done/2]
}

// recordCompletion appends the time from the start of the step to the
// completion of a sample. The times are in ascending order.
func (g *gatherer) recordCompletion() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.completionTimes = append(g.completionTimes, time.Since(g.start))
}

// collect runs samples until the group is complete. Once hedge is closed,
// missing samples also run on another node; the first complete answer is used
// and the others are cancelled.
func (c *groupCollector) collect(ctx context.Context, hedge <-chan struct{}) ([]Sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { c.launchMissing(ctx, 0, false) })
	for {
		select {
		case <-c.done:
			return c.samples(), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-hedge:
			hedge = nil
			tasks.Go(func() { c.launchMissing(ctx, 1, true) })
		}
	}
}

// launchMissing runs the missing samples on one node after another until none is
// missing.
func (c *groupCollector) launchMissing(ctx context.Context, first int, hedge bool) {
	for try := first; ctx.Err() == nil; try++ {
		missing := c.missing()
		if len(missing) == 0 {
			return
		}
		node, ok := c.node(try)
		if ok && c.launch(ctx, node, missing, hedge) == nil {
			continue
		}
		_ = waits.For(ctx, retryDelay)
	}
}

// node returns the node on which to run the group at the given try.
func (c *groupCollector) node(try int) (member.Node, bool) {
	g := c.gatherer
	key := fmt.Sprintf("group/%s/%d/%s", g.trainer.Name(), g.run.step, c.request.Group)
	ranked := g.keeper.deps.Members.View().Rank(key, "", nodesPerGroup)
	if len(ranked) == 0 {
		return member.Node{}, false
	}
	return ranked[try%len(ranked)], true
}

// launch runs samples on a node and accepts those that complete.
func (c *groupCollector) launch(ctx context.Context, node member.Node, indices []uint32, hedge bool) error {
	g := c.gatherer
	call := &wirepb.RunGroup{
		Trainer:    g.trainer.Name(),
		Step:       g.run.step,
		Attempt:    g.run.attempt,
		Group:      c.request.Group,
		Prompt:     c.request.Prompt,
		MaxTokens:  uint32(g.trainer.MaxTokens()),
		Indices:    indices,
		DeadlineMs: g.trainer.StepTimeout().Milliseconds(),
		Hedge:      hedge,
	}
	deps := g.keeper.deps
	if node.Name() == deps.Members.View().Self() {
		return deps.Worker.Run(ctx, call, func(done *wirepb.SampleDone) { c.accept(call, done) })
	}
	stream, err := deps.Pool.Open(ctx, node.PeerAddress(), &wirepb.Frame{Body: &wirepb.Frame_RunGroup{RunGroup: call}})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		switch body := frame.GetBody().(type) {
		case *wirepb.Frame_SampleDone:
			c.accept(call, body.SampleDone)
		case *wirepb.Frame_GroupEnd:
			if problem := body.GroupEnd.GetProblem(); problem != "" {
				return errors.New(problem)
			}
			return nil
		default:
			return fmt.Errorf("unexpected frame %T from %s", body, node.Name())
		}
	}
}

// accept stores the first complete answer of each sample until the group has as
// many samples as the trainer needs, then closes done. It ignores later answers.
func (c *groupCollector) accept(call *wirepb.RunGroup, done *wirepb.SampleDone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.received) >= c.gatherer.trainer.Samples() {
		return
	}
	if _, ok := c.received[done.GetIndex()]; ok || len(done.GetVersions()) == 0 {
		return
	}
	c.received[done.GetIndex()] = sampleOf(call, done)
	c.gatherer.recordCompletion()
	if len(c.received) == c.gatherer.trainer.Samples() {
		close(c.done)
	}
}

// missing returns the indices of samples without an answer, including the extra
// ones of over-sampling.
func (c *groupCollector) missing() []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	trainer := c.gatherer.trainer
	if len(c.received) >= trainer.Samples() {
		return nil
	}
	var missing []uint32
	for i := range uint32(trainer.Samples() + trainer.OverSample()) {
		if _, ok := c.received[i]; !ok {
			missing = append(missing, i)
		}
	}
	return missing
}

func (c *groupCollector) samples() []Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	samples := make([]Sample, 0, len(c.received))
	for _, s := range c.received {
		samples = append(samples, s)
	}
	slices.SortFunc(samples, func(a, b Sample) int { return int(a.Index) - int(b.Index) })
	return samples
}
