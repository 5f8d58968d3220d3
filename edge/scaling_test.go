package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/platform/fake"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	scalingTestLimit = 30 * time.Second
	scalingTestLease = 1500 * time.Millisecond
)

type (
	// scalingHosts are hosts that order endpoints of one service in the domains a and b.
	scalingHosts struct {
		api   *fake.Duties
		store *memory.Store
		hosts map[string]*scaling
		gone  map[string]*atomic.Bool
		// ranked holds the names of the hosts by rank.
		ranked []string
		// items is the number of items that wait at the host ranked last.
		items atomic.Int64
	}

	scalingPeers struct {
		hosts *scalingHosts
		name  string
	}
)

func (p scalingPeers) Keepers() []string { return p.hosts.ranked }
func (p scalingPeers) Discovered() bool  { return true }

func (p scalingPeers) callHost(_ context.Context, name string, call *wirepb.Frame) (*wirepb.Frame, error) {
	if p.hosts.gone[name].Load() || !p.hosts.hosts[name].serve(call.GetUsageCall()) {
		return nil, errors.New("refused")
	}
	return &wirepb.Frame{}, nil
}

// startScaling starts hosts; addressOf returns the address of the API for the host of a rank.
func startScaling(t *testing.T, hosts int, addressOf func(rank int, address string) string) *scalingHosts {
	t.Helper()
	s := &scalingHosts{
		api: fake.StartDuties(scalingTestLease, 0), store: memory.New(), hosts: make(map[string]*scaling), gone: make(map[string]*atomic.Bool),
	}
	t.Cleanup(s.api.Close)
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("host", i))
	}
	s.ranked = rendez.Top(leaderKey, names, hosts)
	table := routes.NewTable(1, nil, []routes.Service{{
		Name: "pool", Slots: 8, Models: []string{"m"}, Scaling: routes.Scaling{MinReplicas: 1, MaxReplicas: 3},
	}}, nil, routes.Limits{})
	f := fleet.New(time.Now)
	for _, domain := range []string{"a", "b"} {
		f.Put(fleet.Entry{ID: "e" + domain, Service: "pool", Domain: domain, Address: "x:1", Slots: 8})
	}
	for rank, name := range s.ranked {
		s.gone[name] = &atomic.Bool{}
		s.hosts[name] = newScaling(scalingDeps{
			Name: name, Incarnation: 1, Peers: scalingPeers{hosts: s, name: name}, Fleet: f,
			Lease:   lease.New(s.store, leaseScaling, name, 1, scalingTestLease, 100*time.Millisecond, waits.Boottime),
			Backlog: func(string) []batch.Backlog { return s.backlog(rank) },
			Routes:  func() *routes.Table { return table }, Listed: func() bool { return true },
			Order: platform.NewDuties(addressOf(rank, s.api.Address()), nil).OrderEndpoints, Scope: tally.NoopScope, Logger: zap.NewNop(),
		})
	}
	return s
}

// backlog returns what is left to do at the host of a rank.
func (s *scalingHosts) backlog(rank int) []batch.Backlog {
	if n := int(s.items.Load()); n > 0 && rank == len(s.ranked)-1 {
		return []batch.Backlog{{Model: "m", Waiting: n, Due: time.Second}}
	}
	return nil
}

// run runs a host until the test or the returned function ends it.
func (s *scalingHosts) run(t *testing.T, name string) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.hosts[name].run(ctx) })
	group.Go(func() error { return s.hosts[name].runDemand(ctx) })
	stop = func() {
		s.gone[name].Store(true)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(stop)
	return stop
}

// taken returns the number that each domain was ordered last, and by which host.
func (s *scalingHosts) taken() (numbers map[string]int, holders []string) {
	numbers = make(map[string]int)
	for _, call := range s.api.Calls() {
		if call.Status == 200 {
			numbers[call.Subject] = call.Desired
			holders = append(holders, call.Holder)
		}
	}
	return numbers, slices.Compact(holders)
}

func (s *scalingHosts) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(scalingTestLimit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s; calls %+v", scalingTestLimit, what, s.api.Calls())
		}
	}
}

// TestScalingByOneHost guards against demand that does not reach the host that decides,
// and against orders that are repeated after they were taken.
func TestScalingByOneHost(t *testing.T) {
	t.Parallel()
	s := startScaling(t, 3, func(_ int, address string) string { return address })
	for _, name := range s.ranked {
		s.run(t, name)
	}
	s.api.SetNoneAvailable("b", true)
	s.items.Store(16)
	s.eventually(t, "both domains were ordered", func() bool {
		numbers, _ := s.taken()
		return numbers["pool/a"] == 3 && len(s.api.Calls()) > len(numbers)
	})
	s.api.SetNoneAvailable("b", false)
	s.eventually(t, "the other domain has its endpoints", func() bool {
		numbers, _ := s.taken()
		return numbers["pool/b"] > 1
	})
	_, holders := s.taken()
	check.Equal(t, "holders", holders, s.ranked[:1])
	check.Equal(t, "violations", s.api.Violations(), nil)
}

// TestScalingByNextHost guards against orders that nobody sends while the first host is
// there and can't reach the API, or is gone.
func TestScalingByNextHost(t *testing.T) {
	t.Parallel()
	s := startScaling(t, 3, func(rank int, address string) string {
		if rank == 0 {
			return "127.0.0.1:1"
		}
		return address
	})
	var stops []func()
	for _, name := range s.ranked {
		stops = append(stops, s.run(t, name))
	}
	s.items.Store(11)
	s.eventually(t, "the second host has ordered", func() bool {
		_, holders := s.taken()
		return slices.Equal(holders, s.ranked[1:2])
	})
	stops[0]()
	stops[1]()
	s.items.Store(30)
	s.eventually(t, "the third host has ordered", func() bool {
		numbers, holders := s.taken()
		return slices.Contains(holders, s.ranked[2]) && numbers["pool/a"] == 3
	})
	check.Equal(t, "violations", s.api.Violations(), nil)
}
