package fleet

import (
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/quota"
)

// clock is a manual clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func entryOf(id string) Entry {
	return Entry{ID: id, StartedMs: 1, Service: "s", Address: "a:1", Domain: "d", Slots: 4, Versions: map[string]int{"m": 1}}
}

func joinIDs(states []State) (joined string) {
	for _, s := range states {
		joined += s.Entry.ID
	}
	return joined
}

func TestServing(t *testing.T) {
	c := &clock{at: time.UnixMilli(1)}
	f := New(c.now)
	for _, id := range []string{"a", "b", "c"} {
		f.Put(entryOf(id))
	}
	draining := entryOf("b")
	draining.Draining = true
	f.Put(draining)
	f.Remove("c", RemovalGrace)
	if got := joinIDs(f.Serving("s")); got != "ac" {
		t.Errorf("serving %s, want a, and c within its grace period", got)
	}
	c.at = c.at.Add(RemovalGrace)
	if got := joinIDs(f.Serving("s")); got != "a" {
		t.Errorf("serving %s, want only a: the grace period of c is over", got)
	}
	f.Put(entryOf("c"))
	if got := joinIDs(f.Serving("s")); got != "ac" {
		t.Errorf("serving %s, want a and c again", got)
	}
}

func TestRestartDiscardsObservations(t *testing.T) {
	c := &clock{at: time.UnixMilli(1)}
	f := New(c.now)
	f.Put(entryOf("a"))
	f.Begin("a")
	f.End("a", Failed)
	f.RecordEventInterval("a", time.Second)
	if s := f.Serving("s")[0]; !s.Paused || s.EventInterval == 0 {
		t.Fatalf("%+v", s)
	}
	restarted := entryOf("a")
	restarted.StartedMs = 2
	if !f.Put(restarted) {
		t.Error("a restart is not reported as a change")
	}
	if s := f.Serving("s")[0]; s.Paused || s.EventInterval != 0 {
		t.Errorf("observations survived the restart: %+v", s)
	}
	if f.Put(restarted) {
		t.Error("an unchanged entry is reported as a change")
	}
}

func TestPick(t *testing.T) {
	states := []State{
		{Entry: Entry{ID: "busy", Slots: 4, Domain: "here"}, OwnInFlight: 3},
		{Entry: Entry{ID: "far", Slots: 4, Domain: "there"}, OwnInFlight: 1},
		{Entry: Entry{ID: "near", Slots: 4, Domain: "here"}, OwnInFlight: 1},
		{Entry: Entry{ID: "failed", Slots: 4, Domain: "here"}, Paused: true},
	}
	for offset := range 5 {
		if s, _ := Pick(states, "here", nil, offset); s.Entry.ID != "near" {
			t.Errorf("got %s, want the least busy endpoint of the own domain", s.Entry.ID)
		}
	}
	s, ok := Pick(states, "here", []string{"busy", "far", "near"}, 0)
	if !ok || s.Entry.ID != "failed" {
		t.Errorf("got %v, want the failed endpoint, since no other is left", s.Entry.ID)
	}
	if _, ok := Pick(states[:1], "here", []string{"busy"}, 0); ok {
		t.Error("an excluded endpoint was picked")
	}
}

func TestLoadOfPeers(t *testing.T) {
	c := &clock{at: time.UnixMilli(1)}
	f := New(c.now)
	f.Put(entryOf("a"))
	f.Begin("a")
	f.RecordLoad("a", Load{Running: 3, Waiting: 1, Slots: 4})
	if busy := f.Serving("s")[0].Busy(); busy != 4 {
		t.Errorf("busy %d, want 4: one request of this node and three of peers", busy)
	}
	c.at = c.at.Add(2 * loadMaxAge)
	if busy := f.Serving("s")[0].Busy(); busy != 1 {
		t.Errorf("busy %d, want 1: the reported load is too old", busy)
	}
}

// TestRecordRefusal checks that the load reported with a refusal distinguishes
// an endpoint that is changing weights from a full one.
func TestRecordRefusal(t *testing.T) {
	const refusedModel = "m"
	cases := []struct {
		name string
		load *Load
		then func(f *Fleet)
		// after is how long ago the refusal was.
		after    time.Duration
		full     bool
		changing string
	}{
		{"free slot", &Load{Running: 1, Slots: 4}, nil, 0, false, refusedModel},
		{"free slot, change timed out", &Load{Running: 1, Slots: 4}, nil, weightChangeTimeout, false, ""},
		{"no free slot", &Load{Running: 3, Waiting: 1, Slots: 4}, nil, 0, true, ""},
		{"no free slot, pause over", &Load{Running: 3, Waiting: 1, Slots: 4}, nil, initialPause, false, ""},
		{"no load reported", nil, nil, 0, true, ""},
		{"entry has the new version", &Load{Running: 1, Slots: 4}, func(f *Fleet) {
			entry := entryOf("a")
			entry.Versions = map[string]int{refusedModel: 2}
			f.Put(entry)
		}, 0, false, ""},
		{"answer has the new version", &Load{Running: 1, Slots: 4}, func(f *Fleet) {
			f.RecordVersion("a", refusedModel, 2)
		}, 0, false, ""},
		{"other model has a new version", &Load{Running: 1, Slots: 4}, func(f *Fleet) {
			f.RecordVersion("a", "other", 2)
		}, 0, false, refusedModel},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.UnixMilli(1)}
			f := New(c.now)
			f.Put(entryOf("a"))
			f.Begin("a")
			if tc.load != nil {
				f.RecordLoad("a", *tc.load)
			}
			f.RecordRefusal("a", refusedModel)
			if tc.then != nil {
				tc.then(f)
			}
			c.at = c.at.Add(tc.after)
			s := f.Serving("s")[0]
			if s.Full != tc.full || s.ChangingModel != tc.changing || s.OwnInFlight != 0 {
				t.Errorf("%+v", s)
			}
		})
	}
}

// TestLimitedEndpoint checks that an endpoint with a limit gets no request without a
// permit, also after its entry was lost and regained.
func TestLimitedEndpoint(t *testing.T) {
	c := &clock{at: time.UnixMilli(1)}
	f := New(c.now)
	f.Put(entryOf("a"))
	f.Put(entryOf("b"))
	f.Limits().Observe("a", c.at, quota.PerSecond(2))
	t.Run("is not selected", func(t *testing.T) {
		got, ok := Pick(f.Serving("s"), "d", nil, 0)
		if !ok || got.Entry.ID != "b" {
			t.Errorf("selected %q, want b", got.Entry.ID)
		}
		if _, ok := Pick(f.Serving("s"), "d", []string{"b"}, 0); ok {
			t.Error("an endpoint without a permit was selected")
		}
	})
	t.Run("gets as many requests as there are permits", func(t *testing.T) {
		permitted := Permitted(f.Serving("s"))
		if len(permitted) != 1 || permitted[0].Exhausted() {
			t.Fatalf("%+v, want a as if it had no limit", permitted)
		}
		target := permitted[0].Target()
		f.WantPermits([]Target{target, target})
		needs := f.Limits().Needs()
		if len(needs) != 1 || needs[0].Count != 2 {
			t.Fatalf("needs %+v, want two permits", needs)
		}
		f.Limits().Apply(quota.Grant{Fact: needs[0].Fact, Count: 1})
		if first, second := f.Begin("a"), f.Begin("a"); !first || second {
			t.Errorf("two requests with one permit: %t and %t, want the first only", first, second)
		}
	})
	t.Run("after its entry was lost", func(t *testing.T) {
		f.End("a", Answered)
		f.Remove("a", 0)
		f.Serving("s")
		f.Put(entryOf("a"))
		if f.Begin("a") {
			t.Error("the limit is forgotten")
		}
	})
}

// BenchmarkBegin measures what the check for a permit costs each request, with and
// without limits at other endpoints.
func BenchmarkBegin(b *testing.B) {
	for name, limited := range map[string]bool{"no limits": false, "limits elsewhere": true} {
		b.Run(name, func(b *testing.B) {
			f := New(time.Now)
			f.Put(entryOf("a"))
			if limited {
				for _, id := range []string{"b", "c", "d"} {
					f.Put(entryOf(id))
					f.Limits().Observe(id, time.Now(), quota.PerSecond(2))
				}
			}
			for b.Loop() {
				f.Begin("a")
				f.End("a", Answered)
			}
		})
	}
}

// TestServingFollowsMembers guards against an index of services that misses endpoints that
// came, went or changed their service.
func TestServingFollowsMembers(t *testing.T) {
	now := time.Unix(100, 0)
	f := New(func() time.Time { return now })
	put := func(id, service string) { f.Put(Entry{ID: id, Service: service, Address: "x:1", Slots: 1}) }
	serving := func(service string) []string {
		var ids []string
		for _, s := range f.Serving(service) {
			ids = append(ids, s.Entry.ID)
		}
		return ids
	}
	check.Equal(t, "before any", len(serving("a")), 0)
	put("2", "a")
	put("1", "a")
	put("3", "b")
	check.Equal(t, "sorted", serving("a"), []string{"1", "2"})
	put("3", "a")
	check.Equal(t, "gained", serving("a"), []string{"1", "2", "3"})
	check.Equal(t, "lost", len(serving("b")), 0)
	f.Remove("1", time.Second)
	check.Equal(t, "within its grace period", serving("a"), []string{"1", "2", "3"})
	now = now.Add(time.Second)
	check.Equal(t, "removed", serving("a"), []string{"2", "3"})
	put("1", "a")
	check.Equal(t, "back", serving("a"), []string{"1", "2", "3"})
}
