package roster

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// reportsTime is how long a sequence of reports lasts.
	reportsTime = 40 * time.Second
	// hubDeathTime is how much longer a lost host may be named if a hub dies or starts
	// while the others find out: the next parent learns of the host first.
	hubDeathTime = 2 * time.Second
	// checkInterval is how often the hosts that are named are checked.
	checkInterval = 50 * time.Millisecond
	// quietBefore is how long before a loss no hub dies or starts.
	quietBefore = settleTime
)

var errNoAnswer = errors.New("no answer")

type (
	// simulatedFleet exchanges the messages of rosters without a network, in simulated
	// time.
	simulatedFleet struct {
		random *rand.Rand
		nodes  map[string]*simulatedNode
		// registered are the entries in the store, which nobody removes.
		registered map[string]Host
		events     eventQueue
		// disturbedAt lists when hubs died or started.
		disturbedAt []time.Time
	}

	simulatedNode struct {
		*Roster
		up        bool
		startedAt time.Time
		// cut drops the host's messages in both directions.
		cut bool
	}

	// scheduled is something that happens later.
	scheduled struct {
		at  time.Time
		act func()
	}

	eventQueue []scheduled
)

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduled)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *simulatedFleet) after(d time.Duration, act func()) {
	heap.Push(&f.events, scheduled{at: time.Now().Add(d), act: act})
}

// delay is how long a message takes; one in ten is sent again by the network.
func (f *simulatedFleet) delay() time.Duration {
	if f.random.IntN(10) == 0 {
		return time.Duration(200+f.random.IntN(80)) * time.Millisecond
	}
	return time.Duration(1+f.random.IntN(5)) * time.Millisecond
}

// start starts a host, or starts it again.
func (f *simulatedFleet) start(h Host) {
	h.Incarnation = uint64(time.Now().UnixNano())
	n := &simulatedNode{Roster: New(h, memory.New(), nil, zap.NewNop()), up: true, startedAt: time.Now()}
	n.OnLeaving(func(leaving Host) {
		for _, child := range n.Children() {
			f.after(f.delay(), func() { f.nodes[child.Name].RecordLeaving(leaving.Name, leaving.Incarnation) })
		}
	})
	n.discoveredAt = time.Now().Add(discoveryDelay)
	f.nodes[h.Name], f.registered[h.Name] = n, h
	f.list(n)
	f.round(n)
}

// list reads the store's entries again and again.
func (f *simulatedFleet) list(n *simulatedNode) {
	if !n.up {
		return
	}
	for _, h := range f.registered {
		n.recordReported(h)
		n.keepDead(h)
	}
	f.after(listInterval, func() { f.list(n) })
}

// round sends a node's hellos again and again.
func (f *simulatedFleet) round(n *simulatedNode) {
	if !n.up {
		return
	}
	for _, h := range n.helloTargets() {
		f.hello(n, h, true, 0)
	}
	interval := childHelloInterval
	if n.IsHub() {
		interval = helloInterval
	}
	jitter := 1 - helloJitter + 2*helloJitter*f.random.Float64()
	f.after(time.Duration(float64(interval)*jitter), func() { f.round(n) })
}

// hello sends a hello; a silent child gets a second one at once, as in helloTo. The
// answer may come late and twice.
func (f *simulatedFleet) hello(n *simulatedNode, to Host, announce bool, again int) {
	n.mu.Lock()
	call := &wirepb.Hello{From: toHostInfo(n.self), Digest: n.digest(), Settled: n.settled()}
	n.mu.Unlock()
	answered, sentAt := false, time.Now()
	out, back := f.delay(), f.delay()
	f.after(out, func() {
		callee := f.nodes[to.Name]
		if !callee.up || callee.cut || n.cut {
			return
		}
		reply := callee.Serve(call)
		apply := func() {
			if n.up {
				n.recordAnswer(sentAt)
				n.applyReply(reply)
			}
		}
		f.after(back, func() {
			if callee.cut || n.cut {
				return
			}
			answered = true
			apply()
		})
		if f.random.IntN(20) == 0 {
			f.after(back+f.delay(), apply)
		}
	})
	f.after(helloTimeout, func() {
		if answered || !n.up {
			return
		}
		failedAt := time.Now()
		f.probe(n, n.probeTargets(to), func() {
			if !n.up {
				return
			}
			died := n.recordFailure(to, sentAt, failedAt, errNoAnswer)
			switch {
			case died && announce:
				f.announce(n, to)
			case !died && again == 0 && n.isSilentChild(to):
				f.hello(n, to, announce, again+1)
			}
		})
	})
}

// probe asks hosts whether the node is cut off, as countFailure does, and goes on once all
// have answered or the time is up.
func (f *simulatedFleet) probe(n *simulatedNode, hosts []Host, done func()) {
	sentAt, pending := time.Now(), len(hosts)
	if pending == 0 {
		done()
		return
	}
	for _, h := range hosts {
		f.after(f.delay(), func() {
			callee := f.nodes[h.Name]
			if !callee.up || callee.cut || n.cut {
				return
			}
			f.after(f.delay(), func() {
				if !n.up || n.cut || callee.cut {
					return
				}
				n.recordAnswer(sentAt)
				if pending--; pending == 0 {
					done()
				}
			})
		})
	}
	f.after(helloTimeout, func() {
		if pending > 0 {
			pending = 0
			done()
		}
	})
}

// announce reports a death to the hubs, and through them to the hosts that belong to
// them, as the hosts do.
func (f *simulatedFleet) announce(n *simulatedNode, lost Host) {
	passOn := func(from *simulatedNode) {
		for _, child := range from.Children() {
			f.after(f.delay(), func() { f.learn(child.Name, lost, func(*simulatedNode) {}) })
		}
	}
	for _, hub := range n.Hubs() {
		f.after(f.delay(), func() { f.learn(hub.Name, lost, passOn) })
	}
	if n.CouldBeHub(lost) {
		passOn(n)
	}
}

// learn takes over a reported death, or checks it first if this node is to, as CheckHost
// does.
func (f *simulatedFleet) learn(name string, lost Host, passOn func(*simulatedNode)) {
	n := f.nodes[name]
	if !n.up || n.cut || name == lost.Name {
		return
	}
	h, ok := n.Host(lost.Name)
	if !ok || h.Incarnation != lost.Incarnation {
		return
	}
	n.mu.Lock()
	t := n.topology()
	check := t.isHub[n.self.Name] && t.isHub[lost.Name]
	if !check {
		n.declareDead(lost.Name, errReportedDead)
	}
	n.mu.Unlock()
	if !check {
		if n.CouldBeHub(lost) {
			passOn(n)
		}
		return
	}
	for i := range maxHelloFailures {
		f.after(time.Duration(i)*helloTimeout, func() { f.hello(n, h, false, 1) })
	}
}

// run lets the given time pass and calls check every checkInterval.
func (f *simulatedFleet) run(d time.Duration, check func()) {
	end, checkAt := time.Now().Add(d), time.Now()
	for f.events.Len() > 0 && f.events[0].at.Before(end) {
		next, _ := heap.Pop(&f.events).(scheduled)
		time.Sleep(time.Until(next.at))
		next.act()
		if !time.Now().Before(checkAt) {
			check()
			checkAt = time.Now().Add(checkInterval)
		}
	}
	time.Sleep(time.Until(end))
}

// namedBy returns a host that names the lost one. A host that has just started is left
// out: it has read the store's entries only, and the users' bounds don't hold for it.
func (f *simulatedFleet) namedBy(lost string) (string, bool) {
	for name, n := range f.nodes {
		if n.up && time.Since(n.startedAt) > settleTime && slices.Contains(n.ActiveNames(), lost) {
			return name, true
		}
	}
	return "", false
}

// TestLostHostIsNamedTooLong exchanges reports that arrive late, twice and out of order
// between hosts of which some are lost for good while hubs die and start again: from
// maxNamed after its loss nobody names a host that is gone.
func TestLostHostIsNamedTooLong(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLostHosts(t, seed) })
		})
	}
}

func checkLostHosts(t *testing.T, seed uint64) {
	f := &simulatedFleet{
		random: rand.New(rand.NewPCG(seed, 0)), nodes: make(map[string]*simulatedNode), registered: make(map[string]Host),
	}
	hosts := fleetOf(14, 5)
	for _, h := range hosts {
		f.start(h)
	}
	f.run(2*settleTime, func() {})
	type loss struct {
		name string
		at   time.Time
	}
	var losses []loss
	check := func() {
		for _, l := range losses {
			limit := maxNamed
			for _, at := range f.disturbedAt {
				if at.After(l.at.Add(-quietBefore)) {
					limit += hubDeathTime
				}
			}
			if by, named := f.namedBy(l.name); named && time.Since(l.at) > limit {
				t.Fatalf("%s names %s %v after its loss, want at most %v", by, l.name, time.Since(l.at), limit)
			}
		}
	}
	for end := time.Now().Add(reportsTime); time.Now().Before(end); {
		h := hosts[f.random.IntN(len(hosts))]
		n := f.nodes[h.Name]
		switch {
		case !n.up:
		case f.random.IntN(3) == 0 && len(losses) < 4:
			n.up = false
			losses = append(losses, loss{name: h.Name, at: time.Now()})
			if n.IsHub() {
				f.disturbedAt = append(f.disturbedAt, time.Now())
			}
		case n.IsHub() && f.random.IntN(4) == 0:
			n.up = false
			f.disturbedAt = append(f.disturbedAt, time.Now())
			f.run(time.Duration(100+f.random.IntN(900))*time.Millisecond, check)
			f.start(h)
		}
		f.run(time.Duration(f.random.IntN(3000))*time.Millisecond, check)
	}
	f.run(maxNamed+hubDeathTime, check)
	check()
}
