package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/routes"
)

func eventOf(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

func eventsOf(from, to int) string {
	var all strings.Builder
	for id := from; id < to; id++ {
		all.WriteString(eventOf(id))
	}
	return all.String()
}

// streamOf is a stream of events by some version; a broken one ends in an error.
func streamOf(version int, text string, broken bool) func(context.Context) Reply {
	return func(context.Context) Reply {
		var body io.Reader = strings.NewReader(text)
		if broken {
			body = io.MultiReader(body, failing{})
		}
		return Answer{
			Status: 200, Signed: true, Streamed: true, Length: -1, Version: version, Body: io.NopCloser(body),
		}
	}
}

// silentAfter is a stream that brings some events and then nothing.
func silentAfter(text string) func(context.Context) Reply {
	return func(context.Context) Reply {
		reader, writer := io.Pipe()
		go func() {
			// An error means that the reader has left.
			_, _ = io.WriteString(writer, text)
		}()
		return Answer{Status: 200, Signed: true, Streamed: true, Length: -1, Version: 1, Body: reader}
	}
}

// after answers once some time has passed.
func after(pause time.Duration, step func(context.Context) Reply) func(context.Context) Reply {
	return func(ctx context.Context) Reply {
		select {
		case <-ctx.Done():
			return Lost{Cause: ctx.Err()}
		case <-time.After(pause):
			return step(ctx)
		}
	}
}

func TestStreamsGoOn(t *testing.T) {
	const cut = "id: 2\nda"
	type steps = []func(context.Context) Reply
	for _, tc := range []struct {
		name  string
		kind  routes.Kind
		steps steps
		// after is what each attempt was asked to begin behind.
		after []int
		text  string
		whole bool
	}{
		{"whole at once", routes.Streaming, steps{streamOf(1, eventsOf(0, 4), false)}, []int{-1}, eventsOf(0, 4), true},
		{
			"broken in the middle of an event", routes.Streaming,
			steps{streamOf(1, eventsOf(0, 2)+cut, true), streamOf(1, eventsOf(2, 4), false)},
			[]int{-1, 1},
			eventsOf(0, 4), true,
		},
		{
			"ended in the middle of an event", routes.Streaming,
			steps{streamOf(1, eventsOf(0, 2)+cut, false), streamOf(1, eventsOf(2, 4), false)},
			[]int{-1, 1},
			eventsOf(0, 4), true,
		},
		{
			"fallen silent", routes.Streaming,
			steps{silentAfter(eventsOf(0, 2)), streamOf(1, eventsOf(2, 4), false)},
			[]int{-1, 1},
			eventsOf(0, 4), true,
		},
		{
			"broken before an event", routes.Streaming,
			steps{streamOf(1, "", true), streamOf(1, eventsOf(0, 4), false)},
			[]int{-1, -1},
			eventsOf(0, 4), true,
		},
		{
			"broken three times, three attempts", routes.Streaming,
			steps{streamOf(1, eventsOf(0, 2)+cut, true), streamOf(1, eventsOf(2, 3), true), streamOf(1, "", true)},
			[]int{-1, 1, 2},
			eventsOf(0, 3), false,
		},
		{
			"the next one is full", routes.Streaming,
			steps{streamOf(1, eventsOf(0, 2), true), full, streamOf(1, eventsOf(2, 4), false)},
			[]int{-1, 1, 1},
			eventsOf(0, 4), true,
		},
		{
			"one that begins anew is passed over", routes.Streaming,
			steps{streamOf(1, eventsOf(0, 2), true), streamOf(1, eventsOf(0, 4), false), streamOf(1, eventsOf(2, 4), false)},
			[]int{-1, 1, 1},
			eventsOf(0, 4), true,
		},
		{
			"other weights do not go on", routes.Streaming,
			steps{streamOf(1, eventsOf(0, 2), true), streamOf(2, eventsOf(2, 4), false)},
			[]int{-1, 1, 1},
			eventsOf(0, 2), false,
		},
		{
			"a late attempt of before is not mixed in", routes.Streaming,
			steps{
				after(160*time.Millisecond, streamOf(1, eventsOf(0, 4), false)),
				streamOf(1, eventsOf(0, 2), true),
				after(120*time.Millisecond, streamOf(1, eventsOf(2, 4), false)),
			},
			[]int{-1, -1, 1},
			eventsOf(0, 4), true,
		},
		{
			"a route that does not resume", routes.NonIdempotent,
			steps{streamOf(1, eventsOf(0, 2)+cut, true)},
			[]int{-1},
			eventsOf(0, 2) + cut, false,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			end, sender := serve(t.Context(), tc.kind, tc.steps...)
			whole, ok := end.(Whole)
			if !ok || whole.Stream == nil {
				t.Fatalf("got %#v", end)
			}
			text, err := io.ReadAll(whole.Stream)
			check.Equal(t, "the stream", string(text), tc.text)
			if (err == nil) != tc.whole {
				t.Errorf("it ended with %v", err)
			}
			if err := whole.Stream.Close(); err != nil && !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			sender.mu.Lock()
			defer sender.mu.Unlock()
			check.Equal(t, "where attempts began", sender.after, tc.after)
		})
	}
}
