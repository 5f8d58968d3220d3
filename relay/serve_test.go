package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/routes"
)

type (
	// scriptedSender answers the attempts of a request with the given steps in order.
	scriptedSender struct {
		mu    sync.Mutex
		steps []func(ctx context.Context) Reply
		sent  []string
		after []int
		ended int
	}
)

func (s *scriptedSender) Send(ctx context.Context, target fleet.Target, request Request) Reply {
	s.mu.Lock()
	n := len(s.sent)
	s.sent = append(s.sent, target.ID())
	s.after = append(s.after, request.LastEventID)
	step := s.steps[min(n, len(s.steps)-1)]
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
	}()
	return step(ctx)
}

func answer(status int, body string) func(context.Context) Reply {
	return func(context.Context) Reply {
		return Answer{
			Status: status, Signed: true, Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
		}
	}
}

// unproven is an endpoint's own 503 that does not state that the request has not run.
func unproven(context.Context) Reply {
	return Answer{Status: http.StatusServiceUnavailable, Signed: true, Unproven: true, Body: io.NopCloser(strings.NewReader("")), Header: make(http.Header)}
}

func lost(context.Context) Reply { return Lost{Cause: errTest} }

func full(context.Context) Reply { return NotRun{Sent: true, Full: true, Cause: errTest} }

func hang(ctx context.Context) Reply {
	<-ctx.Done()
	return Lost{Cause: ctx.Err()}
}

// serve runs a request against three endpoints.
func serve(ctx context.Context, kind routes.Kind, steps ...func(context.Context) Reply) (Outcome, *scriptedSender) {
	return serveLogged(ctx, zap.NewNop(), kind, steps...)
}

func serveLogged(
	ctx context.Context, logger *zap.Logger, kind routes.Kind, steps ...func(context.Context) Reply,
) (Outcome, *scriptedSender) {
	return serveDeps(ctx, Deps{Suspects: newCrashOnDisconnect(), Logger: logger}, kind, steps...)
}

func serveSuspects(
	ctx context.Context, suspects Suspects, kind routes.Kind, steps ...func(context.Context) Reply,
) (Outcome, *scriptedSender) {
	return serveDeps(ctx, Deps{Suspects: suspects, Logger: zap.NewNop()}, kind, steps...)
}

func serveDeps(ctx context.Context, deps Deps, kind routes.Kind, steps ...func(context.Context) Reply) (Outcome, *scriptedSender) {
	f := fleet.New(time.Now)
	for i := range 3 {
		f.Put(fleet.Entry{ID: fmt.Sprintf("e%d", i), Service: "s", SoftwareVersion: "v1", Address: "a:1", Slots: 4})
	}
	sender := &scriptedSender{steps: steps}
	deps.Fleet, deps.Sender, deps.Domain, deps.Scope = f, sender, "a", tally.NoopScope
	deps.Origins = newRecordedOrigins()
	route := routes.Route{
		Kind: kind, Shares: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		Timeout: 400 * time.Millisecond, TargetLatency: 80 * time.Millisecond,
	}
	if kind == routes.Streaming {
		route.Resumable, route.MaxAttempts, route.Timeout = true, 3, 4*stallTimeout
	}
	outcome := New(deps).Serve(ctx, Request{ID: "r", LastEventID: -1}, route)
	return outcome, sender
}

func TestServe(t *testing.T) {
	for _, tc := range []struct {
		name  string
		kind  routes.Kind
		steps []func(context.Context) Reply
		want  string
		sent  int
	}{
		{"answered", routes.Idempotent, []func(context.Context) Reply{answer(200, "ok")}, "relay.Answered", 1},
		{"full, then answered", routes.NonIdempotent, []func(context.Context) Reply{full, answer(200, "ok")}, "relay.Answered", 2},
		{"lost, then answered", routes.Idempotent, []func(context.Context) Reply{lost, answer(200, "ok")}, "relay.Answered", 2},
		{"lost and not repeatable", routes.NonIdempotent, []func(context.Context) Reply{lost}, "relay.Failed", 1},
		{"lost twice", routes.Idempotent, []func(context.Context) Reply{lost}, "relay.Failed", 2},
		{"server error is returned", routes.NonIdempotent, []func(context.Context) Reply{answer(500, "no")}, "relay.Answered", 1},
		{"an endpoint's own refusal is no promise", routes.NonIdempotent, []func(context.Context) Reply{unproven}, "relay.Failed", 1},
		{"an endpoint's own refusal is retried", routes.Idempotent, []func(context.Context) Reply{unproven, answer(200, "ok")}, "relay.Answered", 2},
		{"own refusals and full", routes.Idempotent, []func(context.Context) Reply{unproven, full}, "relay.Failed", 2 + maxRefusals},
		{"server error is retried", routes.Idempotent, []func(context.Context) Reply{answer(500, "no"), answer(200, "ok")}, "relay.Answered", 2},
		{"slow and idempotent is hedged", routes.Idempotent, []func(context.Context) Reply{hang, answer(200, "ok")}, "relay.Answered", 2},
		{"slow and not idempotent is not hedged", routes.NonIdempotent, []func(context.Context) Reply{hang}, "relay.Failed", 1},
		{"server error, then all are full", routes.Idempotent, []func(context.Context) Reply{answer(500, "no"), full}, "relay.Failed", 2 + maxRefusals},
		{"all are full", routes.NonIdempotent, []func(context.Context) Reply{full}, "relay.Refused", 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			started := time.Now()
			outcome, sender := serve(t.Context(), tc.kind, tc.steps...)
			if got := fmt.Sprintf("%T", outcome); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
			sender.mu.Lock()
			defer sender.mu.Unlock()
			if len(sender.sent) != tc.sent {
				t.Errorf("sent to %v, want %d", sender.sent, tc.sent)
			}
			if took := time.Since(started); took > 500*time.Millisecond {
				t.Errorf("took %v with a time limit of 400 ms", took)
			}
		})
	}
}

// TestCallerDisconnects checks that attempts end when the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	timer := time.AfterFunc(20*time.Millisecond, cancel)
	defer timer.Stop()
	outcome, sender := serve(ctx, routes.Idempotent, hang)
	failed, ok := outcome.(Failed)
	if !ok || failed.TimedOut {
		t.Errorf("got %#v", outcome)
	}
	deadline := time.Now().Add(time.Second)
	for time.Now().Before(deadline) {
		sender.mu.Lock()
		ended := sender.ended == len(sender.sent)
		sender.mu.Unlock()
		if ended {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("an attempt still runs after the caller disconnected")
}

// TestUnsignedAnswer checks that a success status without a signature counts as a
// lost answer.
func TestUnsignedAnswer(t *testing.T) {
	outcome, _ := serve(t.Context(), routes.NonIdempotent, func(context.Context) Reply {
		return Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("x"))}
	})
	failed, ok := outcome.(Failed)
	if !ok || !errors.Is(failed.Cause, errUnsigned) {
		t.Errorf("got %#v", outcome)
	}
}

// TestTimeoutLogListsEndpoints checks that the log line of a timed-out request
// lists the endpoints that it was sent to.
func TestTimeoutLogListsEndpoints(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	_, sender := serveLogged(t.Context(), zap.New(core), routes.NonIdempotent, hang)
	lines := logs.FilterMessage("request_not_answered").All()
	if len(lines) != 1 {
		t.Fatalf("%d log lines, want 1", len(lines))
	}
	fields := lines[0].ContextMap()
	sender.mu.Lock()
	want := fmt.Sprint(sender.sent)
	sender.mu.Unlock()
	if got := fmt.Sprint(fields["endpoints"]); got != want {
		t.Errorf("the log line names %s, the request was sent to %s", got, want)
	}
	if got := fields["timeout"]; got != 400*time.Millisecond {
		t.Errorf("the log line has a timeout of %v", got)
	}
}
