package steps

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/specs"
)

// janitor frees what is held for trainers that don't come back.
func (k *Keeper) janitor() {
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-ticker.C:
		}
		if current := k.parts.Config.Current(); current != nil {
			k.freeIdle(current.Set())
		}
	}
}

// freeIdle drops jobs whose trainer is gone, does not ask any more, or has
// moved to another keeper.
func (k *Keeper) freeIdle(set *specs.Set) {
	view := k.parts.Members.View()
	for name, j := range k.snapshot() {
		trainer, declared := set.Trainer(name)
		keeper, _ := KeeperOf(view, name)
		limit := trainer.IdleLimit()
		if !declared || keeper.Name() != view.Self() {
			limit = min(limit, movedLimit)
		}
		if j.idleFor() > limit {
			event.StepAbandoned.Log(k.parts.Logger, zap.String("trainer", name))
			j.drop()
			k.mu.Lock()
			delete(k.jobs, name)
			k.mu.Unlock()
		}
	}
}

// snapshot returns the jobs of this moment. A job's own lock may be held for as
// long as a platform call takes, so it is never taken under the keeper's.
func (k *Keeper) snapshot() map[string]*job {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.jobs)
}

func (j *job) enter() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiting++
}

func (j *job) leave() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiting--
	j.lastAsk = time.Now()
}

// idleFor returns how long nobody has asked, 0 while somebody waits.
func (j *job) idleFor() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.waiting > 0 || j.lastAsk.IsZero() {
		return 0
	}
	return time.Since(j.lastAsk)
}

func (j *job) drop() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.run != nil {
		j.run.cancel()
		j.run = nil
	}
}

// forget drops a run that ended in an error.
func (j *job) forget(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.run == r {
		j.run = nil
	}
}

// finished reports whether the run has been made, or has failed.
func (r *run) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}
