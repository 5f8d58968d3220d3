package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLedger guards against counts in a wrong window, and against counts that change after
// they were sent as the last ones.
func TestLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now().Truncate(testLength)
		time.Sleep(testLength - time.Since(start))
		first := windowAt(time.Now(), testLength)
		clock := NewClock(time.Now(), func() time.Duration { return time.Since(start) })
		l := NewLedger(clock, testLength)
		early := time.Now()
		l.Began("north", early)
		l.Began("", early)
		l.Began("north", time.Now())
		time.Sleep(testLength + finalDelay/2)
		l.Withdraw("north", early)
		l.Began("south", early)
		checkCounts(t, l, map[int64]Counts{first: {"north": 1, "south": 1}, first + 1: {}}, nil)
		time.Sleep(finalDelay)
		l.Withdraw("north", early)
		l.Began("south", early)
		checkCounts(t, l, map[int64]Counts{first: {"north": 1, "south": 1}, first + 1: {"south": 1}}, map[int64]bool{first: true})
		l.Drop(first)
		checkCounts(t, l, map[int64]Counts{first + 1: {"south": 1}}, nil)
		time.Sleep(50 * testLength)
		if kept := len(l.Snapshot(false)); kept != maxWindows {
			t.Errorf("%d windows are kept, want %d", kept, maxWindows)
		}
	})
}

func checkCounts(t *testing.T, l *Ledger, counts map[int64]Counts, final map[int64]bool) {
	t.Helper()
	got := make(map[int64]Counts)
	for _, w := range l.Snapshot(false) {
		got[w.ID] = w.Counts
		if w.Final != final[w.ID] {
			t.Errorf("window %d: final %t", w.ID, w.Final)
		}
	}
	if diff := cmp.Diff(counts, got); diff != "" {
		t.Errorf("counts differ (-want +got):\n%s", diff)
	}
}

// TestWallClockStep guards against windows that move when the wall clock is set.
func TestWallClockStep(t *testing.T) {
	boot := time.Hour
	clock := NewClock(time.Unix(1000, 0), func() time.Duration { return boot })
	boot += 7 * time.Second
	if want := time.Unix(1007, 0); !clock.Now().Equal(want) {
		t.Errorf("the time is %v, want %v", clock.Now(), want)
	}
}
