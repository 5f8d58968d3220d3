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
	want := []Chunk{
		{First: 0, Tokens: []string{"a", "b"}, Version: 1},
		{First: 2, Tokens: []string{"c"}, Version: 2, Done: true},
	}
	for _, w := range want {
		got, err := s.Next()
		if diff := cmp.Diff(w, got); err != nil || diff != "" {
			t.Fatalf("%v %s", err, diff)
		}
	}
	var lost *LostError
	if _, err := s.Next(); !errors.As(err, &lost) {
		t.Errorf("got %v after the end, want a lost stream", err)
	}
}

// scripted is an engine whose first connection and whose resumed one behave as
// a case says.
func scripted(start, resume http.HandlerFunc) *httptest.Server {
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

func say(lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, strings.Join(lines, "\n")+"\n")
	}
}

func TestRelay(t *testing.T) {
	const one, two, end = `{"first":0,"tokens":["a"],"version":1}`, `{"first":0,"tokens":["a","b"],"version":1}`,
		`{"first":1,"tokens":["b"],"version":1,"done":true}`
	silent := func(w http.ResponseWriter, r *http.Request) {
		say(one)(w, r)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "full", http.StatusTooManyRequests) }
	cases := map[string]struct {
		start, resume http.HandlerFunc
		fate          Fate
		text          string
	}{
		"whole":                           {start: say(one, end), fate: FateWhole, text: "ab"},
		"refused":                         {start: refuse, fate: FateNotRun},
		"silent, resumed":                 {start: silent, resume: say(end), fate: FateWhole, text: "ab"},
		"cut, resumed with a repeat":      {start: say(one), resume: say(two, `{"first":2,"done":true}`), fate: FateWhole, text: "ab"},
		"cut, the stream is gone":         {start: say(one), resume: http.NotFound, fate: FateLost, text: "a"},
		"cut, resumed with a gap forever": {start: say(one), resume: say(`{"first":5,"tokens":["z"],"done":true}`), fate: FateLost, text: "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := scripted(c.start, c.resume)
			defer server.Close()
			client := NewClient()
			defer client.Close()
			var text strings.Builder
			relay := NewRelay(client, server.URL, Request{Stream: "s"}, 100*time.Millisecond, 1, func(chunk Chunk) error {
				text.WriteString(strings.Join(chunk.Tokens, ""))
				return nil
			})
			fate, err := relay.Run(context.Background())
			if fate != c.fate || text.String() != c.text {
				t.Errorf("got fate %d, %q, %v; want %d, %q", fate, text.String(), err, c.fate, c.text)
			}
		})
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	client := NewClient()
	defer client.Close()
	relay := NewRelay(client, "http://127.0.0.1:1", Request{Stream: "s"}, time.Second, 0, func(Chunk) error { return nil })
	if fate, err := relay.Run(context.Background()); fate != FateNotRun {
		t.Errorf("got fate %d, %v", fate, err)
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
				t.Error("a stream that was given up looks like a chunk")
			}
		}
	})
}
