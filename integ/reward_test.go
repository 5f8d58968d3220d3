package integ

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestEdgeRewardCalls disturbs the endpoints that answer reward calls: every item is
// completed with the score of its own call.
func TestEdgeRewardCalls(t *testing.T) {
	for name, disturb := range map[string]func(s *site){
		"lost answers": func(s *site) {
			for _, e := range s.plains {
				e.LoseAnswers(6)
			}
		},
		"one endpoint answers with errors": func(s *site) { s.plains[0].FailWith(http.StatusInternalServerError) },
		"one endpoint hangs":               func(s *site) { s.plains[0].DelayAnswers(siteTimeout) },
		"one endpoint is gone":             func(s *site) { s.plains[0].Close() },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3, siteTimeout)
			disturb(s)
			s.submitUntilAccepted("b1", newBatchBody("b1", 8, 1))
			s.readComplete("b1", newResultHistory(), 24, 1)
		})
	}
}

// TestEdgeRewardCallFails checks that an item whose reward call always fails is
// errored, and that the others of its batch are completed.
func TestEdgeRewardCallFails(t *testing.T) {
	s := newSite(t, 2, siteTimeout)
	for _, e := range s.plains {
		e.FailWith(http.StatusInternalServerError)
	}
	s.submitUntilAccepted("b1", newBatchBody("b1", 2, 1))
	history := newResultHistory()
	s.readComplete("b1", history, 6, 1)
	page, _ := s.readResults(s.hosts[0], "b1", 0)
	for _, got := range page.Results {
		want := "completed"
		if isScored(got.ID) {
			want = "errored"
		}
		if got.State != want {
			t.Errorf("item %s is %s, want %s", got.ID, got.State, want)
		}
	}
}

// TestEdgeKilledWhileItemsWaitForScores kills all hosts while the texts of a batch
// are complete and their reward calls hang: after the restart the texts are scored
// and none is generated again.
func TestEdgeKilledWhileItemsWaitForScores(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	for _, e := range s.plains {
		e.DelayAnswers(siteTimeout)
	}
	const groups = 4
	s.submitUntilAccepted("b1", newBatchBody("b1", groups, 1))
	s.eventually("the reward calls have arrived", func() bool {
		seen := make(map[string]bool)
		for _, e := range s.plains {
			for _, run := range e.Runs() {
				seen[run.ID] = true
			}
		}
		return len(seen) == groups
	})
	s.eventually("the complete texts are in the store", func() bool {
		return len(s.store.Memory.Names("batch-begun")) == 1
	})
	before := s.itemRuns()
	for _, h := range s.hosts {
		s.kill(h)
	}
	for _, e := range s.plains {
		e.DelayAnswers(0)
	}
	start := time.Now()
	for _, h := range s.hosts {
		s.start(h)
	}
	s.readComplete("b1", newResultHistory(), 3*groups, 1)
	t.Logf("complete %v after the restart", time.Since(start))
	after := s.itemRuns()
	for g := range groups {
		if item := fmt.Sprintf("b1-%d-2", g); after[item] != before[item] {
			t.Errorf("item %s ran %d times before the kill and %d in all", item, before[item], after[item])
		}
	}
}

// itemRuns counts the runs of each item at the engines.
func (s *site) itemRuns() map[string]int {
	runs := make(map[string]int)
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			runs[run.ID]++
		}
	}
	return runs
}
