package grade

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
)

var (
	start = time.Unix(1000, 0)
	// workTime and quoteTime are how long the plain service works on a reward call
	// and on an interactive request.
	workTime  = 200 * time.Millisecond
	quoteTime = 25 * time.Millisecond
)

// service returns endpoints of a plain service with 6 slots each, busy as given.
func service(busy ...int) []fleet.State {
	var states []fleet.State
	for i, n := range busy {
		states = append(states, fleet.State{
			Entry:       fleet.Entry{ID: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", i), Slots: 6},
			OwnInFlight: n,
		})
	}
	return states
}

// peersAt returns endpoints that are busy with other nodes' requests.
func peersAt(busy ...int) []fleet.State {
	states := service(make([]int, len(busy))...)
	for i, n := range busy {
		states[i].PeerInFlight = n
	}
	return states
}

func endpoints(calls []Call, states []fleet.State) map[int]string {
	chosen := make(map[int]string)
	for _, p := range Plan(calls, states, Node{Domain: "d0", Senders: 2}, start) {
		chosen[p.Call] = p.Target.ID()
	}
	return chosen
}

func TestPlanOrder(t *testing.T) {
	later := start.Add(time.Second)
	calls := []Call{
		{Due: later, GroupMissing: 0},
		{Due: start, GroupMissing: 3, Since: start},
		{Due: start, GroupMissing: 0, Since: later},
		{Due: start, GroupMissing: 0, Since: start},
		{Due: start, GroupMissing: 0, InFlight: []Attempt{{Endpoint: "e9", SentAt: start.Add(-time.Hour)}}},
	}
	check.Equal(t, "order", order(calls), []int{3, 2, 1, 0, 4})
}

func TestPlanEndpoint(t *testing.T) {
	urgent := Call{GroupMissing: 0, HedgeDelay: time.Second}
	for name, tc := range map[string]struct {
		call   Call
		states []fleet.State
		want   map[int]string
	}{
		"least busy":               {urgent, service(1, 0, 1), map[int]string{0: "e1"}},
		"own failure domain":       {urgent, service(1, 1, 1), map[int]string{0: "e0"}},
		"last slot stays free":     {urgent, peersAt(5, 5, 5), map[int]string{}},
		"share of this node":       {urgent, service(2, 2, 2), map[int]string{}},
		"peers take more":          {urgent, peersAt(4, 4, 5), map[int]string{0: "e0"}},
		"group is not complete":    {Call{GroupMissing: 1}, peersAt(3, 3, 4), map[int]string{}},
		"none failed before":       {Call{Failed: []string{"e0"}}, service(0, 1), map[int]string{0: "e1"}},
		"all failed before":        {Call{Failed: []string{"e0", "e1"}}, service(1, 0), map[int]string{0: "e1"}},
		"no endpoint":              {urgent, nil, map[int]string{}},
		"paused and full":          {urgent, []fleet.State{{Paused: true}, {Full: true}}, map[int]string{}},
		"no permit":                {urgent, []fleet.State{{Entry: fleet.Entry{ID: "x", Slots: 6}, Limited: true}}, map[int]string{}},
		"slots unknown":            {urgent, []fleet.State{{Entry: fleet.Entry{ID: "x"}}}, map[int]string{0: "x"}},
		"answer is not late":       {withAttempt(urgent, 900*time.Millisecond), service(0, 0), map[int]string{}},
		"late answer, another one": {withAttempt(urgent, time.Second), service(0, 1), map[int]string{0: "e1"}},
	} {
		t.Run(name, func(t *testing.T) {
			check.Equal(t, "placement", endpoints([]Call{tc.call}, tc.states), tc.want)
		})
	}
}

// withAttempt returns the call with an attempt in flight at e0 for the given time.
func withAttempt(c Call, age time.Duration) Call {
	c.InFlight = []Attempt{{Endpoint: "e0", SentAt: start.Add(-age)}}
	return c
}

func TestBackoffIsBounded(t *testing.T) {
	check.Equal(t, "first", Backoff(1), retryBackoff)
	check.Equal(t, "many", Backoff(1000), maxRetryBackoff)
}

type (
	// replay is a plain service under load, in steps of a millisecond: keepers that
	// send reward calls, and interactive requests that come regularly through a node
	// of their own. A node knows its own requests, and those of others as of the last
	// answer that it got from the endpoint.
	replay struct {
		// speeds are the endpoints' speeds.
		speeds []float64
		// running and waiting hold the requests at each endpoint.
		running, waiting [][]job
		// reported is what each node knows of the other nodes' requests.
		reported [][]report
		now      time.Duration
	}

	report struct {
		others int
		at     time.Duration
	}

	// job is a request at an endpoint. Call is -1 for an interactive one.
	job struct {
		node, call int
		arrived    time.Duration
		left       time.Duration
	}
)

// slots is the number of requests that an endpoint runs at once, reportAge how long
// a node uses what an answer says of the other nodes' requests.
const (
	slots     = 6
	reportAge = time.Second
)

// runReplay sends the calls of each keeper, and an interactive request every
// interval. It returns how long each keeper's calls took and the longest that an
// interactive request waited for a slot.
func runReplay(speeds []float64, calls [][]Call, interval time.Duration) (took []time.Duration, quoteWait time.Duration) {
	r := &replay{speeds: speeds, running: make([][]job, len(speeds)), waiting: make([][]job, len(speeds))}
	for range len(calls) + 1 {
		r.reported = append(r.reported, make([]report, len(speeds)))
	}
	took = make([]time.Duration, len(calls))
	open := 0
	for k := range calls {
		open += len(calls[k])
	}
	done := make(map[[2]int]bool)
	for ; open > 0 && r.now < 30*time.Second; r.now += time.Millisecond {
		for k := range calls {
			r.sendCalls(k, calls[k], done)
		}
		if r.now%interval == 0 {
			quotes := len(calls)
			if s, ok := fleet.Pick(r.states(quotes), "", nil, 0); ok {
				r.send(s.Entry.ID, job{node: quotes, call: -1, left: quoteTime})
			}
		}
		quoteWait = max(quoteWait, r.begin())
		for _, j := range r.advance() {
			if id := [2]int{j.node, j.call}; j.call >= 0 && !done[id] {
				done[id] = true
				open--
				took[j.node] = r.now
			}
		}
	}
	if open > 0 {
		return nil, quoteWait
	}
	return took, quoteWait
}

// sendCalls sends the reward calls that a keeper may send now.
func (r *replay) sendCalls(keeper int, calls []Call, done map[[2]int]bool) {
	now := start.Add(r.now)
	var waiting []Call
	var index []int
	for i := range calls {
		if !done[[2]int{keeper, i}] && !calls[i].Since.After(now) {
			waiting, index = append(waiting, calls[i]), append(index, i)
		}
	}
	for _, p := range Plan(waiting, r.states(keeper), Node{Senders: len(r.reported) - 1}, now) {
		i := index[p.Call]
		calls[i].InFlight = append(calls[i].InFlight, Attempt{Endpoint: p.Target.ID(), SentAt: now})
		r.send(p.Target.ID(), job{node: keeper, call: i, left: workTime})
	}
}

func (r *replay) send(endpoint string, j job) {
	j.arrived = r.now
	for e := range r.speeds {
		if endpoint == fmt.Sprintf("e%d", e) {
			r.waiting[e] = append(r.waiting[e], j)
		}
	}
}

// count returns the requests at an endpoint that come from the node, and the others.
func (r *replay) count(e, node int) (own, others int) {
	for _, jobs := range [][]job{r.running[e], r.waiting[e]} {
		for _, j := range jobs {
			if j.node == node {
				own++
			} else {
				others++
			}
		}
	}
	return own, others
}

// states returns the endpoints as a node knows them.
func (r *replay) states(node int) []fleet.State {
	states := service(make([]int, len(r.speeds))...)
	for e := range states {
		states[e].OwnInFlight, _ = r.count(e, node)
		if known := r.reported[node][e]; r.now-known.at < reportAge {
			states[e].PeerInFlight = known.others
		}
	}
	return states
}

// begin runs waiting requests in free slots and returns the longest wait of an
// interactive one.
func (r *replay) begin() (quoteWait time.Duration) {
	for e := range r.speeds {
		for len(r.waiting[e]) > 0 && len(r.running[e]) < slots {
			j := r.waiting[e][0]
			r.waiting[e], r.running[e] = r.waiting[e][1:], append(r.running[e], j)
			if j.call < 0 {
				quoteWait = max(quoteWait, r.now-j.arrived)
			}
		}
	}
	return quoteWait
}

// advance works for a millisecond and returns the requests that are answered.
func (r *replay) advance() (answered []job) {
	for e, speed := range r.speeds {
		var left, ended []job
		for _, j := range r.running[e] {
			if j.left -= time.Duration(speed * float64(time.Millisecond)); j.left > 0 {
				left = append(left, j)
			} else {
				ended = append(ended, j)
			}
		}
		r.running[e] = left
		for _, j := range ended {
			_, others := r.count(e, j.node)
			r.reported[j.node][e] = report{others: others, at: r.now}
		}
		answered = append(answered, ended...)
	}
	return answered
}

// stepEnd returns the reward calls at the end of a step: their texts are complete
// within a second, half of them of groups that are then complete.
func stepEnd(n int) []Call {
	calls := make([]Call, n)
	for i := range calls {
		calls[i] = Call{
			Due: start, Since: start.Add(time.Second * time.Duration(i) / time.Duration(n)),
			GroupMissing: i % 2, HedgeDelay: 800 * time.Millisecond,
		}
	}
	return calls
}

// TestReplayStepEnd replays the end of a step on five endpoints with interactive
// requests every 20 ms. The target latency of those is 150 ms, so a wait for a slot
// must stay under 125 ms; the calls need 200 ms each, 2 s in all at the ordinary
// share of the slots.
func TestReplayStepEnd(t *testing.T) {
	even := []float64{1, 1, 1, 1, 1}
	for name, tc := range map[string]struct {
		speeds []float64
		calls  [][]Call
		most   time.Duration
	}{
		"60 calls in a second":          {even, [][]Call{stepEnd(60)}, 2 * time.Second},
		"200 calls in a second":         {even, [][]Call{stepEnd(200)}, 4 * time.Second},
		"two keepers at the same time":  {even, [][]Call{stepEnd(60), stepEnd(60)}, 3 * time.Second},
		"two keepers, 120 calls each":   {even, [][]Call{stepEnd(120), stepEnd(120)}, 4 * time.Second},
		"a third of the endpoints left": {even[:2], [][]Call{stepEnd(60)}, 3 * time.Second},
		"two endpoints ten times slower": {
			[]float64{1, 1, 1, 0.1, 0.1}, [][]Call{stepEnd(60)}, 3 * time.Second,
		},
		"an endpoint that never answers": {[]float64{1, 1, 1, 1, 0}, [][]Call{stepEnd(60)}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			took, quoteWait := runReplay(tc.speeds, tc.calls, 20*time.Millisecond)
			if took == nil {
				t.Error("some calls have no score")
			}
			for k, d := range took {
				if d > tc.most {
					t.Errorf("keeper %d: all scores after %v, want up to %v", k, d, tc.most)
				}
			}
			if limit := 150*time.Millisecond - quoteTime; quoteWait > limit {
				t.Errorf("an interactive request waited %v for a slot, want up to %v", quoteWait, limit)
			}
		})
	}
}
