package fleet

import (
	"testing"
	"time"
)

// clock is a clock that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func entryOf(id string) Entry {
	return Entry{ID: id, Born: 1, Service: "s", Address: "a:1", Domain: "d", Slots: 4, Versions: map[string]int{"m": 1}}
}

func ids(states []State) (names string) {
	for _, s := range states {
		names += s.Entry.ID
	}
	return names
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
	f.Remove("c", LapseGrace)
	if got := ids(f.Serving("s")); got != "ac" {
		t.Errorf("serving %s, want a and c, which may come back", got)
	}
	c.at = c.at.Add(LapseGrace)
	if got := ids(f.Serving("s")); got != "a" {
		t.Errorf("serving %s, want a: c has not come back", got)
	}
	f.Put(entryOf("c"))
	if got := ids(f.Serving("s")); got != "ac" {
		t.Errorf("serving %s, want a and c again", got)
	}
}

func TestARestartForgetsWhatWasSeen(t *testing.T) {
	c := &clock{at: time.UnixMilli(1)}
	f := New(c.now)
	f.Put(entryOf("a"))
	f.Begin("a")
	f.End("a", Failed)
	f.Paced("a", time.Second)
	if s := f.Serving("s")[0]; !s.Paused || s.Pace == 0 {
		t.Fatalf("%+v", s)
	}
	again := entryOf("a")
	again.Born = 2
	if !f.Put(again) {
		t.Error("a restart changes nothing")
	}
	if s := f.Serving("s")[0]; s.Paused || s.Pace != 0 {
		t.Errorf("still %+v", s)
	}
	if f.Put(again) {
		t.Error("a beat counts as a change")
	}
}

func TestPick(t *testing.T) {
	states := []State{
		{Entry: Entry{ID: "busy", Slots: 4, Domain: "here"}, Mine: 3},
		{Entry: Entry{ID: "far", Slots: 4, Domain: "there"}, Mine: 1},
		{Entry: Entry{ID: "near", Slots: 4, Domain: "here"}, Mine: 1},
		{Entry: Entry{ID: "failed", Slots: 4, Domain: "here"}, Paused: true},
	}
	for spread := range 5 {
		if s, _ := Pick(states, "here", nil, spread); s.Entry.ID != "near" {
			t.Errorf("got %s, want the least busy one nearby", s.Entry.ID)
		}
	}
	s, ok := Pick(states, "here", []string{"busy", "far", "near"}, 0)
	if !ok || s.Entry.ID != "failed" {
		t.Errorf("got %v, want the one that failed rather than none", s.Entry.ID)
	}
	if _, ok := Pick(states[:1], "here", []string{"busy"}, 0); ok {
		t.Error("an excluded endpoint was picked")
	}
}

func TestLoadOfOthers(t *testing.T) {
	c := &clock{at: time.UnixMilli(1)}
	f := New(c.now)
	f.Put(entryOf("a"))
	f.Begin("a")
	f.Loaded("a", Load{Running: 3, Waiting: 1, Slots: 4})
	if busy := f.Serving("s")[0].Busy(); busy != 4 {
		t.Errorf("busy %d, want 4: one of ours and three of others", busy)
	}
	c.at = c.at.Add(2 * loadLife)
	if busy := f.Serving("s")[0].Busy(); busy != 1 {
		t.Errorf("busy %d, want 1: what was said is too old", busy)
	}
}

// TestRefuse tells an endpoint that changes weights from a full one, by the load
// that it tells with its refusal.
func TestRefuse(t *testing.T) {
	const refused = "m"
	cases := []struct {
		name string
		load *Load
		then func(f *Fleet)
		// after is how long ago the refusal was.
		after    time.Duration
		full     bool
		changing string
	}{
		{"it has room", &Load{Running: 1, Slots: 4}, nil, 0, false, refused},
		{"it has room, some time ago", &Load{Running: 1, Slots: 4}, nil, changeLimit, false, ""},
		{"it is full", &Load{Running: 3, Waiting: 1, Slots: 4}, nil, 0, true, ""},
		{"it is full, some time ago", &Load{Running: 3, Waiting: 1, Slots: 4}, nil, firstPause, false, ""},
		{"it does not tell", nil, nil, 0, true, ""},
		{"its entry has the new version", &Load{Running: 1, Slots: 4}, func(f *Fleet) {
			entry := entryOf("a")
			entry.Versions = map[string]int{refused: 2}
			f.Put(entry)
		}, 0, false, ""},
		{"an answer has the new version", &Load{Running: 1, Slots: 4}, func(f *Fleet) {
			f.SawVersion("a", refused, 2)
		}, 0, false, ""},
		{"another model has a new version", &Load{Running: 1, Slots: 4}, func(f *Fleet) {
			f.SawVersion("a", "other", 2)
		}, 0, false, refused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.UnixMilli(1)}
			f := New(c.now)
			f.Put(entryOf("a"))
			f.Begin("a")
			if tc.load != nil {
				f.Loaded("a", *tc.load)
			}
			f.Refuse("a", refused)
			if tc.then != nil {
				tc.then(f)
			}
			c.at = c.at.Add(tc.after)
			s := f.Serving("s")[0]
			if s.Full != tc.full || s.Changing != tc.changing || s.Mine != 0 {
				t.Errorf("%+v", s)
			}
		})
	}
}
