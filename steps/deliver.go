package steps

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/wirepb"
)

const supersedeTimeout = 5 * time.Second

type (
	// Head is the first line of a step's answer.
	Head struct {
		// Step summarizes the sample set.
		Step Summary `json:"step"`
	}

	// End is the last line of a step's answer; without it the answer is incomplete.
	End struct {
		// End repeats the summary.
		End Summary `json:"end"`
	}

	// Summary describes a sample set.
	Summary struct {
		// Trainer is the trainer's name.
		Trainer string `json:"trainer"`
		// Step is the step's number.
		Step uint64 `json:"step"`
		// Attempt counts the step's sample sets from 1.
		Attempt uint32 `json:"attempt"`
		// Groups counts the delivered groups.
		Groups int `json:"groups"`
		// Samples counts the delivered samples.
		Samples int `json:"samples"`
		// Digest is the digest of the group lines.
		Digest string `json:"digest"`
	}
)

// deliver sends a sealed step to the trainer. If the step is too stale to deliver
// it is superseded and stale is true.
func (k *Keeper) deliver(j *job, r *run, sink Sink) (stale bool, err error) {
	trainer, served, ok := k.lookupTrainer(j.trainer)
	if !ok {
		return false, refusal(http.StatusNotFound, "no trainer "+j.trainer+" is declared")
	}
	now := time.Now()
	for _, g := range r.groups {
		if reason := g.stale(trainer, served, now); reason != "" {
			return true, k.supersede(j, r, reason)
		}
	}
	_ = r.machine.Fire("deliver")
	complete := k.send(j, r, sink)
	if !complete {
		_ = r.machine.Fire("cut")
		return false, nil
	}
	_ = r.machine.Fire("finish")
	event.StepDelivered.Log(k.deps.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", r.step),
		zap.Uint32("attempt", r.attempt), zap.Int("samples", r.record.Samples))
	return false, nil
}

// send writes the answer. It checks each group for staleness again right before
// sending that group, and stops at the first stale one; the trainer then sees
// an incomplete answer.
func (k *Keeper) send(j *job, r *run, sink Sink) (complete bool) {
	if err := sink.Head(&wirepb.StepHead{Status: http.StatusOK, Outcome: "answered"}); err != nil {
		return false
	}
	summary := Summary{
		Trainer: j.trainer,
		Step:    r.step,
		Attempt: r.attempt,
		Groups:  r.record.Groups,
		Samples: r.record.Samples,
		Digest:  r.record.Digest,
	}
	defer func() { _ = sink.End(complete) }()
	if err := sendLine(sink, Head{Step: summary}); err != nil {
		return false
	}
	for _, g := range r.groups {
		trainer, served, ok := k.lookupTrainer(j.trainer)
		if !ok || g.stale(trainer, served, time.Now()) != "" {
			return false
		}
		if err := sendLine(sink, g); err != nil {
			return false
		}
	}
	return sendLine(sink, End{End: summary}) == nil
}

func sendLine(sink Sink, value any) error {
	var line bytes.Buffer
	if err := json.NewEncoder(&line).Encode(value); err != nil {
		return fmt.Errorf("encoding an answer: %w", err)
	}
	return sink.Data(line.Bytes())
}

// supersede replaces the record of a sealed step by an open one with the next
// attempt number. Its write fences keepers that hold an earlier version of the
// record.
func (k *Keeper) supersede(j *job, r *run, reason string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.run == r {
		j.run = nil
	}
	if j.record.Step != r.step || j.record.Attempt != r.attempt {
		return nil
	}
	event.StepSuperseded.Log(k.deps.Logger, zap.String("trainer", j.trainer), zap.Uint64("step", r.step),
		zap.Uint32("attempt", r.attempt), zap.String("reason", reason))
	_ = r.machine.Fire("expire")
	next := Record{
		OperationID: fmt.Sprintf("%s.open.%d", k.deps.Members.View().Self(), time.Now().UnixNano()),
		Fence:       j.record.Fence + 1,
		Keeper:      k.deps.Members.View().Self(),
		Step:        r.step,
		Attempt:     r.attempt + 1,
		State:       stateOpen,
		Request:     j.record.Request,
		Chunks:      j.record.Chunks,
	}
	ctx, cancel := context.WithTimeout(k.ctx, supersedeTimeout)
	defer cancel()
	version, err := object.PutRecord(ctx, k.deps.Platform, recordKind, j.trainer, next, j.version)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return notReadyError(fmt.Errorf("the sealed step grew too old and could not be replaced: %w", err))
	}
	j.record, j.version = next, version
	return nil
}
