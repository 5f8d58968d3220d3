package relay

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/routes"
)

// serveMixed serves a stream at two endpoints of software v1 and two of v2, and returns
// its text and the software of the endpoints that it was sent to.
func serveMixed(t *testing.T, request Request, versions []string, steps ...func(context.Context) Reply) (string, []string) {
	t.Helper()
	f, softwareOf := fleet.New(time.Now), make(map[string]string)
	for i, version := range versions {
		id := string(rune('a' + i))
		f.Put(fleet.Entry{ID: id, Service: "s", SoftwareVersion: version, Address: "a:1", Slots: 4})
		softwareOf[id] = version
	}
	sender := &scriptedSender{steps: steps}
	outcome := New(Deps{
		Fleet: f, Sender: sender, Suspects: newCrashOnDisconnect(), Scope: tally.NoopScope, Logger: zap.NewNop(),
	}).Serve(t.Context(), request, routes.Route{
		Kind: routes.Streaming, Shares: []routes.Share{{Service: "s", Weight: 1}}, MaxAttempts: 4, Resumable: true,
		Timeout: 4 * stallTimeout, TargetLatency: time.Second,
	})
	var text []byte
	if answered, ok := outcome.(Answered); ok {
		// A stream that can't go on ends with an error.
		text, _ = io.ReadAll(answered.Stream)
		check.Equal(t, "closing the stream", answered.Stream.Close(), nil)
	}
	var software []string
	for _, id := range sender.sent {
		software = append(software, softwareOf[id])
	}
	return string(text), software
}

// TestStreamMovesToOtherSoftware checks that a broken stream goes on at the software that
// sent its first event, or not at all.
func TestStreamMovesToOtherSoftware(t *testing.T) {
	mixed := []string{"v1", "v1", "v2", "v2"}
	for range 10 {
		text, software := serveMixed(t, Request{ID: "r", LastEventID: -1}, mixed,
			streamOf(1, eventsOf(0, 2), true), streamOf(1, eventsOf(2, 4), false))
		check.Equal(t, "text", text, eventsOf(0, 4))
		check.Equal(t, "distinct software", len(slices.Compact(software)), 1)
	}
	t.Run("no other endpoint has it", func(t *testing.T) {
		text, software := serveMixed(t, Request{ID: "r", LastEventID: -1}, []string{"v1", "v2"},
			streamOf(1, eventsOf(0, 2), true), streamOf(1, eventsOf(2, 4), false))
		if len(slices.Compact(software)) != 1 {
			t.Errorf("sent to software %v, got %q", software, text)
		}
	})
	t.Run("software is not stated", func(t *testing.T) {
		_, software := serveMixed(t, Request{ID: "r", LastEventID: -1}, []string{"", ""},
			streamOf(1, eventsOf(0, 2), true), lost)
		check.Equal(t, "attempts at the endpoint that began the stream", len(software) >= 1, true)
	})
}

