package integ

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantloft/currantloft/platform/fake"
)

// TestEdgeCrashingRequestIsQuarantined repeatedly sends a request body that
// crashes each endpoint that runs it, through all hosts. The hosts must
// quarantine it after at most maxEndpointsLost crashes, reject it also after a
// restart, and answer all other callers.
func TestEdgeCrashingRequestIsQuarantined(t *testing.T) {
	const maxEndpointsLost = 3
	cases := []struct {
		name, path string
		wantStatus int
	}{
		{"an idempotent request", plainPath + "x?of=7", http.StatusServiceUnavailable},
		{"a non-idempotent request", "/once/x", http.StatusBadGateway},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t, 3, siteTimeout)
			for i := range 6 {
				s.plains = append(s.plains, s.startEndpoint(fake.EngineOptions{
					ID: fmt.Sprintf("q%d", i), Service: plainPool, Slots: 4, EventInterval: 5 * time.Millisecond,
				}))
			}
			stopCallers := s.startHealthyCallers()
			s.eventually("all endpoints serve", func() bool {
				for _, e := range s.plains {
					if len(e.Runs()) == 0 {
						return false
					}
				}
				return true
			})
			send := func(h *host, id string) int {
				status, _ := s.send(http.MethodPost, h.callerAddress, tc.path, id, []byte(fake.CrashMark+" me"))
				return status
			}
			for i := range 15 {
				status := send(s.hosts[i%3], fmt.Sprint("poison-", i))
				if i >= maxEndpointsLost {
					checkStatus(t, "a quarantined request", status, tc.wantStatus)
				}
			}
			restarted := s.hosts[0]
			s.kill(restarted)
			before := learnedSuspects(t, restarted)
			s.start(restarted)
			s.eventually("the restarted host is ready and has learned of the suspect", func() bool {
				return learnedSuspects(t, restarted) > before && s.status(restarted, restarted.readyAddress, "/currantloft/readyz") == http.StatusOK
			})
			checkStatus(t, "a quarantined request after a restart", send(restarted, "poison-late"), tc.wantStatus)
			if n := s.endpointCrashes(); n > maxEndpointsLost {
				t.Errorf("%d endpoints lost, want at most %d", n, maxEndpointsLost)
			}
			stopCallers(t)
		})
	}
}

// learnedSuspects returns how often a host has learned from another that a request
// is suspected of crashing endpoints.
func learnedSuspects(t testing.TB, h *host) int {
	t.Helper()
	log, err := os.ReadFile(h.log)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Count(string(log), `"suspect_learned"`)
}

// endpointCrashes returns how often requests have crashed plain endpoints.
func (s *site) endpointCrashes() int {
	n := 0
	for _, e := range s.plains {
		n += e.Crashes()
	}
	return n
}

// startHealthyCallers starts callers whose requests do not crash endpoints and are
// tried up to three times. The returned function stops them and checks that all
// requests were answered.
func (s *site) startHealthyCallers() func(t testing.TB) {
	const callers = 4
	var sent, answered atomic.Int64
	stop := make(chan struct{})
	done := make(chan struct{}, callers)
	for c := range callers {
		go func() {
			defer func() { done <- struct{}{} }()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				// The test kills the first host.
				h := s.hosts[1+n%2]
				sent.Add(1)
				for try := range 3 {
					id := fmt.Sprintf("fine-%d-%d-%d", c, n, try)
					status, _ := s.send(http.MethodPost, h.callerAddress, plainPath+"fine", id, []byte("x"))
					if status == http.StatusOK {
						answered.Add(1)
						break
					}
				}
			}
		}()
	}
	return func(t testing.TB) {
		t.Helper()
		close(stop)
		for range callers {
			<-done
		}
		if missing := sent.Load() - answered.Load(); missing > 0 || sent.Load() == 0 {
			t.Errorf("%d of %d healthy requests were not answered", missing, sent.Load())
		}
	}
}
