package batch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/relay"
)

const (
	// accountBytes is the memory of a host for batches.
	accountBytes = 200 << 10
	// accountRetention is how long results can be read, longer than a batch's items may run.
	accountRetention = 3 * time.Minute
	// accountValueBytes is the size of an object, so that long batches have several parts and chunks.
	accountValueBytes = 1000
	// listBound is how long after a batch's time, or after the last fault, its items must be listed.
	listBound = 30 * time.Second
)

type (
	// accountSite is a lateSite whose hosts have little memory for batches, are removed and are
	// replaced by new ones.
	accountSite struct {
		*lateSite
		t *testing.T

		accountMu sync.Mutex
		live      []string
		added     int
		accepted  map[string]*accountBatch
		problem   string
		tasks     sync.WaitGroup
	}

	// accountBatch is an accepted batch.
	accountBatch struct {
		items      []string
		acceptedAt time.Time
		ended      bool
	}

	// accountPeers is a host's view of the other hosts. A host that was removed does not answer.
	accountPeers struct{ readPeers }

	// accountStore is a host's way to a store that lists everything.
	accountStore struct{ lateStore }
)

func (s accountStore) List(ctx context.Context, kind string, freshness object.Freshness) ([]object.Entry, uint64, error) {
	return s.Store.List(ctx, kind, freshness)
}

func (p accountPeers) BodyAt(ctx context.Context, name, id, item string) ([]byte, error) {
	if p.cluster.at(name) == nil || !p.Alive(name, 1) || !p.site.travel(p.name, name, 20*time.Millisecond) {
		return nil, ErrUndetermined
	}
	return p.clusterPeers.BodyAt(ctx, name, id, item)
}

func (p accountPeers) FindAt(ctx context.Context, name, id string) (Notification, error) {
	if !p.Alive(name, 1) {
		return Notification{}, ErrUndetermined
	}
	return p.latePeers.FindAt(ctx, name, id)
}

func (p accountPeers) Offer(ctx context.Context, name string, s Submission) error {
	if !p.Alive(name, 1) {
		return ErrUndetermined
	}
	return p.latePeers.Offer(ctx, name, s)
}

func newAccountSite(t *testing.T, seed uint64, hosts int) *accountSite {
	s := &accountSite{lateSite: newLateSite(seed), t: t, accepted: make(map[string]*accountBatch)}
	for range hosts {
		s.addHost()
	}
	return s
}

// addHost starts a host whose items take up to some seconds.
func (s *accountSite) addHost() {
	s.accountMu.Lock()
	name := fmt.Sprint("h", s.added)
	s.added++
	s.accountMu.Unlock()
	p := accountPeers{readPeers{latePeers{clusterPeers{cluster: s.cluster, name: name}, s.lateSite}}}
	engine := &lateEngine{s.lateSite, name, func(request relay.Request) relay.Reply {
		if string(request.Body) != string(bodyOfTestItem(request.ID)) {
			s.fail("item %s was sent with a body of %d bytes", request.ID, len(request.Body))
		}
		time.Sleep(s.upTo(3 * time.Second))
		return oneEvent(request)
	}}
	clock := func() time.Duration { return time.Since(s.began) }
	k := startKeeperWith(s.t, name, p, accountStore{lateStore{s.store, s.lateSite, name}}, engine, clock)
	k.mu.Lock()
	k.deps.MemoryBytes, k.deps.Retention, k.deps.ValueBytes = accountBytes, accountRetention, accountValueBytes
	k.mu.Unlock()
	s.cluster.mu.Lock()
	s.keepers[name] = k
	s.cluster.mu.Unlock()
	s.accountMu.Lock()
	defer s.accountMu.Unlock()
	s.live = append(s.live, name)
}

func bodyOfTestItem(name string) []byte {
	item, err := decodeTestItem([]byte(name))
	if err != nil {
		panic(err)
	}
	return item.Body
}

func (s *accountSite) fail(format string, values ...any) {
	s.accountMu.Lock()
	defer s.accountMu.Unlock()
	if s.problem == "" {
		s.problem = fmt.Sprintf(format, values...)
	}
}

// hosts returns the names of the live hosts.
func (s *accountSite) hosts() []string {
	s.accountMu.Lock()
	defer s.accountMu.Unlock()
	return slices.Clone(s.live)
}

// host returns a live host, nil if there is none.
func (s *accountSite) host() *Keeper {
	live := s.hosts()
	if len(live) == 0 {
		return nil
	}
	return s.at(live[s.upTo(time.Duration(len(live)-1))])
}

// remove removes a host for good.
func (s *accountSite) remove(name string) {
	s.accountMu.Lock()
	s.live = slices.DeleteFunc(s.live, func(other string) bool { return other == name })
	s.accountMu.Unlock()
	s.log("%s is removed", name)
	s.setDead(name, true)
	s.tasks.Go(s.at(name).Close)
}

// closeAll ends all hosts, and the messages that are on their way.
func (s *accountSite) closeAll() {
	s.tasks.Wait()
	for _, name := range s.hosts() {
		s.at(name).Close()
	}
	time.Sleep(5 * settleBound)
}

// submit submits a batch of random size at a random host.
func (s *accountSite) submit(n int) {
	k := s.host()
	if k == nil {
		return
	}
	var items []string
	size, many := 1+s.upTo(60), 1+s.upTo(7)
	switch s.upTo(7) {
	case 0:
		size = 100 + s.upTo(150)
	case 1:
		// Without their bodies, the items take up to a half of the memory.
		size, many = 0, 20+s.upTo(100)
	}
	for i := range many {
		items = append(items, fmt.Sprintf("ok%d-%d%s%d", n, i, sizeMark, size))
	}
	id := fmt.Sprint("b", n)
	s.tasks.Go(func() {
		submission, err := decodeTest(id, "h", "/b/x", []byte(strings.Join(items, " ")))
		if err != nil {
			s.fail("%v", err)
			return
		}
		began := time.Now()
		outcome := k.Accept(s.t.Context(), submission)
		s.log("%s is submitted at %s: %d items of %d kB, %T", id, k.deps.Name, len(items), size, outcome)
		if _, ok := outcome.(Stored); ok {
			s.accountMu.Lock()
			defer s.accountMu.Unlock()
			s.accepted[id] = &accountBatch{items: items, acceptedAt: began}
		}
	})
}

// batch returns a random accepted batch, nil if there is none.
func (s *accountSite) batch() (id string, b *accountBatch) {
	s.accountMu.Lock()
	ids := slices.Sorted(maps.Keys(s.accepted))
	s.accountMu.Unlock()
	if len(ids) == 0 {
		return "", nil
	}
	id = ids[s.upTo(time.Duration(len(ids)-1))]
	s.accountMu.Lock()
	defer s.accountMu.Unlock()
	return id, s.accepted[id]
}

// readBody reads the body of a random item at a random host.
func (s *accountSite) readBody() {
	id, b := s.batch()
	k := s.host()
	if b == nil || k == nil {
		return
	}
	item := b.items[s.upTo(time.Duration(len(b.items)-1))]
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
		defer cancel()
		body, err := k.Body(ctx, id, item)
		switch {
		case errors.Is(err, ErrUnknown):
			s.fail("%s knows no body of %s of an accepted batch", k.deps.Name, item)
		case err == nil && string(body) != string(bodyOfTestItem(item)):
			s.fail("%s returns a body of %d bytes for %s", k.deps.Name, len(body), item)
		}
	})
}

// endOne ends a random batch.
func (s *accountSite) endOne() {
	id, b := s.batch()
	k := s.host()
	if b == nil || k == nil {
		return
	}
	s.tasks.Go(func() {
		// An end that is not acknowledged may be stored all the same.
		s.accountMu.Lock()
		b.ended = true
		s.accountMu.Unlock()
		err := k.End(s.t.Context(), id)
		s.log("%s is ended at %s: %v", id, k.deps.Name, err)
	})
}

// checkMemory checks what the live hosts hold. One batch alone may take more than the memory.
func (s *accountSite) checkMemory() {
	for _, name := range s.hosts() {
		held := heldByBatch(s.at(name))
		total := int64(0)
		for _, bytes := range held {
			total += bytes
		}
		if total > accountBytes && len(held) > 1 {
			s.fail("after %v %s holds %d bytes of %d batches, want at most %d: %v", time.Since(s.began), name, total, len(held), accountBytes, held)
		}
	}
}

// heldByBatch adds up the bodies that a host really holds, whatever it has counted.
func heldByBatch(k *Keeper) map[string]int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := make(map[string]int64)
	count := func(id string, items []Item) {
		for i := range items {
			held[id] += items[i].bodyBytes()
		}
		if held[id] == 0 {
			delete(held, id)
		}
	}
	for id, j := range k.jobs {
		count(id, j.submission.Items)
	}
	for id, o := range k.offers {
		count(id, o.submission.Items)
		held[id] += int64(len(o.submission.Raw))
	}
	for l := range k.loading {
		if l.bytes > 0 {
			held[l.head.ID] += l.bytes
		}
	}
	for id, c := range k.cache.batches {
		if c.index != nil {
			count(id, c.index.Items)
		}
	}
	return held
}

// checkListed waits until all items of each batch that was not ended are listed, each once.
func (s *accountSite) checkListed(id string, b *accountBatch, until time.Time) {
	listed := make(map[string]bool)
	var err error
	for time.Now().Before(until) && len(listed) < len(b.items) {
		var page Page
		if page, err = s.host().Read(s.t.Context(), id, len(listed), time.Second); err != nil || len(page.Results) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for _, r := range page.Results {
			if listed[r.Item] || !slices.Contains(b.items, r.Item) {
				s.fail("%s lists %s twice, or not its own", id, r.Item)
			}
			listed[r.Item] = true
		}
	}
	if len(listed) < len(b.items) {
		s.fail("%s has %d of %d items listed %v after its submission: %v", id, len(listed), len(b.items), time.Since(b.acceptedAt), err)
	}
}

// TestAccountSequences goes through random sequences of submissions, offers, reads, ends, losses and
// replacements of hosts and outages of the store: hosts hold no more than the memory for batches, and
// all items of accepted batches are listed in time.
func TestAccountSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			if problem := accountSequence(t, seed); problem != "" {
				rt.Errorf("seed %d: %s", seed, problem)
			}
		})
	})
}

// accountSequence plays the sequence of a seed and returns what was wrong.
func accountSequence(t *testing.T, seed uint64) string {
	s := newAccountSite(t, seed, 4)
	s.setDial(0, 100*time.Millisecond)
	stop := make(chan struct{})
	s.tasks.Go(func() {
		for {
			s.checkMemory()
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	outages := s.upTo(1) == 0
	for step := range 40 {
		switch s.upTo(9) {
		case 0, 1, 2:
			s.submit(step)
		case 3:
			if k := s.host(); k != nil {
				k.HoldOffer(fmt.Sprint("o", step), "h", "/b/x", []byte(fmt.Sprintf("ok%d%s%d", step, sizeMark, 1+s.upTo(80))))
			}
		case 4, 5:
			for range s.upTo(20) {
				s.readBody()
			}
		case 6:
			s.endOne()
		case 7:
			if k := s.host(); k != nil {
				s.remove(k.deps.Name)
				s.tasks.Go(func() {
					time.Sleep(s.upTo(20 * time.Second))
					s.addHost()
				})
			}
		case 8:
			if outages {
				s.store.SetFaults(memory.Faults{Refuse: true})
				time.AfterFunc(s.upTo(6*time.Second), func() { s.store.SetFaults(memory.Faults{}) })
			}
		case 9:
			for _, name := range s.hosts() {
				s.remove(name)
				s.tasks.Go(func() {
					time.Sleep(s.upTo(90 * time.Second))
					s.addHost()
				})
			}
		}
		time.Sleep(s.upTo(3 * time.Second))
	}
	time.Sleep(90 * time.Second)
	close(stop)
	s.tasks.Wait()
	calmAt := time.Now()
	var readers sync.WaitGroup
	for _, id := range slices.Sorted(maps.Keys(s.accepted)) {
		b := s.accepted[id]
		// A batch that is too old to be read is removed.
		if !b.ended && time.Since(b.acceptedAt) < accountRetention-listBound {
			readers.Go(func() { s.checkListed(id, b, calmAt.Add(listBound)) })
		}
	}
	readers.Wait()
	s.checkMemory()
	s.closeAll()
	if s.problem != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.problem + ":\n" + strings.Join(s.trace, "\n")
	}
	return ""
}
