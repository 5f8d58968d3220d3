package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/routes"
)

// teamSender is a scriptedSender that records the team and the header of each attempt.
type teamSender struct {
	scriptedSender
	teams []string
}

func (s *teamSender) Send(ctx context.Context, target fleet.Target, request Request) Reply {
	s.mu.Lock()
	s.teams = append(s.teams, request.Team+" "+request.Header.Get("Tenant"))
	s.mu.Unlock()
	return s.scriptedSender.Send(ctx, target, request)
}

// TestAttemptsBearTeam guards against attempts after the first that reach an endpoint
// without the team: retries, hedges and resumed streams.
func TestAttemptsBearTeam(t *testing.T) {
	type steps = []func(context.Context) Reply
	for name, tc := range map[string]struct {
		kind  routes.Kind
		steps steps
	}{
		"retried after a refusal": {routes.NonIdempotent, steps{full, answer(200, "ok")}},
		"retried after an error":  {routes.Idempotent, steps{answer(500, ""), answer(200, "ok")}},
		"hedged":                  {routes.Idempotent, steps{hang, answer(200, "ok")}},
		"resumed":                 {routes.Streaming, steps{streamOf(1, eventsOf(0, 2), true), streamOf(1, eventsOf(2, 4), false)}},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(time.Now)
			for i := range 3 {
				f.Put(fleet.Entry{ID: fmt.Sprintf("e%d", i), Service: "s", SoftwareVersion: "v1", Address: "a:1", Slots: 4})
			}
			sender := &teamSender{scriptedSender: scriptedSender{steps: tc.steps}}
			r := New(Deps{
				Fleet: f, Sender: sender, Suspects: newCrashOnDisconnect(), Origins: newRecordedOrigins(), Domain: "a",
				Scope: tally.NoopScope, Logger: zap.NewNop(),
			})
			route := routes.Route{
				Kind: tc.kind, Shares: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, Resumable: tc.kind == routes.Streaming,
				Timeout: 4 * stallTimeout, TargetLatency: 80 * time.Millisecond,
			}
			request := Request{ID: "r", LastEventID: -1, Team: "red", Header: http.Header{"Tenant": {"red"}}}
			answered, ok := r.Serve(t.Context(), request, route).(Answered)
			check.Equal(t, "answered", ok, true)
			if answered.Stream != nil {
				_, err := io.ReadAll(answered.Stream)
				check.Equal(t, "error of the stream", err, nil)
				_ = answered.Stream.Close()
			}
			sender.mu.Lock()
			defer sender.mu.Unlock()
			check.Equal(t, "teams of the attempts", sender.teams, []string{"red red", "red red"})
		})
	}
}
