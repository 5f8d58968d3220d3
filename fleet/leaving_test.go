package fleet

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLeavingEndpointGetsRequests lets an endpoint start, register, leave by its entry and
// by its answers in random order, with entries that are repeated, lost and come back late:
// a start that has said in an answer that it leaves never gets a request again.
func TestLeavingEndpointGetsRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1e12)
		f := New(func() time.Time { return now })
		told := 0
		f.OnLeaving(func(Target, string) { told++ })
		entry := func(start int64, draining bool) Entry {
			return Entry{ID: "e", Service: "s", Address: "a", Slots: 4, StartedMs: start, Draining: draining}
		}
		start, left := int64(1), make(map[int64]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				start++
				f.Put(entry(start, false))
			case 1:
				f.Put(entry(start, rapid.Bool().Draw(t, "draining")))
			case 2:
				f.Remove("e", time.Duration(rapid.IntRange(0, 2).Draw(t, "grace"))*time.Second)
			case 3, 4:
				// An answer of this start, or a late one of an earlier start.
				of := rapid.Int64Range(max(1, start-1), start).Draw(t, "start")
				f.RecordLeaving(NewTarget("e", "a", "d").WithStart(of), "status 200")
				left[of] = true
			}
			for _, s := range f.Serving("s") {
				if left[s.Entry.StartedMs] || s.Entry.Draining {
					t.Fatalf("start %d has said that it leaves and is served", s.Entry.StartedMs)
				}
			}
			if f.TakesRequests("a") && left[start] && f.endpoints["e"].entry.StartedMs == start {
				t.Fatalf("the address takes requests though start %d has said that it leaves", start)
			}
			if f.Begin("e") {
				if e := f.endpoints["e"]; e != nil && left[e.entry.StartedMs] {
					t.Fatalf("a request begins at start %d, which has said that it leaves", e.entry.StartedMs)
				}
				f.End("e", Answered)
			}
		}
		if told > len(left) {
			t.Fatalf("told %d times of %d starts", told, len(left))
		}
		f.Put(entry(start+1, false))
		if len(f.Serving("s")) != 1 {
			t.Fatal("a new start is not served")
		}
	})
}

func BenchmarkServing(b *testing.B) {
	f := New(time.Now)
	for i := range 50 {
		f.Put(Entry{ID: string(rune('a' + i)), Service: "s", Address: string(rune('a' + i)), Slots: 4, StartedMs: 1})
	}
	for b.Loop() {
		f.Serving("s")
	}
}
