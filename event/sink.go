package event

import (
	"fmt"
	"io"
	"sync"
)

// maxBufferedBytes limits the log output that waits to be written. At 200 bytes
// a line it holds more than a thousand lines, a burst of one second.
const maxBufferedBytes = 256 << 10

// Sink writes log lines in the background. When the output is too slow it drops
// lines, and logs how many it dropped once there is room again.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	ready   *sync.Cond
	buffer  []byte
	dropped int
	closed  bool
	done    chan struct{}
}

// NewSink returns a sink that writes to out.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, done: make(chan struct{})}
	s.ready = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Write buffers one line, or drops it if the buffer is full or the sink is
// closed. It never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buffer)+len(line) > maxBufferedBytes {
		s.dropped++
		return len(line), nil
	}
	if s.dropped > 0 {
		s.buffer = fmt.Appendf(s.buffer, "{\"level\":\"warn\",\"msg\":\"log_lines_dropped\",\"event\":%d,\"lines\":%d}\n",
			LogLinesDropped.Number(), s.dropped)
		s.dropped = 0
	}
	s.buffer = append(s.buffer, line...)
	s.ready.Signal()
	return len(line), nil
}

// RecordDropped counts a line that was dropped before it reached the sink, for
// example by a sampler.
func (s *Sink) RecordDropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
}

// Sync does nothing: Close flushes the buffer.
func (s *Sink) Sync() error { return nil }

// Close flushes the buffer and stops the sink.
func (s *Sink) Close() error {
	s.mu.Lock()
	s.closed = true
	s.ready.Signal()
	s.mu.Unlock()
	<-s.done
	return nil
}

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	for {
		s.mu.Lock()
		for len(s.buffer) == 0 && !s.closed {
			s.ready.Wait()
		}
		pending := s.buffer
		s.buffer = spare[:0]
		finished := s.closed && len(pending) == 0
		s.mu.Unlock()
		if finished {
			return
		}
		if _, err := s.out.Write(pending); err != nil {
			// The failure cannot be logged elsewhere; it counts as one dropped line.
			s.mu.Lock()
			s.dropped++
			s.mu.Unlock()
		}
		spare = pending
	}
}
