package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("creating the record: %w", err)
	}
	return &record{file: file, start: time.Now()}, nil
}

// since returns the seconds since the start of the record.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Close closes the file.
func (r *record) Close() { _ = r.file.Close() }
