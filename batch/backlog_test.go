package batch

import (
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
)

// TestBacklog guards against endpoints that are ordered for work that is done, or are not
// ordered for work that is left.
func TestBacklog(t *testing.T) {
	engine := &instantEngine{held: make(map[string]chan struct{})}
	engine.hold("slow")
	k := newKeeper(t, newCluster(), memory.New(), engine, "a")
	s := submissionOf(t, "b", "fast", "slow")
	s.Items[0].EstimatedTokens, s.Items[1].EstimatedTokens = 200, 300
	if _, ok := k.Accept(t.Context(), s).(Stored); !ok {
		t.Fatal("the batch was not accepted")
	}
	readUntil(t, k, "b", 0)
	backlog := k.Backlog("pool")
	if len(backlog) != 1 || backlog[0].Due <= 0 || backlog[0].Due > testLimit {
		t.Fatalf("backlog %+v, want one batch that is due within %v", backlog, testLimit)
	}
	backlog[0].Due = time.Second
	check.Equal(t, "backlog", backlog, []Backlog{{Model: testModel, Running: 1, Tokens: 300, Due: time.Second}})
	check.Equal(t, "of another service", len(k.Backlog("judge")), 0)
	engine.release("slow")
	readUntil(t, k, "b", 1)
	check.Equal(t, "after the last item", len(k.Backlog("pool")), 0)
}
