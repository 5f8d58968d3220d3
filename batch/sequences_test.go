package batch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/relay"
)

const (
	// settleBound is how long after a position was read it must be readable everywhere.
	settleBound = time.Second
	// calmBound is for how long a host must have been without a fault for that to hold there.
	calmBound = 4 * time.Second
	// leaveBound is how long a host that has handed its batches over still answers others.
	leaveBound = 4 * time.Second
)

type (
	// readSite is a lateSite whose hosts are asked for results all the time. A host that is
	// suspended exchanges nothing and does not notice it afterwards, since its clock and its
	// sweeps go on: an owner must not rely on noticing that it was away.
	readSite struct {
		*lateSite
		outside *Keeper
		// calmAt is since when a host is without a fault.
		calmAt map[string]time.Time
		// results and readAt are what was read at each position, and when first.
		results map[int]string
		readAt  map[int]time.Time
		problem string
	}

	// readPeers is a host's view of the other hosts; calls take time and get lost.
	readPeers struct{ latePeers }

	// readStore is a host's way to the store on which creations take time too.
	readStore struct{ lateStore }
)

func (p readPeers) ReadAt(ctx context.Context, name, id string, after int, wait time.Duration) (Page, error) {
	type reply struct {
		page Page
		err  error
	}
	replies := make(chan reply, 1)
	go func() {
		r := reply{err: ErrUndetermined}
		if p.cluster.at(name) == nil {
			r.err = ErrNotOwner
		} else if p.site.travel(p.name, name, 50*time.Millisecond) {
			r.page, r.err = p.clusterPeers.ReadAt(ctx, name, id, after, wait)
		}
		if !p.site.travel(name, p.name, 50*time.Millisecond) {
			r.err = ErrUndetermined
		}
		replies <- r
	}()
	select {
	case <-ctx.Done():
		return Page{}, ctx.Err()
	case r := <-replies:
		return r.page, r.err
	}
}

func (p readPeers) EndAt(ctx context.Context, name string, head Head) error {
	if p.cluster.at(name) == nil {
		return ErrNotOwner
	}
	return p.latePeers.EndAt(ctx, name, head)
}

func (p readPeers) Find(ctx context.Context, id string) (Notification, bool) {
	if len(p.Keepers()) == 0 {
		return Notification{}, false
	}
	return p.clusterPeers.Find(ctx, id)
}

func (s readStore) Create(ctx context.Context, kind, name string, spec []byte) (object.Entry, error) {
	if !s.site.travel(s.name, s.name, 100*time.Millisecond) {
		return object.Entry{}, object.ErrOutcomeUnknown
	}
	entry, err := s.Store.Create(ctx, kind, name, spec)
	s.site.travel(s.name, s.name, 100*time.Millisecond)
	return entry, err
}

// add starts a host whose items take up to some seconds.
func (s *readSite) add(t *testing.T, name string, outside bool) *Keeper {
	p := readPeers{latePeers{clusterPeers{cluster: s.cluster, name: name, outside: outside}, s.lateSite}}
	engine := &lateEngine{s.lateSite, name, func(request relay.Request) relay.Reply {
		time.Sleep(s.upTo(5 * time.Second))
		return oneEvent(request)
	}}
	clock := func() time.Duration { return time.Since(s.began) }
	k := startKeeperWith(t, name, p, readStore{lateStore{s.store, s.lateSite, name}}, engine, clock)
	if !outside {
		s.cluster.mu.Lock()
		s.keepers[name] = k
		s.cluster.mu.Unlock()
	}
	return k
}

// disturb marks a host as disturbed for a time.
func (s *readSite) disturb(name string, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calmAt[name] = time.Now().Add(span)
}

func (s *readSite) calm(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.calmAt[name]) > calmBound
}

// read reads a random position at a host, and records what is wrong with the answer.
func (s *readSite) read(ctx context.Context, k *Keeper) {
	s.mu.Lock()
	after, began := s.random.IntN(len(s.results)+1), time.Now()
	s.mu.Unlock()
	page, err := k.Read(ctx, "s", after, s.upTo(time.Second))
	s.log("%s is read from %d: %d results, %v", k.deps.Name, after, len(page.Results), err)
	s.mu.Lock()
	defer s.mu.Unlock()
	readAt, ok := s.readAt[after]
	if err == nil && len(page.Results) == 0 && ok && began.Sub(readAt) > settleBound && time.Since(s.calmAt[k.deps.Name]) > calmBound {
		s.problem = fmt.Sprintf("%s has nothing at position %d, which was read %v before", k.deps.Name, after, began.Sub(readAt))
	}
	for i, r := range page.Results {
		position := after + i
		if _, ok := s.results[position]; !ok {
			s.results[position], s.readAt[position] = r.Item, time.Now()
		}
		if s.results[position] != r.Item {
			s.problem = fmt.Sprintf("%s has %s at position %d, it was %s", k.deps.Name, r.Item, position, s.results[position])
		}
	}
}

// TestReadSequences goes through random sequences of stops, suspensions, takeovers and an
// end while results are read at all hosts: what was read at a position stays there.
func TestReadSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			if problem := readSequence(t, seed); problem != "" {
				rt.Errorf("seed %d: %s", seed, problem)
			}
		})
	})
}

// readSequence plays the sequence of a seed and returns what was wrong.
func readSequence(t *testing.T, seed uint64) string {
	s := &readSite{
		lateSite: newLateSite(seed), calmAt: make(map[string]time.Time), results: make(map[int]string), readAt: make(map[int]time.Time),
	}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		s.add(t, name, false)
	}
	s.outside = s.add(t, "outside", true)
	s.setDial(0, 100*time.Millisecond)
	host := func() string { return names[s.upTo(time.Duration(len(names)-1))] }
	s.accept(t, s.at(host()), "ok0", "ok1", "ok2", "ok3", "ok4", "ok5")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var readers sync.WaitGroup
	for _, k := range []*Keeper{s.at("a"), s.at("b"), s.at("c"), s.outside} {
		readers.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(s.upTo(400 * time.Millisecond))
				if s.calm(k.deps.Name) {
					s.read(ctx, k)
				}
			}
		})
	}
	endAfter, stopped := 1+int(s.upTo(6)), make(map[string]bool)
	for step := range 8 {
		if step == endAfter {
			err := s.outside.End(ctx, "s")
			s.log("ended: %v", err)
		}
		name, span, fault := host(), s.upTo(4*time.Second), s.upTo(2)
		if stopped[name] {
			continue
		}
		s.log("fault %d of %s for %v", fault, name, span)
		switch fault {
		case 0:
			s.disturb(name, span)
			s.suspend(name)
			time.AfterFunc(span, func() { s.resume(name) })
		case 1:
			s.disturb(name, span)
			s.setDead(name, true)
			time.AfterFunc(span, func() { s.setDead(name, false) })
		case 2:
			if len(stopped) < len(names)-1 {
				stopped[name] = true
				s.disturb(name, time.Hour)
				go func() {
					leaving, cancelLeaving := context.WithTimeout(ctx, leaveBound/2)
					defer cancelLeaving()
					s.at(name).Leave(leaving)
				}()
				time.AfterFunc(leaveBound, func() { s.setDead(name, true) })
			}
		}
		time.Sleep(s.upTo(2 * time.Second))
	}
	time.Sleep(2 * calmBound)
	cancel()
	readers.Wait()
	// Calls on their way end before the hosts do.
	time.Sleep(settleBound)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.problem != "" {
		return s.problem + ":\n" + strings.Join(s.trace, "\n")
	}
	return ""
}
