package relay

import (
	"io"
	"strings"
	"testing"

	"github.com/currantloft/currantloft/routes"
)

// checkEvents checks that a text consists of whole events with increasing IDs, each preceded
// by comments or blank lines, and of comments at its end.
func checkEvents(t *testing.T, text string) {
	t.Helper()
	lastID, id, inEvent := noEventID, noEventID, false
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && inEvent && id <= lastID:
			t.Errorf("event %d follows event %d in %q", id, lastID, text)
			return
		case line == "" && inEvent:
			lastID, inEvent = id, false
		case line == "" || strings.HasPrefix(line, ":"):
		case !IsEventField([]byte(line)):
			t.Errorf("%q in %q is no field", line, text)
			return
		default:
			inEvent = true
			if n, ok := intField([]byte(line), idField); ok {
				id = n
			}
		}
	}
	if inEvent {
		t.Errorf("%q ends within an event", text)
	}
}

// FuzzEventStream passes the bytes of two endpoints through a stream: what a caller gets must
// be whole events.
func FuzzEventStream(f *testing.F) {
	f.Add(eventsOf(0, 2)+"id: 2\nda", eventsOf(2, 4))
	f.Add(eventsOf(0, 2)+"HTTP/1.1 500 Error\r\n\r\noverloaded\n\n", ": a\n\n"+eventsOf(2, 3))
	f.Add(eventsOf(0, 2)+"id: 2\ndaHTTP/1.1 500 Error\r\n\r\noverloaded\n\n", eventsOf(2, 4))
	f.Add("weight-versions: 1\n"+eventsOf(1, 2)+"data\nid: 2\r\n\r\n", "id: x\n\n\n\n")
	f.Fuzz(func(t *testing.T, first, second string) {
		outcome, _ := serve(t.Context(), routes.Streaming, streamOf(1, first, false), streamOf(1, second, true))
		answered, ok := outcome.(Answered)
		if !ok {
			return
		}
		// An error means that the stream broke off.
		text, _ := io.ReadAll(answered.Stream)
		checkEvents(t, string(text))
		if err := answered.Stream.Close(); err != nil {
			t.Error(err)
		}
	})
}
