package duty

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/platform/fake"
)

const (
	testLease         = 3 * time.Second
	testTakeoverDelay = 300 * time.Millisecond
)

// clock is a manual clock.
type clock struct{ at time.Duration }

func (c *clock) now() time.Duration { return c.at }

func newDuty(store *memory.Store, holder string, now func() time.Duration, assigned func() bool) *Duty {
	return New(Deps{
		Name: "test", Holder: holder, Assigned: assigned, Logger: zap.NewNop(),
		Lease: lease.New(store, "test", holder, 1, testLease, testTakeoverDelay, now),
	})
}

// mustPrepare acquires the lease within two calls: the first one may only read it.
func mustPrepare(t *testing.T, d *Duty) {
	t.Helper()
	for range 2 {
		if d.Prepare(t.Context()) {
			return
		}
	}
	t.Fatal("the lease can't be acquired")
}

// TestPermitEndsWithLease guards against a call that is written after its lease has expired
// while the connection was opened.
func TestPermitEndsWithLease(t *testing.T) {
	clk := &clock{at: time.Hour}
	d := newDuty(memory.New(), "a", clk.now, nil)
	mustPrepare(t, d)
	outcome, held := d.Call(t.Context(), func(_ context.Context, permit Permit) Outcome {
		if !permit.Current() || permit.Holder() != "a" || permit.Token() != 1 {
			t.Errorf("permit %s/%d, current %t, want a/1, current", permit.Holder(), permit.Token(), permit.Current())
		}
		clk.at += testLease
		if permit.Current() {
			t.Error("the permit outlives the lease")
		}
		return NotSent{Cause: ErrNotPermitted}
	})
	if _, notSent := outcome.(NotSent); !notSent || !held {
		t.Errorf("outcome %T, held %t, want NotSent, true", outcome, held)
	}
	if _, held := d.Call(t.Context(), nil); held {
		t.Error("a call is made without the lease")
	}
}

// TestReleaseWaitsForCall guards against a lease that is given up while a slow call may
// still reach the platform, and against a next holder that acts too soon after it.
func TestReleaseWaitsForCall(t *testing.T) {
	store, clk := memory.New(), &clock{at: time.Hour}
	a, b := newDuty(store, "a", clk.now, nil), newDuty(store, "b", clk.now, nil)
	mustPrepare(t, a)
	a.Call(t.Context(), func(context.Context, Permit) Outcome {
		clk.at += 1500 * time.Millisecond
		if a.calling.TryLock() {
			t.Error("the lease may be released during a call")
		}
		return Done{}
	})
	ended := clk.at
	clk.at += 200 * time.Millisecond
	a.Release(t.Context())
	for !b.Prepare(t.Context()) {
		clk.at += 10 * time.Millisecond
	}
	if after := clk.at - ended; after < testLease+testTakeoverDelay {
		t.Errorf("the next holder may act %v after the last call, want at least %v", after, testLease+testTakeoverDelay)
	}
}

// TestRunReleasesLease guards against a node that keeps the lease when another one is to
// perform the duty.
func TestRunReleasesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Hour + time.Since(start) }
		store := memory.New()
		assigned := func() bool { return time.Since(start) < 10*time.Second }
		a, b := newDuty(store, "a", now, assigned), newDuty(store, "b", now, nil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			done <- a.Run(ctx, func(ctx context.Context) {
				a.Prepare(ctx)
				time.Sleep(PollInterval)
			})
		}()
		time.Sleep(11 * time.Second)
		if state := a.Dump(); state.Held || state.Holder != "a" || state.Epoch != 1 {
			t.Errorf("state %+v, want the released lease of a", state)
		}
		mustPrepare(t, b)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// trial is a random sequence of the steps of several nodes.
type trial struct {
	*rapid.T
	clk     *clock
	store   *memory.Store
	nodes   []*Duty
	calling []int
	rules   *fake.DutyRules
	steps   int
}

// TestHoldersAct lets nodes acquire and release the lease, pause, lose answers of the
// store, and make calls for several subjects which take long before and after they arrive,
// while other nodes act. It guards against calls that break the rules for holders.
func TestHoldersAct(t *testing.T) {
	calls := 0
	rapid.Check(t, func(t *rapid.T) {
		tr := &trial{T: t, clk: &clock{at: time.Hour}, store: memory.New(), rules: fake.NewDutyRules(testLease), steps: 80}
		for _, name := range []string{"a", "b", "c"} {
			tr.nodes = append(tr.nodes, newDuty(tr.store, name, tr.clk.now, nil))
			tr.calling = append(tr.calling, 0)
		}
		for tr.steps > 0 {
			tr.step()
		}
		for _, violation := range tr.rules.Violations() {
			t.Error(violation)
		}
		calls += len(tr.rules.Calls())
	})
	if calls == 0 {
		t.Error("no sequence makes a call")
	}
}

func (tr *trial) step() {
	tr.steps--
	i := rapid.IntRange(0, len(tr.nodes)-1).Draw(tr.T, "node")
	node := tr.nodes[i]
	tr.store.SetFaults(memory.Faults{})
	switch rapid.SampledFrom([]string{"call", "call", "call", "acquire", "lost", "release", "pause"}).Draw(tr.T, "step") {
	case "call":
		if node.Prepare(context.Background()) && tr.calling[i] < 2 {
			tr.call(i)
		}
	case "acquire":
		node.Prepare(context.Background())
	case "lost":
		tr.store.SetFaults(memory.Faults{LoseAnswers: 1})
		node.Prepare(context.Background())
	case "release":
		// A release waits for calls in progress.
		if tr.calling[i] == 0 {
			node.Release(context.Background())
		}
	case "pause":
		tr.pause(4 * time.Second)
	}
}

func (tr *trial) pause(limit time.Duration) {
	tr.clk.at += time.Duration(rapid.IntRange(0, int(limit/time.Millisecond)).Draw(tr.T, "pause")) * time.Millisecond
}

// call makes a call of a node. The connection takes any time, the way of the call to the
// platform less than the margin, and the answer any time.
func (tr *trial) call(i int) {
	tr.calling[i]++
	defer func() { tr.calling[i]-- }()
	subject := rapid.SampledFrom([]string{"usage", "s/east", "s/west"}).Draw(tr.T, "subject")
	tr.nodes[i].Call(context.Background(), func(_ context.Context, permit Permit) Outcome {
		tr.others()
		if !permit.Current() {
			return NotSent{Cause: ErrNotPermitted}
		}
		tr.pause(lease.Margin - time.Millisecond)
		tr.rules.Record(fake.DutyCall{
			Subject: subject, Holder: permit.Holder(), Token: permit.Token(), At: time.Unix(0, int64(tr.clk.at)),
		})
		tr.others()
		return Unknown{}
	})
}

// others takes some steps.
func (tr *trial) others() {
	for n := rapid.IntRange(0, 3).Draw(tr.T, "others"); n > 0 && tr.steps > 0; n-- {
		tr.step()
	}
}
