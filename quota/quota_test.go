package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	// windowTime, windowFactor and windowSlack are the users' bound: in any 4 s an
	// endpoint gets at most one and a half times its limit and five requests more.
	windowTime   = 4 * time.Second
	windowFactor = 1.5
	windowSlack  = 5
	endpointID   = "e"
)

// clock is a time that tests set.
type clock struct{ at time.Time }

func newClock() *clock { return &clock{at: time.UnixMilli(1e12)} }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

// checkWindows checks that no window of the bound holds more requests than allowed.
func checkWindows(t interface{ Errorf(string, ...any) }, sent []time.Time, rate float64) {
	allowed := windowFactor*rate*windowTime.Seconds() + windowSlack
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < windowTime {
				n++
			}
		}
		if float64(n) > allowed {
			t.Errorf("%d requests within %v, want at most %.1f at a limit of %v/s", n, windowTime, allowed, rate)
			return
		}
	}
}

func assertRate(t *testing.T, b *Book, want Limit) {
	t.Helper()
	if got := b.Fact(endpointID).Limit; got != want {
		t.Errorf("the limit is %v, want %v", got, want)
	}
}

func TestParse(t *testing.T) {
	for _, tc := range []struct {
		text string
		want Limit
		bad  bool
	}{
		{text: "2.5", want: PerSecond(2.5)},
		{text: "0", want: PerSecond(0)},
		{text: "-1", bad: true},
		{text: "NaN", bad: true},
		{text: "inf", bad: true},
		{text: "", bad: true},
		{text: "2,5", bad: true},
	} {
		t.Run(tc.text, func(t *testing.T) {
			got, err := Parse(tc.text)
			if (err != nil) != tc.bad || got != tc.want {
				t.Errorf("Parse(%q) = %v, %v, want %v, error %v", tc.text, got, err, tc.want, tc.bad)
			}
		})
	}
}

// TestDelayedAnswerEndsLimit checks that an answer to an older request, which may have
// been delayed, neither ends nor raises a limit.
func TestDelayedAnswerEndsLimit(t *testing.T) {
	c := newClock()
	b := NewBook(c.now, nil)
	sent := c.at
	c.advance(time.Second)
	b.Observe(endpointID, sent, PerSecond(2))
	b.Observe(endpointID, sent, Limit{})
	assertRate(t, b, PerSecond(2))
	b.Observe(endpointID, sent, PerSecond(5))
	assertRate(t, b, PerSecond(2))
	b.Observe(endpointID, sent, PerSecond(1))
	assertRate(t, b, PerSecond(1))
	sent = c.at.Add(time.Millisecond)
	c.advance(time.Second)
	b.Observe(endpointID, sent, PerSecond(5))
	assertRate(t, b, PerSecond(5))
	b.Observe(endpointID, c.at.Add(time.Millisecond), Limit{})
	assertRate(t, b, Limit{})
}

// TestOlderReportOfPeer checks that what a peer knows counts only if it is newer.
func TestOlderReportOfPeer(t *testing.T) {
	c := newClock()
	b := NewBook(c.now, nil)
	b.Learn(Fact{Endpoint: endpointID, Limit: PerSecond(4), Age: time.Second})
	assertRate(t, b, PerSecond(4))
	b.Learn(Fact{Endpoint: endpointID, Limit: PerSecond(9), Age: 2 * time.Second})
	assertRate(t, b, PerSecond(4))
	b.Observe(endpointID, c.at, PerSecond(3))
	b.Learn(Fact{Endpoint: endpointID, Age: 100 * time.Millisecond})
	assertRate(t, b, PerSecond(3))
	c.advance(time.Second)
	b.Learn(Fact{Endpoint: endpointID, Age: 100 * time.Millisecond})
	assertRate(t, b, Limit{})
}

// TestPermitsAreNotSaved checks that permits expire, so that hosts that were idle don't
// send at once what they did not send before.
func TestPermitsAreNotSaved(t *testing.T) {
	c := newClock()
	b := NewBook(c.now, nil)
	b.Observe(endpointID, c.at, PerSecond(10))
	b.Apply(Grant{Fact: b.Fact(endpointID), Count: 3})
	if got := b.Permits(endpointID); got != 3 {
		t.Errorf("%d permits, want 3", got)
	}
	c.advance(permitLifetime)
	if b.Take(endpointID) {
		t.Error("an expired permit was taken")
	}
}

// TestDebtIsPaidFirst checks that requests that can't wait are made up for.
func TestDebtIsPaidFirst(t *testing.T) {
	c := newClock()
	b := NewBook(c.now, nil)
	b.Observe(endpointID, c.at, PerSecond(10))
	b.Spend(endpointID)
	b.Spend(endpointID)
	needs := b.Needs()
	if diff := cmp.Diff([]int{2}, []int{needs[0].Count}); diff != "" || len(needs) != 1 {
		t.Errorf("needs %+v, want two permits", needs)
	}
	b.Apply(Grant{Fact: b.Fact(endpointID), Count: 3})
	if got := b.Permits(endpointID); got != 1 {
		t.Errorf("%d permits, want 1", got)
	}
}

// TestHostsExceedLimitTogether replays hosts with random demand that ask one allotter,
// lose it for a while and find another, with delayed and lost answers: together they
// stay within the users' bound.
func TestHostsExceedLimitTogether(t *testing.T) {
	t.Run("own shares beside an allotter", func(t *testing.T) {
		checkWindows(t, simulate(math.MaxUint64, 10, 3, 12*time.Second), 10)
	})
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rate := rapid.SampledFrom([]float64{0, 0.3, 1, 2.5, 10, 40}).Draw(rt, "rate")
		hosts := rapid.IntRange(1, 12).Draw(rt, "hosts")
		checkWindows(rt, simulate(seed, rate, hosts, 12*time.Second), rate)
	})
}

// TestLimitIsUsed checks that hosts get what the endpoint allows, however many of them
// want it, and share it.
func TestLimitIsUsed(t *testing.T) {
	for _, tc := range []struct {
		hosts int
		rate  float64
	}{{1, 10}, {3, 10}, {8, 10}, {1, 1}, {4, 1}, {8, 0.3}, {12, 40}} {
		t.Run(fmt.Sprint(tc.hosts, " hosts, ", tc.rate, "/s"), func(t *testing.T) {
			const duration = 120 * time.Second
			hosts, rate := tc.hosts, tc.rate
			sent, byHost := steady(rate, hosts, duration)
			if want := 0.8 * rate * duration.Seconds(); float64(len(sent)) < want {
				t.Errorf("%d requests in %v, want at least %.0f, which is 0.8 of the limit", len(sent), duration, want)
			}
			for i, n := range byHost {
				if n < len(sent)/hosts/2 {
					t.Errorf("host %d sent %d of %d requests, want at least half of an equal part", i, n, len(sent))
				}
			}
			checkWindows(t, sent, rate)
		})
	}
}

// steady lets hosts that always want permits ask one allotter.
func steady(rate float64, hosts int, duration time.Duration) (sent []time.Time, byHost []int) {
	c := newClock()
	books, byHost := make([]*Book, hosts), make([]int, hosts)
	for i := range books {
		books[i] = NewBook(c.now, nil)
		books[i].Observe(endpointID, c.at, PerSecond(rate))
	}
	allotter := NewAllotter(books[0], c.now)
	for end := c.at.Add(duration); c.at.Before(end); c.advance(53 * time.Millisecond) {
		for i, b := range books {
			b.Want(endpointID, 4)
			for _, need := range b.Needs() {
				b.Apply(allotter.Ask(fmt.Sprint(i), need))
			}
			for b.Take(endpointID) {
				sent, byHost[i] = append(sent, c.at), byHost[i]+1
			}
		}
	}
	return sent, byHost
}

// simulate lets hosts with random demand ask an allotter that moves to another host at
// random, and can't be reached by some of them for a while.
func simulate(seed uint64, rate float64, hosts int, duration time.Duration) (sent []time.Time) {
	random := rand.New(rand.NewPCG(seed, 0))
	c := newClock()
	books, allotters := make([]*Book, hosts), make([]*Allotter, hosts)
	for i := range books {
		books[i] = NewBook(c.now, nil)
		books[i].Observe(endpointID, c.at, PerSecond(rate))
		allotters[i] = NewAllotter(books[i], c.now)
	}
	current, cutUntil, busyUntil := 0, make([]time.Time, hosts), make([]time.Time, hosts)
	for end := c.at.Add(duration); c.at.Before(end); c.advance(10 * time.Millisecond) {
		if random.IntN(500) == 0 {
			current = random.IntN(hosts)
		}
		for i, b := range books {
			if random.IntN(300) == 0 {
				cutUntil[i] = c.at.Add(time.Duration(random.IntN(4000)) * time.Millisecond)
			}
			if random.IntN(100) == 0 {
				busyUntil[i] = c.at.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
			if c.at.Before(busyUntil[i]) {
				b.Want(endpointID, 1+random.IntN(maxCount))
			}
			for _, need := range b.Needs() {
				if c.at.Before(cutUntil[i]) {
					b.UseOwnShare(endpointID, hosts)
					continue
				}
				grant := allotters[current].Ask(fmt.Sprint(i), need)
				if random.IntN(20) > 0 {
					b.Apply(grant)
				}
			}
			for c.at.Before(busyUntil[i]) && random.IntN(4) > 0 && b.Take(endpointID) {
				sent = append(sent, c.at)
			}
		}
	}
	return sent
}

// TestLiftedLimitCountsFromRequest guards against requests beyond a limit: the answer that an
// endpoint has none was on its way while the endpoint set one, which another host was told.
func TestLiftedLimitCountsFromRequest(t *testing.T) {
	c := newClock()
	b := NewBook(c.now, nil)
	b.Observe(endpointID, c.now(), PerSecond(10))
	c.advance(time.Second)
	sentAt := c.now()
	c.advance(3 * time.Second)
	b.Observe(endpointID, sentAt, Limit{})
	b.Learn(Fact{Endpoint: endpointID, Limit: PerSecond(2), Age: 2 * time.Second})
	assertRate(t, b, PerSecond(2))
}
