package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/relay"
)

type (
	// lateSite is a set of keepers whose messages of ends may be lost or late, and which
	// can be suspended and cut off. It runs in a synctest bubble.
	lateSite struct {
		*cluster
		store *memory.Store
		began time.Time

		mu     sync.Mutex
		random *rand.Rand
		// suspended holds a channel for each suspended host, closed when it resumes.
		suspended map[string]chan struct{}
		// deaf hosts get no message of an end, cut ones reach no other host and not the store.
		deaf, cut map[string]bool
		// From the placement of a request to its write passes minDial to maxDial.
		minDial, maxDial time.Duration
		reads            map[string]int
		// arrived is when requests have reached endpoints.
		arrived []time.Time
		trace   []string
	}

	// latePeers is a host's view of the other hosts.
	latePeers struct {
		clusterPeers
		site *lateSite
	}

	// lateStore is a host's way to the store.
	lateStore struct {
		object.Store
		site *lateSite
		name string
	}

	// lateEngine answers items so that they start again and again: their streams break
	// after one event, or no answer comes. Items whose name begins with "ok" succeed.
	lateEngine struct {
		site *lateSite
		name string
		// answer is the reply to items and reward calls, nil for a random one.
		answer func(request relay.Request) relay.Reply
	}
)

var errBroken = errors.New("stream broken")

func newLateSite(seed uint64) *lateSite {
	return &lateSite{
		cluster: newCluster(), store: memory.New(), began: time.Now(), random: rand.New(rand.NewPCG(seed, 1)),
		suspended: make(map[string]chan struct{}), deaf: make(map[string]bool), cut: make(map[string]bool),
		reads: make(map[string]int),
	}
}

// add starts a keeper. Its engine gives random replies unless answer is set.
func (s *lateSite) add(t *testing.T, name string, answer func(relay.Request) relay.Reply) *Keeper {
	p := latePeers{clusterPeers{cluster: s.cluster, name: name}, s}
	k := startKeeperWith(t, name, p, lateStore{s.store, s, name}, &lateEngine{s, name, answer}, func() time.Duration { return time.Since(s.began) })
	s.cluster.mu.Lock()
	s.keepers[name] = k
	s.cluster.mu.Unlock()
	return k
}

// log adds a line to the trace that a failing sequence prints.
func (s *lateSite) log(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trace = append(s.trace, fmt.Sprint(time.Since(s.began), " ", fmt.Sprintf(format, values...)))
}

func (s *lateSite) upTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

// setDial sets how long requests wait for a connection.
func (s *lateSite) setDial(least, most time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minDial, s.maxDial = least, most
}

func (s *lateSite) suspend(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended[name] == nil {
		s.suspended[name] = make(chan struct{})
	}
}

func (s *lateSite) resume(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resumed := s.suspended[name]; resumed != nil {
		close(resumed)
		delete(s.suspended, name)
	}
}

// awaitResumed stands before everything that a host exchanges with others, so that a
// suspended host does nothing that others see.
func (s *lateSite) awaitResumed(name string) {
	for {
		s.mu.Lock()
		resumed := s.suspended[name]
		s.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

func (s *lateSite) set(flags map[string]bool, name string, value bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	flags[name] = value
}

func (s *lateSite) is(flags map[string]bool, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return flags[name]
}

// travel delays a message and reports whether it arrives.
func (s *lateSite) travel(from, to string, longest time.Duration) bool {
	s.awaitResumed(from)
	time.Sleep(s.upTo(longest))
	s.awaitResumed(to)
	return !s.is(s.cut, from) && !s.is(s.cut, to)
}

// arrivals returns how many requests have reached endpoints, and the last one's time.
func (s *lateSite) arrivals() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.arrived) == 0 {
		return 0, time.Time{}
	}
	return len(s.arrived), s.arrived[len(s.arrived)-1]
}

func (p latePeers) Notify(notification Notification) {
	for _, name := range p.ActiveNames() {
		if name == p.name || notification.Ended && p.site.is(p.site.deaf, name) {
			continue
		}
		for range 2 {
			go func() {
				if p.site.travel(p.name, name, maxHubDelay*9/10) {
					p.cluster.at(name).Apply(notification)
				}
			}()
		}
	}
}

func (p latePeers) EndAt(ctx context.Context, name string, head Head) error {
	if p.site.is(p.site.deaf, name) || !p.site.travel(p.name, name, 20*time.Millisecond) {
		return ErrUndetermined
	}
	return p.clusterPeers.EndAt(ctx, name, head)
}

func (p latePeers) FindAt(ctx context.Context, name, id string) (Notification, error) {
	if !p.site.travel(p.name, name, 20*time.Millisecond) || ctx.Err() != nil {
		return Notification{}, ErrUndetermined
	}
	found, err := p.clusterPeers.FindAt(ctx, name, id)
	p.site.log("%s asks %s: ended %t", p.name, name, found.Ended)
	return found, err
}

func (p latePeers) Offer(ctx context.Context, name string, s Submission) error {
	if !p.site.travel(p.name, name, 20*time.Millisecond) {
		return ErrNotOwner
	}
	return p.clusterPeers.Offer(ctx, name, s)
}

func (p latePeers) SendPartials(ctx context.Context, name string, partials []PartialOutput) error {
	if !p.site.travel(p.name, name, 20*time.Millisecond) {
		return ErrNotOwner
	}
	return p.clusterPeers.SendPartials(ctx, name, partials)
}

// Get reads an object. The answer of a suspended host waits until it resumes.
func (s lateStore) Get(ctx context.Context, kind, name string, freshness object.Freshness) (object.Entry, error) {
	s.site.mu.Lock()
	s.site.reads[kind]++
	s.site.mu.Unlock()
	reached := s.site.travel(s.name, s.name, 200*time.Millisecond)
	entry, err := s.Store.Get(ctx, kind, name, freshness)
	s.site.travel(s.name, s.name, 200*time.Millisecond)
	s.site.log("%s reads %s: %t %v", s.name, kind, reached, err)
	if !reached || ctx.Err() != nil {
		return object.Entry{}, object.ErrUnavailable
	}
	return entry, err
}

// List reads no ends: the list that tells of them is late.
func (s lateStore) List(ctx context.Context, kind string, freshness object.Freshness) ([]object.Entry, uint64, error) {
	if kind == kindEnds {
		return nil, 0, object.ErrUnavailable
	}
	return s.Store.List(ctx, kind, freshness)
}

func (e *lateEngine) Send(ctx context.Context, _ fleet.Target, request relay.Request) relay.Reply {
	e.site.mu.Lock()
	least, most := e.site.minDial, e.site.maxDial
	e.site.mu.Unlock()
	dialing := time.NewTimer(least + e.site.upTo(most-least))
	defer dialing.Stop()
	select {
	case <-dialing.C:
	case <-ctx.Done():
		return relay.NotRun{Cause: ctx.Err()}
	}
	e.site.awaitResumed(e.name)
	// The context may have ended meanwhile: the timers and messages of a process that resumes
	// may be handled only after the write.
	if request.Permitted != nil && !request.Permitted() {
		return relay.NotRun{Cause: relay.ErrNotPermitted}
	}
	e.site.mu.Lock()
	e.site.arrived = append(e.site.arrived, time.Now())
	e.site.mu.Unlock()
	e.site.log("%s sends %s", e.name, request.ID)
	time.Sleep(e.site.upTo(300 * time.Millisecond))
	if e.answer != nil {
		return e.answer(request)
	}
	if strings.HasPrefix(request.ID, "reward-") || e.site.upTo(2) == 0 {
		return relay.Lost{Cause: errBroken}
	}
	return oneEvent(request)
}

// oneEvent answers an item with a stream of one event. It ends well for items whose name
// begins with "ok" or that need a score, else it breaks.
func oneEvent(request relay.Request) relay.Reply {
	return relay.Answer{Status: 200, Body: io.NopCloser(strings.NewReader(fmt.Sprint(request.ID, " ", request.LastEventID+1))), Signed: true, Streamed: true, Version: 1}
}

func (e *lateEngine) ReadEvents(body io.Reader, emit func(Event) error) error {
	var item string
	var n int
	if _, err := fmt.Fscan(body, &item, &n); err != nil {
		return err
	}
	if err := emit(Event{ID: n, Data: "x"}); err != nil || strings.HasPrefix(item, "ok") || strings.HasPrefix(item, scoredPrefix) {
		return err
	}
	return errBroken
}

// works reports whether a host works on the batch.
func (s *lateSite) works(name, id string) bool {
	k := s.at(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.jobs[id] != nil
}

// owner returns the host that works on the batch.
func (s *lateSite) owner(t *testing.T, id string, names ...string) *Keeper {
	t.Helper()
	for _, name := range names {
		if s.works(name, id) {
			return s.at(name)
		}
	}
	t.Fatal("no host works on the batch")
	return nil
}

func (s *lateSite) accept(t *testing.T, k *Keeper, items ...string) {
	t.Helper()
	if _, ok := k.Accept(t.Context(), submissionOf(t, "s", items...)).(Stored); !ok {
		t.Fatal("batch not accepted")
	}
}

// end ends the batch at a host until that is acknowledged, and returns when it was.
func (s *lateSite) end(t *testing.T, k *Keeper) time.Time {
	t.Helper()
	for range 20 {
		if k.End(t.Context(), "s") == nil {
			return time.Now()
		}
	}
	t.Fatal("the end was not acknowledged")
	return time.Time{}
}

// checkStopped lets time pass and checks that no request has reached an endpoint later than
// the bound after the end.
func (s *lateSite) checkStopped(t *testing.T, endedAt time.Time) {
	t.Helper()
	time.Sleep(5 * cancelBound)
	if n, last := s.arrivals(); last.Sub(endedAt) >= cancelBound {
		t.Errorf("of %d requests the last one reached an endpoint %v after the end", n, last.Sub(endedAt))
	}
}

// TestItemsOfEndedBatchStart goes, for each way in which requests of a batch start, through
// the loss of the message of the end to the keeper: none may reach an endpoint later than
// the bound.
func TestItemsOfEndedBatchStart(t *testing.T) {
	resumed := func(request relay.Request) relay.Reply { return oneEvent(request) }
	lost := func(relay.Request) relay.Reply { return relay.Lost{Cause: errBroken} }
	scoring := func(request relay.Request) relay.Reply {
		if strings.HasPrefix(request.ID, "reward-") {
			return lost(request)
		}
		return oneEvent(request)
	}
	items := []string{"i0", "i1", "i2"}
	for name, tc := range map[string]struct {
		answer func(relay.Request) relay.Reply
		items  []string
		// before happens before the end, after right after it.
		before, after func(t *testing.T, s *lateSite, owner *Keeper)
	}{
		"runs":            {answer: lost, items: items},
		"resumed streams": {answer: resumed, items: items},
		"reward calls":    {answer: scoring, items: []string{scoredPrefix + "0", scoredPrefix + "1"}},
		"store unavailable": {answer: lost, items: items, after: func(_ *testing.T, s *lateSite, _ *Keeper) {
			s.store.SetFaults(memory.Faults{Refuse: true})
		}},
		"store unresponsive": {answer: lost, items: items, after: func(_ *testing.T, s *lateSite, _ *Keeper) {
			s.store.SetFaults(memory.Faults{Unresponsive: true})
			time.AfterFunc(4*cancelBound, func() { s.store.SetFaults(memory.Faults{}) })
		}},
		"host cut off": {answer: lost, items: items, before: func(_ *testing.T, s *lateSite, owner *Keeper) {
			s.set(s.cut, owner.deps.Name, true)
		}},
		"suspended before the write": {answer: lost, items: items, before: func(_ *testing.T, s *lateSite, owner *Keeper) {
			s.setDial(300*time.Millisecond, 300*time.Millisecond)
			time.Sleep(time.Second)
			s.suspend(owner.deps.Name)
			// Its placements up to here wait for their write.
			time.Sleep(time.Second / 2)
		}, after: func(_ *testing.T, s *lateSite, owner *Keeper) {
			time.AfterFunc(2*cancelBound, func() { s.resume(owner.deps.Name) })
		}},
		"connections opened slowly": {answer: lost, items: items, before: func(_ *testing.T, s *lateSite, _ *Keeper) {
			// The first connections time out. An item's second run has twice the time.
			s.setDial(2*firstEventTimeout-time.Millisecond, 2*firstEventTimeout-time.Millisecond)
			time.Sleep(firstEventTimeout + time.Second)
		}},
		"batch that was taken over and came back": {answer: resumed, items: items, before: func(t *testing.T, s *lateSite, owner *Keeper) {
			names := []string{"a", "b", "c"}
			s.setDead(owner.deps.Name, true)
			time.Sleep(4 * time.Second)
			s.setDead(owner.deps.Name, false)
			time.Sleep(4 * time.Second)
			if s.works(owner.deps.Name, "s") {
				t.Fatal("the batch was not released")
			}
			second := ""
			for _, name := range names {
				if s.works(name, "s") {
					second = name
				}
				s.setDead(name, name != owner.deps.Name)
			}
			time.Sleep(4 * time.Second)
			for _, name := range names {
				s.set(s.deaf, name, true)
				s.setDead(name, name == second)
			}
			if !s.works(owner.deps.Name, "s") {
				t.Fatal("the batch has not come back")
			}
		}},
		"takeover after the end": {answer: resumed, items: items, before: func(t *testing.T, s *lateSite, owner *Keeper) {
			for _, name := range []string{"a", "b", "c"} {
				s.set(s.deaf, name, true)
			}
		}, after: func(_ *testing.T, s *lateSite, owner *Keeper) { s.setDead(owner.deps.Name, true) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLateSite(1)
				names := []string{"a", "b", "c"}
				for _, name := range names {
					s.add(t, name, tc.answer)
				}
				s.accept(t, s.at("a"), tc.items...)
				time.Sleep(2 * time.Second)
				owner := s.owner(t, "s", names...)
				s.set(s.deaf, owner.deps.Name, true)
				before, _ := s.arrivals()
				if before == 0 {
					t.Fatal("nothing runs before the end")
				}
				if tc.before != nil {
					tc.before(t, s, owner)
				}
				idle := slices.IndexFunc(names, func(name string) bool { return !s.works(name, "s") })
				endedAt := s.end(t, s.at(names[idle]))
				if tc.after != nil {
					tc.after(t, s, owner)
				}
				s.checkStopped(t, endedAt)
			})
		})
	}
}

// TestEndIsKnownBeforeTheJob accepts a batch at a host that has learned of the end before
// its own call of the store was answered: it must not start the items.
func TestEndIsKnownBeforeTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLateSite(1)
		k := s.add(t, "a", nil)
		head := Head{ID: "s", Host: "h", Path: "/b/x", Keeper: "a", Incarnation: 1, AcceptedMs: time.Now().UnixMilli(), Items: 1}
		if !k.HoldOffer("s", "h", "/b/x", []byte("i0")) {
			t.Fatal("offer not held")
		}
		k.mu.Lock()
		k.batches["s"] = &knownBatch{head: head, ended: true}
		k.mu.Unlock()
		k.Apply(Notification{Head: head})
		time.Sleep(cancelBound)
		if n, _ := s.arrivals(); n > 0 {
			t.Errorf("%d requests of an ended batch reached endpoints", n)
		}
	})
}

// TestMoveWaitsForConfirmation lets an item run on a slow endpoint while another one is
// fast and its host is cut off: the item must not be stopped to move, since it could not
// start again. Once the host is connected again it moves.
func TestMoveWaitsForConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLateSite(1)
		k := s.add(t, "a", nil)
		running := make(chan struct{})
		k.deps.Engine.(*lateEngine).answer = func(relay.Request) relay.Reply {
			<-running
			return relay.Lost{PathLost: true, Cause: errBroken}
		}
		k.deps.Fleet.Put(fleet.Entry{ID: "fast", Service: "pool", Address: "x:1", Slots: 16, Versions: map[string]int{testModel: 1}})
		submission := submissionOf(t, "s", "i0")
		submission.Items[0].EstimatedTokens = 100 * defaultStride
		k.Accept(t.Context(), submission)
		synctest.Wait()
		k.mu.Lock()
		run := k.jobs["s"].running[0]
		k.mu.Unlock()
		s.set(s.cut, "a", true)
		time.Sleep(startPermissionTime)
		slow := run.target.ID()
		k.deps.Fleet.RecordEventInterval(slow, 400*time.Millisecond)
		k.deps.Fleet.RecordEventInterval(map[string]string{"fast": "e", "e": "fast"}[slow], 20*time.Millisecond)
		moved := func() bool {
			time.Sleep(moveInterval)
			k.mu.Lock()
			defer k.mu.Unlock()
			k.moveItems(time.Now(), make(map[*job]bool))
			return run.moved
		}
		if moved() {
			t.Error("an item was stopped to move while it could not start again")
		}
		s.set(s.cut, "a", false)
		k.mu.Lock()
		k.jobs["s"].permission.confirm(k.deps.Clock())
		k.mu.Unlock()
		if !moved() {
			t.Error("the item has not moved although its batch is open")
		}
		close(running)
	})
}

// TestReadsOfEnds checks what the permission costs: nothing while all items run, and about
// one read a second while any number of items waits.
func TestReadsOfEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		items       int
		least, most int
	}{
		"all run":       {items: 4, most: 0},
		"hundreds wait": {items: 300, least: 8, most: 12},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLateSite(1)
				k := s.add(t, "a", func(relay.Request) relay.Reply {
					time.Sleep(time.Second)
					return relay.Lost{PathLost: true, Cause: errBroken}
				})
				if tc.most == 0 {
					k.deps.Engine.(*lateEngine).answer = func(relay.Request) relay.Reply {
						time.Sleep(time.Minute)
						return relay.Lost{PathLost: true, Cause: errBroken}
					}
				}
				var items []string
				for i := range tc.items {
					items = append(items, fmt.Sprint("i", i))
				}
				s.accept(t, k, items...)
				time.Sleep(10 * time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				if n := s.reads[kindEnds]; n < tc.least || n > tc.most {
					t.Errorf("%d reads of the end within 10 s, want %d to %d", n, tc.least, tc.most)
				}
			})
		})
	}
}

// TestOpenBatchRunsWithoutStore checks that items of an open batch keep starting during an
// outage of the store, since hubs confirm that it is open, and that an item whose request
// was not permitted at the write is not counted as failed.
func TestOpenBatchRunsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLateSite(1)
		s.add(t, "a", nil)
		s.add(t, "b", nil)
		s.accept(t, s.at("a"), "i0", "i1")
		time.Sleep(2 * time.Second)
		s.store.SetFaults(memory.Faults{Refuse: true})
		time.Sleep(5 * time.Second)
		before, _ := s.arrivals()
		time.Sleep(time.Second * 3)
		if after, _ := s.arrivals(); after == before {
			t.Error("no item has started although a hub knows that the batch is open")
		}
		owner := s.owner(t, "s", "a", "b")
		s.suspend(owner.deps.Name)
		time.Sleep(cancelBound)
		owner.mu.Lock()
		j := owner.jobs["s"]
		failures := j.items[0].failures
		owner.mu.Unlock()
		owner.endRun(t.Context(), j, 0, &itemRun{}, relay.NotRun{Cause: relay.ErrNotPermitted}, relay.ErrNotPermitted)
		owner.mu.Lock()
		if j.items[0].failures != failures {
			t.Error("a request that was not permitted counts as a failure of the item")
		}
		owner.mu.Unlock()
		s.resume(owner.deps.Name)
		if result := fleetResult(t.Context(), relay.NotRun{}, relay.ErrNotPermitted); result != fleet.Cancelled {
			t.Errorf("a request that was not permitted counts as %v at its endpoint", result)
		}
	})
}

// TestLateSequences goes through random sequences of suspensions, cuts, takeovers, store
// outages and lost messages at three hosts: no request reaches an endpoint later than the
// bound after the end of its batch.
func TestLateSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			if problem := lateSequence(t, seed); problem != "" {
				rt.Errorf("seed %d: %s", seed, problem)
			}
		})
	})
}

// lateSequence plays the sequence of a seed and returns what was wrong.
func lateSequence(t *testing.T, seed uint64) string {
	s := newLateSite(seed)
	names := []string{"a", "b", "c"}
	for _, name := range names {
		s.add(t, name, nil)
	}
	s.setDial(0, s.upTo(cancelBound))
	host := func() string { return names[s.upTo(2)] }
	s.accept(t, s.at(host()), "i0", "ok1", scoredPrefix+"2", "i3")
	time.Sleep(time.Second)
	// The host that ends the batch stays connected, so that the end is acknowledged.
	ender, deaf := host(), host()
	if deaf != ender {
		s.set(s.deaf, deaf, true)
	}
	outage := s.upTo(1) == 0
	endAfter := 2 + int(s.upTo(6))
	var endedAt time.Time
	for step := range 12 {
		if step == endAfter {
			endedAt = s.end(t, s.at(ender))
			s.log("ended at %s, deaf is %s", ender, deaf)
		}
		name, span, fault := host(), s.upTo(8*time.Second), s.upTo(4)
		s.log("fault %d of %s for %v", fault, name, span)
		switch fault {
		case 0:
			// The hubs that may be asked during an outage must get the messages of ends.
			if name != ender && (name == deaf || !outage) {
				s.suspend(name)
				time.AfterFunc(span, func() { s.resume(name) })
			}
		case 1:
			// At most one host may miss the end, since two of those that did may ask each other.
			if name != ender && name == deaf {
				s.set(s.cut, name, true)
				time.AfterFunc(span, func() { s.set(s.cut, name, false) })
			}
		case 2:
			if !outage {
				s.setDead(name, true)
				time.AfterFunc(span, func() { s.setDead(name, false) })
			}
		case 3:
			if outage && !endedAt.IsZero() {
				s.store.SetFaults(memory.Faults{Refuse: true})
				time.AfterFunc(span, func() { s.store.SetFaults(memory.Faults{}) })
			}
		}
		time.Sleep(s.upTo(2 * time.Second))
	}
	time.Sleep(10 * time.Second)
	s.store.SetFaults(memory.Faults{})
	if n, last := s.arrivals(); last.Sub(endedAt) >= cancelBound {
		return fmt.Sprintf("of %d requests the last one reached an endpoint %v after the end:\n%s", n, last.Sub(endedAt), strings.Join(s.trace, "\n"))
	}
	return ""
}
