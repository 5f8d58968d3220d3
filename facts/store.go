// Package facts stores versioned facts that must reach many nodes quickly. For each
// key the highest version wins.
//
// Each node has one Store. Every change gets the next sequence number of the local
// store, so a peer that sends the last number it has seen receives only the changes
// since, in pages of bounded size. Facts may expire.
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

// MaxPageBytes bounds the facts of one exchange, in bytes. A single larger fact is
// still sent.
const MaxPageBytes = 16 << 10

type (
	entry struct {
		fact    *wirepb.Fact
		seq     uint64
		origin  string
		expires time.Time
	}

	// Store holds facts. It is safe for concurrent use.
	Store struct {
		mu          sync.Mutex
		entries     map[string]*entry
		seq         uint64
		subscribers []chan<- struct{}
		now         func() time.Time
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: make(map[string]*entry), now: time.Now}
}

// Subscribe makes the store send to the channel on each change. It skips the send
// if the channel is not ready.
func (s *Store) Subscribe(channel chan<- struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, channel)
}

// Apply stores a fact if it has a higher version than the stored one, and reports
// whether it did. Origin is the name of the node that sent the fact, empty for
// this node's own facts.
func (s *Store) Apply(fact *wirepb.Fact, origin string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.entries[fact.GetKey()]
	if existing != nil && existing.fact.GetVersion() >= fact.GetVersion() {
		return false
	}
	s.seq++
	e := &entry{fact: fact, seq: s.seq, origin: origin}
	if fact.GetRemainingMs() > 0 {
		e.expires = s.now().Add(time.Duration(fact.GetRemainingMs()) * time.Millisecond)
	}
	s.entries[fact.GetKey()] = e
	for _, channel := range s.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
	return true
}

// Get returns the fact of this key, or nil if there is none or it has expired.
func (s *Store) Get(key string) *wirepb.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil || s.expired(e) {
		return nil
	}
	return e.fact
}

// Origin returns the name of the node that sent the fact of this key, empty if
// this node published it or there is none.
func (s *Store) Origin(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[key]; e != nil {
		return e.origin
	}
	return ""
}

// Prefix returns all unexpired facts whose key starts with the prefix, sorted by
// key.
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

// Since returns the next page of the facts that changed after the sequence number,
// without those that came from the recipient, and the number up to which the page
// is complete.
func (s *Store) Since(seq uint64, recipient string) ([]*wirepb.Fact, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq >= s.seq {
		return nil, s.seq
	}
	var changed []*entry
	for _, e := range s.entries {
		if e.seq > seq && e.origin != recipient && !s.expired(e) {
			changed = append(changed, e)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].seq < changed[j].seq })
	size := 0
	page := make([]*wirepb.Fact, 0, len(changed))
	for i, e := range changed {
		size += proto.Size(e.fact)
		if size > MaxPageBytes && i > 0 {
			return page, changed[i-1].seq
		}
		page = append(page, s.outgoing(e))
	}
	return page, s.seq
}

// Expire removes the expired facts and returns how many are left.
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

// outgoing returns the fact with its remaining lifetime.
func (s *Store) outgoing(e *entry) *wirepb.Fact {
	if e.expires.IsZero() {
		return e.fact
	}
	fact := proto.CloneOf(e.fact)
	fact.RemainingMs = max(1, e.expires.Sub(s.now()).Milliseconds())
	return fact
}
