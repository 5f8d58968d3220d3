// Package memory is an in-memory fake of the platform's object store for tests: one
// revision counter for all objects, creates that fail if the object exists,
// conditional writes, watches, and configurable faults.
//
// # Usage
//
//	s := memory.New()
//	s.SetFaults(memory.Faults{Refuse: true})
//	_, err := s.Create(ctx, "kind", "name", []byte(`{}`))
package memory

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/currantloft/currantloft/object"
)

type (
	// Faults are the failures that the store simulates.
	Faults struct {
		// Unresponsive makes every call block until its context ends or the fault is
		// cleared.
		Unresponsive bool
		// Refuse makes every write fail with object.ErrRefused and every read
		// with object.ErrUnavailable.
		Refuse bool
		// LoseAnswers is the number of writes that take effect, but are reported to
		// the caller with an unknown outcome.
		LoseAnswers int
		// LateWrites is the number of writes that take effect only after
		// LateDelay. They return immediately with an unknown outcome.
		LateWrites int
		// LateDelay is the delay of late writes.
		LateDelay time.Duration
		// NoChanges makes watches return neither changes nor
		// object.ErrHistoryGone.
		NoChanges bool
		// StaleMiss makes stale reads of single objects return object.ErrNotFound.
		StaleMiss bool
		// FailLists is a kind of which every list fails, empty for none.
		FailLists string
	}

	// Store is the fake store. It is safe for concurrent use.
	Store struct {
		mu          sync.Mutex
		revision    uint64
		objects     map[string]map[string]object.Entry
		history     []historyEntry
		changed     chan struct{}
		faults      Faults
		compactedAt uint64
		calls       int
		lateWrites  sync.WaitGroup
	}

	// historyEntry is a change that watches can return.
	historyEntry struct {
		kind     string
		revision uint64
		change   object.Change
	}
)

var _ object.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[string]map[string]object.Entry), changed: make(chan struct{}), revision: 1}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWatchers()
}

// Compact drops the history: watches from an earlier revision return
// object.ErrHistoryGone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedAt = s.revision
	s.history = nil
}

// Calls returns the number of calls.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Names returns the sorted names of a kind's objects.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Close waits for late writes to take effect.
func (s *Store) Close() { s.lateWrites.Wait() }

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// startCall counts a call and applies the faults that make it fail before it has
// any effect.
func (s *Store) startCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	for s.faults.Unresponsive {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return object.ErrUnavailable
		case <-changed:
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return object.ErrRefused
	}
	return nil
}

// Get reads one object.
func (s *Store) Get(ctx context.Context, kind, name string, freshness object.Freshness) (object.Entry, error) {
	if s.startCall(ctx) != nil {
		return object.Entry{}, object.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.objects[kind][name]
	if !ok || (freshness == object.Stale && s.faults.StaleMiss) {
		return object.Entry{}, object.ErrNotFound
	}
	return entry, nil
}

// List reads all objects of a kind.
func (s *Store) List(ctx context.Context, kind string, _ object.Freshness) ([]object.Entry, uint64, error) {
	if s.startCall(ctx) != nil {
		return nil, 0, object.ErrUnavailable
	}
	names := s.Names(kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == s.faults.FailLists {
		return nil, 0, object.ErrUnavailable
	}
	entries := make([]object.Entry, 0, len(names))
	for _, name := range names {
		entries = append(entries, s.objects[kind][name])
	}
	return entries, s.revision, nil
}

// Watch waits up to the given time for changes after a revision.
func (s *Store) Watch(
	ctx context.Context, kind string, after uint64, wait time.Duration,
) ([]object.Change, uint64, error) {
	if s.startCall(ctx) != nil {
		return nil, 0, object.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.compactedAt && !s.faults.NoChanges {
			s.mu.Unlock()
			return nil, 0, object.ErrHistoryGone
		}
		var changes []object.Change
		for _, h := range s.history {
			if h.kind == kind && h.revision > after && !s.faults.NoChanges {
				changes = append(changes, h.change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			return changes, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, object.ErrUnavailable
		case <-timer.C:
			return nil, after, nil
		case <-changed:
		}
	}
}

// Create creates an object; it fails if the object exists.
func (s *Store) Create(ctx context.Context, kind, name string, spec []byte) (object.Entry, error) {
	return s.write(ctx, func() (object.Entry, error) {
		if found, ok := s.objects[kind][name]; ok {
			return object.Entry{}, &object.ExistsError{Found: found}
		}
		return s.put(kind, object.Entry{Name: name, Spec: spec}), nil
	})
}

// Replace replaces an object's spec if the object has the given revision; 0 matches
// any revision.
func (s *Store) Replace(
	ctx context.Context, kind, name string, spec []byte, revision uint64,
) (object.Entry, error) {
	return s.write(ctx, func() (object.Entry, error) {
		found, ok := s.objects[kind][name]
		if !ok {
			return object.Entry{}, object.ErrNotFound
		}
		if revision != 0 && found.Revision != revision {
			return object.Entry{}, &object.ExistsError{Found: found}
		}
		return s.put(kind, object.Entry{Name: name, Spec: spec, Status: found.Status}), nil
	})
}

// SetStatus replaces an object's status.
func (s *Store) SetStatus(ctx context.Context, kind, name string, status []byte) error {
	_, err := s.write(ctx, func() (object.Entry, error) {
		found, ok := s.objects[kind][name]
		if !ok {
			return object.Entry{}, object.ErrNotFound
		}
		found.Status = status
		return s.put(kind, found), nil
	})
	return err
}

// Delete removes an object.
func (s *Store) Delete(ctx context.Context, kind, name string) error {
	_, err := s.write(ctx, func() (object.Entry, error) {
		found, ok := s.objects[kind][name]
		if !ok {
			return object.Entry{}, object.ErrNotFound
		}
		s.revision++
		found.Revision = s.revision
		delete(s.objects[kind], name)
		s.appendHistory(kind, object.Change{Entry: found, Removed: true})
		return found, nil
	})
	return err
}

// write applies a write. As the faults demand, it delays the write or reports
// an unknown outcome.
func (s *Store) write(ctx context.Context, apply func() (object.Entry, error)) (object.Entry, error) {
	if err := s.startCall(ctx); err != nil {
		if err == object.ErrUnavailable {
			return object.Entry{}, object.ErrOutcomeUnknown
		}
		return object.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		delay := s.faults.LateDelay
		s.lateWrites.Go(func() {
			time.Sleep(delay)
			s.mu.Lock()
			defer s.mu.Unlock()
			// The write has no effect if its condition no longer holds.
			_, _ = apply()
		})
		return object.Entry{}, object.ErrOutcomeUnknown
	}
	entry, err := apply()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return object.Entry{}, object.ErrOutcomeUnknown
	}
	return entry, err
}

func (s *Store) put(kind string, entry object.Entry) object.Entry {
	s.revision++
	entry.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object.Entry)
	}
	s.objects[kind][entry.Name] = entry
	s.appendHistory(kind, object.Change{Entry: entry})
	return entry
}

func (s *Store) appendHistory(kind string, change object.Change) {
	s.history = append(s.history, historyEntry{kind: kind, revision: s.revision, change: change})
	s.notifyWatchers()
}
