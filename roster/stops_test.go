package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// stopTime is how long a host runs on after it has said that it leaves.
	stopTime = 4500 * time.Millisecond
	// stopsTime is how long a sequence of stops and cuts lasts.
	stopsTime = 30 * time.Second
	// returnTime is the users' bound from the end of a loss until everything is as before.
	returnTime = 12 * time.Second
	// maxCuts limits the cuts of a sequence.
	maxCuts = 5
)

// stop lets a host leave, as SIGTERM does.
func (f *simulatedFleet) stop(n *simulatedNode) {
	n.mu.Lock()
	n.self.Leaving = true
	n.invalidate()
	n.mu.Unlock()
	for _, hub := range n.Hubs() {
		f.hello(n, hub, true, 0)
	}
	f.after(stopTime, func() { n.up = false })
}

// TestStoppedOrCutHostIsNamedTooLong stops hosts for good and cuts others off for seconds,
// several at a time, while their reports arrive late and twice. From maxNamed after its
// stop nobody that was in touch since names a host, and from returnTime after a cut has
// healed everybody names the host that was cut off. What a host that was cut off says of
// others never makes a live host count as dead.
func TestStoppedOrCutHostIsNamedTooLong(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkStopsAndCuts(t, seed) })
		})
	}
}

// assertLiveHostsCountAsLive fails the test if a host that has been in touch all the time
// counts another such host as dead, as if told so by a host that was cut off.
func (f *simulatedFleet) assertLiveHostsCountAsLive(t *testing.T, disturbed map[string]bool) {
	t.Helper()
	for name, n := range f.nodes {
		for other := range f.nodes {
			if other != name && !disturbed[name] && !disturbed[other] && !n.Alive(other, f.nodes[other].Self().Incarnation) {
				t.Fatalf("%s counts %s as dead; both have been in touch all the time", name, other)
			}
		}
	}
}

func checkStopsAndCuts(t *testing.T, seed uint64) {
	f := &simulatedFleet{
		random: rand.New(rand.NewPCG(seed, 5)), nodes: make(map[string]*simulatedNode), registered: make(map[string]Host),
	}
	hosts := fleetOf(14, 5)
	for _, h := range hosts {
		f.start(h)
	}
	f.run(2*settleTime, func() {})
	// changedAt is when hosts were stopped, or when their cut healed; lastChange is when a
	// host was last stopped, cut off or back.
	changedAt, lastChange, stopped := make(map[string]time.Time), time.Now(), 0
	cuts := 0
	// disturbed holds the hosts that have been stopped or cut off.
	disturbed := make(map[string]bool)
	check := func() {
		f.assertLiveHostsCountAsLive(t, disturbed)
		for name, n := range f.nodes {
			if !n.up || n.cut || n.Self().Leaving || time.Since(changedAt[name]) <= maxNamed {
				continue
			}
			for other, at := range changedAt {
				o := f.nodes[other]
				gone := o.Self().Leaving || !o.up
				bound := returnTime
				if gone {
					bound = maxNamed
				}
				if other == name || o.cut || time.Since(at) <= bound || time.Since(lastChange) <= bound {
					continue
				}
				if named := slices.Contains(n.ActiveNames(), other); named == gone {
					t.Fatalf("%s names %s: %t, %v after it was stopped (%t) or back", name, other, named, time.Since(at), gone)
				}
			}
		}
	}
	for end := time.Now().Add(stopsTime); time.Now().Before(end); {
		h := hosts[f.random.IntN(len(hosts))]
		n := f.nodes[h.Name]
		switch {
		case !n.up || n.cut || n.Self().Leaving:
		case f.random.IntN(3) == 0 && stopped < 4:
			stopped++
			disturbed[h.Name] = true
			f.stop(n)
			changedAt[h.Name], lastChange = time.Now(), time.Now()
		case cuts < maxCuts:
			cuts++
			disturbed[h.Name] = true
			n.cut, lastChange = true, time.Now()
			f.after(time.Duration(500+f.random.IntN(5000))*time.Millisecond, func() {
				n.cut = false
				changedAt[h.Name], lastChange = time.Now(), time.Now()
			})
		}
		f.run(time.Duration(f.random.IntN(2500))*time.Millisecond, check)
	}
	f.run(2*returnTime, check)
	check()
}
