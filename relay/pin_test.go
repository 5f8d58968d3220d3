package relay

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/routes"
)

// recordedOrigins are the origins that one host knows.
type recordedOrigins struct {
	mu       sync.Mutex
	software map[string]fleet.Software
	fleet    *fleet.Fleet
}

func (r *recordedOrigins) Sole(_ context.Context, service string, within time.Duration) (fleet.Software, bool) {
	return r.fleet.SoleSoftware(service, within)
}

func newRecordedOrigins() *recordedOrigins {
	return &recordedOrigins{software: make(map[string]fleet.Software)}
}

func (r *recordedOrigins) Lookup(_ context.Context, attempt string) (fleet.Software, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	software, ok := r.software[attempt]
	return software, ok
}

func (r *recordedOrigins) Record(attempt string, software fleet.Software) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.software[attempt] = software
}

// mixedFleet returns endpoints of the given software that have been known for some time.
func mixedFleet(versions []string, known time.Duration) *fleet.Fleet {
	ago := known
	f := fleet.New(func() time.Time { return time.Now().Add(-ago) })
	for i, version := range versions {
		f.Put(mixedEntry(i, version))
	}
	ago = 0
	return f
}

func mixedEntry(i int, version string) fleet.Entry {
	return fleet.Entry{ID: string(rune('a' + i)), Service: "s", SoftwareVersion: version, Address: "a:1", Slots: 4}
}

// serveMixed serves a stream at endpoints of the given software, and returns its text, the
// software of the endpoints that it was sent to, and the outcome.
func serveMixed(t *testing.T, origins *recordedOrigins, request Request, versions []string, steps ...func(context.Context) Reply) (string, []string, Outcome) {
	t.Helper()
	return serveFleet(t, mixedFleet(versions, time.Hour), origins, request, steps...)
}

func serveFleet(t *testing.T, f *fleet.Fleet, origins *recordedOrigins, request Request, steps ...func(context.Context) Reply) (string, []string, Outcome) {
	t.Helper()
	softwareOf := make(map[string]string)
	for _, s := range f.All() {
		softwareOf[s.Entry.ID] = s.Entry.SoftwareVersion
	}
	origins.fleet = f
	sender := &scriptedSender{steps: steps}
	outcome := New(Deps{
		Fleet: f, Sender: sender, Suspects: newCrashOnDisconnect(), Origins: origins, Scope: tally.NoopScope, Logger: zap.NewNop(),
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
	return string(text), software, outcome
}

// TestStreamMovesToOtherSoftware checks that a broken stream goes on at the software that
// sent its first event, or not at all.
func TestStreamMovesToOtherSoftware(t *testing.T) {
	mixed := []string{"v1", "v1", "v2", "v2"}
	for range 10 {
		text, software, _ := serveMixed(t, newRecordedOrigins(), Request{ID: "r", LastEventID: -1}, mixed,
			streamOf(1, eventsOf(0, 2), true), streamOf(1, eventsOf(2, 4), false))
		check.Equal(t, "text", text, eventsOf(0, 4))
		check.Equal(t, "distinct software", len(slices.Compact(software)), 1)
	}
	t.Run("no other endpoint has it", func(t *testing.T) {
		text, software, _ := serveMixed(t, newRecordedOrigins(), Request{ID: "r", LastEventID: -1}, []string{"v1", "v2"},
			streamOf(1, eventsOf(0, 2), true), streamOf(1, eventsOf(2, 4), false))
		if len(slices.Compact(software)) != 1 {
			t.Errorf("sent to software %v, got %q", software, text)
		}
	})
	t.Run("software is not stated", func(t *testing.T) {
		_, software, _ := serveMixed(t, newRecordedOrigins(), Request{ID: "r", LastEventID: -1}, []string{"", ""},
			streamOf(1, eventsOf(0, 2), true), lost)
		check.Equal(t, "attempts at the endpoint that began the stream", len(software) >= 1, true)
	})
}

// TestResumedStreamAtOtherSoftware checks where the stream of a caller goes on that
// resumes it.
func TestResumedStreamAtOtherSoftware(t *testing.T) {
	mixed := []string{"v1", "v1", "v2", "v2"}
	rest := streamOf(1, eventsOf(2, 4), false)
	t.Run("known", func(t *testing.T) {
		origins := newRecordedOrigins()
		origins.Record("first", "s/v2")
		for range 10 {
			text, software, _ := serveMixed(t, origins, Request{ID: "again", Resumes: "first", LastEventID: 1}, mixed, rest)
			check.Equal(t, "text", text, eventsOf(2, 4))
			check.Equal(t, "software", software, []string{"v2"})
		}
	})
	for name, tc := range map[string]struct {
		request  Request
		recorded fleet.Software
		versions []string
	}{
		"unknown":                   {Request{ID: "again", Resumes: "first", LastEventID: 1}, "", mixed},
		"its software is gone":      {Request{ID: "again", Resumes: "first", LastEventID: 1}, "s/v0", mixed},
		"unknown, one version only": {Request{ID: "again", Resumes: "first", LastEventID: 1}, "", []string{"v1", "v1"}},
		"first attempt not named":   {Request{ID: "again", LastEventID: 1}, "", mixed},
	} {
		t.Run(name, func(t *testing.T) {
			origins := newRecordedOrigins()
			if tc.recorded != "" {
				origins.Record("first", tc.recorded)
			}
			_, software, outcome := serveMixed(t, origins, tc.request, tc.versions, rest)
			if refused, ok := outcome.(Refused); !ok || refused.RetryAfter <= 0 || len(software) > 0 {
				t.Errorf("got %#v after attempts at %v, want a refusal with a retry delay after none", outcome, software)
			}
		})
	}
	t.Run("first attempt not named, one version", func(t *testing.T) {
		text, _, _ := serveMixed(t, newRecordedOrigins(), Request{ID: "again", LastEventID: 1}, []string{"v1", "v1"}, rest)
		check.Equal(t, "text", text, eventsOf(2, 4))
	})
}

// TestResumedStreamAfterItsSoftwareLeft guards against a stream whose caller does not name
// its first attempt and which goes on at the only software left.
func TestResumedStreamAfterItsSoftwareLeft(t *testing.T) {
	request, rest := Request{ID: "again", LastEventID: 1}, streamOf(1, eventsOf(2, 4), false)
	leaving := mixedEntry(0, "v1")
	leaving.Draining = true
	for name, f := range map[string]*fleet.Fleet{
		"this host has just started": mixedFleet([]string{"v2", "v2"}, 0),
		"its endpoint leaves":        put(mixedFleet([]string{"v1", "v2"}, time.Hour), leaving),
		"its endpoint has left":      remove(mixedFleet([]string{"v1", "v2"}, time.Hour), "a"),
		"its endpoint has restarted": put(mixedFleet([]string{"v1", "v2"}, time.Hour), mixedEntry(0, "v2")),
	} {
		t.Run(name, func(t *testing.T) {
			text, software, outcome := serveFleet(t, f, newRecordedOrigins(), request, rest)
			if refused, ok := outcome.(Refused); !ok || refused.RetryAfter <= 0 || len(software) > 0 {
				t.Errorf("got %#v with %q after attempts at %v, want a refusal with a retry delay after none", outcome, text, software)
			}
		})
	}
}

func put(f *fleet.Fleet, entry fleet.Entry) *fleet.Fleet {
	f.Put(entry)
	return f
}

// remove removes an endpoint, which the fleet notices when it is read.
func remove(f *fleet.Fleet, id string) *fleet.Fleet {
	f.Remove(id, 0)
	f.Serving("s")
	return f
}
