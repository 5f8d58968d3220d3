package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/routes"
)

// crashOnDisconnect counts every lost connection as a crash of the endpoint.
type crashOnDisconnect struct{ *poison.Ledger }

func newCrashOnDisconnect() crashOnDisconnect { return crashOnDisconnect{poison.NewLedger(time.Now)} }

func (c crashOnDisconnect) Crashes(Request) int                       { return c.Ledger.Crashes(0) }
func (c crashOnDisconnect) Quarantined(Request) (time.Duration, bool) { return c.Ledger.Quarantined(0) }
func (c crashOnDisconnect) Answered(Request)                          { c.Ledger.Answered(0) }

func (c crashOnDisconnect) Disconnected(_ context.Context, _ fleet.Target, _ Request, crashesAtStart int) <-chan struct{} {
	c.Crashed(0, crashesAtStart)
	return nil
}

// truncatedStream is an answer whose connection fails after the given text.
func truncatedStream(text string) func(context.Context) Reply {
	return func(context.Context) Reply {
		body := io.MultiReader(strings.NewReader(text), failingReader{})
		return Answer{Status: 200, Signed: true, Streamed: true, Length: -1, Body: io.NopCloser(body)}
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestCrashingRequestIsQuarantined sends the same request six times and counts the
// endpoints that it reaches.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name  string
		kind  routes.Kind
		steps []func(context.Context) Reply
		// sent is how many endpoints the request reaches in six sends.
		sent int
		want string
	}{
		{"idempotent request", routes.Idempotent, []func(context.Context) Reply{lost}, 3, "relay.Refused"},
		{"non-idempotent request", routes.NonIdempotent, []func(context.Context) Reply{lost}, 3, "relay.Failed"},
		{"stream lost before its first byte", routes.NonIdempotent, []func(context.Context) Reply{truncatedStream("")}, 3, "relay.Failed"},
		{"stream lost after its first byte", routes.NonIdempotent, []func(context.Context) Reply{truncatedStream("x")}, 6, "relay.Answered"},
		{
			"request that is answered every third time", routes.NonIdempotent,
			[]func(context.Context) Reply{lost, lost, answer(200, "ok"), lost, lost, answer(200, "ok")},
			6, "relay.Answered",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			suspects, sent := newCrashOnDisconnect(), 0
			var outcome Outcome
			for n := range 6 {
				var sender *scriptedSender
				outcome, sender = serveSuspects(t.Context(), suspects, tc.kind, tc.steps[n%len(tc.steps)])
				if answered, ok := outcome.(Answered); ok && answered.Stream != nil {
					if _, err := io.ReadAll(answered.Stream); !errors.Is(err, io.ErrUnexpectedEOF) {
						t.Fatalf("the stream ended with %v", err)
					}
				}
				sent += len(sender.sent)
			}
			if got := fmt.Sprintf("%T", outcome); sent != tc.sent || got != tc.want {
				t.Errorf("reached %d endpoints, ended as %s; want %d, %s", sent, got, tc.sent, tc.want)
			}
			if refused, ok := outcome.(Refused); ok && refused.RetryAfter < time.Minute {
				t.Errorf("retry delay %v, want at least a minute", refused.RetryAfter)
			}
		})
	}
}

// TestAnswerClearsLaterCrashes checks that an answer clears a crash that was recorded
// while the request was at work elsewhere: endpoints that crash at the same time by
// another request must not make an innocent one a suspect.
func TestAnswerClearsLaterCrashes(t *testing.T) {
	suspects := newCrashOnDisconnect()
	outcome, _ := serveSuspects(t.Context(), suspects, routes.Idempotent, func(ctx context.Context) Reply {
		// Another request with the same content is lost meanwhile.
		suspects.Disconnected(ctx, fleet.Target{}, Request{}, 0)
		return answer(200, "ok")(ctx)
	})
	if _, ok := outcome.(Answered); !ok {
		t.Fatalf("ended as %T", outcome)
	}
	if n := suspects.Crashes(Request{}); n != 0 {
		t.Errorf("%d crashes on record after an answer, want 0", n)
	}
}
