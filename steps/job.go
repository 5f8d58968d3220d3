package steps

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/specs"
)

// janitor periodically drops the state of idle trainers.
func (k *Keeper) janitor() {
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-ticker.C:
		}
		if current := k.deps.Config.Current(); current != nil {
			k.dropIdleJobs(current.Set())
		}
	}
}

// dropIdleJobs drops jobs whose trainer has sent no request within a limit. The
// limit is at most movedIdleLimit for trainers that are no longer declared or
// have another keeper.
func (k *Keeper) dropIdleJobs(set *specs.Set) {
	view := k.deps.Members.View()
	for name, j := range k.snapshot() {
		trainer, declared := set.Trainer(name)
		owner, _ := KeeperOf(view, name)
		limit := trainer.IdleLimit()
		if !declared || owner.Name() != view.Self() {
			limit = min(limit, movedIdleLimit)
		}
		if j.idleFor() > limit {
			event.StepAbandoned.Log(k.deps.Logger, zap.String("trainer", name))
			j.cancelRun()
			k.mu.Lock()
			delete(k.jobs, name)
			k.mu.Unlock()
		}
	}
}

// snapshot returns a copy of the jobs map. A job's lock may be held for the length
// of a platform call, so it is never acquired while the keeper's lock is held.
func (k *Keeper) snapshot() map[string]*job {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.jobs)
}

func (j *job) beginRequest() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiting++
}

func (j *job) endRequest() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.waiting--
	j.lastRequest = time.Now()
}

// idleFor returns the time since the last request, 0 while a request waits.
func (j *job) idleFor() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.waiting > 0 || j.lastRequest.IsZero() {
		return 0
	}
	return time.Since(j.lastRequest)
}

func (j *job) cancelRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.run != nil {
		j.run.cancel()
		j.run = nil
	}
}

// clearRun removes a run that ended in an error.
func (j *job) clearRun(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.run == r {
		j.run = nil
	}
}

// finished reports whether the run is sealed or has failed.
func (r *run) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}
