package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/duty"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/waits"
)

const (
	// interval is how often a host checks what to send and what to report.
	interval = 200 * time.Millisecond
	// createTimeout limits one try to store the counts of a window. Other windows that are
	// stored already can be reported between two tries.
	createTimeout = 2 * time.Second
	// callTimeout limits a report. It doubles with each one that is not answered, up to
	// maxDoublings times, in case the platform is only slow. Two that fail and a takeover
	// must fit into the 10 s after a window's end in which its report is due.
	callTimeout  = time.Second
	maxDoublings = 2
	// maxFailures is the number of reports in a row without a definite answer from which on
	// a host lets another one try for restDuration: it may be cut off from the platform. If
	// another one has reported since, it rests for longRest.
	maxFailures  = 2
	restDuration = 6 * time.Second
	longRest     = 30 * time.Second
	// firstPause and maxPause limit the pauses between two reports of a window. The longest
	// one is shorter than a lease, so that its holder can renew it.
	firstPause = 200 * time.Millisecond
	maxPause   = 2 * time.Second
	// reportLimit is how long a report is repeated.
	reportLimit = time.Minute
	// retention is how long decided counts stay in the store. It is longer than
	// reportLimit, so that a host that takes over finds them.
	retention = 2 * time.Minute
	// reportableFor is how long after a window's end its counts may be decided and reported.
	// Later its object may be gone, and another host could have decided other counts.
	reportableFor = retention - 10*time.Second
	// maxClockSkew is by how much the clocks of two hosts may differ; the platform bounds
	// it at 5 or 6 s. No host has decided a window that begins later.
	maxClockSkew = 6 * time.Second
	// recentlyActive is how long a host counts as known after it was last active, as long as
	// at least half of the known ones are active.
	recentlyActive = 30 * time.Second
	// flushTimeout limits sending the last counts of a host that stops.
	flushTimeout = 500 * time.Millisecond

	kindWindows = "usage-windows"
)

type (
	// Deps holds the dependencies of a Reporter.
	Deps struct {
		// Host is this process.
		Host Host
		// Length is the length of a window.
		Length time.Duration
		Ledger *Ledger
		Clock  *Clock
		Store  object.Store
		Lease  *lease.Lease
		API    API
		Peers  Peers
		Scope  tally.Scope
		Logger *zap.Logger
	}

	// Reporter sends this host's counts to the reporting host, and reports them if it is
	// that host. It is safe for concurrent use.
	Reporter struct {
		deps     Deps
		self     Host
		duty     *duty.Duty
		gathered *gathered
		sender   *sender

		mu sync.Mutex
		// lastActive is when hosts were last active.
		lastActive map[string]time.Time
		// decided are the windows that this host is to report.
		decided map[int64]*report
		// stored are the windows whose counts may be in the store.
		stored map[int64]bool
		// failures counts the reports in a row without a definite answer. This host makes
		// none until restUntil.
		failures  int
		restUntil time.Time
		// throughAtRest is the last window that was reported at the last such time.
		throughAtRest int64
		// last is the window that this host has reported last, and lastAt when.
		last   int64
		lastAt time.Time
	}

	// report is a window with its decided counts.
	report struct {
		counts   Counts
		firstAt  time.Time
		retryAt  time.Time
		pause    time.Duration
		attempts int
	}

	// storedWindow is the object of a decided window.
	storedWindow struct {
		Counts Counts `json:"counts"`
	}
)

var errRejected = errors.New("the platform rejected the report for now")

// New returns a Reporter with the given dependencies.
func New(deps Deps) *Reporter {
	r := &Reporter{
		deps: deps, self: deps.Host, gathered: newGathered(deps.Length), sender: newSender(),
		lastActive: make(map[string]time.Time), decided: make(map[int64]*report), stored: make(map[int64]bool),
	}
	r.duty = duty.New(duty.Deps{Name: "usage", Holder: deps.Host.Name, Lease: deps.Lease, Assigned: r.assigned, Logger: deps.Logger})
	return r
}

// Run sends and reports counts until the context ends. It then sends the last counts of
// this host.
func (r *Reporter) Run(ctx context.Context) error {
	var reporting, sending sync.WaitGroup
	reporting.Go(func() { _ = r.duty.Run(ctx, r.reportUntilReplaced) })
	for ctx.Err() == nil {
		r.noteActive()
		r.sendDue(ctx, &sending, false)
		_ = waits.For(ctx, interval)
	}
	sending.Wait()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	r.sendDue(last, &sending, true)
	sending.Wait()
	reporting.Wait()
	return nil
}

// Serve records the counts that another host has sent. It returns the last window up to
// which all are reported, 0 if that is not known.
func (r *Reporter) Serve(call Call) int64 { return r.gathered.record(r.deps.Clock.Now(), call) }

// rank returns the hosts that may report and this host's position among them, -1 if it is
// none of them.
func (r *Reporter) rank() (ranked []string, rank int) {
	ranked = r.deps.Peers.Ranked()
	return ranked, slices.Index(ranked, r.self.Name)
}

// noteActive records which hosts are active.
func (r *Reporter) noteActive() {
	now, active := r.deps.Clock.Now(), r.deps.Peers.Active()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, host := range active {
		r.lastActive[host.Name] = now
	}
	if 2*len(active) < len(r.lastActive) {
		// This host may be cut off: the others may be active for as long as that lasts.
		return
	}
	maps.DeleteFunc(r.lastActive, func(_ string, at time.Time) bool { return now.Sub(at) > recentlyActive })
}

// assigned reports whether this host is to report: it is the first by rank, or a window is
// late enough for it to take over.
func (r *Reporter) assigned() bool {
	ranked, rank := r.rank()
	now := r.deps.Clock.Now()
	r.mu.Lock()
	resting := len(ranked) > 1 && now.Before(r.restUntil)
	r.mu.Unlock()
	return !resting && (rank == 0 || r.gathered.overdue(now, rank))
}

// reportUntilReplaced reports windows until this host is no longer to report.
func (r *Reporter) reportUntilReplaced(ctx context.Context) {
	if !r.prepare(ctx) {
		_ = waits.For(ctx, interval)
		return
	}
	for ctx.Err() == nil && r.assigned() {
		r.reportDue(ctx)
		r.removeOld(ctx)
		_ = waits.For(ctx, interval)
	}
}

// prepare finds out which windows are reported, from other hosts or from the store. It
// returns false if that is not possible yet.
func (r *Reporter) prepare(ctx context.Context) bool {
	entries, _, err := r.deps.Store.List(ctx, kindWindows, object.Fresh)
	if err != nil {
		event.UsageWindowFailed.Log(r.deps.Logger, zap.String("step", "list"), zap.Error(err))
		return false
	}
	now := r.deps.Clock.Now()
	oldest, newest := int64(0), windowAt(now.Add(maxClockSkew), r.deps.Length)
	var unknown []string
	r.mu.Lock()
	for _, entry := range entries {
		id, err := strconv.ParseInt(entry.Name, 10, 64)
		if err != nil || id < 0 || id > newest {
			unknown = append(unknown, entry.Name)
			continue
		}
		r.stored[id] = true
		if recent := now.Sub(windowEnd(id, r.deps.Length)) < reportableFor; recent && (oldest == 0 || id < oldest) {
			oldest = id
		}
	}
	r.mu.Unlock()
	if len(unknown) > 0 {
		event.UsageWindowFailed.Log(r.deps.Logger, zap.String("step", "list"), zap.Int("unknown", len(unknown)), zap.String("first", unknown[0]))
	}
	if r.gathered.reportedThrough() == 0 {
		r.askOthers(ctx)
	}
	if r.gathered.reportedThrough() > 0 {
		return true
	}
	if oldest > 0 {
		// No host knows which of the decided windows are reported. A second report of the
		// same counts does no harm.
		r.advance(oldest - 1)
		return true
	}
	first := r.self
	for _, host := range r.deps.Peers.Active() {
		if host.Incarnation < first.Incarnation {
			first = host
		}
	}
	r.advance(windowAt(time.Unix(0, int64(first.Incarnation)), r.deps.Length) - 1)
	return true
}

// askOthers asks the other hosts that may report which windows are reported.
func (r *Reporter) askOthers(ctx context.Context) {
	var asked sync.WaitGroup
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	ranked, _ := r.rank()
	for _, name := range ranked {
		if name == r.self.Name {
			continue
		}
		asked.Go(func() {
			if through, err := r.deps.Peers.Send(ctx, name, nil); err == nil {
				r.advance(through)
			}
		})
	}
	asked.Wait()
}

// reportDue decides and reports the windows that are due.
func (r *Reporter) reportDue(ctx context.Context) {
	ranked, rank := r.rank()
	r.mu.Lock()
	maps.DeleteFunc(r.decided, func(id int64, _ *report) bool { return id <= r.gathered.reportedThrough() })
	v := view{now: r.deps.Clock.Now(), rank: rank, active: r.deps.Peers.Active(), known: len(r.lastActive)}
	r.mu.Unlock()
	first, _ := r.gathered.unreported(v.now)
	r.advance(first - 1)
	storeFails := false
	for _, w := range r.gathered.due(v) {
		if r.abandonOld(w.id) {
			continue
		}
		next := r.pending(w.id)
		if next == nil && !storeFails {
			var err error
			if next, err = r.decide(ctx, w); err != nil {
				event.UsageWindowFailed.Log(r.deps.Logger, zap.Int64("window", w.id), zap.String("step", "decide"), zap.Error(err))
				storeFails = errors.Is(err, object.ErrOutcomeUnknown) || errors.Is(err, object.ErrRefused)
			}
		}
		// This host may have been suspended while it decided.
		if next == nil || r.abandonOld(w.id) || r.deps.Clock.Now().Before(next.retryAt) {
			continue
		}
		if !r.duty.Prepare(ctx) || !r.send(ctx, w.id, next) {
			return
		}
		if r.rest(len(ranked)) {
			return
		}
	}
}

// abandonOld gives a window up that can't be reported any more.
func (r *Reporter) abandonOld(id int64) bool {
	now := r.deps.Clock.Now()
	age := now.Sub(windowEnd(id, r.deps.Length))
	if age < reportableFor {
		return false
	}
	event.UsageReportAbandoned.Log(r.deps.Logger, zap.Int64("window", id), zap.Duration("after_end", age))
	r.settle(id, now, false)
	return true
}

// pending returns the report of a window that this host has decided or read, nil for none.
func (r *Reporter) pending(id int64) *report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decided[id]
}

// decide stores the counts of a window. If a host has stored others before, those are
// reported.
func (r *Reporter) decide(ctx context.Context, w dueWindow) (*report, error) {
	spec, err := json.Marshal(storedWindow{Counts: w.counts})
	if err != nil {
		return nil, fmt.Errorf("encoding the counts of window %d: %w", w.id, err)
	}
	ctx, cancel := context.WithTimeout(ctx, createTimeout)
	defer cancel()
	_, err = object.CreateConfirmed(ctx, r.deps.Store, kindWindows, strconv.FormatInt(w.id, 10), spec)
	decided, before := storedWindow{Counts: w.counts}, false
	var exists *object.ExistsError
	if errors.As(err, &exists) {
		// This host's own attempt may have created the object, too.
		decided, err = r.readStored(ctx, w.id)
		before = true
	}
	if err != nil {
		return nil, fmt.Errorf("storing the counts of window %d: %w", w.id, err)
	}
	event.UsageWindowDecided.Log(r.deps.Logger, zap.Int64("window", w.id), zap.Uint64("requests", decided.Counts.total()),
		zap.Strings("missing", w.missing), zap.Bool("decided_before", before))
	r.deps.Scope.Counter("usage_hosts_missing").Inc(int64(len(w.missing)))
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &report{counts: decided.Counts, firstAt: r.deps.Clock.Now(), pause: firstPause}
	r.decided[w.id], r.stored[w.id] = next, true
	return next, nil
}

// readStored reads the decided counts of a window.
func (r *Reporter) readStored(ctx context.Context, id int64) (storedWindow, error) {
	entry, err := object.GetImmutable(ctx, r.deps.Store, kindWindows, strconv.FormatInt(id, 10))
	if err != nil {
		return storedWindow{}, fmt.Errorf("reading the counts of window %d: %w", id, err)
	}
	var stored storedWindow
	if err := json.Unmarshal(entry.Spec, &stored); err != nil {
		return storedWindow{}, fmt.Errorf("decoding the counts of window %d: %w", id, err)
	}
	return stored, nil
}

// send reports one window once. It returns false if this host does not hold the lease.
func (r *Reporter) send(ctx context.Context, id int64, next *report) bool {
	r.mu.Lock()
	limit := callTimeout << min(r.failures, maxDoublings)
	r.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var token uint64
	outcome, held := r.duty.Call(callCtx, func(ctx context.Context, permit duty.Permit) duty.Outcome {
		token = permit.Token()
		current := func() bool {
			return permit.Current() && r.deps.Clock.Now().Sub(windowEnd(id, r.deps.Length)) < reportableFor
		}
		return r.deps.API.ReportUsage(ctx, duty.NewPermit(permit.Holder(), token, current), id, next.counts)
	})
	if !held {
		return false
	}
	now := r.deps.Clock.Now()
	next.attempts++
	next.retryAt = now.Add(next.pause)
	next.pause = min(2*next.pause, maxPause)
	fields := []zap.Field{
		zap.Int64("window", id), zap.Uint64("epoch", token), zap.Int("attempts", next.attempts),
		zap.Duration("after_end", now.Sub(windowEnd(id, r.deps.Length))),
	}
	r.deps.Scope.Tagged(map[string]string{"outcome": strings.TrimPrefix(fmt.Sprintf("%T", outcome), "duty.")}).Counter("usage_reports").Inc(1)
	var cause error
	answered := false
	switch o := outcome.(type) {
	case duty.Done:
		event.UsageReported.Log(r.deps.Logger, append(fields, zap.Uint64("requests", next.counts.total()))...)
		r.deps.Scope.Timer("usage_report_delay").Record(now.Sub(windowEnd(id, r.deps.Length)))
		r.settle(id, now, true)
		return true
	case duty.TooMany, duty.NoneAvailable:
		answered, cause = true, errRejected
	case duty.NotSent:
		if errors.Is(o.Cause, duty.ErrNotPermitted) {
			return false
		}
		cause = o.Cause
	case duty.Unknown:
		cause = o.Cause
	}
	r.mu.Lock()
	r.failures++
	if answered {
		r.failures = 0
	}
	r.mu.Unlock()
	event.UsageReportFailed.Log(r.deps.Logger, append(fields, zap.Error(cause))...)
	if now.Sub(next.firstAt) >= reportLimit {
		event.UsageReportAbandoned.Log(r.deps.Logger, fields...)
		r.settle(id, now, false)
	}
	return true
}

// settle ends the work on a window that is reported or given up.
func (r *Reporter) settle(id int64, now time.Time, reported bool) {
	r.mu.Lock()
	delete(r.decided, id)
	if reported {
		r.failures = 0
		r.last, r.lastAt = id, now
	}
	r.mu.Unlock()
	r.gathered.settle(id)
	r.deps.Ledger.Drop(r.gathered.reportedThrough())
}

// rest reports whether this host lets another one try, after reports without an answer.
func (r *Reporter) rest(candidates int) bool {
	through := r.gathered.reportedThrough()
	r.mu.Lock()
	defer r.mu.Unlock()
	if candidates < 2 || r.failures < maxFailures {
		return false
	}
	length := restDuration
	if r.failures > maxFailures && through > r.throughAtRest {
		length = longRest
	}
	r.throughAtRest = through
	r.restUntil = r.deps.Clock.Now().Add(length)
	return true
}

// removeOld removes one window that is older than the retention from the store.
func (r *Reporter) removeOld(ctx context.Context) {
	now := r.deps.Clock.Now()
	r.mu.Lock()
	old, found := int64(0), false
	for id := range r.stored {
		if now.Sub(windowEnd(id, r.deps.Length)) >= retention {
			old, found = id, true
			break
		}
	}
	r.mu.Unlock()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, createTimeout)
	defer cancel()
	err := r.deps.Store.Delete(ctx, kindWindows, strconv.FormatInt(old, 10))
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		event.UsageWindowFailed.Log(r.deps.Logger, zap.Int64("window", old), zap.String("step", "remove"), zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.stored, old)
}

// State is the state of a Reporter, for the dump.
type State struct {
	duty.State
	// ReportedThrough is the last window up to which all are reported, as this host knows,
	// and Open lists this host's counts of later windows.
	ReportedThrough int64            `json:"reported_through"`
	NextWindow      int64            `json:"next_window"`
	Open            map[int64]Counts `json:"open"`
	// LastReport is the window that this host has reported last, 0 for none, and
	// LastReportAgeMs how long ago that was, in milliseconds.
	LastReport      int64 `json:"last_report"`
	LastReportAgeMs int64 `json:"last_report_age_ms"`
	// Pending lists the decided windows that this host is to report.
	Pending []int64 `json:"pending"`
}

// Dump returns the state of the reporter.
func (r *Reporter) Dump() State {
	now := r.deps.Clock.Now()
	next, _ := r.gathered.unreported(now)
	state := State{
		State: r.duty.Dump(), ReportedThrough: r.gathered.reportedThrough(), NextWindow: next, Open: make(map[int64]Counts), Pending: []int64{},
	}
	for _, w := range r.deps.Ledger.Snapshot(false) {
		state.Open[w.ID] = w.Counts
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.decided {
		state.Pending = append(state.Pending, id)
	}
	slices.Sort(state.Pending)
	if r.last > 0 {
		state.LastReport, state.LastReportAgeMs = r.last, now.Sub(r.lastAt).Milliseconds()
	}
	return state
}
