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
	hedgeShare    = 0.9
	hedgeFactor   = 2
	hedgeInterval = 50 * time.Millisecond
	relaunchPause = 200 * time.Millisecond
	nodesPerGroup = 8
)

type (
	// gathering makes the groups of one step.
	gathering struct {
		keeper  *Keeper
		run     *run
		trainer specs.Trainer
		begun   time.Time

		mu    sync.Mutex
		total int
		times []time.Duration
	}

	// groupWork gathers the samples of one group.
	groupWork struct {
		gathering *gathering
		request   GroupRequest
		mu        sync.Mutex
		got       map[uint32]Sample
		full      chan struct{}
	}
)

// gather makes the groups whose place in groups is still empty.
func (k *Keeper) gather(ctx context.Context, r *run, trainer specs.Trainer, groups []Group) error {
	g := &gathering{keeper: k, run: r, trainer: trainer, begun: time.Now()}
	group, ctx := errgroup.WithContext(ctx)
	gatherCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	for i := range groups {
		if groups[i].Samples == nil {
			g.total += trainer.Samples()
		}
	}
	var watch sync.WaitGroup
	hedge := make(chan struct{})
	watch.Go(func() { g.watchStragglers(gatherCtx, hedge) })
	for i := range groups {
		if groups[i].Samples != nil {
			continue
		}
		group.Go(func() error {
			work := &groupWork{
				gathering: g,
				request:   r.request.Groups[i],
				got:       make(map[uint32]Sample),
				full:      make(chan struct{}),
			}
			samples, err := work.make(ctx, hedge)
			groups[i] = Group{Group: work.request.Group, Samples: samples}
			return err
		})
	}
	err := group.Wait()
	stopWatch()
	watch.Wait()
	return err
}

// watchStragglers closes the channel once the samples that are left are late.
func (g *gathering) watchStragglers(ctx context.Context, hedge chan<- struct{}) {
	for waits.For(ctx, hedgeInterval) == nil {
		if g.late() {
			close(hedge)
			return
		}
	}
}

// late reports whether most samples are there and the rest take far longer.
func (g *gathering) late() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	elapsed := time.Since(g.begun)
	done := len(g.times)
	if done == 0 || float64(done) < hedgeShare*float64(g.total) {
		return elapsed > g.trainer.StepTimeout()/2
	}
	return elapsed > hedgeFactor*g.times[done/2]
}

// sampleDone notes when a sample came, in order of time.
func (g *gathering) sampleDone() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.times = append(g.times, time.Since(g.begun))
}

// make gathers until the group is whole; late samples run twice, the first
// whole answer counts and the rest are cancelled.
func (w *groupWork) make(ctx context.Context, hedge <-chan struct{}) ([]Sample, error) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { w.keepLaunching(ctx, 0, false) })
	for {
		select {
		case <-w.full:
			return w.samples(), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-hedge:
			hedge = nil
			tasks.Go(func() { w.keepLaunching(ctx, 1, true) })
		}
	}
}

// keepLaunching runs the missing samples at one node after another.
func (w *groupWork) keepLaunching(ctx context.Context, first int, hedge bool) {
	for try := first; ctx.Err() == nil; try++ {
		missing := w.missing()
		if len(missing) == 0 {
			return
		}
		node, ok := w.node(try)
		if ok && w.launch(ctx, node, missing, hedge) == nil {
			continue
		}
		_ = waits.For(ctx, relaunchPause)
	}
}

// node returns where to run the group at the given try.
func (w *groupWork) node(try int) (member.Node, bool) {
	g := w.gathering
	key := fmt.Sprintf("group/%s/%d/%s", g.trainer.Name(), g.run.step, w.request.Group)
	ranked := g.keeper.parts.Members.View().Rank(key, "", nodesPerGroup)
	if len(ranked) == 0 {
		return member.Node{}, false
	}
	return ranked[try%len(ranked)], true
}

// launch runs samples at a node and takes those that come back whole.
func (w *groupWork) launch(ctx context.Context, node member.Node, indices []uint32, hedge bool) error {
	g := w.gathering
	call := &wirepb.RunGroup{
		Trainer:    g.trainer.Name(),
		Step:       g.run.step,
		Attempt:    g.run.attempt,
		Group:      w.request.Group,
		Prompt:     w.request.Prompt,
		MaxTokens:  uint32(g.trainer.MaxTokens()),
		Indices:    indices,
		DeadlineMs: g.trainer.StepTimeout().Milliseconds(),
		Hedge:      hedge,
	}
	parts := g.keeper.parts
	if node.Name() == parts.Members.View().Self() {
		return parts.Worker.Run(ctx, call, func(done *wirepb.SampleDone) { w.take(call, done) })
	}
	stream, err := parts.Pool.Open(ctx, node.PeerAddress(), &wirepb.Frame{Body: &wirepb.Frame_RunGroup{RunGroup: call}})
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
			w.take(call, body.SampleDone)
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

// take keeps the first whole answer of each sample.
func (w *groupWork) take(call *wirepb.RunGroup, done *wirepb.SampleDone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.got) >= w.gathering.trainer.Samples() {
		return
	}
	if _, ok := w.got[done.GetIndex()]; ok || len(done.GetVersions()) == 0 {
		return
	}
	w.got[done.GetIndex()] = sampleOf(call, done)
	w.gathering.sampleDone()
	if len(w.got) == w.gathering.trainer.Samples() {
		close(w.full)
	}
}

// missing returns the indices that have no answer yet, over-sampling included.
func (w *groupWork) missing() []uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	trainer := w.gathering.trainer
	if len(w.got) >= trainer.Samples() {
		return nil
	}
	var missing []uint32
	for i := range uint32(trainer.Samples() + trainer.OverSample()) {
		if _, ok := w.got[i]; !ok {
			missing = append(missing, i)
		}
	}
	return missing
}

func (w *groupWork) samples() []Sample {
	w.mu.Lock()
	defer w.mu.Unlock()
	samples := make([]Sample, 0, len(w.got))
	for _, s := range w.got {
		samples = append(samples, s)
	}
	slices.SortFunc(samples, func(a, b Sample) int { return int(a.Index) - int(b.Index) })
	return samples
}
