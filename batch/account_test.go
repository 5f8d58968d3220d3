package batch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

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
