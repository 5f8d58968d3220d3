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
	"github.com/currantloft/currantloft/relay"
)

const (
	// rescan is how often waiting items are looked at again without news.
	rescan = 100 * time.Millisecond
	// moveInterval is how often running items are looked at.
	moveInterval = 250 * time.Millisecond
	// stallLimit is how long a stream may bring nothing before it is continued
	// elsewhere: events come every 40 ms, every 200 ms at a slow endpoint.
	stallLimit = 1200 * time.Millisecond
	// firstLimit is the same before the first event, where prompts of others are
	// read first.
	firstLimit = 2500 * time.Millisecond
	// failurePause is how long an item waits after a failure, times its failures.
	failurePause = 30 * time.Millisecond
	// maxFailurePause bounds that.
	maxFailurePause = time.Second
	// crashesAllowed is how many endpoints an item may crash one after another
	// before an event of it comes; the platform's rules count from the third.
	crashesAllowed = 3
	// statusGone is what an endpoint answers for an item that can't ever be done.
	statusGone = http.StatusUnprocessableEntity
)

var (
	errOldVersion  = errors.New("the endpoint's weights are too old")
	errMixed       = errors.New("the endpoint goes on with other weights than the batch allows")
	errGap         = errors.New("an event is missing or stands twice")
	errUnsignedRun = errors.New("the stream bears no signature")
)

// scheduleLoop starts items whenever something has changed.
func (k *Keeper) scheduleLoop() {
	for {
		waiting := k.schedule()
		var again <-chan time.Time
		var timer *time.Timer
		if waiting {
			timer = time.NewTimer(rescan)
			again = timer.C
		}
		select {
		case <-k.ctx.Done():
		case <-k.wake:
		case <-k.parts.Fleet.Changed():
		case <-again:
		}
		if timer != nil {
			timer.Stop()
		}
		if k.ctx.Err() != nil {
			return
		}
	}
}

// place tells a waiting item of a job.
type place struct {
	job  *job
	item int
}

// schedule starts what can start and reports whether anything still waits.
func (k *Keeper) schedule() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return false
	}
	now := time.Now()
	waiting := make(map[string][]Waiting)
	var places []place
	left := 0
	for _, j := range k.jobs {
		if j.book.Ended() || j.released {
			continue
		}
		j.route = k.routeOf(j.head)
		service := j.route.Service(j.head.ID)
		for i := range j.sub.Items {
			it := &j.sub.Items[i]
			if _, running := j.running[i]; running || j.book.Settled(it.ID) {
				continue
			}
			left++
			if k.expired(j, i, now) || now.Before(j.items[i].after) {
				continue
			}
			places = append(places, place{job: j, item: i})
			waiting[service] = append(waiting[service], waitingOf(j, i, len(places)-1, k.strideOf(service)))
		}
	}
	k.move(now)
	for service, list := range waiting {
		states := k.parts.Fleet.Serving(service)
		for _, p := range PlanBy(k.parts.Policy, list, states, k.memory(service), k.homes) {
			k.begin(places[p.Index].job, places[p.Index].item, p.Target)
			left--
		}
	}
	return left > 0 || k.anyRunning()
}

func (k *Keeper) anyRunning() bool {
	for _, j := range k.jobs {
		if len(j.running) > 0 {
			return true
		}
	}
	return false
}

// strideOf returns how many tokens one event of a service's streams holds.
func (k *Keeper) strideOf(service string) int {
	if table := k.parts.Routes(); table != nil {
		if s, ok := table.Service(service); ok && s.Stride > 0 {
			return s.Stride
		}
	}
	return usualStride
}

// memory returns what the items that run here will take of a service's engines.
// The caller holds the lock.
func (k *Keeper) memory(service string) Memory {
	m := Memory{Used: make(map[string]int)}
	if table := k.parts.Routes(); table != nil {
		s, _ := table.Service(service)
		m.Capacity = s.CacheTokens
	}
	stride := k.strideOf(service)
	for _, j := range k.jobs {
		for i, r := range j.running {
			m.Used[r.target.ID()] += waitingOf(j, i, 0, stride).Tokens
		}
	}
	return m
}

// move takes running items to endpoints where they end sooner.
func (k *Keeper) move(now time.Time) {
	if now.Sub(k.movedAt) < moveInterval {
		return
	}
	k.movedAt = now
	if _, ok := k.parts.Policy.(Longest); !ok {
		// What it is compared with leaves items where they are.
		return
	}
	running := make(map[string][]Running)
	var places []place
	for _, j := range k.jobs {
		service := j.route.Service(j.head.ID)
		for i, r := range j.running {
			places = append(places, place{job: j, item: i})
			running[service] = append(running[service], Running{
				Waiting:  waitingOf(j, i, len(places)-1, k.strideOf(service)),
				Endpoint: r.target.ID(), Done: len(j.items[i].texts), Since: now.Sub(r.since),
			})
		}
	}
	for service, list := range running {
		for _, index := range Moves(list, k.parts.Fleet.Serving(service), k.memory(service)) {
			p := places[index]
			r := p.job.running[p.item]
			r.moved = true
			event.ItemMoved.Log(k.parts.Logger, zap.String("batch", p.job.head.ID),
				zap.String("item", p.job.sub.Items[p.item].ID), zap.String("endpoint", r.target.ID()),
				zap.Int("events", len(p.job.items[p.item].texts)))
			r.cancel()
		}
	}
}

// expired gives an item up whose time in the queue is over by every clock.
func (k *Keeper) expired(j *job, i int, now time.Time) bool {
	if j.head.Age(now) < k.life(j.head) {
		return false
	}
	k.giveUp(j, i, "its time in the queue is over")
	return true
}

func (k *Keeper) giveUp(j *job, i int, reason string) {
	it := j.sub.Items[i]
	event.ItemGivenUp.Log(k.parts.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID),
		zap.String("reason", reason), zap.Int("errors", j.items[i].errors))
	k.finish(j, Result{Item: it.ID, Failed: true, Text: strings.Join(j.items[i].texts, "\n"), Versions: j.items[i].versions})
}

func waitingOf(j *job, i, index, stride int) Waiting {
	it, state := &j.sub.Items[i], &j.items[i]
	left := max(0, it.Length/stride-len(state.texts))
	w := Waiting{
		Index: index, Batch: j.head.ID, Group: it.Group, Model: j.sub.Model, MinVersion: j.sub.MinVersion,
		Events: left, Tokens: it.Prompt + stride*(left+len(state.texts)), Due: j.due(), Avoid: state.avoid,
	}
	if j.route.SingleVersion && len(state.versions) == 1 {
		w.Only = state.versions[0]
	}
	return w
}

// begin runs an item at an endpoint. The caller holds the lock.
func (k *Keeper) begin(j *job, i int, target fleet.Target) {
	ctx, cancel := context.WithCancel(k.ctx)
	r := &itemRun{cancel: cancel, target: target, since: time.Now()}
	j.running[i] = r
	k.parts.Fleet.Begin(target.ID())
	k.tasks.Go(func() {
		defer cancel()
		reply, err := k.runItem(ctx, j, i, r)
		if refused, ok := reply.(relay.NotRun); ok && refused.Full {
			k.parts.Fleet.Refuse(target.ID(), j.sub.Model)
		} else {
			k.parts.Fleet.End(target.ID(), runResult(ctx, reply, err))
		}
		r.crashed = k.crashed(ctx, r, reply, err)
		k.after(ctx, j, i, r, reply, err)
	})
}

// runItem sends an item to an endpoint and reads its events to the end.
func (k *Keeper) runItem(ctx context.Context, j *job, i int, r *itemRun) (relay.Reply, error) {
	it, target := &j.sub.Items[i], r.target
	k.mu.Lock()
	last := j.items[i].last
	k.mu.Unlock()
	watchdog := time.AfterFunc(firstLimit, r.cancel)
	defer watchdog.Stop()
	reply := k.parts.Engine.Send(ctx, target, relay.Request{
		ID: it.ID, Host: j.head.Host, Method: http.MethodPost, Target: it.Path, Header: it.Header,
		Body: it.Body, After: last,
	})
	answer, ok := reply.(relay.Answer)
	if !ok {
		return reply, replyCause(reply)
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return reply, fmt.Errorf("endpoint %s answered %d", target.ID(), answer.Status)
	}
	if !answer.Signed {
		return reply, errUnsignedRun
	}
	in := &reading{keeper: k, job: j, item: i, run: r, version: answer.Version, watchdog: watchdog}
	if err := in.admit(answer.Version); err != nil {
		return reply, err
	}
	return reply, k.parts.Engine.ReadEvents(answer.Body, in.event)
}

// crashed reports whether a run ended with its endpoint's process before an event
// of the item came.
func (k *Keeper) crashed(ctx context.Context, r *itemRun, reply relay.Reply, err error) bool {
	if err == nil || ctx.Err() != nil || r.begun.Load() {
		return false
	}
	answer, ok := reply.(relay.Answer)
	_, lost := reply.(relay.Lost)
	refused := errors.Is(err, errOldVersion) || errors.Is(err, errMixed) || errors.Is(err, errUnsignedRun)
	cut := ok && answer.Status == http.StatusOK && !refused
	return (lost || cut) && k.parts.Gone(ctx, r.target)
}

// reading is the state of one stream that is read.
type reading struct {
	keeper   *Keeper
	job      *job
	item     int
	run      *itemRun
	version  int
	at       time.Time
	watchdog *time.Timer
}

// admit checks the weight version that generates from now on.
func (r *reading) admit(version int) error {
	if version == 0 {
		return nil
	}
	k, j := r.keeper, r.job
	k.parts.Fleet.SawVersion(r.run.target.ID(), j.sub.Model, version)
	if version < j.sub.MinVersion {
		return errOldVersion
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	state := &j.items[r.item]
	if j.route.SingleVersion && len(state.versions) > 0 && state.versions[0] != version {
		*state = itemState{last: -1, errors: state.errors, failures: state.failures}
		return errMixed
	}
	return nil
}

func (r *reading) event(e Event) error {
	now := time.Now()
	r.watchdog.Reset(stallLimit)
	if e.Version != 0 && e.Version != r.version {
		r.version = e.Version
		if err := r.admit(e.Version); err != nil {
			return err
		}
	}
	k, j := r.keeper, r.job
	k.mu.Lock()
	defer k.mu.Unlock()
	state := &j.items[r.item]
	if state.last >= 0 && e.ID != state.last+1 {
		return fmt.Errorf("%w: event %d after %d", errGap, e.ID, state.last)
	}
	if !r.at.IsZero() {
		k.parts.Fleet.Paced(r.run.target.ID(), now.Sub(r.at))
	}
	r.at = now
	r.run.begun.Store(true)
	state.crashes = 0
	state.last = e.ID
	state.texts = append(state.texts, e.Data)
	if r.version != 0 && !slices.Contains(state.versions, r.version) {
		state.versions = append(state.versions, r.version)
	}
	return nil
}

// after decides what the end of a run means for its item.
func (k *Keeper) after(ctx context.Context, j *job, i int, r *itemRun, reply relay.Reply, err error) {
	target := r.target
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.nudge()
	delete(j.running, i)
	if j.released || j.book.Ended() {
		return
	}
	state, it := &j.items[i], &j.sub.Items[i]
	if err == nil {
		k.parts.Scope.Counter("items_done").Inc(1)
		event.ItemDone.Log(k.parts.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID),
			zap.String("endpoint", target.ID()), zap.Int("events", len(state.texts)), zap.Int("length", it.Length),
			zap.Ints("versions", state.versions), zap.Duration("age", j.head.Age(time.Now())))
		j.last = lastItem{id: it.ID, endpoint: target.ID(), events: len(state.texts), ran: time.Since(r.since)}
		k.finish(j, Result{Item: it.ID, Text: strings.Join(state.texts, "\n"), Versions: state.versions})
		state.texts = nil
		return
	}
	if k.ctx.Err() != nil {
		return
	}
	state.avoid = target.ID()
	if r.moved {
		return
	}
	state.failures++
	state.after = time.Now().Add(min(maxFailurePause, failurePause*time.Duration(state.failures)))
	event.ItemRunFailed.Log(k.parts.Logger, zap.String("batch", j.head.ID), zap.String("item", it.ID),
		zap.String("endpoint", target.ID()), zap.Int("events", len(state.texts)),
		zap.Bool("stalled", ctx.Err() != nil), zap.Bool("crashed", r.crashed), zap.Error(err))
	k.parts.Scope.Counter("item_failures").Inc(1)
	if r.crashed {
		state.crashes++
		if state.crashes >= crashesAllowed {
			k.giveUp(j, i, "it crashed endpoints")
			return
		}
	}
	answer, ok := reply.(relay.Answer)
	if !ok {
		return
	}
	switch answer.Status {
	case statusGone:
		k.giveUp(j, i, "the endpoint says that it can't ever be done")
	case http.StatusInternalServerError:
		state.errors++
		if state.errors >= j.route.Attempts() {
			k.giveUp(j, i, "it failed too often")
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

func runResult(ctx context.Context, reply relay.Reply, err error) fleet.Result {
	switch r := reply.(type) {
	case relay.NotRun:
		return fleet.Failed
	case relay.Answer:
		if err == nil || errors.Is(err, errOldVersion) || errors.Is(err, errMixed) || r.Status != http.StatusOK {
			return fleet.Worked
		}
	}
	if ctx.Err() != nil {
		return fleet.Withdrawn
	}
	return fleet.Failed
}
