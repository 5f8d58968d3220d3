package steps

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/waits"
)

const (
	chunkWriters   = 4
	sealMinBackoff = 100 * time.Millisecond
	sealMaxBackoff = 2 * time.Second
	deleteTimeout  = 30 * time.Second
	unknownVersion = 0
)

// produce gathers a step's samples and seals them. Groups that become stale in the
// meantime are sampled again.
func (k *Keeper) produce(ctx context.Context, j *job, r *run, trainerName string, base Record, version uint64) {
	defer close(r.done)
	groups := make([]Group, len(r.request.Groups))
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = sealMinBackoff, sealMaxBackoff
	for {
		trainer, served, ok := k.lookupTrainer(trainerName)
		if !ok {
			r.err = fmt.Errorf("trainer %s is no longer declared", trainerName)
			return
		}
		if err := k.gather(ctx, r, trainer, groups); err != nil {
			r.err = err
			return
		}
		if k.dropStale(groups, trainer, served) > 0 {
			continue
		}
		if r.machine.Is("open") {
			_ = r.machine.Fire("fill")
		}
		err := k.seal(ctx, j, r, groups, base, version)
		var conflict *object.ConflictError
		switch {
		case err == nil:
			return
		case errors.As(err, &conflict):
			event.StepKeeperFenced.Log(k.deps.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", r.step))
			r.err = errFenced
			return
		case ctx.Err() != nil:
			r.err = ctx.Err()
			return
		}
		event.StepSealRetry.Log(k.deps.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", r.step), zap.Error(err))
		if waits.For(ctx, policy.NextBackOff()) != nil {
			r.err = ctx.Err()
			return
		}
	}
}

// lookupTrainer returns the trainer and the version that its pool serves.
func (k *Keeper) lookupTrainer(name string) (specs.Trainer, uint64, bool) {
	current := k.deps.Config.Current()
	if current == nil {
		return specs.Trainer{}, unknownVersion, false
	}
	trainer, ok := current.Set().Trainer(name)
	if !ok {
		return trainer, unknownVersion, false
	}
	pool, ok := current.Set().Pool(trainer.Pool())
	return trainer, pool.ServedVersion(), ok
}

// dropStale clears the groups that are too stale to deliver and returns their
// number.
func (k *Keeper) dropStale(groups []Group, trainer specs.Trainer, served uint64) int {
	dropped := 0
	now := time.Now()
	for i := range groups {
		if reason := groups[i].stale(trainer, served, now); reason != "" {
			event.SampleRejected.Log(k.deps.Logger, zap.String("group", groups[i].Group), zap.String("reason", reason))
			groups[i] = Group{}
			dropped++
		}
	}
	return dropped
}

// seal writes the samples in bulk and then the record, which commits them.
func (k *Keeper) seal(ctx context.Context, j *job, r *run, groups []Group, base Record, version uint64) error {
	start := time.Now()
	operation := fmt.Sprintf("%s.%d.%d.%d", k.deps.Members.View().Self(), r.step, r.attempt, start.UnixNano())
	chunks, digest, err := encodeGroups(groups)
	if err != nil {
		return err
	}
	names, err := k.writeChunks(ctx, j.trainer, operation, chunks)
	if err != nil {
		return err
	}
	record := Record{
		OperationID: operation,
		Fence:       base.Fence + 1,
		Keeper:      k.deps.Members.View().Self(),
		Step:        r.step,
		Attempt:     r.attempt,
		State:       stateSealed,
		Request:     r.digest,
		Digest:      digest,
		Chunks:      names,
		Groups:      len(groups),
		SealedAt:    time.Now().UnixMilli(),
	}
	for _, g := range groups {
		record.Samples += len(g.Samples)
	}
	newVersion, err := object.PutRecord(ctx, k.deps.Platform, recordKind, j.trainer, record, version)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		k.tasks.Go(func() { k.deleteChunks(names) })
	}
	if err != nil {
		return fmt.Errorf("sealing step %d: %w", r.step, err)
	}
	k.recordSeal(j, r, record, newVersion, groups)
	event.StepSealed.Log(k.deps.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", r.step),
		zap.Uint32("attempt", r.attempt), zap.Int("samples", record.Samples), zap.Int("chunks", len(names)),
		zap.Duration("took", time.Since(start)))
	k.tasks.Go(func() { k.deleteChunks(base.Chunks) })
	return nil
}

// recordSeal applies a written record to the run and the job.
func (k *Keeper) recordSeal(j *job, r *run, record Record, version uint64, groups []Group) {
	_ = r.machine.Fire("seal")
	r.groups, r.record = groups, record
	j.mu.Lock()
	defer j.mu.Unlock()
	if version > j.version {
		j.record, j.version, j.recordLoaded = record, version, true
	}
}

func (k *Keeper) writeChunks(ctx context.Context, trainer, operation string, chunks [][]byte) ([]string, error) {
	names := make([]string, len(chunks))
	writes, ctx := errgroup.WithContext(ctx)
	writes.SetLimit(chunkWriters)
	for i, chunk := range chunks {
		names[i] = fmt.Sprintf("%s.%s.%d", trainer, operation, i)
		writes.Go(func() error {
			_, err := k.deps.Platform.Put(ctx, dataKind, names[i], chunk, 0)
			// The name is unique to this seal, so a conflict means that an earlier try
			// of this write succeeded and its answer was lost.
			var conflict *object.ConflictError
			if errors.As(err, &conflict) {
				return nil
			}
			return err
		})
	}
	if err := writes.Wait(); err != nil {
		return nil, fmt.Errorf("writing samples: %w", err)
	}
	return names, nil
}

// deleteChunks deletes the samples of an acknowledged or superseded step, or of
// a seal that another keeper fenced.
func (k *Keeper) deleteChunks(names []string) {
	ctx, cancel := context.WithTimeout(k.ctx, deleteTimeout)
	defer cancel()
	for _, name := range names {
		_ = k.deps.Platform.Delete(ctx, dataKind, name)
	}
}

// loadGroups reads sealed samples back.
func (k *Keeper) loadGroups(ctx context.Context, record Record) ([]Group, error) {
	var packed []byte
	for _, name := range record.Chunks {
		value, err := k.deps.Platform.Get(ctx, dataKind, name)
		if err != nil {
			return nil, fmt.Errorf("reading sealed samples: %w", err)
		}
		packed = append(packed, value.Body()...)
	}
	groups, digest, err := decodeGroups(packed)
	if err != nil {
		return nil, err
	}
	if digest != record.Digest {
		return nil, fmt.Errorf("the sealed samples of step %d have digest %s, want %s", record.Step, digest, record.Digest)
	}
	return groups, nil
}
