package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func streamOf(text string) *Stream {
	return &Stream{
		reader:   bufio.NewReader(strings.NewReader(text)),
		response: &http.Response{Body: io.NopCloser(strings.NewReader(""))},
		cancel:   func() {},
	}
}

func TestNextJoinsLines(t *testing.T) {
	s := streamOf(`{"first":0,"tokens":["a"],"version":1}
{"first":1,"tokens":["b"],"version":1}
{"first":2,"tokens":["c"],"version":2,"done":true}
`)
	wantChunks := []Chunk{
		{First: 0, Tokens: []string{"a", "b"}, Version: 1},
		{First: 2, Tokens: []string{"c"}, Version: 2, Done: true},
	}
	for _, want := range wantChunks {
		got, err := s.Next()
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Fatalf("%v %s", err, diff)
		}
	}
	var unknown *OutcomeUnknownError
	if _, err := s.Next(); !errors.As(err, &unknown) {
		t.Errorf("got %v after the end, want an *OutcomeUnknownError", err)
	}
}

// newFakeEngine returns a fake engine that serves the first connection of a
// stream with start and the resumed ones with resume, 404 if that is nil.
func newFakeEngine(start, resume http.HandlerFunc) *httptest.Server {
	if resume == nil {
		resume = http.NotFound
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", start)
	mux.HandleFunc("GET /v1/streams/{id}", resume)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"incarnation":1,"version":1}`)
	})
	return httptest.NewServer(mux)
}

func respondWith(lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, strings.Join(lines, "\n")+"\n")
	}
}

func TestRelay(t *testing.T) {
	const firstToken, twoTokens, lastToken = `{"first":0,"tokens":["a"],"version":1}`, `{"first":0,"tokens":["a","b"],"version":1}`,
		`{"first":1,"tokens":["b"],"version":1,"done":true}`
	stalled := func(w http.ResponseWriter, r *http.Request) {
		respondWith(firstToken)(w, r)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	reject := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "full", http.StatusTooManyRequests) }
	cases := map[string]struct {
		start, resume http.HandlerFunc
		reason        EndReason
		text          string
	}{
		"complete":         {start: respondWith(firstToken, lastToken), reason: EndComplete, text: "ab"},
		"rejected":         {start: reject, reason: EndNotRun},
		"stalled, resumed": {start: stalled, resume: respondWith(lastToken), reason: EndComplete, text: "ab"},
		"truncated, resumed with repeated tokens": {start: respondWith(firstToken), resume: respondWith(twoTokens, `{"first":2,"done":true}`), reason: EndComplete, text: "ab"},
		"truncated, no such stream on resume":     {start: respondWith(firstToken), resume: http.NotFound, reason: EndLost, text: "a"},
		"truncated, each resume has a gap":        {start: respondWith(firstToken), resume: respondWith(`{"first":5,"tokens":["z"],"done":true}`), reason: EndLost, text: "a"},
	}
	for name, resume := range map[string]http.HandlerFunc{
		"an error": func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "overloaded", http.StatusInternalServerError)
		},
		"a refusal":          reject,
		"a text":             respondWith("overloaded"),
		"the head of a text": respondWith("HTTP/1.1 500 Internal Server Error", "", "overloaded"),
		"an error's text":    respondWith(`{"error":"overloaded"}`),
		"an unknown object":  respondWith(`{"status":500,"message":"overloaded"}`),
		"an earlier end":     respondWith(`{"done":true}`),
		"nothing":            respondWith(),
	} {
		c := cases["truncated, no such stream on resume"]
		c.resume = resume
		cases["truncated, "+name+" on resume"] = c
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := newFakeEngine(c.start, c.resume)
			defer server.Close()
			client := NewClient(nil)
			defer client.Close()
			var text strings.Builder
			relay := NewRelay(client, server.URL, Request{Stream: "s"}, 100*time.Millisecond, 1, func(chunk Chunk) error {
				text.WriteString(strings.Join(chunk.Tokens, ""))
				return nil
			})
			reason, err := relay.Run(context.Background())
			if reason != c.reason || text.String() != c.text {
				t.Errorf("got end reason %d, %q, %v; want %d, %q", reason, text.String(), err, c.reason, c.text)
			}
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	client := NewClient(nil)
	defer client.Close()
	relay := NewRelay(client, "http://127.0.0.1:1", Request{Stream: "s"}, time.Second, 0, func(Chunk) error { return nil })
	if reason, err := relay.Run(context.Background()); reason != EndNotRun {
		t.Errorf("got end reason %d, %v", reason, err)
	}
}

func FuzzNext(f *testing.F) {
	f.Add(`{"first":0,"tokens":["a"],"version":1,"done":true}` + "\n")
	f.Add("{}\n{\"first\":-1,\"tokens\":[]}\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := streamOf(text)
		for range 100 {
			chunk, err := s.Next()
			if err != nil {
				return
			}
			if chunk.Error != "" {
				t.Error("the error of an aborted stream was returned as a chunk")
			}
		}
	})
}
