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

// gone takes every endpoint that breaks off as crashed.
type gone struct{ *poison.Ledger }

func newGone() gone { return gone{poison.NewLedger(time.Now)} }

func (g gone) Crashes(Request) int                  { return g.Ledger.Crashes(0) }
func (g gone) Barred(Request) (time.Duration, bool) { return g.Ledger.Barred(0) }
func (g gone) Answered(Request)                     { g.Ledger.Answered(0) }

func (g gone) BrokeOff(_ context.Context, _ fleet.Target, _ Request, atStart int) <-chan struct{} {
	g.Crashed(0, atStart)
	return nil
}

// cutStream is an answer that ends after some bytes.
func cutStream(text string) func(context.Context) Reply {
	return func(context.Context) Reply {
		body := io.MultiReader(strings.NewReader(text), failing{})
		return Answer{Status: 200, Signed: true, Streamed: true, Length: -1, Body: io.NopCloser(body)}
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestCrashesAreContained sends one content again and again.
func TestCrashesAreContained(t *testing.T) {
	for _, tc := range []struct {
		name  string
		kind  routes.Kind
		steps []func(context.Context) Reply
		// sent is how many endpoints it reaches in six sends.
		sent int
		want string
	}{
		{"an idempotent one", routes.Idempotent, []func(context.Context) Reply{lost}, 3, "relay.Refused"},
		{"one that runs once", routes.NonIdempotent, []func(context.Context) Reply{lost}, 3, "relay.Failed"},
		{"a stream without a byte", routes.NonIdempotent, []func(context.Context) Reply{cutStream("")}, 3, "relay.Failed"},
		{"a stream that had begun", routes.NonIdempotent, []func(context.Context) Reply{cutStream("x")}, 6, "relay.Whole"},
		{
			"one that is answered now and then", routes.NonIdempotent,
			[]func(context.Context) Reply{lost, lost, answer(200, "ok"), lost, lost, answer(200, "ok")},
			6, "relay.Whole",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			suspects, sent := newGone(), 0
			var end End
			for n := range 6 {
				var sender *script
				end, sender = serveWith(t.Context(), suspects, tc.kind, tc.steps[n%len(tc.steps)])
				if whole, ok := end.(Whole); ok && whole.Stream != nil {
					if _, err := io.ReadAll(whole.Stream); !errors.Is(err, io.ErrUnexpectedEOF) {
						t.Fatalf("the stream ended with %v", err)
					}
				}
				sent += len(sender.sent)
			}
			if got := fmt.Sprintf("%T", end); sent != tc.sent || got != tc.want {
				t.Errorf("reached %d endpoints, ended as %s; want %d, %s", sent, got, tc.sent, tc.want)
			}
			if refused, ok := end.(Refused); ok && refused.RetryAfter < time.Minute {
				t.Errorf("said to come back after %v", refused.RetryAfter)
			}
		})
	}
}
