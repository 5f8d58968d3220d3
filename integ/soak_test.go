package integ

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/links"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/platform/fake"
)

const (
	soakHosts = 5
	// soakFaultDuration is how long each seed injects faults.
	soakFaultDuration = 6 * time.Second
	// soakTimeout limits one seed, including the recovery after its faults.
	soakTimeout = 60 * time.Second
	// soakMeanPause is the mean pause between two faults.
	soakMeanPause = 600 * time.Millisecond
	// soakEnv is the environment variable for additional seeds: "FIRST-LAST", or
	// "N" for N random ones.
	soakEnv = "CURRANTLOFT_SOAK"
)

// regressionSeeds are seeds that exposed a fault, each with its cause. TestSoak
// always runs them.
var regressionSeeds = []uint64{
	// The system assigned a host's port to another connection before the host
	// listened on it. To prevent this, hosts use fixed ports on loopback
	// addresses of their own.
	54,
}

// promises are the statuses that callers read as the promise that a request has not run. The
// last one is a proof by itself, which an endpoint that has run the request does not give.
var promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// soak is the state of one seed's run.
type soak struct {
	*site
	random *rand.Rand
	// extraRandom draws the requests that crash endpoints. It is separate from
	// random so that a seed draws the same other faults with and without this
	// one.
	extraRandom *rand.Rand
	// rewardRandom draws the faults of endpoints that answer reward calls, for the same
	// reason.
	rewardRandom *rand.Rand
	// limitRandom draws the limits that endpoints name, for the same reason.
	limitRandom *rand.Rand
	// linkRandom draws the links that hosts lose, for the same reason.
	linkRandom *rand.Rand
	// herdRandom draws when all hosts are killed at once, for the same reason.
	herdRandom *rand.Rand
	// signalRandom draws the signals that hosts get, for the same reason.
	signalRandom *rand.Rand
	// answerRandom draws the answers that prove nothing, for the same reason.
	answerRandom *rand.Rand
	// background counts restarts, crashing requests and lost links that are not finished.
	background sync.WaitGroup
	// faultsEnded is closed when no more faults are injected.
	faultsEnded        chan struct{}
	mu                 sync.Mutex
	restarting         map[*host]bool
	batches            []*soakBatch
	rejectedIDs        []string
	nonIdempotentCalls int
	// streams counts the streams, completeStreams those whose callers got all events.
	streams, completeStreams int
}

// soakBatch is an accepted batch and the results read from it so far.
type soakBatch struct {
	id      string
	groups  int
	history *resultHistory
	// ended reports that its end was acknowledged.
	ended bool
}

// TestSoak runs real processes under random faults: kills, restarts and pauses of
// hosts, failures of the store, lost links to endpoints, broken streams and requests that
// crash endpoints.
// Accepted batches must complete with the same results at all hosts unless they are ended,
// results that were read must stay readable at each host, streams must
// be complete, and non-idempotent requests must not run twice, nor at all after a
// refusal.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// soakSeeds returns the regression seeds and those that soakEnv requests.
func soakSeeds(t *testing.T) []uint64 {
	seeds := append([]uint64(nil), regressionSeeds...)
	text := os.Getenv(soakEnv)
	if text == "" {
		return append(seeds, 1)
	}
	return append(seeds, parseSeeds(t, soakEnv, text)...)
}

// parseSeeds returns the seeds of "FIRST-LAST", or N random ones for "N".
func parseSeeds(t *testing.T, variable, text string) (seeds []uint64) {
	t.Helper()
	first, last, isRange := strings.Cut(text, "-")
	if isRange {
		from, err := strconv.ParseUint(first, 10, 64)
		to, err2 := strconv.ParseUint(last, 10, 64)
		if err != nil || err2 != nil {
			t.Fatalf("%s: want FIRST-LAST, got %q", variable, text)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
		return seeds
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: want a number of seeds, got %q", variable, text)
	}
	for range n {
		seeds = append(seeds, rand.Uint64()>>1)
	}
	return seeds
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		site: newLinkSiteWith(t, soakHosts, soakTimeout, fake.EngineOptions{Software: "v1", Mark: true},
			fake.EngineOptions{Software: "v1", Mark: true}, fake.EngineOptions{Software: "v2", Mark: true}),
		random: rand.New(rand.NewPCG(seed, 0)), extraRandom: rand.New(rand.NewPCG(seed, 1)),
		rewardRandom: rand.New(rand.NewPCG(seed, 2)), limitRandom: rand.New(rand.NewPCG(seed, 3)),
		linkRandom: rand.New(rand.NewPCG(seed, 4)), herdRandom: rand.New(rand.NewPCG(seed, 5)),
		signalRandom: rand.New(rand.NewPCG(seed, 6)), answerRandom: rand.New(rand.NewPCG(seed, 7)),
		restarting: make(map[*host]bool), faultsEnded: make(chan struct{}),
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { s.submitBatches(stop) })
	tasks.Go(func() { s.readBatches(stop) })
	tasks.Go(func() { s.endBatches(stop) })
	tasks.Go(func() { s.callNonIdempotent(stop) })
	tasks.Go(func() { s.requestStreams(stop) })
	s.injectFaults()
	close(stop)
	tasks.Wait()
	s.endFaults()
	s.checkResults()
}

// injectFaults injects random faults, which may overlap.
func (s *soak) injectFaults() {
	end := time.Now().Add(soakFaultDuration)
	for time.Now().Before(end) {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		duration := time.Duration(100+s.random.IntN(1900)) * time.Millisecond
		switch s.random.IntN(10) {
		case 0, 1:
			s.restart(h, syscall.SIGKILL)
		case 2:
			s.restart(h, syscall.SIGTERM)
		case 3:
			h.signal(syscall.SIGSTOP)
			time.AfterFunc(duration, func() { h.signal(syscall.SIGCONT) })
		case 4:
			s.store.Memory.SetFaults(memory.Faults{Unresponsive: true})
			time.AfterFunc(duration, func() { s.store.Memory.SetFaults(memory.Faults{}) })
		case 5:
			s.store.Reject(http.StatusServiceUnavailable)
			time.AfterFunc(duration, func() { s.store.Reject(0) })
		case 6:
			s.store.Memory.SetFaults(memory.Faults{LoseAnswers: 1 + s.random.IntN(4)})
		case 7:
			s.store.Memory.SetFaults(memory.Faults{LateWrites: 1 + s.random.IntN(3), LateDelay: duration})
		case 8:
			s.store.Memory.Compact()
			s.store.Memory.SetFaults(memory.Faults{NoChanges: true})
			time.AfterFunc(duration, func() { s.store.Memory.SetFaults(memory.Faults{}) })
		case 9:
			e := s.engines[s.random.IntN(len(s.engines))]
			e.BreakAfter(1 + s.random.IntN(3))
			time.AfterFunc(duration, func() { e.BreakAfter(0) })
		}
		s.disturbRewardCalls(duration)
		s.nameLimit(duration)
		s.loseLinks(duration)
		s.sendSignals()
		s.answerUnproven(duration)
		if s.herdRandom.IntN(8) == 0 {
			for _, h := range s.hosts {
				s.restart(h, syscall.SIGKILL)
			}
		}
		if s.extraRandom.IntN(5) == 0 {
			// The request crashes each endpoint that runs it; its answer is not checked.
			path := []string{plainPath, "/once/", streamPath}[s.extraRandom.IntN(3)]
			id := fmt.Sprint("crash-", s.extraRandom.Uint64())
			s.background.Go(func() { s.send(http.MethodPost, h.callerAddress, path+"x", id, []byte(fake.CrashMark)) })
		}
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * soakMeanPause))))
	}
}

// disturbRewardCalls makes a plain endpoint lose answers, fail or answer late for the
// given time.
func (s *soak) disturbRewardCalls(duration time.Duration) {
	e := s.plains[s.rewardRandom.IntN(len(s.plains))]
	switch s.rewardRandom.IntN(6) {
	case 0:
		e.LoseAnswers(1 + s.rewardRandom.IntN(4))
	case 1:
		e.FailWith(http.StatusInternalServerError)
		time.AfterFunc(duration, func() { e.FailWith(0) })
	case 2:
		e.DelayAnswers(duration)
		time.AfterFunc(duration, func() { e.DelayAnswers(0) })
	}
}

// loseLinks breaks links from hosts to endpoints for the given time, one in three times:
// of one host, of a failure domain or of all hosts but one, to one endpoint, to those of a
// service or to all.
func (s *soak) loseLinks(duration time.Duration) {
	spared := s.linkRandom.IntN(len(s.hosts))
	var hosts []*host
	switch s.linkRandom.IntN(9) {
	case 0:
		hosts = s.hosts[spared : spared+1]
	case 1:
		for i := spared % 2; i < len(s.hosts); i += 2 {
			hosts = append(hosts, s.hosts[i])
		}
	case 2:
		hosts = append(append(hosts, s.hosts[:spared]...), s.hosts[spared+1:]...)
	default:
		return
	}
	names := slices.Sorted(maps.Keys(linkFaults))
	fault := linkFaults[names[s.linkRandom.IntN(len(names))]]
	lost := [][]*fake.Engine{s.endpoints(), s.engines, s.plains, s.endpoints()[:1]}[s.linkRandom.IntN(4)]
	var faults []links.Fault
	for _, e := range lost {
		fault.Address = e.Address()
		faults = append(faults, fault)
	}
	for _, h := range hosts {
		s.breakLinks(h, faults...)
		s.background.Go(func() {
			select {
			case <-time.After(duration):
			case <-s.faultsEnded:
			}
			s.breakLinks(h)
		})
	}
}

// nameLimit makes an endpoint name a limit for the given time, one in three times.
func (s *soak) nameLimit(duration time.Duration) {
	endpoints := s.endpoints()
	e := endpoints[s.limitRandom.IntN(len(endpoints))]
	if rate := s.limitRandom.IntN(30); rate < 10 {
		e.NameLimit(fmt.Sprintf("%d.5", rate))
		time.AfterFunc(duration, func() { e.NameLimit("") })
	}
}

// answerUnproven makes a plain endpoint answer requests that it runs with a status that
// promises the contrary for the given time, or send answers that belong to no request, one in
// two times.
func (s *soak) answerUnproven(duration time.Duration) {
	e := s.plains[s.answerRandom.IntN(len(s.plains))]
	unproven := promises[:len(promises)-1]
	switch n := s.answerRandom.IntN(2 * (len(unproven) + 1)); {
	case n < len(unproven):
		e.FailWith(unproven[n])
		time.AfterFunc(duration, func() { e.FailWith(0) })
	case n == len(unproven):
		e.SendStrayAnswers(1 + s.answerRandom.IntN(8))
	}
}

// sendSignals sends a series of signals to a host, one in two times: SIGHUP and, if the host
// is to stop, others that stop it. It may be starting or stopping.
func (s *soak) sendSignals() {
	h := s.hosts[s.signalRandom.IntN(len(s.hosts))]
	if s.signalRandom.IntN(2) == 0 {
		return
	}
	h.mu.Lock()
	process := h.cmd.Process
	h.mu.Unlock()
	series := []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP}
	if s.signalRandom.IntN(3) == 0 {
		stops := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT}
		s.restart(h, syscall.SIGTERM)
		series = append(series, stops[s.signalRandom.IntN(len(stops))])
	}
	gap := time.Duration(s.signalRandom.Int64N(int64(soakMeanPause)))
	s.background.Go(func() {
		for _, sig := range series {
			time.Sleep(gap)
			// In its first millisecond a process can't hold signals back. One that has exited
			// gets none.
			if holds(process.Pid, sig) {
				_ = process.Signal(sig)
			}
		}
	})
}

// endpoints returns the engines and the plain endpoints.
func (s *soak) endpoints() []*fake.Engine {
	return append(append([]*fake.Engine(nil), s.engines...), s.plains...)
}

// restart ends a host's process and starts it again, unless a restart of this host
// is already in progress.
func (s *soak) restart(h *host, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarting[h] {
		return
	}
	s.restarting[h] = true
	h.signal(syscall.SIGCONT)
	h.signal(sig)
	s.background.Go(func() {
		<-h.ended()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.start(h)
		s.restarting[h] = false
	})
}

// repeatUntil calls action after each pause until stop is closed.
func repeatUntil(stop <-chan struct{}, pause time.Duration, action func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			action()
		}
	}
}

// submitBatches submits batches, each to one host after another until one accepts
// it or all attempts are used up.
func (s *soak) submitBatches(stop <-chan struct{}) {
	n := 0
	repeatUntil(stop, 300*time.Millisecond, func() {
		n++
		id := fmt.Sprintf("b%d", n)
		raw := newBatchBody(id, 4, 1)
		rejected := true
		for try := range 6 {
			status := s.submit(s.hosts[(n+try)%len(s.hosts)], id, raw)
			if status == http.StatusAccepted {
				s.mu.Lock()
				s.batches = append(s.batches, &soakBatch{id: id, groups: 4, history: newResultHistory()})
				s.mu.Unlock()
				return
			}
			rejected = rejected && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		}
		if rejected {
			s.mu.Lock()
			s.rejectedIDs = append(s.rejectedIDs, id)
			s.mu.Unlock()
		}
	})
}

// readBatches reads from varying positions of accepted batches through varying
// hosts.
func (s *soak) readBatches(stop <-chan struct{}) {
	n := 0
	repeatUntil(stop, 5*time.Millisecond, func() {
		n++
		s.mu.Lock()
		if len(s.batches) == 0 {
			s.mu.Unlock()
			return
		}
		b := s.batches[n%len(s.batches)]
		s.mu.Unlock()
		after, h, askedAt := (n*7)%13, s.hosts[n%len(s.hosts)], time.Now()
		page, status := s.readResults(h, b.id, after)
		if status == http.StatusNotFound {
			s.t.Errorf("batch %s is unknown at %s", b.id, h.name)
		}
		if status == http.StatusOK {
			b.history.checkPresent(s.t, page, b.id, after, h, askedAt)
		}
		b.history.check(s.t, page, after, 1)
	})
}

// endBatches ends some batches of which results have been read.
func (s *soak) endBatches(stop <-chan struct{}) {
	n := 0
	repeatUntil(stop, 400*time.Millisecond, func() {
		n++
		s.mu.Lock()
		var open []*soakBatch
		for _, b := range s.batches {
			if !b.ended && b.history.read() > 0 {
				open = append(open, b)
			}
		}
		s.mu.Unlock()
		if len(open) == 0 {
			return
		}
		b := open[n%len(open)]
		status, _ := s.send(http.MethodDelete, s.hosts[n%len(s.hosts)].callerAddress, "/currantloft/lots/"+b.id, "", nil)
		s.mu.Lock()
		// An end without an answer may have taken effect.
		b.ended = b.ended || status != http.StatusNotFound
		s.mu.Unlock()
	})
}

// callNonIdempotent sends non-idempotent requests, which may run only once.
func (s *soak) callNonIdempotent(stop <-chan struct{}) {
	repeatUntil(stop, 20*time.Millisecond, func() {
		s.nonIdempotentCalls++
		id := fmt.Sprintf("once%d", s.nonIdempotentCalls)
		status, body := s.send(http.MethodPost, s.hosts[s.nonIdempotentCalls%len(s.hosts)].callerAddress, "/once/x", id, []byte(id))
		if status == http.StatusOK && string(body) != "answer to "+id {
			s.t.Errorf("request %s got %q", id, body)
		}
		if slices.Contains(promises, status) {
			s.mu.Lock()
			s.rejectedIDs = append(s.rejectedIDs, id)
			s.mu.Unlock()
		}
	})
}

// requestStreams sends streaming requests; a stream that breaks is resumed on
// another endpoint, by its caller at another host. Its events must be complete, in
// order and from one software version.
func (s *soak) requestStreams(stop <-chan struct{}) {
	n := 0
	repeatUntil(stop, 60*time.Millisecond, func() {
		n++
		id, p := fmt.Sprint("talk-", n), &pieces{software: make(map[string]bool), unnamed: n%4 == 0}
		for try := range 4 {
			if p.next == fake.EventCount(id) {
				break
			}
			attempt := id
			if try > 0 {
				attempt = fmt.Sprint(id, "-again-", try)
			}
			first := id
			if p.next == 0 {
				// The attempt begins the stream.
				first, id = attempt, attempt
			}
			s.stream(s.hosts[(n+try)%len(s.hosts)], attempt, first, p, func() {})
		}
		s.mu.Lock()
		s.streams++
		if p.next == fake.EventCount(id) {
			s.completeStreams++
		}
		s.mu.Unlock()
	})
}

// endFaults clears all faults and waits until all hosts are ready.
func (s *soak) endFaults() {
	close(s.faultsEnded)
	s.store.Reject(0)
	s.store.Memory.SetFaults(memory.Faults{})
	for _, e := range s.engines {
		e.BreakAfter(0)
	}
	for _, e := range s.endpoints() {
		e.NameLimit("")
	}
	for _, e := range s.plains {
		e.FailWith(0)
		e.DelayAnswers(0)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
	}
	s.background.Wait()
	for _, h := range s.hosts {
		s.eventually(h.name+" is ready again", func() bool {
			return s.status(h, h.readyAddress, "/currantloft/readyz") == http.StatusOK
		})
	}
}

// checkResults reads every batch completely and compares the runs at the engines
// with the answers that callers got.
func (s *soak) checkResults() {
	for _, b := range s.batches {
		if b.ended {
			s.readAgain(b)
		} else {
			s.readComplete(b.id, b.history, 3*b.groups, 1)
		}
	}
	runs := make(map[string]int)
	for _, e := range s.endpoints() {
		for _, run := range e.Runs() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		if strings.HasPrefix(id, "once") && n > 1 {
			s.t.Errorf("request %s ran %d times", id, n)
		}
		for _, rejected := range s.rejectedIDs {
			if id == rejected || strings.HasPrefix(id, rejected+"-") {
				s.t.Errorf("%s ran although it was rejected as not run", id)
			}
		}
	}
	s.t.Logf("%d batches, %d non-idempotent calls, %d rejected, %d of %d streams complete",
		len(s.batches), s.nonIdempotentCalls, len(s.rejectedIDs), s.completeStreams, s.streams)
}

// readAgain reads what has been read of a batch at each host.
func (s *soak) readAgain(b *soakBatch) {
	for _, h := range s.hosts {
		after, want := 0, b.history.read()
		s.eventually(fmt.Sprintf("%s has the results of batch %s", h.name, b.id), func() bool {
			askedAt := time.Now()
			page, status := s.readResults(h, b.id, after)
			if status != http.StatusOK {
				return false
			}
			b.history.checkPresent(s.t, page, b.id, after, h, askedAt)
			b.history.check(s.t, page, after, 1)
			after += len(page.Results)
			return after >= want
		})
	}
}
