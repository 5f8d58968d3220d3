package integ

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/platform/fake"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: in any 4 s an
	// endpoint gets at most one and a half times its limit and five requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// minLimitUse is the least part of a limit that the hosts use while there is more
	// work than it allows.
	minLimitUse = 0.25
	// limitGrace is how long after an endpoint first named its limit the bound holds.
	limitGrace = 3 * time.Second
	// limitLoad is how long load is sent to endpoints that name a limit.
	limitLoad = 9 * time.Second
)

// checkLimit checks what reached an endpoint later than limitGrace after it named its
// limit.
func checkLimit(t testing.TB, name string, e *fake.Engine, rate float64, named time.Time) {
	t.Helper()
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	var arrivals []time.Time
	for _, at := range e.Arrivals() {
		if at.Sub(named) >= limitGrace {
			arrivals = append(arrivals, at)
		}
	}
	worst := 0
	for i, from := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		worst = max(worst, n)
	}
	t.Logf("%s: at most %d requests within %v, %.0f are allowed, %d in all", name, worst, limitWindow, allowed, len(arrivals))
	if want := minLimitUse * rate * (limitLoad - limitGrace).Seconds(); float64(len(arrivals)) < want {
		t.Errorf("%s got %d requests, want at least %.1f at a limit of %v/s", name, len(arrivals), want, rate)
	}
	if float64(worst) > allowed {
		t.Errorf("%s got %d requests within %v, want at most %.0f at a limit of %v/s", name, worst, limitWindow, allowed, rate)
	}
}

// load sends plain requests, streams and batches to all hosts until stop is closed.
func (s *site) load(stop <-chan struct{}) *sync.WaitGroup {
	var tasks sync.WaitGroup
	n := 0
	for i := range 8 {
		tasks.Go(func() {
			calls := 0
			repeatUntil(stop, 10*time.Millisecond, func() {
				calls++
				s.send(http.MethodPost, s.hosts[(i+calls)%len(s.hosts)].callerAddress, plainPath+"x", fmt.Sprintf("load-%d-%d", i, calls), []byte("x"))
			})
		})
	}
	tasks.Go(func() {
		calls := 0
		repeatUntil(stop, 30*time.Millisecond, func() {
			calls++
			s.send(http.MethodPost, s.hosts[calls%len(s.hosts)].callerAddress, streamPath+"x", fmt.Sprint("talk-", calls), []byte("x"))
		})
	})
	tasks.Go(func() {
		repeatUntil(stop, 200*time.Millisecond, func() {
			n++
			id := fmt.Sprint("load-b", n)
			s.submit(s.hosts[n%len(s.hosts)], id, newBatchBody(id, 8, 1))
		})
	})
	return &tasks
}

// TestEndpointGetsMoreThanItsLimit sends plain requests, streams, items and reward
// calls to endpoints that name a limit, while hosts are killed, stopped, suspended and
// started: each endpoint counts what reaches it.
func TestEndpointGetsMoreThanItsLimit(t *testing.T) {
	for _, rate := range []float64{1, 4} {
		t.Run(fmt.Sprint(rate, " per second"), func(t *testing.T) {
			s := newSite(t, 4, siteTimeout)
			endpoints := append(append([]*fake.Engine(nil), s.engines...), s.plains...)
			for _, e := range endpoints {
				e.NameLimit(strconv.FormatFloat(rate, 'f', 1, 64))
			}
			stop := make(chan struct{})
			tasks := s.load(stop)
			named := time.Now()
			time.Sleep(limitLoad / 3)
			s.kill(s.hosts[0])
			s.hosts[1].signal(syscall.SIGSTOP)
			time.Sleep(limitLoad / 9)
			s.start(s.hosts[0])
			s.hosts[1].signal(syscall.SIGCONT)
			s.hosts[2].signal(syscall.SIGTERM)
			time.Sleep(limitLoad * 5 / 9)
			close(stop)
			tasks.Wait()
			for i, e := range endpoints {
				checkLimit(t, fmt.Sprint("endpoint ", i), e, rate, named)
			}
		})
	}
}

// TestWorkAfterTheLimitEnds checks that hosts notice the end of a limit, and that items
// are served within it and after it.
func TestWorkAfterTheLimitEnds(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	for _, e := range s.engines {
		e.NameLimit("2.0")
	}
	s.submitUntilAccepted("b1", newBatchBody("b1", 2, 1))
	s.readComplete("b1", newResultHistory(), 6, 1)
	for _, e := range s.engines {
		e.NameLimit("")
	}
	s.submitUntilAccepted("b2", newBatchBody("b2", 20, 1))
	s.readComplete("b2", newResultHistory(), 60, 1)
}

// TestStartedHostDoesNotKnowLimits checks that a host that starts learns the limits from
// the others, before any endpoint has answered it.
func TestStartedHostDoesNotKnowLimits(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	for _, e := range s.engines {
		e.NameLimit("2.0")
	}
	s.submitUntilAccepted("b1", newBatchBody("b1", 2, 1))
	s.readComplete("b1", newResultHistory(), 6, 1)
	known := s.knownLimits(s.hosts[1])
	if known == 0 {
		t.Fatal("the other hosts know no limit")
	}
	s.kill(s.hosts[0])
	s.start(s.hosts[0])
	s.eventually("the host that was started knows the limits", func() bool { return s.knownLimits(s.hosts[0]) == known })
}

// knownLimits returns how many limits are in a host's dump.
func (s *site) knownLimits(h *host) int {
	status, body := s.send(http.MethodGet, h.adminAddress, "/v1/dump", "", nil)
	var dump struct {
		Limits []struct{} `json:"limits"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &dump) != nil {
		return 0
	}
	return len(dump.Limits)
}
