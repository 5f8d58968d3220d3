package relay

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/currantloft/currantloft/routes"
)

// endlessBody repeats its text until it is closed. To end a failing test, it fails
// after a limit.
type endlessBody struct {
	text  string
	sent  int
	limit int
}

var errEndless = errors.New("too many bytes were read")

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.sent > b.limit {
		return 0, errEndless
	}
	for i := range p {
		p[i] = b.text[(b.sent+i)%len(b.text)]
	}
	b.sent += len(p)
	return len(p), nil
}

func (b *endlessBody) Close() error { return nil }

// TestEndlessEvent checks that a resumable stream gives up an endpoint whose event has
// no end, and goes on at another.
func TestEndlessEvent(t *testing.T) {
	for name, text := range map[string]string{
		"one line":    "a",
		"short lines": "data: a\n",
		"empty lines": "\n",
		"comments":    ": a\n",
	} {
		t.Run(name, func(t *testing.T) {
			endless := &endlessBody{text: text, limit: 4 * maxEventBytes}
			first := func(context.Context) Reply {
				return Answer{Status: 200, Signed: true, Streamed: true, Length: -1, Version: 1, Body: endless}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			outcome, _ := serve(ctx, routes.Streaming, first, streamOf(1, eventsOf(0, 3), false))
			answered, ok := outcome.(Answered)
			if !ok {
				t.Fatalf("got %T, want an answer", outcome)
			}
			defer answered.Stream.Close()
			got, err := io.ReadAll(answered.Stream)
			if err != nil || string(got) != eventsOf(0, 3) {
				t.Errorf("got %d bytes, %v, want the events of the second endpoint", len(got), err)
			}
			if endless.sent > 2*maxEventBytes {
				t.Errorf("%d bytes were read, want at most %d", endless.sent, 2*maxEventBytes)
			}
		})
	}
}
