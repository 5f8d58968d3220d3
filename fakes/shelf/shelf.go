// Package shelf is a stand-in for the platform's object store, in memory: one
// revision counter, creations that never replace, conditional writes, watches,
// and faults to order.
//
// # Usage
//
//	s := shelf.New()
//	s.SetFaults(shelf.Faults{Refuse: true})
//	_, err := s.Create(ctx, "kind", "name", []byte(`{}`))
package shelf

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/currantloft/currantloft/object"
)

type (
	// Faults are what goes wrong from now on.
	Faults struct {
		// Silent makes every call hang until its context ends.
		Silent bool
		// Refuse makes every call fail with a definite refusal.
		Refuse bool
		// LoseAnswers lets so many writes take effect and loses their answers.
		LoseAnswers int
		// Late lets so many writes take effect after the given delay only, without
		// an answer.
		Late int
		// LateBy is that delay.
		LateBy time.Duration
		// Deaf makes watches hear nothing.
		Deaf bool
		// Behind makes stale reads of single objects find nothing.
		Behind bool
	}

	// Shelf is safe for concurrent use.
	Shelf struct {
		mu       sync.Mutex
		revision uint64
		objects  map[string]map[string]object.Entry
		log      []logged
		changed  chan struct{}
		faults   Faults
		oldest   uint64
		calls    int
		late     sync.WaitGroup
	}

	logged struct {
		kind     string
		revision uint64
		change   object.Change
	}
)

var _ object.Store = (*Shelf)(nil)

// New returns an empty store.
func New() *Shelf {
	return &Shelf{objects: make(map[string]map[string]object.Entry), changed: make(chan struct{}), revision: 1}
}

// SetFaults sets what goes wrong from now on.
func (s *Shelf) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wake()
}

// Compact drops the history.
func (s *Shelf) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.log = nil
}

// Calls returns how many calls came.
func (s *Shelf) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Names returns the names of a kind's objects in order.
func (s *Shelf) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Close waits for writes that take effect late.
func (s *Shelf) Close() { s.late.Wait() }

func (s *Shelf) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// enter counts a call and applies the faults that stop it.
func (s *Shelf) enter(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	for s.faults.Silent {
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
func (s *Shelf) Get(ctx context.Context, kind, name string, read object.Read) (object.Entry, error) {
	if s.enter(ctx) != nil {
		return object.Entry{}, object.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.objects[kind][name]
	if !ok || (read == object.Stale && s.faults.Behind) {
		return object.Entry{}, object.ErrNotFound
	}
	return entry, nil
}

// List reads all objects of a kind.
func (s *Shelf) List(ctx context.Context, kind string, _ object.Read) ([]object.Entry, uint64, error) {
	if s.enter(ctx) != nil {
		return nil, 0, object.ErrUnavailable
	}
	names := s.Names(kind)
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]object.Entry, 0, len(names))
	for _, name := range names {
		entries = append(entries, s.objects[kind][name])
	}
	return entries, s.revision, nil
}

// Watch waits for changes after a revision.
func (s *Shelf) Watch(
	ctx context.Context, kind string, after uint64, wait time.Duration,
) ([]object.Change, uint64, error) {
	if s.enter(ctx) != nil {
		return nil, 0, object.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.oldest && !s.faults.Deaf {
			s.mu.Unlock()
			return nil, 0, object.ErrHistoryGone
		}
		var changes []object.Change
		for _, l := range s.log {
			if l.kind == kind && l.revision > after && !s.faults.Deaf {
				changes = append(changes, l.change)
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

// Create makes an object.
func (s *Shelf) Create(ctx context.Context, kind, name string, spec []byte) (object.Entry, error) {
	return s.write(ctx, func() (object.Entry, error) {
		if found, ok := s.objects[kind][name]; ok {
			return object.Entry{}, &object.ExistsError{Found: found}
		}
		return s.put(kind, object.Entry{Name: name, Spec: spec}), nil
	})
}

// Replace writes an object that still has the revision.
func (s *Shelf) Replace(
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

// SetStatus writes an object's status.
func (s *Shelf) SetStatus(ctx context.Context, kind, name string, status []byte) error {
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
func (s *Shelf) Delete(ctx context.Context, kind, name string) error {
	_, err := s.write(ctx, func() (object.Entry, error) {
		found, ok := s.objects[kind][name]
		if !ok {
			return object.Entry{}, object.ErrNotFound
		}
		s.revision++
		found.Revision = s.revision
		delete(s.objects[kind], name)
		s.note(kind, object.Change{Entry: found, Removed: true})
		return found, nil
	})
	return err
}

// write applies a write and the faults that concern its answer.
func (s *Shelf) write(ctx context.Context, apply func() (object.Entry, error)) (object.Entry, error) {
	if err := s.enter(ctx); err != nil {
		if err == object.ErrUnavailable {
			return object.Entry{}, object.ErrUnsure
		}
		return object.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Late > 0 {
		s.faults.Late--
		delay := s.faults.LateBy
		s.late.Go(func() {
			time.Sleep(delay)
			s.mu.Lock()
			defer s.mu.Unlock()
			// A write whose condition no longer holds is dropped.
			_, _ = apply()
		})
		return object.Entry{}, object.ErrUnsure
	}
	entry, err := apply()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return object.Entry{}, object.ErrUnsure
	}
	return entry, err
}

func (s *Shelf) put(kind string, entry object.Entry) object.Entry {
	s.revision++
	entry.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object.Entry)
	}
	s.objects[kind][entry.Name] = entry
	s.note(kind, object.Change{Entry: entry})
	return entry
}

func (s *Shelf) note(kind string, change object.Change) {
	s.log = append(s.log, logged{kind: kind, revision: s.revision, change: change})
	s.wake()
}
