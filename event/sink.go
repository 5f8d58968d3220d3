package event

import (
	"fmt"
	"io"
	"sync"
)

// sinkBytes bounds what waits to be written. At 200 bytes a line it holds some
// thousand lines, which a burst of a second brings.
const sinkBytes = 256 << 10

// Sink writes log lines in the background. When its reader is too slow it drops
// lines, counts them, and says how many once there is room again.
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

// Write takes one line, or drops it. It never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.buffer)+len(line) > sinkBytes {
		s.dropped++
		return len(line), nil
	}
	if s.dropped > 0 {
		s.buffer = fmt.Appendf(s.buffer, "{\"level\":\"warn\",\"msg\":\"log_lines_dropped\",\"event\":%d,\"lines\":%d}\n",
			LinesDropped.Number(), s.dropped)
		s.dropped = 0
	}
	s.buffer = append(s.buffer, line...)
	s.ready.Signal()
	return len(line), nil
}

// Dropped counts a line that was left out before it came here.
func (s *Sink) Dropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
}

// Sync does nothing: Close writes what waits.
func (s *Sink) Sync() error { return nil }

// Close writes what waits and ends.
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
		batch := s.buffer
		s.buffer = spare[:0]
		over := s.closed && len(batch) == 0
		s.mu.Unlock()
		if over {
			return
		}
		if _, err := s.out.Write(batch); err != nil {
			// There is no other place to tell of it; the lines count as dropped.
			s.mu.Lock()
			s.dropped++
			s.mu.Unlock()
		}
		spare = batch
	}
}
