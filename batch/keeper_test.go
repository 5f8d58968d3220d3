package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/routes"
)

const testLimit = 10 * time.Second

type (
	// ring is a fleet of keepers that reach each other unless they are cut.
	ring struct {
		mu      sync.Mutex
		keepers map[string]*Keeper
		dead    map[string]bool
		lostAt  time.Time
		// unsettled nodes don't know all others yet; set before the first keeper.
		unsettled bool
	}

	// member is one keeper's view of the ring.
	member struct {
		ring *ring
		name string
	}

	// instant answers every item with one event, unless it is held.
	instant struct {
		mu   sync.Mutex
		held map[string]chan struct{}
	}
)

func newRing() *ring { return &ring{keepers: make(map[string]*Keeper), dead: make(map[string]bool)} }

// setDead makes the others hold a node dead, or alive again.
func (r *ring) setDead(name string, dead bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead[name] = dead
	r.lostAt = time.Now()
}

func (r *ring) at(name string) *Keeper {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keepers[name]
}

func (m member) Alive(name string, incarnation uint64) bool {
	m.ring.mu.Lock()
	defer m.ring.mu.Unlock()
	return incarnation == 1 && (name == m.name || !m.ring.dead[name])
}

func (m member) Staying() []string {
	m.ring.mu.Lock()
	defer m.ring.mu.Unlock()
	var names []string
	for name := range m.ring.keepers {
		if name == m.name || !m.ring.dead[name] {
			names = append(names, name)
		}
	}
	return names
}

func (m member) Keepers() []string         { return m.Staying() }
func (m member) Incarnation(string) uint64 { return 1 }
func (m member) Settled() bool             { return !m.ring.unsettled }
func (m member) LastLost() time.Time       { return time.Time{} }

func (m member) Tell(notice Notice) {
	for _, name := range m.Staying() {
		if name != m.name {
			m.ring.at(name).Learn(notice)
		}
	}
}

func (m member) OfferTo(_ context.Context, name string, s Submission) error {
	if !m.ring.at(name).Offered(s.ID, s.Host, s.Path, s.Raw) {
		return ErrNotKept
	}
	return nil
}

func (m member) ReadAt(ctx context.Context, name, id string, after int, wait time.Duration) (Page, error) {
	return m.ring.at(name).ReadHere(ctx, id, after, wait)
}

func (m member) BodyAt(_ context.Context, name, id, item string) ([]byte, error) {
	return m.ring.at(name).BodyHere(id, item)
}

func (m member) RestsTo(_ context.Context, name string, rests []Rest) error {
	if !m.ring.at(name).Backup(rests) {
		return ErrNotKept
	}
	return nil
}

func (m member) EndAt(_ context.Context, name string, head Head) error {
	m.ring.at(name).Learn(Notice{Head: head, Ended: true})
	return nil
}

func (e *instant) hold(item string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[item] = make(chan struct{})
}

func (e *instant) release(item string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.held[item])
	delete(e.held, item)
}

func (e *instant) Send(ctx context.Context, _ fleet.Target, request relay.Request) relay.Reply {
	e.mu.Lock()
	held := e.held[request.ID]
	e.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return relay.Lost{Cause: ctx.Err()}
		}
	}
	body := io.NopCloser(strings.NewReader(request.ID))
	return relay.Answer{Status: http.StatusOK, Body: body, Signed: true, Streamed: true, Version: 1}
}

func (e *instant) ReadEvents(body io.Reader, emit func(Event) error) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	return emit(Event{ID: 0, Data: string(text)})
}

// newKeeper adds a keeper to the ring.
func newKeeper(t *testing.T, r *ring, store object.Store, engine Engine, name string) *Keeper {
	t.Helper()
	f := fleet.New(time.Now)
	f.Put(fleet.Entry{ID: "e", Service: "pool", Address: "x:1", Slots: 16, Versions: map[string]int{testModel: 1}})
	table := routes.NewTable(1, []routes.Route{{
		Host: "h", Prefix: "/b/", Kind: routes.Rollout, Shares: []routes.Share{{Service: "pool", Weight: 1}},
		MaxAttempts: 3, MaxQueue: time.Minute, ResultDeadline: testLimit,
	}}, nil, routes.Limits{})
	k := New(Parts{
		Name: name, Incarnation: 1, Store: store, ValueBytes: 1 << 20, Fleet: f, Engine: engine,
		Gone:   func(context.Context, fleet.Target) bool { return true },
		Policy: Longest{},
		Peers:  member{r, name}, First: func() bool { return true }, Keep: time.Minute, Routes: func() *routes.Table { return table }, Decode: decodeTest,
		Scope: tally.NoopScope, Logger: zap.NewNop(),
	})
	r.mu.Lock()
	r.keepers[name] = k
	r.mu.Unlock()
	t.Cleanup(k.Close)
	return k
}

// decodeTest reads a submission of the form "item item".
func decodeTest(id, host, path string, raw []byte) (Submission, error) {
	s := Submission{ID: id, Host: host, Path: path, Model: testModel, Desired: 100, Raw: raw}
	for _, name := range strings.Fields(string(raw)) {
		s.Items = append(s.Items, Item{ID: name, Group: name, Path: "/b/" + name, Body: []byte("body of " + name)})
	}
	return s, nil
}

func submissionOf(t *testing.T, id string, items ...string) Submission {
	t.Helper()
	s, err := decodeTest(id, "h", "/b/x", []byte(strings.Join(items, " ")))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// readUntil reads at a keeper until a position has a result.
func readUntil(t *testing.T, k *Keeper, id string, position int) Page {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	for ctx.Err() == nil {
		page, err := k.Read(ctx, id, 0, 100*time.Millisecond)
		if err == nil && page.Next > position {
			return page
		}
	}
	t.Fatalf("position %d never came", position)
	return Page{}
}

func TestAcceptOnce(t *testing.T) {
	r, store := newRing(), shelf.New()
	engine := &instant{held: make(map[string]chan struct{})}
	a, b := newKeeper(t, r, store, engine, "a"), newKeeper(t, r, store, engine, "b")
	for _, k := range []*Keeper{a, b, a} {
		if _, ok := k.Accept(t.Context(), submissionOf(t, "s", "i0", "i1")).(Kept); !ok {
			t.Fatal("not kept")
		}
	}
	check.Equal(t, "heads", store.Names(kindHeads), []string{"s"})
	page := readUntil(t, b, "s", 1)
	check.Equal(t, "total", page.Total, 2)
}

func TestAcceptTellsTheTruth(t *testing.T) {
	r, store := newRing(), shelf.New()
	k := newKeeper(t, r, store, &instant{held: make(map[string]chan struct{})}, "a")
	accept := func(id string, faults shelf.Faults) Accepted {
		store.SetFaults(faults)
		defer store.SetFaults(shelf.Faults{})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		return k.Accept(ctx, submissionOf(t, id, id))
	}
	if _, ok := accept("refused", shelf.Faults{Refuse: true}).(NotKept); !ok {
		t.Error("a submission that the store refused is not said to be refused")
	}
	if _, ok := accept("late", shelf.Faults{LoseAnswers: 1}).(Kept); !ok {
		t.Error("a submission whose first answer was lost is not kept")
	}
	if _, err := k.Read(t.Context(), "refused", 0, 0); !errors.Is(err, ErrUnknown) {
		t.Errorf("a refused batch: %v, want %v", err, ErrUnknown)
	}
	store.SetFaults(shelf.Faults{Refuse: true})
	if _, err := k.Read(t.Context(), "other", 0, 0); !errors.Is(err, ErrUnsure) {
		t.Errorf("without the store: %v, want %v", err, ErrUnsure)
	}
}

// TestTwoKeepersShowTheSame replays a finding on the grown site: a keeper was
// held dead while it still wrote; the node that took over had nothing to write,
// and showed fewer results than readers had seen.
func TestTwoKeepersShowTheSame(t *testing.T) {
	r, store := newRing(), shelf.New()
	first := &instant{held: make(map[string]chan struct{})}
	second := &instant{held: make(map[string]chan struct{})}
	for _, e := range []*instant{first, second} {
		e.hold("i0")
		e.hold("i1")
	}
	keepers := map[string]*Keeper{
		"a": newKeeper(t, r, store, first, "a"), "b": newKeeper(t, r, store, second, "b"),
	}
	if _, ok := keepers["a"].Accept(t.Context(), submissionOf(t, "s", "i0", "i1")).(Kept); !ok {
		t.Fatal("not kept")
	}
	owner, other := "a", "b"
	if _, err := keepers["a"].ReadHere(t.Context(), "s", 0, 0); errors.Is(err, ErrNotKept) {
		owner, other = "b", "a"
	}
	engines := map[string]*instant{"a": first, "b": second}
	r.setDead(owner, true)
	for {
		if _, err := keepers[other].ReadHere(t.Context(), "s", 0, 0); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	engines[owner].release("i0")
	readUntil(t, keepers[owner], "s", 0)
	page, err := keepers[other].Read(t.Context(), "s", 0, 0)
	if err != nil || page.Next != 1 {
		t.Errorf("the node that took over shows %v, %v; one result had been read", page, err)
	}
}

// TestTakenOverWithWhatLasts lets another node go on after the first one's end.
func TestTakenOverWithWhatLasts(t *testing.T) {
	r, store := newRing(), shelf.New()
	engine := &instant{held: make(map[string]chan struct{})}
	engine.hold("i9")
	items := make([]string, 10)
	for i := range items {
		items[i] = fmt.Sprintf("i%d", i)
	}
	a, b := newKeeper(t, r, store, engine, "a"), newKeeper(t, r, store, engine, "b")
	a.Accept(t.Context(), submissionOf(t, "s", items...))
	before := readUntil(t, a, "s", 8)
	owner, other := a, b
	if _, err := a.ReadHere(t.Context(), "s", 0, 0); errors.Is(err, ErrNotKept) {
		owner, other = b, a
	}
	r.setDead(owner.parts.Name, true)
	owner.Close()
	engine.release("i9")
	after := readUntil(t, other, "s", 9)
	check.Equal(t, "positions that were read", after.Results[:len(before.Results)], before.Results)
	body, err := other.Body(t.Context(), "s", "i3")
	check.Equal(t, "a body", string(body), "body of i3")
	check.Equal(t, "its error", err, nil)
}

func TestOldBatchesAreRemoved(t *testing.T) {
	r, store := newRing(), shelf.New()
	k := newKeeper(t, r, store, &instant{held: make(map[string]chan struct{})}, "a")
	k.Accept(t.Context(), submissionOf(t, "s", "i0", "i1"))
	readUntil(t, k, "s", 1)
	k.clean(t.Context(), time.Now().Add(time.Hour))
	check.Equal(t, "an open batch stays", store.Names(kindHeads), []string{"s"})
	if err := k.End(t.Context(), "s"); err != nil {
		t.Fatal(err)
	}
	k.clean(t.Context(), time.Now().Add(time.Minute))
	check.Equal(t, "a young one stays", store.Names(kindHeads), []string{"s"})
	other := newKeeper(t, r, store, &instant{held: make(map[string]chan struct{})}, "b")
	other.Learn(Notice{Head: Head{ID: "s", AcceptedMs: 1}, Ended: true})
	other.forget(other.old(time.Now()))
	check.Equal(t, "heads at another node", len(other.heads), 0)
	k.clean(t.Context(), time.Now().Add(time.Hour))
	for _, kind := range []string{kindHeads, kindBodies, kindChunks, kindEnds, kindBegun} {
		check.Equal(t, kind, store.Names(kind), []string{})
	}
	if _, err := k.Read(t.Context(), "s", 0, 0); !errors.Is(err, ErrUnknown) {
		t.Errorf("a removed batch: %v", err)
	}
}

// TestItemsAreGivenUpByEveryClock gives no item up while its time may not be over
// by the clock of the host that took the batch.
func TestItemsAreGivenUpByEveryClock(t *testing.T) {
	k := newKeeper(t, newRing(), shelf.New(), &instant{held: make(map[string]chan struct{})}, "a")
	now := time.Now()
	for age, want := range map[time.Duration]bool{
		time.Minute: false, time.Minute + clockSkew - time.Second: false, time.Minute + clockSkew: true,
	} {
		head := Head{ID: "s", Host: "h", Path: "/b/x", AcceptedMs: now.Add(-age).UnixMilli()}
		k.mu.Lock()
		got := k.expired(k.newJob(head, submissionOf(t, "s", "i0")), 0, now)
		k.mu.Unlock()
		check.Equal(t, fmt.Sprintf("given up after %v", age), got, want)
	}
}

// TestABatchWithoutARoute gives the items of a batch up whose route is gone, and
// keeps nothing of its groups after its end.
func TestABatchWithoutARoute(t *testing.T) {
	k := newKeeper(t, newRing(), shelf.New(), &instant{held: make(map[string]chan struct{})}, "a")
	now := time.Now()
	head := Head{ID: "s", Host: "h", Path: "/gone/x", AcceptedMs: now.Add(-openLife - clockSkew).UnixMilli()}
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.newJob(head, submissionOf(t, "s", "i0"))
	check.Equal(t, "given up", k.expired(j, 0, now), true)
	k.homes["s/i0"] = "e"
	k.endJob(j)
	check.Equal(t, "homes", len(k.homes), 0)
}

func TestEndStopsAndLasts(t *testing.T) {
	r, store := newRing(), shelf.New()
	engine := &instant{held: make(map[string]chan struct{})}
	engine.hold("i0")
	a, b := newKeeper(t, r, store, engine, "a"), newKeeper(t, r, store, engine, "b")
	a.Accept(t.Context(), submissionOf(t, "s", "i0"))
	for range 2 {
		if err := b.End(t.Context(), "s"); err != nil {
			t.Fatal(err)
		}
	}
	check.Equal(t, "ends", store.Names(kindEnds), []string{"s"})
	engine.release("i0")
	if page, err := a.Read(t.Context(), "s", 0, 300*time.Millisecond); err != nil || len(page.Results) > 0 {
		t.Errorf("after its end: %v, %v", page, err)
	}
	if err := a.End(t.Context(), "none"); !errors.Is(err, ErrUnknown) {
		t.Errorf("the end of an unknown batch: %v", err)
	}
}

// TestDueSinceTheFirstTry counts the time of a batch from its first try, at the
// node that accepts it and at the one that keeps it.
func TestDueSinceTheFirstTry(t *testing.T) {
	r, store := newRing(), shelf.New()
	engine := &instant{held: make(map[string]chan struct{})}
	engine.hold("i0")
	k, other := newKeeper(t, r, store, engine, "a"), newKeeper(t, r, store, engine, "b")
	s := submissionOf(t, "s", "i0")
	store.SetFaults(shelf.Faults{Refuse: true})
	short, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	before := time.Now()
	if outcome, ok := k.Accept(short, s).(NotKept); !ok {
		t.Fatalf("accepted without the store: %v", outcome)
	}
	// The first try took a second; it began in the first half of that.
	tried := before.Add(time.Since(before) / 2)
	store.SetFaults(shelf.Faults{})
	k.Accept(t.Context(), s)
	found := 0
	for _, keeper := range []*Keeper{k, other} {
		keeper.mu.Lock()
		if j := keeper.jobs["s"]; j != nil {
			found++
			if due := j.due(); due.Before(before.Add(testLimit)) || due.After(tried.Add(testLimit)) {
				t.Errorf("due %v after the first try, want %v", due.Sub(before), testLimit)
			}
		}
		at := time.UnixMilli(keeper.heads["s"].head.AcceptedMs)
		keeper.mu.Unlock()
		if at.After(tried) {
			t.Errorf("the head says %v after the first try", at.Sub(before))
		}
	}
	check.Equal(t, "nodes that keep it", found, 1)
	third := newKeeper(t, r, store, engine, "c")
	third.Learn(Notice{Head: Head{ID: "s", AcceptedMs: before.UnixMilli()}})
	third.Accept(t.Context(), s)
	third.mu.Lock()
	defer third.mu.Unlock()
	if _, ok := third.asked["s"]; ok {
		t.Error("a resend of a batch that is known counts as its first try")
	}
}
