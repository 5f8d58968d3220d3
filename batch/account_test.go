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
		problem   string
		tasks     sync.WaitGroup
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
	s := &accountSite{lateSite: newLateSite(seed), t: t}
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
