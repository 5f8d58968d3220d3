package integ

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/platform/fake"
)

const (
	// usageWindow is the length of a window, and usageBound the users' bound from its end to
	// its report.
	usageWindow = 2 * time.Second
	usageBound  = 10 * time.Second
	// usageTolerance is the users' tolerance of a window's counts.
	usageTolerance = 0.05
	usageSiteLimit = 90 * time.Second
	// usageInterval is the time between two requests to a host.
	usageInterval = 40 * time.Millisecond
	// siteLease is bounds.lease_ms of the hosts' settings.
	siteLease = time.Second
)

// sentRequest is a plain request with the host that it was sent to.
type sentRequest struct {
	host string
	at   time.Time
}

// usageLoad sends plain requests of two teams to each host.
type usageLoad struct {
	site  *site
	mu    sync.Mutex
	sent  map[string]sentRequest
	tasks sync.WaitGroup
}

// run sends requests until the context ends.
func (l *usageLoad) run(ctx context.Context) {
	for i, h := range l.site.hosts {
		l.tasks.Go(func() {
			ticker := time.NewTicker(usageInterval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				id := fmt.Sprintf("u-%d-%d", i, n)
				l.mu.Lock()
				l.sent[id] = sentRequest{host: h.name, at: time.Now()}
				l.mu.Unlock()
				l.tasks.Go(func() { l.send(h, id, fmt.Sprintf("key-%d", n%2)) })
			}
		})
	}
}

func (l *usageLoad) send(h *host, id, key string) {
	ctx, cancel := context.WithTimeout(l.site.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddress+plainPath+"x", bytes.NewReader([]byte("x")))
	if err != nil {
		l.site.t.Error(err)
		return
	}
	request.Host = routeHostname
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "900")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := l.site.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// began returns the requests that endpoints began to run for a team, as the endpoints were
// told, by window. Requests to the hosts of except are counted apart.
func (l *usageLoad) began(except map[string]bool) (counts, apart map[int64]map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, apart = make(map[int64]map[string]uint64), make(map[int64]map[string]uint64)
	seen := make(map[string]bool)
	for _, e := range l.site.plains {
		for _, run := range e.Runs() {
			sent, ok := l.sent[run.ID]
			if !ok || run.Team == "" || seen[run.ID] {
				continue
			}
			seen[run.ID] = true
			into, id := counts, sent.at.UnixNano()/int64(usageWindow)
			if except[sent.host] {
				into = apart
			}
			if into[id] == nil {
				into[id] = make(map[string]uint64)
			}
			into[id][run.Team]++
		}
	}
	return counts, apart
}

// TestUsageReports kills and suspends the reporting host, and lets the platform's API be
// silent and reject calls. It guards against reports that break the users' rules: a lower
// token after a higher one, two holders of a token, holders that act in the order A, B, A
// within a lease, two different reports of a window, late or missing windows, and counts
// beyond the tolerance.
func TestUsageReports(t *testing.T) {
	api := fake.StartDuties(siteLease, 50)
	t.Cleanup(api.Close)
	settings := fmt.Sprintf("cloud.address=%s\ncloud.duties=usage\ncloud.duty_per_s=50\nbounds.report_window_s=%g\nbounds.usage_late_s=%g\n",
		api.Address(), usageWindow.Seconds(), usageBound.Seconds())
	s := newSiteOfSettings(t, binaryPath, settings, 5, usageSiteLimit, fake.EngineOptions{Software: "v1"})
	config := siteConfig(2)
	config["tenants"] = []map[string]any{
		{"name": "north", "api_keys": []string{"key-0"}, "priority": 1}, {"name": "south", "api_keys": []string{"key-1"}, "priority": 1},
	}
	s.putObject("config", "main", config)
	loadCtx, stopLoad := context.WithCancel(s.ctx)
	defer stopLoad()
	load := &usageLoad{site: s, sent: make(map[string]sentRequest)}
	load.run(loadCtx)

	first := s.awaitReports(api, 1)
	calm := s.awaitReports(api, 4)
	failed := make(map[string]bool)
	killed := s.usageReporter()
	failed[killed.name] = true
	s.kill(killed)
	s.awaitReports(api, 6)
	s.start(killed)
	suspended := s.usageReporter()
	failed[suspended.name] = true
	suspended.signal(syscall.SIGSTOP)
	s.awaitReports(api, 9)
	suspended.signal(syscall.SIGCONT)
	api.Silence(true)
	silentUntil := time.Now().Add(3 * usageWindow)
	s.eventually("three windows have passed", func() bool { return time.Now().After(silentUntil) })
	api.Silence(false)
	s.awaitReports(api, 13)
	api.Reject(http.StatusTooManyRequests)
	before := len(api.Calls())
	s.eventually("two reports are rejected", func() bool { return len(api.Calls()) >= before+2 })
	api.Reject(0)
	last := time.Now().UnixNano() / int64(usageWindow)
	stopLoad()
	load.tasks.Wait()
	s.eventually("the last window is reported", func() bool {
		_, ok := api.Reports()[last]
		return ok
	})

	for _, violation := range api.Violations() {
		t.Error(violation)
	}
	checkUsageTimes(t, api.Calls(), first, last)
	others, failing := load.began(failed)
	checkUsageCounts(t, api.Reports(), first+1, calm, others, failing)
	checkUsageTotals(t, api.Reports(), others, failing)
}

// awaitReports waits until a number of windows is reported and returns the newest one.
func (s *site) awaitReports(api *fake.Duties, windows int) int64 {
	s.t.Helper()
	newest := int64(0)
	s.eventually(fmt.Sprintf("%d windows are reported", windows), func() bool {
		reports := api.Reports()
		for id := range reports {
			newest = max(newest, id)
		}
		return len(reports) >= windows
	})
	return newest
}

// usageReporter returns the host that has reported last.
func (s *site) usageReporter() *host {
	s.t.Helper()
	var found *host
	s.eventually("one host reports usage", func() bool {
		for _, h := range s.hosts {
			if state := s.dump(h).Usage; state != nil && state.Holder == h.name && state.LastReport > 0 {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// checkUsageTimes checks that each window has been reported in time. While the API was
// silent, the time counts from its end.
func checkUsageTimes(t *testing.T, calls []fake.DutyCall, first, last int64) {
	t.Helper()
	reportedAt, silentUntil := make(map[int64]time.Time), time.Time{}
	for _, call := range calls {
		if call.Status == 0 && call.At.After(silentUntil) {
			silentUntil = call.At
		}
		if _, ok := reportedAt[call.Window]; !ok && call.Status == http.StatusOK {
			reportedAt[call.Window] = call.At
		}
	}
	for id := first; id <= last; id++ {
		end := time.Unix(0, (id+1)*int64(usageWindow))
		at, ok := reportedAt[id]
		if due := end.Add(usageBound); !ok || at.After(due) && at.After(silentUntil.Add(usageBound)) {
			t.Errorf("window %d: reported %t, %v after its end", id, ok, at.Sub(end))
		}
	}
}

// checkUsageCounts checks the counts of each window between two, before any host has failed.
func checkUsageCounts(t *testing.T, reports map[int64]map[string]uint64, from, to int64, began ...map[int64]map[string]uint64) {
	t.Helper()
	for id := from; id <= to; id++ {
		want := make(map[string]uint64)
		for _, counts := range began {
			for team, n := range counts[id] {
				want[team] += n
			}
		}
		t.Logf("window %d: reported %v, endpoints began %v", id, reports[id], want)
		for _, team := range []string{"north", "south"} {
			got := float64(reports[id][team])
			// A request that is sent at the edge of a window may count in the next one.
			if math.Abs(got-float64(want[team])) > max(usageTolerance*float64(want[team]), 4) {
				t.Errorf("window %d: reported %v, endpoints began %v", id, reports[id], want)
			}
		}
	}
}

// checkUsageTotals checks the sum over all windows: hosts that failed may lose counts, the
// others must not lose more than the tolerance.
func checkUsageTotals(t *testing.T, reports, others, failing map[int64]map[string]uint64) {
	t.Helper()
	sum := func(counts map[int64]map[string]uint64) float64 {
		total := uint64(0)
		for _, teams := range counts {
			for _, n := range teams {
				total += n
			}
		}
		return float64(total)
	}
	got, least, most := sum(reports), sum(others)*(1-usageTolerance), sum(others)+sum(failing)
	t.Logf("reported %.0f, endpoints began %.0f, of which %.0f at hosts that failed", got, most, sum(failing))
	if got < least || got > most*(1+usageTolerance) {
		t.Errorf("reported %.0f requests in all windows, want %.0f to %.0f", got, least, most)
	}
}
