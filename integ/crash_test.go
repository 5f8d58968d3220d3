package integ

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantloft/currantloft/platform/stand"
)

// TestEdgeRequestThatCrashes sends one content that ends each endpoint that runs
// it, again and again through all hosts, beside innocent callers.
func TestEdgeRequestThatCrashes(t *testing.T) {
	const endpointsLostAtMost = 3
	cases := []struct {
		name, path string
		refusal    int
	}{
		{"an idempotent one", plainPath + "x?of=7", http.StatusServiceUnavailable},
		{"one that runs once", "/once/x", http.StatusBadGateway},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t, 3, siteLimit)
			for i := range 6 {
				s.plains = append(s.plains, s.endpoint(stand.EngineOptions{
					ID: fmt.Sprintf("q%d", i), Service: plainPool, Slots: 4, Pace: 5 * time.Millisecond,
				}))
			}
			innocent := s.innocents()
			s.eventually("all endpoints serve", func() bool {
				for _, e := range s.plains {
					if len(e.Runs()) == 0 {
						return false
					}
				}
				return true
			})
			send := func(h *host, id string) int {
				status, _ := s.send(http.MethodPost, h.callers, tc.path, id, []byte(stand.CrashMark+" me"))
				return status
			}
			for i := range 15 {
				status := send(s.hosts[i%3], fmt.Sprint("poison-", i))
				if i >= endpointsLostAtMost {
					checkStatus(t, "a refused content", status, tc.refusal)
				}
			}
			again := s.hosts[0]
			s.kill(again)
			before := learned(t, again)
			s.start(again)
			s.eventually("the host that started again knows", func() bool {
				return learned(t, again) > before && s.status(again, again.ready, "/currantloft/readyz") == http.StatusOK
			})
			checkStatus(t, "a refused content after a start", send(again, "poison-late"), tc.refusal)
			if n := s.crashes(); n > endpointsLostAtMost {
				t.Errorf("%d endpoints lost, want at most %d", n, endpointsLostAtMost)
			}
			innocent(t)
		})
	}
}

// learned returns how often a host took over what another knew of crashes.
func learned(t testing.TB, h *host) int {
	t.Helper()
	log, err := os.ReadFile(h.log)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Count(string(log), `"suspect_learned"`)
}

// crashes returns how many plain endpoints were lost to a request.
func (s *site) crashes() int {
	n := 0
	for _, e := range s.plains {
		n += e.Crashes()
	}
	return n
}

// innocents lets callers ask beside a test, each request up to three times; what
// it returns ends them and checks that all were answered.
func (s *site) innocents() func(t testing.TB) {
	const callers = 4
	var asked, answered atomic.Int64
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
				// The first host is killed by the test.
				h := s.hosts[1+n%2]
				asked.Add(1)
				for try := range 3 {
					id := fmt.Sprintf("fine-%d-%d-%d", c, n, try)
					status, _ := s.send(http.MethodPost, h.callers, plainPath+"fine", id, []byte("x"))
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
		if missing := asked.Load() - answered.Load(); missing > 0 || asked.Load() == 0 {
			t.Errorf("%d of %d innocent requests were not answered", missing, asked.Load())
		}
	}
}
