package relay

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/routes"
)

// countedUsage counts requests by team.
type countedUsage struct {
	mu     sync.Mutex
	counts map[string]int
}

func (u *countedUsage) Began(team string, _ time.Time) { u.add(team, 1) }

func (u *countedUsage) Withdraw(team string, _ time.Time) { u.add(team, -1) }

func (u *countedUsage) add(team string, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[team] += n
}

// TestRequestCountsOnce guards against requests that count several times, since they were
// retried, hedged or resumed, or that count although no endpoint began to run them.
func TestRequestCountsOnce(t *testing.T) {
	type steps = []func(context.Context) Reply
	broken := streamOf(1, eventsOf(0, 2), true)
	for _, tc := range []struct {
		name      string
		kind      routes.Kind
		resumable bool
		resumes   string
		steps     steps
		want      int
	}{
		{"answered", routes.Idempotent, false, "", steps{answer(200, "a")}, 1},
		{"answered with an error", routes.NonIdempotent, false, "", steps{answer(500, "a")}, 1},
		{"retried after an error", routes.Idempotent, false, "", steps{answer(500, "a"), answer(200, "a")}, 1},
		{"retried after a loss", routes.Idempotent, false, "", steps{lost, answer(200, "a")}, 1},
		{"lost", routes.NonIdempotent, false, "", steps{lost}, 1},
		{"hedged", routes.Idempotent, false, "", steps{delayed(200*time.Millisecond, answer(200, "a")), answer(200, "a")}, 1},
		{"retried after a refusal", routes.NonIdempotent, false, "", steps{full, answer(200, "a")}, 1},
		{"refused by all", routes.Idempotent, false, "", steps{full}, 0},
		{"stream", routes.Streaming, true, "", steps{streamOf(1, eventsOf(0, 3), false)}, 1},
		{"stream that can't be resumed", routes.Streaming, false, "", steps{streamOf(1, eventsOf(0, 3), false)}, 1},
		{"stream resumed here", routes.Streaming, true, "", steps{broken, streamOf(1, eventsOf(2, 3), false)}, 1},
		{"stream that the caller resumes", routes.Streaming, true, "first", steps{streamOf(1, eventsOf(0, 3), false)}, 0},
		{"stream without an event", routes.Streaming, true, "", steps{lost}, 0},
		{"stream refused by all", routes.Streaming, true, "", steps{full}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			usage := &countedUsage{counts: make(map[string]int)}
			f, origins := fleet.New(time.Now), newRecordedOrigins()
			for _, id := range []string{"e0", "e1", "e2"} {
				f.Put(fleet.Entry{ID: id, Service: "s", SoftwareVersion: "v1", Address: "a:1", Slots: 4})
			}
			origins.Record("first", fleet.Entry{Service: "s", SoftwareVersion: "v1"}.Software())
			r := New(Deps{
				Fleet: f, Sender: &scriptedSender{steps: tc.steps}, Suspects: newCrashOnDisconnect(), Origins: origins, Usage: usage,
				Scope: tally.NoopScope, Logger: zap.NewNop(),
			})
			route := routes.Route{
				Kind: tc.kind, Shares: []routes.Share{{Service: "s", Weight: 1}}, Resumable: tc.resumable,
				Timeout: time.Second, TargetLatency: 50 * time.Millisecond, MaxAttempts: 3,
			}
			outcome := r.Serve(t.Context(), Request{ID: "r", Team: "a", Resumes: tc.resumes, LastEventID: -1}, route)
			if answered, ok := outcome.(Answered); ok && answered.Stream != nil {
				_, _ = io.Copy(io.Discard, answered.Stream)
				_ = answered.Stream.Close()
			}
			want := map[string]int{}
			if tc.want > 0 {
				want["a"] = tc.want
			}
			usage.mu.Lock()
			defer usage.mu.Unlock()
			if usage.counts["a"] == 0 {
				delete(usage.counts, "a")
			}
			if diff := cmp.Diff(want, usage.counts); diff != "" {
				t.Errorf("counts differ (-want +got):\n%s", diff)
			}
		})
	}
}
