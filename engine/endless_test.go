package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestEndlessStreams relays streams that never end. They must not be followed for longer
// than a stalled one, and no more tokens may be passed on than were requested.
func TestEndlessStreams(t *testing.T) {
	const maxTokens = 3
	for name, tc := range map[string]struct {
		chunk string
		// numbered chunks hold the index of their first token.
		numbered bool
	}{
		"chunks without tokens":   {chunk: `{"version":1}`},
		"repeated tokens":         {chunk: `{"first":0,"tokens":["a"],"version":1}`},
		"more tokens than wanted": {chunk: `{"first":%d,"tokens":["a"],"version":1}`, numbered: true},
	} {
		t.Run(name, func(t *testing.T) {
			endless := func(w http.ResponseWriter, r *http.Request) {
				for n := 0; r.Context().Err() == nil; n++ {
					line := tc.chunk
					if tc.numbered {
						line = fmt.Sprintf(tc.chunk, n)
					}
					if _, err := io.WriteString(w, line+"\n"); err != nil {
						return
					}
					w.(http.Flusher).Flush()
					time.Sleep(5 * time.Millisecond)
				}
			}
			server := newFakeEngine(endless, endless)
			defer server.Close()
			client := NewClient(nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			tokens := 0
			relay := NewRelay(client, server.URL, Request{Stream: "s", MaxTokens: maxTokens}, 100*time.Millisecond, 1, func(chunk Chunk) error {
				tokens += len(chunk.Tokens)
				return nil
			})
			if reason, err := relay.Run(ctx); reason != EndLost || ctx.Err() != nil {
				t.Errorf("got end reason %d, %v, want %d before the deadline", reason, err, EndLost)
			}
			if tokens > maxTokens {
				t.Errorf("%d tokens were passed on, want at most %d", tokens, maxTokens)
			}
		})
	}
}

// TestEndlessHead starts a stream at an engine whose answer has a head without end.
func TestEndlessHead(t *testing.T) {
	const maxBytes = 1 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	written := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		total, text := 0, "HTTP/1.1 200 OK\r\nX: "
		for {
			n, err := io.WriteString(conn, text)
			total += n
			if err != nil {
				written <- total
				return
			}
			text = strings.Repeat("a", 16<<10)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	client := NewClient(nil)
	defer client.Close()
	if _, err := client.Start(t.Context(), "http://"+l.Addr().String(), Request{Stream: "s"}); err == nil {
		t.Error("a head without end was read")
	}
	if n := <-written; n > maxBytes {
		t.Errorf("the engine has sent %d bytes, want at most %d", n, maxBytes)
	}
}
