package usage

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/duty"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/platform/fake"
)

const (
	testLength = 5 * time.Second
	testLease  = 3 * time.Second
	testThaw   = 300 * time.Millisecond
	// reportBound is the users' bound from a window's end to its report.
	reportBound = 10 * time.Second
	// noticeTime is how long the hosts take to notice that one is gone or back.
	noticeTime = 1500 * time.Millisecond
	// beganInterval is the time between two requests of a host.
	beganInterval = 100 * time.Millisecond
)

var errCut = errors.New("no answer")

type (
	// cluster is a set of hosts with one store and one API, without a network. It runs on
	// the clock of a synctest bubble.
	cluster struct {
		t     *testing.T
		start time.Time
		store *memory.Store

		mu    sync.Mutex
		hosts map[string]*testHost
		rules *fake.DutyRules
		// status is the status that the API answers with, 0 for no answer.
		status int
		began  map[int64]Counts
		// onStep is called before each step of a host.
		onStep func(h *testHost, at step)
		tasks  sync.WaitGroup
	}

	testHost struct {
		*cluster
		Host
		reporter *Reporter
		ledger   *Ledger
		stop     context.CancelFunc
		// cutOff is true while nothing of the host reaches others, and cutFromAPI while it
		// does not reach the API. They and changedAt are guarded by the cluster's lock.
		cutOff, cutFromAPI bool
		changedAt          time.Time
		// resumed is closed when the host is not suspended.
		resumed chan struct{}
	}

	// step is a step of the reporting host.
	step int
)

const (
	stepGather step = iota
	stepDecide
	stepCreated
	stepSend
	stepAnswer
)

var steps = map[string]step{
	"gather": stepGather, "decide": stepDecide, "created": stepCreated, "send": stepSend, "answer": stepAnswer,
}

func newCluster(t *testing.T, hosts int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, start: time.Now(), store: memory.New(), hosts: make(map[string]*testHost), rules: fake.NewDutyRules(testLease),
		status: http.StatusOK, began: make(map[int64]Counts), onStep: func(*testHost, step) {},
	}
	for i := range hosts {
		c.startHost(fmt.Sprintf("edge-%d", i))
	}
	return c
}

// startHost starts a host, or a new process of one that was killed.
func (c *cluster) startHost(name string) *testHost {
	now := func() time.Duration { return time.Since(c.start) + time.Hour }
	clock := NewClock(time.Now(), now)
	ctx, cancel := context.WithCancel(context.Background())
	h := &testHost{
		cluster: c, Host: Host{Name: name, Incarnation: uint64(time.Now().UnixNano())},
		ledger: NewLedger(clock, testLength), stop: cancel, resumed: make(chan struct{}), changedAt: time.Now(),
	}
	close(h.resumed)
	h.reporter = New(Deps{
		Host: h.Host, Length: testLength, Ledger: h.ledger, Clock: clock, Store: &testStore{Store: c.store, host: h},
		Lease: lease.New(&testStore{Store: c.store, host: h}, "usage", name, h.Incarnation, testLease, testThaw, now),
		API:   h, Peers: h, Scope: tally.NoopScope, Logger: zap.NewNop(),
	})
	c.mu.Lock()
	c.hosts[name] = h
	c.mu.Unlock()
	c.tasks.Go(func() { _ = h.reporter.Run(ctx) })
	c.tasks.Go(func() { h.beginRequests(ctx) })
	return h
}

// beginRequests begins requests until the context ends. A suspended host begins none.
func (h *testHost) beginRequests(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		h.waitResumed()
		team := fmt.Sprintf("team-%d", n%3)
		h.mu.Lock()
		id := windowAt(time.Now(), testLength)
		if h.began[id] == nil {
			h.began[id] = make(Counts)
		}
		h.began[id][team]++
		h.mu.Unlock()
		h.ledger.Began(team, time.Now())
		time.Sleep(beganInterval)
	}
}

// close stops all hosts and checks the rules of the API.
func (c *cluster) close() {
	c.mu.Lock()
	for _, h := range c.hosts {
		h.stop()
	}
	c.mu.Unlock()
	c.tasks.Wait()
	for _, violation := range c.rules.Violations() {
		c.t.Error(violation)
	}
}

// kill ends a process without its last messages.
func (h *testHost) kill() {
	h.setCut(true)
	h.stop()
}

func (h *testHost) setCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cut || time.Since(h.changedAt) > noticeTime {
		h.changedAt = time.Now()
	} else {
		// Nobody noticed.
		h.changedAt = time.Time{}
	}
	h.cutOff = cut
}

// cut cuts a host off for a time.
func (h *testHost) cut(length time.Duration) {
	h.setCut(true)
	h.tasks.Go(func() {
		time.Sleep(length)
		h.setCut(false)
	})
}

// suspend stops a host for a time: its next step takes that long.
func (h *testHost) suspend(length time.Duration) {
	h.setCut(true)
	h.mu.Lock()
	resumed := make(chan struct{})
	h.resumed = resumed
	h.mu.Unlock()
	h.tasks.Go(func() {
		time.Sleep(length)
		h.setCut(false)
		close(resumed)
	})
}

func (h *testHost) waitResumed() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	<-resumed
}

// reach takes a step of a host and reports whether it reaches others.
func (h *testHost) reach(at step) error {
	h.mu.Lock()
	onStep := h.onStep
	h.mu.Unlock()
	onStep(h, at)
	h.waitResumed()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cutOff {
		return errCut
	}
	return nil
}

// sees reports whether a host takes another one for active. The caller holds the lock.
func (h *testHost) sees(other *testHost) bool {
	apart := h.cutOff || other.cutOff
	noticed := time.Since(other.changedAt) > noticeTime && time.Since(h.changedAt) > noticeTime
	return h == other || apart != noticed
}

// Ranked implements Peers.
func (h *testHost) Ranked() []string {
	var names []string
	for _, host := range h.Active() {
		names = append(names, host.Name)
	}
	return names[:min(len(names), len(takeoverDelays))]
}

// Active implements Peers.
func (h *testHost) Active() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	var active []Host
	for _, other := range h.hosts {
		if h.sees(other) {
			active = append(active, other.Host)
		}
	}
	slices.SortFunc(active, func(a, b Host) int { return compareNames(a.Name, b.Name) })
	return active
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Send implements Peers.
func (h *testHost) Send(_ context.Context, name string, calls []Call) (int64, error) {
	if err := h.reach(stepGather); err != nil {
		return 0, err
	}
	h.mu.Lock()
	other := h.hosts[name]
	cut := other.cutOff
	h.mu.Unlock()
	if cut {
		return 0, errCut
	}
	time.Sleep(time.Millisecond)
	through := other.reporter.gathered.reportedThrough()
	for _, call := range calls {
		through = other.reporter.Serve(call)
	}
	return through, nil
}

// ReportUsage implements API.
func (h *testHost) ReportUsage(ctx context.Context, permit duty.Permit, window int64, counts map[string]uint64) duty.Outcome {
	if err := h.reach(stepSend); err != nil {
		return duty.NotSent{Cause: err}
	}
	if !permit.Current() {
		return duty.NotSent{Cause: duty.ErrNotPermitted}
	}
	h.mu.Lock()
	status, apart := h.status, h.cutFromAPI
	if !apart {
		h.rules.Record(fake.DutyCall{
			Subject: "usage", Holder: permit.Holder(), Token: permit.Token(), At: time.Now(), Status: status, Window: window, Counts: counts,
		})
	}
	h.mu.Unlock()
	if status == 0 || apart {
		<-ctx.Done()
		return duty.Unknown{Cause: ctx.Err()}
	}
	if err := h.reach(stepAnswer); err != nil {
		return duty.Unknown{Cause: err}
	}
	switch status {
	case http.StatusOK:
		return duty.Done{}
	case http.StatusTooManyRequests:
		return duty.TooMany{}
	default:
		return duty.Unknown{Cause: fmt.Errorf("status %d", status)}
	}
}

// setStatus sets the status that the API answers with, 0 for no answer.
func (c *cluster) setStatus(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
}

// testStore is a host's access to the store.
type testStore struct {
	*memory.Store
	host *testHost
}

// Get implements object.Store.
func (s *testStore) Get(ctx context.Context, kind, name string, freshness object.Freshness) (object.Entry, error) {
	if s.host.reach(-1) != nil {
		return object.Entry{}, object.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name, freshness)
}

// List implements object.Store.
func (s *testStore) List(ctx context.Context, kind string, freshness object.Freshness) ([]object.Entry, uint64, error) {
	if s.host.reach(-1) != nil {
		return nil, 0, object.ErrUnavailable
	}
	return s.Store.List(ctx, kind, freshness)
}

// Create implements object.Store.
func (s *testStore) Create(ctx context.Context, kind, name string, spec []byte) (object.Entry, error) {
	before, after := step(-1), step(-1)
	if kind == kindWindows {
		before, after = stepDecide, stepCreated
	}
	if s.host.reach(before) != nil {
		return object.Entry{}, object.ErrRefused
	}
	entry, err := s.Store.Create(ctx, kind, name, spec)
	if s.host.reach(after) != nil {
		return object.Entry{}, object.ErrOutcomeUnknown
	}
	return entry, err
}

// Replace implements object.Store.
func (s *testStore) Replace(ctx context.Context, kind, name string, spec []byte, revision uint64) (object.Entry, error) {
	if s.host.reach(-1) != nil {
		return object.Entry{}, object.ErrRefused
	}
	return s.Store.Replace(ctx, kind, name, spec, revision)
}

// Delete implements object.Store.
func (s *testStore) Delete(ctx context.Context, kind, name string) error {
	if s.host.reach(-1) != nil {
		return object.ErrRefused
	}
	return s.Store.Delete(ctx, kind, name)
}

// checkReported checks that each window between two times is reported within the bound.
// Lost is the number of requests that may be missing in all windows together.
func (c *cluster) checkReported(from, to time.Time, bound time.Duration, lost uint64) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	reportedAt := make(map[int64]time.Time)
	for _, call := range c.rules.Calls() {
		if _, ok := reportedAt[call.Window]; !ok && call.Status == http.StatusOK {
			reportedAt[call.Window] = call.At
		}
	}
	reports := c.rules.Reports()
	began, reported := uint64(0), uint64(0)
	for id := windowAt(from, testLength); windowEnd(id, testLength).Before(to); id++ {
		at, ok := reportedAt[id]
		if after := at.Sub(windowEnd(id, testLength)); !ok || after > bound {
			c.t.Errorf("window %d (of %v after the start) reported %t, %v after its end, want at most %v",
				id, windowEnd(id, testLength).Sub(c.start), ok, after, bound)
		}
		sent := Counts(reports[id]).total()
		if sent < c.began[id].total() {
			c.t.Logf("window ending %v after the start: %d of %d requests reported", windowEnd(id, testLength).Sub(c.start), sent, c.began[id].total())
		}
		began, reported = began+c.began[id].total(), reported+sent
		if sent > c.began[id].total() {
			c.t.Errorf("window %d reported with %v, want at most %v", id, reports[id], c.began[id])
		}
	}
	if reported+lost < began {
		c.t.Errorf("%d of %d requests reported, want at most %d missing", reported, began, lost)
	}
}
