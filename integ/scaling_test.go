package integ

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/platform/fake"
)

const (
	// scalingLimit is that of the site: two takeovers of the lease, and the batches.
	scalingLimit = 60 * time.Second
	// maxScaleCalls is the users' bound for the calls in a second.
	maxScaleCalls = 10
)

// provide starts the endpoints that were ordered last and returns their number.
func (s *site) provide(api *fake.Duties) int {
	s.t.Helper()
	wanted := 0
	for _, call := range api.Calls() {
		if call.Status == http.StatusOK && call.Subject == enginePool+"/a" {
			wanted = call.Desired
		}
	}
	for len(s.engines) < wanted {
		s.engines = append(s.engines, s.startEndpoint(fake.EngineOptions{
			ID: fmt.Sprintf("e%d", len(s.engines)), Service: enginePool, Models: []string{testModel}, Slots: 8,
			EventInterval: 20 * time.Millisecond, LoadTime: 50 * time.Millisecond,
		}))
	}
	return wanted
}

// decider returns the host that decides on endpoints.
func (s *site) decider() *host {
	s.t.Helper()
	var found *host
	s.eventually("one host decides on endpoints", func() bool {
		for _, h := range s.hosts {
			if state := s.dump(h).Scaling; state != nil && state.Deciding && state.Held {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// TestEndpointsOrdered submits batches that one endpoint can't run in time, kills the host
// that has ordered more, and submits larger ones. It guards against orders that are not
// sent, that are repeated, or that break the rules for holders.
func TestEndpointsOrdered(t *testing.T) {
	api := fake.StartDuties(siteLease, 50)
	t.Cleanup(api.Close)
	settings := fmt.Sprintf("cloud.address=%s\ncloud.duties=scaling\ncloud.duty_per_s=50\n", api.Address())
	s := newSiteOfSettings(t, binaryPath, settings, 4, scalingLimit, fake.EngineOptions{Software: "v1"})
	config := siteConfig(2)
	services, _ := config["services"].([]map[string]any)
	services[0]["scaling"] = map[string]any{"min_replicas": 1, "max_replicas": 30, "boot_s": 0.5}
	s.putObject("config", "main", config)
	submit := func(batches, groups int) {
		for i := range batches {
			id := fmt.Sprintf("b%d-%d", groups, i)
			s.submitUntilAccepted(id, newBatchBody(id, groups, 1))
		}
	}

	submit(1, 60)
	s.eventually("endpoints are ordered", func() bool { return s.provide(api) > 1 })
	s.kill(s.decider())
	before := s.provide(api)
	submit(4, 100)
	s.eventually("the next host orders more", func() bool {
		holders := make(map[string]bool)
		for _, call := range api.Calls() {
			holders[call.Holder] = true
		}
		return s.provide(api) > before && len(holders) > 1
	})
	for i := range 4 {
		s.readComplete(fmt.Sprintf("b100-%d", i), newResultHistory(), 300, 1)
	}

	check.Equal(t, "violations", api.Violations(), nil)
	calls := api.Calls()
	for i := maxScaleCalls; i < len(calls); i++ {
		if between := calls[i].At.Sub(calls[i-maxScaleCalls].At); between < time.Second {
			t.Errorf("%d calls within %v", maxScaleCalls+1, between)
		}
	}
	t.Logf("%d calls", len(calls))
}
