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
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/waits"
)

const (
	// rescheduleInterval is how often waiting items are scheduled again when
	// nothing has changed.
	rescheduleInterval = 100 * time.Millisecond
	// passPauseFactor makes a scheduling pass take a third of the processor at most: the
	// pause after it is this many times as long as the pass. With thousands of endpoints a
	// pass takes milliseconds, and the entries of endpoints change dozens of times a second.
	passPauseFactor = 2
	// maxPassPause limits that pause.
	maxPassPause = rescheduleInterval
	// moveInterval is how often running items are considered for a move.
	moveInterval = 250 * time.Millisecond
	// stallTimeout is how long a stream may deliver no event before the item is
	// resumed on another endpoint: events come every 40 ms, every 200 ms at a slow
	// endpoint.
	stallTimeout = 1200 * time.Millisecond
	// firstEventTimeout is the same limit before the first event, which also waits
	// until the engine has read other requests' prompts.
	firstEventTimeout = 2500 * time.Millisecond
	// maxStallTimeout limits both for items of slow endpoints. An item's own limits double
	// with each run that stalled, since the usual interval is not known before two events.
	maxStallTimeout = 5 * time.Second
	// failureBackoff is how long an item waits after a failure, multiplied by its
	// number of failures.
	failureBackoff = 30 * time.Millisecond
	// maxFailureBackoff limits that wait.
	maxFailureBackoff = time.Second
	// bodyRetryDelay is how long an item waits whose body could not be read from the store.
	bodyRetryDelay = 300 * time.Millisecond
	// minRestartDelay is how long partial output waits at least for an endpoint that can
	// continue it. An endpoint that has failed once is back before.
	minRestartDelay = 500 * time.Millisecond
	// maxRestartDelay limits that wait: endpoints that crashed are back within a few
	// seconds, and an item may not wait for five.
	maxRestartDelay = 2500 * time.Millisecond
	// maxStallShift limits how often an item's limits double.
	maxStallShift = 2
	// maxRestartShift limits how often that wait doubles.
	maxRestartShift = 3
	// statusPermanentFailure is the status of an endpoint's answer for an item that
	// can never succeed.
	statusPermanentFailure = http.StatusUnprocessableEntity
)

var (
	errOldVersion     = errors.New("endpoint weights are older than the batch allows")
	errMixedVersions  = errors.New("endpoint weights differ from those that generated the partial output")
	errOtherSoftware  = errors.New("endpoint software differs from the one that wrote the partial output")
	errEventGap       = errors.New("event missing or duplicated")
	errUnsignedStream = errors.New("response is not signed")
	errNoStream       = errors.New("response is no event stream")
	errNoEvent        = errors.New("response ended without an event")
	errTextTooLong    = errors.New("text is too long to be stored")
	errTextDiscarded  = errors.New("the texts of unfinished items take too much memory")
)

// scheduleLoop schedules items when it is woken, when the fleet changes, and
// periodically while items wait or run.
func (k *Keeper) scheduleLoop() {
	for {
		permits := k.deps.Fleet.Limits().Changed()
		began := time.Now()
		active := k.schedule()
		pause := passPause(time.Since(began))
		var recheck <-chan time.Time
		var timer *time.Timer
		if active {
			timer = time.NewTimer(rescheduleInterval)
			recheck = timer.C
		}
		select {
		case <-k.ctx.Done():
		case <-k.wake:
		case <-k.deps.Fleet.Changed():
		case <-permits:
		case <-recheck:
		}
		if timer != nil {
			timer.Stop()
		}
		if waits.For(k.ctx, pause) != nil {
			return
		}
	}
}

// passPause returns the pause after a scheduling pass that took the given time.
func passPause(took time.Duration) time.Duration { return min(maxPassPause, passPauseFactor*took) }

// itemRef identifies an item of a job.
type itemRef struct {
	job  *job
	item int
}

// schedule starts the items that can start and reports whether any item is
// waiting or running.
func (k *Keeper) schedule() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return false
	}
	now, clock := time.Now(), k.deps.Clock()
	waiting := make(map[string][]WaitingItem)
	unconfirmed := make(map[*job]bool)
	var refs []itemRef
	rewards := make(map[string][]itemRef)
	unplaced := 0
	for _, j := range k.jobs {
		if j.results.Ended() || j.released {
			continue
		}
		j.route = k.routeOf(j.head)
		service := j.route.Service(j.head.ID)
		permitted := j.permission.valid(clock)
		for i := range j.submission.Items {
			it := &j.submission.Items[i]
			if _, running := j.running[i]; running || j.results.HasResult(it.ID) {
				continue
			}
			unplaced++
			if k.abandonIfExpired(j, i, now) || now.Before(j.items[i].notBefore) {
				continue
			}
			if j.items[i].reward != nil {
				if service, ok := k.rewardService(j, i, now); ok {
					unconfirmed[j] = unconfirmed[j] || k.rewardWaits(j, i, now)
					if permitted {
						rewards[service] = append(rewards[service], itemRef{job: j, item: i})
					}
				}
				continue
			}
			unconfirmed[j] = true
			if !permitted {
				continue
			}
			refs = append(refs, itemRef{job: j, item: i})
			waiting[service] = append(waiting[service], waitingOf(j, i, len(refs)-1, k.tokensPerEvent(service)))
		}
	}
	k.moveItems(now, unconfirmed)
	k.confirmWaiting(unconfirmed)
	for service, list := range waiting {
		states := k.deps.Fleet.Serving(service)
		for n := range list {
			k.restartIfStuck(refs[list[n].Index], &list[n], states, now)
		}
		memory, started := k.engineMemory(service), make(map[int]bool)
		for _, p := range PlanWithPolicy(k.deps.Policy, list, states, memory, k.groupEndpoints) {
			if k.startRun(refs[p.Index].job, refs[p.Index].item, p.Target) {
				started[p.Index] = true
			}
		}
		unplaced -= len(started)
		k.wantPermits(list, started, states, memory)
	}
	k.scheduleRewards(rewards, now)
	return unplaced > 0 || k.anyRunning()
}

// wantPermits asks for permits for the waiting items that were not started and would
// run on endpoints that lack one.
func (k *Keeper) wantPermits(list []WaitingItem, started map[int]bool, states []fleet.State, memory Memory) {
	permitted := fleet.Permitted(states)
	if len(permitted) == 0 {
		return
	}
	left := slices.DeleteFunc(slices.Clone(list), func(w WaitingItem) bool { return started[w.Index] })
	var targets []fleet.Target
	for _, p := range PlanWithPolicy(k.deps.Policy, left, permitted, memory, make(GroupEndpoints)) {
		targets = append(targets, p.Target)
	}
	k.deps.Fleet.WantPermits(targets)
}

// restartIfStuck discards an item's partial output if no endpoint continues it for longer
// than generating it anew takes, within limits: the only version or software that may
// continue it may not come back.
func (k *Keeper) restartIfStuck(ref itemRef, w *WaitingItem, states []fleet.State, now time.Time) {
	state := &ref.job.items[ref.item]
	delay, stuck := w.restartDelay(states, time.Duration(len(state.texts))*medianEventInterval(states), state.restarts)
	switch {
	case !stuck:
		state.stuckSince = time.Time{}
	case state.stuckSince.IsZero():
		state.stuckSince = now
	case now.Sub(state.stuckSince) >= delay:
		event.ItemRestarted.Log(k.deps.Logger, zap.String("batch", ref.job.head.ID), zap.String("item", ref.job.submission.Items[ref.item].ID),
			zap.Int("version", w.PinnedVersion), zap.String("software", string(w.Software)), zap.Int("events", len(state.texts)),
			zap.Duration("waited", now.Sub(state.stuckSince)))
		ref.job.discardOutput(ref.item)
		state.restarts++
		*w = waitingOf(ref.job, ref.item, w.Index, k.tokensPerEvent(ref.job.route.Service(ref.job.head.ID)))
	}
}

func (k *Keeper) anyRunning() bool {
	for _, j := range k.jobs {
		if len(j.running) > 0 {
			return true
		}
	}
	return false
}

// tokensPerEvent returns how many tokens one event of a service's streams
// holds.
func (k *Keeper) tokensPerEvent(service string) int {
	if table := k.deps.Routes(); table != nil {
		if s, ok := table.Service(service); ok && s.Stride > 0 {
			return s.Stride
		}
	}
	return defaultStride
}

// engineMemory returns how much memory of a service's engines the items that
// this node runs will take. The caller holds the lock.
func (k *Keeper) engineMemory(service string) Memory {
	m := Memory{Used: make(map[string]int)}
	if table := k.deps.Routes(); table != nil {
		s, _ := table.Service(service)
		m.Capacity = s.CacheTokens
	}
	stride := k.tokensPerEvent(service)
	for _, j := range k.jobs {
		for i, r := range j.running {
			m.Used[r.target.ID()] += waitingOf(j, i, 0, stride).Tokens
		}
	}
	return m
}

// moveItems stops running items that would end sooner on another endpoint. An item whose
// batch must be confirmed to be open first, before it may start again, goes on running; its
// batch is added to unconfirmed.
func (k *Keeper) moveItems(now time.Time, unconfirmed map[*job]bool) {
	if now.Sub(k.lastMoveAt) < moveInterval {
		return
	}
	k.lastMoveAt = now
	if _, ok := k.deps.Policy.(LongestFirst); !ok {
		// The policies that LongestFirst is compared with never move items.
		return
	}
	running := make(map[string][]RunningItem)
	var refs []itemRef
	for _, j := range k.jobs {
		service := j.route.Service(j.head.ID)
		for i, r := range j.running {
			refs = append(refs, itemRef{job: j, item: i})
			running[service] = append(running[service], RunningItem{
				WaitingItem: waitingOf(j, i, len(refs)-1, k.tokensPerEvent(service)),
				Endpoint:    r.target.ID(), DoneEvents: len(j.items[i].texts), RunTime: now.Sub(r.startedAt),
			})
		}
	}
	for service, list := range running {
		for _, index := range PlanMoves(list, k.deps.Fleet.Serving(service), k.engineMemory(service)) {
			ref := refs[index]
			if !ref.job.permission.valid(k.deps.Clock()) {
				unconfirmed[ref.job] = true
				continue
			}
			r := ref.job.running[ref.item]
			r.moved = true
			event.ItemMoved.Log(k.deps.Logger, zap.String("batch", ref.job.head.ID),
				zap.String("item", ref.job.submission.Items[ref.item].ID), zap.String("endpoint", r.target.ID()),
				zap.Int("events", len(ref.job.items[ref.item].texts)))
			r.cancel()
		}
	}
}

// abandonIfExpired abandons an item if its batch's lifetime has passed, which
// allows for clock skew.
func (k *Keeper) abandonIfExpired(j *job, i int, now time.Time) bool {
	if j.head.Age(now) < k.lifetime(j.head) {
		return false
	}
	k.abandon(j, i, "queue time expired")
	return true
}

func (k *Keeper) abandon(j *job, i int, reason string) {
	it := j.submission.Items[i]
	event.ItemAbandoned.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID),
		zap.String("reason", reason), zap.Int("errors", j.items[i].serverErrors))
	j.items[i].reward.cancelAttempts()
	j.items[i].reward = nil
	k.recordResult(j, Result{Item: it.ID, Failed: true, Text: strings.Join(j.items[i].texts, "\n"), Versions: j.items[i].versions})
}

func waitingOf(j *job, i, index, stride int) WaitingItem {
	it, state := &j.submission.Items[i], &j.items[i]
	left := max(0, it.EstimatedTokens/stride-len(state.texts))
	w := WaitingItem{
		Index: index, Batch: j.head.ID, Group: it.Group, Model: j.submission.Model, MinVersion: j.submission.MinVersion,
		Events: left, Tokens: it.PromptTokens + stride*(left+len(state.texts)), Due: j.due(), AvoidEndpoint: state.avoidEndpoint,
	}
	if j.route.SingleVersion && len(state.versions) == 1 {
		w.PinnedVersion = state.versions[0]
	}
	if len(state.texts) > 0 {
		w.Software = state.software
	}
	return w
}

// startRun starts an item on an endpoint. It returns false if the item may not start any
// more or the last permit for the endpoint has been used meanwhile. The caller holds the
// lock.
func (k *Keeper) startRun(j *job, i int, target fleet.Target) bool {
	if !j.permission.valid(k.deps.Clock()) || !k.deps.Fleet.Begin(target.ID()) {
		return false
	}
	ctx, cancel := context.WithCancel(k.ctx)
	r := &itemRun{cancel: cancel, target: target, startedAt: time.Now()}
	j.running[i] = r
	k.tasks.Go(func() {
		defer cancel()
		reply, err := k.runItem(ctx, j, i, r)
		if refused, ok := reply.(relay.NotRun); ok && refused.Full {
			k.deps.Fleet.RecordRefusal(target.ID(), j.submission.Model)
		} else {
			k.deps.Fleet.End(target.ID(), fleetResult(ctx, reply, err))
		}
		k.endRun(ctx, j, i, r, reply, err)
	})
	return true
}

// runItem sends an item to an endpoint and reads its events to the end.
func (k *Keeper) runItem(ctx context.Context, j *job, i int, r *itemRun) (relay.Reply, error) {
	it, release, err := k.itemToSend(ctx, j, i)
	if err != nil {
		return relay.NotRun{Cause: err}, err
	}
	defer release()
	target := r.target
	k.mu.Lock()
	state := &j.items[i]
	last, textBytes := state.lastEvent, partial{texts: state.texts}.bytes()
	fits := len(state.texts) == 0 || target.Software().Continues(state.software)
	stalls := min(state.stalls, maxStallShift)
	k.mu.Unlock()
	if !fits {
		return relay.NotRun{Cause: errOtherSoftware}, errOtherSoftware
	}
	watchdog := time.AfterFunc(min(maxStallTimeout, firstEventTimeout<<stalls), r.cancel)
	defer watchdog.Stop()
	reply := k.deps.Engine.Send(ctx, target, relay.Request{
		ID: it.ID, Host: j.head.Host, Method: http.MethodPost, Target: it.Path, Header: it.Header,
		Body: it.Body, LastEventID: last, Repeatable: true, Team: j.head.Team,
		Permitted: func() bool { return k.mayStart(j) },
	})
	// The endpoint has the body.
	it = Item{}
	release()
	answer, ok := reply.(relay.Answer)
	if !ok {
		return reply, replyCause(reply)
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return reply, fmt.Errorf("endpoint %s answered with status %d", target.ID(), answer.Status)
	}
	if !answer.Signed {
		return reply, errUnsignedStream
	}
	if !answer.Streamed {
		return reply, errNoStream
	}
	reader := &streamReader{keeper: k, job: j, item: i, run: r, version: answer.Version, textBytes: textBytes, watchdog: watchdog, stallTimeout: stallTimeout << stalls}
	if err := reader.checkVersion(answer.Version); err != nil {
		return reply, err
	}
	err = k.deps.Engine.ReadEvents(answer.Body, reader.recordEvent)
	if err == nil && reader.lastEventAt.IsZero() && (answer.Unframed || last < 0) {
		// The text is complete without further events only if the endpoint states that.
		err = errNoEvent
	}
	return reply, err
}

// streamReader is the state of reading one stream.
type streamReader struct {
	keeper  *Keeper
	job     *job
	item    int
	run     *itemRun
	version int
	// textBytes is the size of the item's text.
	textBytes   int
	lastEventAt time.Time
	watchdog    *time.Timer
	// stallTimeout is the least limit between two events.
	stallTimeout time.Duration
}

// checkVersion checks the weight version that generates the next events. If a
// single-version item has partial output of another version, it discards that
// output and returns errMixedVersions.
func (r *streamReader) checkVersion(version int) error {
	if version == 0 {
		return nil
	}
	k, j := r.keeper, r.job
	k.deps.Fleet.RecordVersion(r.run.target.ID(), j.submission.Model, version)
	if version < j.submission.MinVersion {
		return errOldVersion
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	state := &j.items[r.item]
	if j.route.SingleVersion && len(state.versions) > 0 && state.versions[0] != version {
		j.discardOutput(r.item)
		return errMixedVersions
	}
	return nil
}

func (r *streamReader) recordEvent(e Event) error {
	now := time.Now()
	r.watchdog.Reset(r.keeper.deps.Fleet.StallLimit(r.run.target.ID(), r.stallTimeout, maxStallTimeout))
	if e.Version != 0 && e.Version != r.version {
		r.version = e.Version
		if err := r.checkVersion(e.Version); err != nil {
			return err
		}
	}
	k, j := r.keeper, r.job
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.run.discarded {
		return errTextDiscarded
	}
	state := &j.items[r.item]
	if state.lastEvent >= 0 && e.ID != state.lastEvent+1 {
		return fmt.Errorf("%w: event %d after %d", errEventGap, e.ID, state.lastEvent)
	}
	if !r.lastEventAt.IsZero() {
		k.deps.Fleet.RecordEventInterval(r.run.target.ID(), now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	if r.textBytes += encodedBytes(e.Data); r.textBytes > k.maxTextBytes() {
		j.discardOutput(r.item)
		return errTextTooLong
	}
	if len(state.texts) == 0 {
		state.software = r.run.target.Software()
	}
	if err := k.reserveText(j, r.item, e.Data); err != nil {
		return err
	}
	state.lastEvent = e.ID
	state.texts = append(state.texts, e.Data)
	if r.version != 0 && !slices.Contains(state.versions, r.version) {
		state.versions = append(state.versions, r.version)
	}
	return nil
}

// endRun records the result of a run: the item is finished, abandoned, or
// queued again.
func (k *Keeper) endRun(ctx context.Context, j *job, i int, r *itemRun, reply relay.Reply, err error) {
	target := r.target
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.wakeScheduler()
	delete(j.running, i)
	if j.released || j.results.Ended() {
		return
	}
	state, it := &j.items[i], &j.submission.Items[i]
	if err == nil {
		k.deps.Scope.Counter("items_done").Inc(1)
		event.ItemDone.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID),
			zap.String("endpoint", target.ID()), zap.Int("events", len(state.texts)), zap.Int("length", it.EstimatedTokens),
			zap.Ints("versions", state.versions), zap.Duration("age", j.head.Age(time.Now())))
		j.lastDone = lastItem{id: it.ID, endpoint: target.ID(), events: len(state.texts), ran: time.Since(r.startedAt)}
		k.finishText(j, i)
		return
	}
	if errors.Is(err, relay.ErrNotPermitted) {
		event.ItemNotPermitted.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID), zap.String("endpoint", target.ID()))
		return
	}
	if errors.Is(err, errBodyNotLoaded) {
		state.notBefore = time.Now().Add(bodyRetryDelay)
		event.ItemNotLoaded.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID), zap.Error(err))
		return
	}
	if k.ctx.Err() != nil || pathLost(reply, err) {
		return
	}
	state.avoidEndpoint = target.ID()
	if r.moved {
		return
	}
	state.failures++
	if ctx.Err() != nil {
		state.stalls++
	}
	state.notBefore = time.Now().Add(min(maxFailureBackoff, failureBackoff*time.Duration(state.failures)))
	event.ItemRunFailed.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID),
		zap.String("endpoint", target.ID()), zap.String("software", string(target.Software())), zap.Int("events", len(state.texts)),
		zap.Bool("stalled", ctx.Err() != nil), zap.Error(err))
	k.deps.Scope.Counter("item_failures").Inc(1)
	answer, ok := reply.(relay.Answer)
	if !ok {
		return
	}
	switch answer.Status {
	case statusPermanentFailure:
		k.abandon(j, i, "endpoint reported a permanent failure")
	case http.StatusInternalServerError:
		state.serverErrors++
		if state.serverErrors >= j.route.Attempts() {
			k.abandon(j, i, "too many failed attempts")
		}
	}
}

func replyCause(reply relay.Reply) error {
	switch r := reply.(type) {
	case relay.NotRun:
		return r.Cause
	case relay.Lost:
		return r.Cause
	default:
		return io.ErrUnexpectedEOF
	}
}

func fleetResult(ctx context.Context, reply relay.Reply, err error) fleet.Result {
	if errors.Is(err, relay.ErrNotPermitted) || errors.Is(err, errBodyNotLoaded) {
		return fleet.Cancelled
	}
	switch r := reply.(type) {
	case relay.NotRun:
		return fleet.Failed
	case relay.Answer:
		if err == nil || errors.Is(err, errOldVersion) || errors.Is(err, errMixedVersions) || r.Status != http.StatusOK {
			return fleet.Answered
		}
	}
	if ctx.Err() != nil || pathLost(reply, err) {
		return fleet.Cancelled
	}
	return fleet.Failed
}

// pathLost reports whether a run ended since the path to the endpoint broke. Another path
// works then, and the endpoint may be sound.
func pathLost(reply relay.Reply, err error) bool {
	lost, ok := reply.(relay.Lost)
	return ok && lost.PathLost || errors.Is(err, reach.ErrPathLost)
}
