package integ

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/shelf"
	"github.com/currantloft/currantloft/platform/stand"
)

const (
	// soakHosts is how many edge processes a soak runs.
	soakHosts = 5
	// soakTime is how long faults are injected in one seed.
	soakTime = 6 * time.Second
	// soakLimit is how long a seed may take, with the recovery after its faults.
	soakLimit = 60 * time.Second
	// soakPause is the mean pause between two faults.
	soakPause = 600 * time.Millisecond
	// soakVariable names the environment variable with the seeds, "FIRST-LAST" or
	// "N" for N fresh ones.
	soakVariable = "CURRANTLOFT_SOAK"
)

// failedSeeds have failed once; each has a line on the cause.
var failedSeeds = []uint64{
	// A host's port had been given to another connection before it listened; the
	// harness uses fixed ports on addresses of its own since.
	54,
}

// soak is one seed's run.
type soak struct {
	*site
	random *rand.Rand
	// extra draws what came later, so that old seeds bring what they brought.
	extra *rand.Rand
	// restarts are the hosts that are to start again.
	restarts sync.WaitGroup
	mu       sync.Mutex
	stopped  map[*host]bool
	batches  []*soakBatch
	refused  []string
	once     int
}

// soakBatch is a batch and what readers have seen of it.
type soakBatch struct {
	id     string
	groups int
	seen   *record
}

// TestSoak runs real processes under random faults from outside, and checks
// from what callers and engines see that nothing promised is broken.
func TestSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// soakSeeds returns the seeds that failed once and those that are asked for.
func soakSeeds(t *testing.T) []uint64 {
	seeds := append([]uint64(nil), failedSeeds...)
	text := os.Getenv(soakVariable)
	first, last, isRange := strings.Cut(text, "-")
	switch {
	case text == "":
		return append(seeds, 1)
	case isRange:
		from, err := strconv.ParseUint(first, 10, 64)
		to, err2 := strconv.ParseUint(last, 10, 64)
		if err != nil || err2 != nil {
			t.Fatalf("%s: want FIRST-LAST, got %q", soakVariable, text)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	default:
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatalf("%s: want a number of seeds, got %q", soakVariable, text)
		}
		for range n {
			seeds = append(seeds, rand.Uint64()>>1)
		}
	}
	return seeds
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		site: newSite(t, soakHosts, soakLimit), random: rand.New(rand.NewPCG(seed, 0)),
		extra:   rand.New(rand.NewPCG(seed, 1)),
		stopped: make(map[*host]bool),
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { s.submitAll(stop) })
	tasks.Go(func() { s.readAll(stop) })
	tasks.Go(func() { s.callAll(stop) })
	tasks.Go(func() { s.talkAll(stop) })
	s.inject()
	close(stop)
	tasks.Wait()
	s.recover()
	s.check()
}

// inject brings faults about, one after the other and over each other.
func (s *soak) inject() {
	ends := time.Now().Add(soakTime)
	for time.Now().Before(ends) {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		span := time.Duration(100+s.random.IntN(1900)) * time.Millisecond
		switch s.random.IntN(10) {
		case 0, 1:
			s.restart(h, syscall.SIGKILL)
		case 2:
			s.restart(h, syscall.SIGTERM)
		case 3:
			h.signal(syscall.SIGSTOP)
			time.AfterFunc(span, func() { h.signal(syscall.SIGCONT) })
		case 4:
			s.store.Shelf.SetFaults(shelf.Faults{Silent: true})
			time.AfterFunc(span, func() { s.store.Shelf.SetFaults(shelf.Faults{}) })
		case 5:
			s.store.TurnAway(http.StatusServiceUnavailable)
			time.AfterFunc(span, func() { s.store.TurnAway(0) })
		case 6:
			s.store.Shelf.SetFaults(shelf.Faults{LoseAnswers: 1 + s.random.IntN(4)})
		case 7:
			s.store.Shelf.SetFaults(shelf.Faults{Late: 1 + s.random.IntN(3), LateBy: span})
		case 8:
			s.store.Shelf.Compact()
			s.store.Shelf.SetFaults(shelf.Faults{Deaf: true})
			time.AfterFunc(span, func() { s.store.Shelf.SetFaults(shelf.Faults{}) })
		case 9:
			e := s.engines[s.random.IntN(len(s.engines))]
			e.BreakAfter(1 + s.random.IntN(3))
			time.AfterFunc(span, func() { e.BreakAfter(0) })
		}
		if s.extra.IntN(5) == 0 {
			// Ends the endpoints that run it; whether it is answered doesn't matter.
			path := []string{plainPath, "/once/", talkPath}[s.extra.IntN(3)]
			id := fmt.Sprint("crash-", s.extra.Uint64())
			s.restarts.Go(func() { s.send(http.MethodPost, h.callers, path+"x", id, []byte(stand.CrashMark)) })
		}
		time.Sleep(time.Duration(s.random.Int64N(int64(2 * soakPause))))
	}
}

// restart ends a host's process and starts it again, unless that goes on already.
func (s *soak) restart(h *host, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[h] {
		return
	}
	s.stopped[h] = true
	h.signal(syscall.SIGCONT)
	h.signal(sig)
	s.restarts.Go(func() {
		<-h.ended()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.start(h)
		s.stopped[h] = false
	})
}

// until calls step until stop is closed.
func until(stop <-chan struct{}, pause time.Duration, step func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			step()
		}
	}
}

// submitAll hands batches in, each at one host after the other until it is kept
// or the trainer gives up.
func (s *soak) submitAll(stop <-chan struct{}) {
	n := 0
	until(stop, 300*time.Millisecond, func() {
		n++
		id := fmt.Sprintf("b%d", n)
		raw := batchOf(id, 4, 1)
		refused := true
		for try := range 6 {
			status := s.submit(s.hosts[(n+try)%len(s.hosts)], id, raw)
			if status == http.StatusAccepted {
				s.mu.Lock()
				s.batches = append(s.batches, &soakBatch{id: id, groups: 4, seen: newRecord()})
				s.mu.Unlock()
				return
			}
			refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		}
		if refused {
			s.mu.Lock()
			s.refused = append(s.refused, id)
			s.mu.Unlock()
		}
	})
}

// readAll reads from random positions of random batches at random hosts.
func (s *soak) readAll(stop <-chan struct{}) {
	n := 0
	until(stop, 5*time.Millisecond, func() {
		n++
		s.mu.Lock()
		if len(s.batches) == 0 {
			s.mu.Unlock()
			return
		}
		b := s.batches[n%len(s.batches)]
		s.mu.Unlock()
		after := (n * 7) % 13
		page, status := s.read(s.hosts[n%len(s.hosts)], b.id, after)
		if status == http.StatusNotFound {
			s.t.Errorf("batch %s is not known at %s", b.id, s.hosts[n%len(s.hosts)].name)
		}
		b.seen.note(s.t, page, after, 1)
	})
}

// callAll sends requests that may run once only.
func (s *soak) callAll(stop <-chan struct{}) {
	until(stop, 20*time.Millisecond, func() {
		s.once++
		id := fmt.Sprintf("once%d", s.once)
		status, body := s.send(http.MethodPost, s.hosts[s.once%len(s.hosts)].callers, "/once/x", id, []byte(id))
		if status == http.StatusOK && string(body) != "answer to "+id {
			s.t.Errorf("request %s got %q", id, body)
		}
		if status == http.StatusServiceUnavailable {
			s.mu.Lock()
			s.refused = append(s.refused, id)
			s.mu.Unlock()
		}
	})
}

// talkAll asks for streams, which go on elsewhere when one breaks off.
func (s *soak) talkAll(stop <-chan struct{}) {
	n := 0
	until(stop, 60*time.Millisecond, func() {
		n++
		id := fmt.Sprint("talk-", n)
		status, body := s.send(http.MethodPost, s.hosts[n%len(s.hosts)].callers, talkPath+"x", id, []byte("x"))
		if status == http.StatusOK {
			checkStream(s.t, id, body)
		}
	})
}

// recover ends all faults and waits until all hosts serve.
func (s *soak) recover() {
	s.store.TurnAway(0)
	s.store.Shelf.SetFaults(shelf.Faults{})
	for _, e := range s.engines {
		e.BreakAfter(0)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
	}
	s.restarts.Wait()
	for _, h := range s.hosts {
		s.eventually(h.name+" is ready again", func() bool {
			return s.status(h, h.ready, "/currantloft/readyz") == http.StatusOK
		})
	}
}

// check reads every batch whole and asks the engines what ran.
func (s *soak) check() {
	for _, b := range s.batches {
		s.readWhole(b.id, b.seen, 3*b.groups, 1)
	}
	runs := make(map[string]int)
	for _, e := range append(append(s.engines[:0:0], s.engines...), s.plains...) {
		for _, run := range e.Runs() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		if strings.HasPrefix(id, "once") && n > 1 {
			s.t.Errorf("request %s ran %d times", id, n)
		}
		for _, refused := range s.refused {
			if id == refused || strings.HasPrefix(id, refused+"-") {
				s.t.Errorf("%s ran, though it was refused as not run", id)
			}
		}
	}
	s.t.Logf("%d batches, %d calls, %d refused", len(s.batches), s.once, len(s.refused))
}
