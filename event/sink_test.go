package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestSinkNeverBlocks writes 20 times as much as the buffer holds while the
// output blocks.
func TestSinkNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := NewSink(out)
	line := []byte(strings.Repeat("x", 200) + "\n")
	const lines = 20 * maxBufferedBytes / 201
	start := time.Now()
	for range lines {
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("%d lines took %v while the output was blocked", lines, took)
	}
	close(out.release)
	deadline := time.Now().Add(time.Second)
	for reported := false; !reported; {
		if time.Now().After(deadline) {
			t.Fatal("the number of dropped lines was not logged")
		}
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
		out.mu.Lock()
		reported = strings.Contains(out.text.String(), fmt.Sprintf(`"event":%d`, LogLinesDropped.Number()))
		out.mu.Unlock()
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestSinkWritesAll(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	for i := range 100 {
		if _, err := fmt.Fprintf(s, "%d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 100 {
		t.Errorf("%d lines, want 100", lines)
	}
}
