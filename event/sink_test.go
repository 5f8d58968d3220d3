package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestSinkNeverWaits writes far more than fits to an output that nobody reads.
func TestSinkNeverWaits(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := NewSink(out)
	line := []byte(strings.Repeat("x", 200) + "\n")
	const lines = 20 * sinkBytes / 201
	begun := time.Now()
	for range lines {
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("%d lines took %v while nobody read", lines, took)
	}
	close(out.release)
	deadline := time.Now().Add(time.Second)
	for said := false; !said; {
		if time.Now().After(deadline) {
			t.Fatal("it never said how many lines were dropped")
		}
		if _, err := s.Write(line); err != nil {
			t.Fatal(err)
		}
		out.mu.Lock()
		said = strings.Contains(out.text.String(), fmt.Sprintf(`"event":%d`, LinesDropped.Number()))
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
