// Package facts keeps what many nodes must know soon: versioned facts of which
// the highest version wins.
//
// Each node has one Store. Every change gets the next local sequence number,
// so that a neighbour that names the number it has seen receives only what
// changed since, in bounded portions. Facts may expire.
//
// # Usage
//
//	store := facts.NewStore()
//	store.Apply(fact, "")
//	changed, upto := store.Since(seen, "node-2")
package facts

import (
	"sort"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantloft/currantloft/wirepb"
)

// MaxPortion bounds the facts of one exchange, in bytes.
const MaxPortion = 16 << 10

type (
	entry struct {
		fact    *wirepb.Fact
		seq     uint64
		from    string
		expires time.Time
	}

	// Store holds facts. It is safe for concurrent use.
	Store struct {
		mu       sync.Mutex
		entries  map[string]*entry
		seq      uint64
		watchers []chan<- struct{}
		now      func() time.Time
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: make(map[string]*entry), now: time.Now}
}

// Notify makes the store send to the channel, without waiting, on each change.
func (s *Store) Notify(channel chan<- struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, channel)
}

// Apply takes a fact if it is newer than what the store holds. The name of the
// node that it came from is empty for the node's own facts.
func (s *Store) Apply(fact *wirepb.Fact, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.entries[fact.GetKey()]
	if old != nil && old.fact.GetVersion() >= fact.GetVersion() {
		return false
	}
	s.seq++
	e := &entry{fact: fact, seq: s.seq, from: from}
	if fact.GetRemainingMs() > 0 {
		e.expires = s.now().Add(time.Duration(fact.GetRemainingMs()) * time.Millisecond)
	}
	s.entries[fact.GetKey()] = e
	for _, channel := range s.watchers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
	return true
}

// Get returns the fact of this key, nil if there is none.
func (s *Store) Get(key string) *wirepb.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil || s.expired(e) {
		return nil
	}
	return e.fact
}

// Origin returns the node that the fact of this key came from.
func (s *Store) Origin(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil {
		return e.from
	}
	return ""
}

// Prefix returns all facts whose key starts with the prefix, sorted by key.
func (s *Store) Prefix(prefix string) []*wirepb.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*wirepb.Fact
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && !s.expired(e) {
			found = append(found, e.fact)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].GetKey() < found[j].GetKey() })
	return found
}

// Since returns the facts that changed after the sequence number, save those
// that came from the asking node, and the number that the portion reaches.
func (s *Store) Since(seq uint64, asking string) ([]*wirepb.Fact, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq >= s.seq {
		return nil, s.seq
	}
	var changed []*entry
	for _, e := range s.entries {
		if e.seq > seq && e.from != asking && !s.expired(e) {
			changed = append(changed, e)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].seq < changed[j].seq })
	size := 0
	portion := make([]*wirepb.Fact, 0, len(changed))
	for i, e := range changed {
		size += proto.Size(e.fact)
		if size > MaxPortion && i > 0 {
			return portion, changed[i-1].seq
		}
		portion = append(portion, s.outgoing(e))
	}
	return portion, s.seq
}

// Expire removes what has run out and returns how many facts are left.
func (s *Store) Expire() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.entries {
		if s.expired(e) {
			delete(s.entries, key)
		}
	}
	return len(s.entries)
}

func (s *Store) expired(e *entry) bool {
	return !e.expires.IsZero() && s.now().After(e.expires)
}

// outgoing returns the fact with the time that it has left.
func (s *Store) outgoing(e *entry) *wirepb.Fact {
	if e.expires.IsZero() {
		return e.fact
	}
	fact := proto.CloneOf(e.fact)
	fact.RemainingMs = max(1, e.expires.Sub(s.now()).Milliseconds())
	return fact
}
