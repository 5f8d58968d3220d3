package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
)

const (
	// checkpointInterval is how often the partial output of running items is saved
	// in the store, and thus the most that is lost if all nodes stop at once. The
	// longest items run for seven seconds, and each save costs a store call.
	checkpointInterval = 2 * time.Second
	// minCheckpointEvents is how many events an item needs to be saved, and how
	// many new events a batch needs: fewer than an endpoint generates in a second.
	minCheckpointEvents = 20
	// checkpointTimeout limits one save, so that it ends before the next one is
	// due.
	checkpointTimeout = time.Second
)

// saveCheckpoints writes a checkpoint of each batch with enough new events.
// Backups at peers cover the loss of some nodes; this covers the loss of all.
func (k *Keeper) saveCheckpoints(ctx context.Context) {
	type checkpointWrite struct {
		job     *job
		list    []PartialOutput
		replace bool
	}
	var writes []checkpointWrite
	maxBytes := k.maxTextBytes()
	k.mu.Lock()
	for _, j := range k.jobs {
		if j.results.Ended() || j.released {
			continue
		}
		list := j.checkpoint(maxBytes)
		newEvents := 0
		for _, r := range list {
			newEvents += max(0, r.progress()-j.checkpointed[r.Item])
		}
		if newEvents >= minCheckpointEvents {
			writes = append(writes, checkpointWrite{job: j, list: list, replace: j.checkpointed != nil})
		}
	}
	k.mu.Unlock()
	for _, w := range writes {
		callCtx, cancel := context.WithTimeout(ctx, checkpointTimeout)
		err := k.writeCheckpoint(callCtx, w.job.head.ID, w.list, w.replace)
		cancel()
		if err != nil {
			if k.ctx.Err() == nil {
				event.BatchProgressNotSaved.Log(k.deps.Logger, zap.String("batch", w.job.head.ID), zap.Int("items", len(w.list)), zap.Error(err))
			}
			continue
		}
		events := make(map[string]int, len(w.list))
		for _, r := range w.list {
			events[r.Item] = r.progress()
		}
		k.mu.Lock()
		w.job.checkpointed = events
		k.mu.Unlock()
	}
}

// checkpoint returns the partial output of unfinished items, the complete texts that
// wait for their score, and the results that are still pending, the longest first, up
// to maxBytes. The caller holds the lock.
func (j *job) checkpoint(maxBytes int) []PartialOutput {
	var list []PartialOutput
	for i := range j.items {
		state := &j.items[i]
		if len(state.texts) < minCheckpointEvents || state.reward != nil {
			continue
		}
		list = append(list, PartialOutput{
			Item: j.submission.Items[i].ID, Texts: state.texts[:len(state.texts):len(state.texts)], LastEvent: state.lastEvent,
			Versions: append([]int(nil), state.versions...), Software: state.software,
		})
	}
	for _, complete := range j.completeTexts() {
		complete.Texts = strings.Split(complete.Texts[0], "\n")
		list = append(list, complete)
	}
	sort.SliceStable(list, func(a, b int) bool { return len(list[a].Texts) > len(list[b].Texts) })
	for n, r := range list {
		size := partial{texts: r.Texts}.bytes()
		if size > maxBytes {
			return list[:n]
		}
		maxBytes -= size
	}
	return list
}

// writeCheckpoint stores a batch's checkpoint. Replace reports that there is
// one already. Writes may take effect in any order: the texts of each item come from one
// software version, and are a prefix of the output unless the item was started anew.
func (k *Keeper) writeCheckpoint(ctx context.Context, id string, list []PartialOutput, replace bool) error {
	spec, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encoding the checkpoint of batch %s: %w", id, err)
	}
	if !replace {
		_, err = k.deps.Store.Create(ctx, kindCheckpoints, id, spec)
		var exists *object.ExistsError
		if !errors.As(err, &exists) {
			return err
		}
	}
	_, err = k.deps.Store.Replace(ctx, kindCheckpoints, id, spec, 0)
	return err
}

// progress returns how much a partial output counts towards the next checkpoint: its
// events, and enough for a checkpoint once its text waits for a score.
func (r PartialOutput) progress() int {
	if r.Complete && r.RewardID != "" {
		return len(r.Texts) + minCheckpointEvents
	}
	return len(r.Texts)
}

// extends reports whether a stored partial output holds more than a backup.
func (r PartialOutput) extends(current partial) bool {
	if current.complete {
		return current.score == "" && r.Score != ""
	}
	return r.Complete || len(r.Texts) > len(current.texts)
}

// loadCheckpoint adds a batch's stored checkpoint to the partial output held
// here, except for items of which this node's backup holds at least as much.
// Items in neither start from the beginning.
func (k *Keeper) loadCheckpoint(ctx context.Context, id string) {
	record, err := k.deps.Store.Get(ctx, kindCheckpoints, id, object.Fresh)
	if errors.Is(err, object.ErrNotFound) {
		return
	}
	var list []PartialOutput
	if err == nil {
		err = json.Unmarshal(record.Spec, &list)
	}
	if err != nil {
		event.BatchUnreadable.Log(k.deps.Logger, zap.String("batch", id), zap.Error(err))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, r := range list {
		if current, ok := k.partials.items[r.Item]; ok && !r.extends(current) {
			continue
		}
		k.partials.put(r.Item, r.toPartial(r.Texts, now))
	}
}
