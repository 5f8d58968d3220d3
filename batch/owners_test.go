package batch

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestResubmittedBatchKeepsPositions guards against a result that had been read being missing:
// a submission is repeated at a host that does not know the batch, after another host has
// taken it over from the one that gets the offer.
func TestResubmittedBatchKeepsPositions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPositionSite(t, "i0", "i1", "i2")
		owner, successor := s.accept(t)
		s.finish(owner, "i0")
		s.setDead(owner, true)
		time.Sleep(time.Second)
		s.finish(successor, "i1")
		s.setDead(owner, false)
		time.Sleep(time.Second)
		s.checkPosition(t, s.at(owner), 1, true)
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) }
		other := startKeeperWith(t, "other", clusterPeers{cluster: s.cluster, name: "other", outside: true}, s.store, &instantEngine{}, clock)
		if stored, ok := other.Accept(t.Context(), submissionOf(t, "s", s.items...)).(Stored); !ok || !stored.Before {
			t.Fatal("batch not stored before")
		}
		for position := range 2 {
			s.checkPosition(t, s.at(owner), position, true)
		}
	})
}
