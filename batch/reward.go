package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/grade"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/routes"
)

const (
	// maxRewardBytes limits the body of an answer to a reward call, of which only the
	// signature is used.
	maxRewardBytes = 1 << 20
	// missingRouteLogInterval is how often a reward call without a route is logged.
	missingRouteLogInterval = 5 * time.Second
)

var errRewardTooLong = fmt.Errorf("the answer to a reward call is over %d bytes", maxRewardBytes)

type (
	// rewardState is the state of an item's reward call. The keeper's lock guards it.
	rewardState struct {
		// since is when the item's text was complete.
		since    time.Time
		attempts []*rewardAttempt
		// failedAt lists the endpoints where an attempt has failed.
		failedAt []string
		// failures counts failed attempts, and serverErrors those answered with status 500.
		failures, serverErrors int
		// missingLoggedAt is when the absence of a route was last logged.
		missingLoggedAt time.Time
	}

	// rewardAttempt is one attempt in flight.
	rewardAttempt struct {
		target fleet.Target
		sentAt time.Time
		cancel context.CancelFunc
	}
)

// cancelAttempts cancels the attempts in flight, if there are any.
func (s *rewardState) cancelAttempts() {
	if s == nil {
		return
	}
	for _, a := range s.attempts {
		a.cancel()
	}
}

// finishText records that an item's text is complete: the item is done, or it waits
// for its score. The caller holds the lock.
func (k *Keeper) finishText(j *job, i int) {
	if j.submission.Items[i].Reward.ID == "" {
		k.recordScored(j, i, "")
		return
	}
	j.items[i].reward = &rewardState{since: time.Now()}
}

// recordScored records the result of an item whose text is complete. The caller
// holds the lock.
func (k *Keeper) recordScored(j *job, i int, score string) {
	state := &j.items[i]
	k.recordResult(j, Result{Item: j.submission.Items[i].ID, Text: strings.Join(state.texts, "\n"), Versions: state.versions, Score: score})
	state.reward.cancelAttempts()
	state.reward = nil
	j.setTexts(i, nil)
}

// endRewards ends the reward calls of items that have a durable result, which another
// keeper may have stored. The caller holds the lock.
func (j *job) endRewards() {
	for i := range j.items {
		if state := &j.items[i]; state.reward != nil && j.results.HasResult(j.submission.Items[i].ID) {
			state.reward.cancelAttempts()
			state.reward = nil
			j.setTexts(i, nil)
		}
	}
}

// rewardService returns the service that the configuration in force selects for an
// item's reward call. Without a route the call waits, since the route may come back.
func (k *Keeper) rewardService(j *job, i int, now time.Time) (string, bool) {
	call, state := j.submission.Items[i].Reward, j.items[i].reward
	route := k.rewardRoute(call)
	if len(route.Shares) > 0 {
		return route.Service(call.ID), true
	}
	if now.Sub(state.missingLoggedAt) >= missingRouteLogInterval {
		state.missingLoggedAt = now
		event.RewardRouteMissing.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", j.submission.Items[i].ID),
			zap.String("call", call.ID), zap.String("host", call.Host), zap.String("path", call.Path))
	}
	return "", false
}

// rewardRoute returns the route of a reward call, an empty one if there is none.
func (k *Keeper) rewardRoute(call RewardCall) routes.Route {
	return k.routeOf(Head{Host: call.Host, Path: call.Path})
}

// scheduleRewards starts the reward calls that can start, by service. The caller
// holds the lock.
func (k *Keeper) scheduleRewards(waiting map[string][]itemRef, now time.Time) {
	if len(waiting) == 0 {
		return
	}
	missing := make(map[*job]map[string]int)
	node := grade.Node{Domain: k.deps.Domain, Senders: k.activeKeepers(now)}
	for service, refs := range waiting {
		calls := make([]grade.Call, len(refs))
		for n, ref := range refs {
			if missing[ref.job] == nil {
				missing[ref.job] = ref.job.missingTexts()
			}
			calls[n] = k.rewardCall(ref, missing[ref.job])
		}
		states := k.deps.Fleet.Serving(service)
		for _, p := range grade.Plan(calls, states, node, now) {
			k.startReward(refs[p.Call], p.Target, now)
			calls[p.Call].InFlight = append(calls[p.Call].InFlight, grade.Attempt{Endpoint: p.Target.ID(), SentAt: now})
		}
		var targets []fleet.Target
		for _, p := range grade.Plan(calls, fleet.Permitted(states), node, now) {
			targets = append(targets, p.Target)
		}
		k.deps.Fleet.WantPermits(targets)
	}
}

// activeKeepers returns how many nodes own open batches. The caller holds the lock.
func (k *Keeper) activeKeepers(now time.Time) int {
	keepers := make(map[string]bool)
	for _, h := range k.batches {
		if !h.ended && h.head.Age(now) < k.lifetime(h.head) {
			keepers[k.keeperOf(h)] = true
		}
	}
	return len(keepers)
}

// rewardCall describes an item's reward call for placement; missing counts the items
// without a complete text by group.
func (k *Keeper) rewardCall(ref itemRef, missing map[string]int) grade.Call {
	j, it, state := ref.job, &ref.job.submission.Items[ref.item], ref.job.items[ref.item].reward
	call := grade.Call{
		Due: j.due(), GroupMissing: missing[it.Group], Since: state.since, Failed: state.failedAt,
		HedgeDelay: grade.HedgeDelay(k.rewardRoute(it.Reward).TargetLatency),
	}
	for _, a := range state.attempts {
		call.InFlight = append(call.InFlight, grade.Attempt{Endpoint: a.target.ID(), SentAt: a.sentAt})
	}
	return call
}

// rewardWaits reports whether an item's reward call waits for an attempt to start. The
// caller holds the lock.
func (k *Keeper) rewardWaits(j *job, i int, now time.Time) bool {
	call := k.rewardCall(itemRef{job: j, item: i}, nil)
	return call.WantsAttempt(now)
}

// missingTexts returns how many items of each group have no complete text.
func (j *job) missingTexts() map[string]int {
	missing := make(map[string]int)
	for i := range j.submission.Items {
		it := &j.submission.Items[i]
		if j.items[i].reward == nil && !j.results.HasResult(it.ID) {
			missing[it.Group]++
		}
	}
	return missing
}

// startReward starts an attempt of an item's reward call. The caller holds the lock.
func (k *Keeper) startReward(ref itemRef, target fleet.Target, now time.Time) {
	j, i := ref.job, ref.item
	it, state := &j.submission.Items[i], j.items[i].reward
	if !j.permission.valid(k.deps.Clock()) {
		return
	}
	if !k.deps.Fleet.Begin(target.ID()) {
		// The last permit was used meanwhile; the next pass asks for another.
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, grade.Timeout(k.rewardRoute(it.Reward).Timeout))
	attempt := &rewardAttempt{target: target, sentAt: now, cancel: cancel}
	state.attempts = append(state.attempts, attempt)
	if state.failures == 0 && len(state.attempts) == 1 {
		k.deps.Scope.Timer("reward_wait").Record(now.Sub(state.since))
	}
	// All attempts end with the batch, so that a repeated one never has more time
	// than the first.
	deadline := time.UnixMilli(j.head.AcceptedMs).Add(k.lifetime(j.head))
	k.tasks.Go(func() {
		defer cancel()
		reply, signature, err := k.sendReward(ctx, j, i, target, deadline)
		k.deps.Fleet.End(target.ID(), rewardFleetResult(ctx, reply, err))
		k.endReward(ctx, ref, state, attempt, rewardOutcome{reply: reply, signature: signature, err: err})
	})
}

// sendReward makes one attempt and reads the answer to its end. A successful answer
// that is incomplete counts as lost.
func (k *Keeper) sendReward(
	ctx context.Context, j *job, i int, target fleet.Target, deadline time.Time,
) (reply relay.Reply, signature string, err error) {
	it, release, err := k.itemToSend(ctx, j, i)
	if err != nil {
		return relay.NotRun{Cause: err}, "", err
	}
	defer release()
	call := it.Reward
	reply = k.deps.Engine.Send(ctx, target, relay.Request{
		ID: call.ID, Host: call.Host, Method: http.MethodPost, Target: call.Path, Body: call.Body, Deadline: deadline, LastEventID: -1,
		Repeatable: true, Permitted: func() bool { return k.mayStart(j) },
	})
	answer, ok := reply.(relay.Answer)
	if !ok {
		return reply, "", replyCause(reply)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxRewardBytes+1))
	err = errors.Join(err, answer.Body.Close())
	switch {
	case err != nil:
		err = fmt.Errorf("reading the answer of endpoint %s: %w", target.ID(), err)
		return relay.Lost{Cause: err}, "", err
	case n > maxRewardBytes:
		return relay.Lost{Cause: errRewardTooLong}, "", errRewardTooLong
	case answer.Status < 200 || answer.Status > 299:
		return answer, "", fmt.Errorf("endpoint %s answered with status %d", target.ID(), answer.Status)
	case answer.Signature == "":
		return relay.Lost{Cause: errUnsignedStream}, "", errUnsignedStream
	}
	return answer, answer.Signature, nil
}

// rewardOutcome is how one attempt of a reward call ended.
type rewardOutcome struct {
	reply     relay.Reply
	signature string
	err       error
}

// endReward records how an attempt ended: the item is scored, abandoned, or its
// reward call waits again.
func (k *Keeper) endReward(ctx context.Context, ref itemRef, state *rewardState, attempt *rewardAttempt, outcome rewardOutcome) {
	j, i := ref.job, ref.item
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.wakeScheduler()
	state.attempts = slices.DeleteFunc(state.attempts, func(a *rewardAttempt) bool { return a == attempt })
	if j.released || j.results.Ended() || j.items[i].reward != state {
		return
	}
	it, now := &j.submission.Items[i], time.Now()
	if outcome.err == nil {
		k.deps.Scope.Counter("rewards_scored").Inc(1)
		k.deps.Scope.Timer("reward_time").Record(now.Sub(state.since))
		event.ItemScored.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID), zap.String("call", it.Reward.ID),
			zap.String("endpoint", attempt.target.ID()), zap.Int("failures", state.failures), zap.Duration("took", now.Sub(state.since)))
		k.recordScored(j, i, outcome.signature)
		return
	}
	if errors.Is(outcome.err, relay.ErrNotPermitted) {
		event.ItemNotPermitted.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID),
			zap.String("call", it.Reward.ID), zap.String("endpoint", attempt.target.ID()))
		return
	}
	if errors.Is(outcome.err, errBodyNotLoaded) {
		j.items[i].notBefore = now.Add(bodyRetryDelay)
		event.ItemNotLoaded.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID), zap.Error(outcome.err))
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	state.failures++
	j.items[i].notBefore = now.Add(grade.Backoff(state.failures))
	if !slices.Contains(state.failedAt, attempt.target.ID()) {
		state.failedAt = append(state.failedAt, attempt.target.ID())
	}
	k.deps.Scope.Counter("reward_failures").Inc(1)
	event.RewardCallFailed.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID), zap.String("call", it.Reward.ID),
		zap.String("endpoint", attempt.target.ID()), zap.Int("failures", state.failures), zap.Error(outcome.err))
	if answer, ok := outcome.reply.(relay.Answer); ok && answer.Status == http.StatusInternalServerError {
		state.serverErrors++
	}
	if state.serverErrors >= k.rewardRoute(it.Reward).Attempts() {
		k.abandon(j, i, "reward call failed too often")
	}
}

// rewardFleetResult returns what an attempt says about its endpoint.
func rewardFleetResult(ctx context.Context, reply relay.Reply, err error) fleet.Result {
	if errors.Is(err, relay.ErrNotPermitted) || errors.Is(err, errBodyNotLoaded) {
		return fleet.Cancelled
	}
	switch r := reply.(type) {
	case relay.Answer:
		return fleet.Answered
	case relay.NotRun:
		if r.Full {
			return fleet.Full
		}
		return fleet.Failed
	case relay.Lost:
		if r.PathLost {
			return fleet.Cancelled
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return fleet.Cancelled
	}
	return fleet.Failed
}
