package mirror

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/access"
	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/routes"
)

type (
	// keyFleet is a store with versions of the configuration and hosts that mirror it, in
	// simulated time.
	keyFleet struct {
		now   time.Duration
		store *history
		// keys holds the keys of each version by its revision, changedAt when each key was
		// last added or removed.
		keys      map[uint64]map[string]bool
		current   map[string]bool
		changedAt map[string]time.Duration
		hosts     []*keyHost
		policy    access.Policy
	}

	keyHost struct {
		mirror *Mirror
		table  *routes.Table
		sent   *outbox
		inbox  [][]Update
		// cut is true if the host reaches neither the store nor other hosts.
		cut bool
	}
)

func newKeyFleet(hosts int, failClosed bool) *keyFleet {
	f := &keyFleet{
		now: time.Hour, store: &history{hidden: make(map[uint64]bool)}, keys: make(map[uint64]map[string]bool),
		current: make(map[string]bool), changedAt: make(map[string]time.Duration),
		policy: access.Policy{ConfirmLimit: 3 * time.Second, FailClosed: failClosed, RevokeLimit: 5 * time.Second},
	}
	f.publish("k0")
	for range hosts {
		f.hosts = append(f.hosts, &keyHost{})
	}
	for i := range f.hosts {
		f.restart(i)
		f.list(i)
	}
	for i, h := range f.hosts {
		f.list(i)
		h.inbox = nil
	}
	return f
}

// publish stores a version of the configuration with the keys.
func (f *keyFleet) publish(keys ...string) {
	f.store.change("main", false)
	next := make(map[string]bool)
	for _, key := range keys {
		next[key] = true
	}
	for _, key := range []string{"k0", "k1", "k2"} {
		if next[key] != f.current[key] {
			f.changedAt[key] = f.now
		}
	}
	f.keys[f.store.revision()], f.current = next, next
}

// restart starts a host without a copy.
func (f *keyFleet) restart(i int) {
	h := f.hosts[i]
	*h = keyHost{sent: &outbox{}, cut: h.cut}
	h.mirror = New(f.store, h.sent, 3*time.Second, zap.NewNop(), Kind{Name: kind, Apply: func(change object.Change, _ bool) {
		revision := change.Entry.Revision
		if change.Entry.Name != "main" || h.table != nil && h.table.Version() >= revision {
			return
		}
		teams := []routes.Team{{Name: "without keys"}}
		for key := range f.keys[revision] {
			teams = append(teams, routes.Team{Name: key, Keys: []routes.KeyDigest{routes.DigestKey(key)}})
		}
		h.table = routes.NewTable(revision, nil, nil, teams, routes.Limits{})
	}})
	h.mirror.clock = func() time.Duration { return f.now }
}

// list lets a host list and send the changes.
func (f *keyFleet) list(i int) {
	if h := f.hosts[i]; !h.cut {
		h.mirror.listKinds(context.Background(), true)
		f.collect(i)
	}
}

// watch lets a host read the changes since its copy, and send them.
func (f *keyFleet) watch(i int) {
	h := f.hosts[i]
	if h.cut || !h.mirror.Listed(kind) {
		return
	}
	update := h.mirror.applyWatch(kind, f.store.since(h.mirror.kinds[kind].revision), f.store.revision(), false)
	if len(update.Changes) > 0 {
		h.sent.Broadcast([]Update{update})
	}
	f.collect(i)
}

// collect puts what a host has sent on the way to the others.
func (f *keyFleet) collect(i int) {
	for _, updates := range f.hosts[i].sent.sent {
		for j, other := range f.hosts {
			if j != i {
				other.inbox = append(other.inbox, updates)
			}
		}
	}
	f.hosts[i].sent.sent = nil
}

// deliver lets a host receive its nth update, which may have been on the way for any time.
func (f *keyFleet) deliver(i, n int) {
	h := f.hosts[i]
	if n >= len(h.inbox) {
		return
	}
	u := h.inbox[n]
	h.inbox = append(h.inbox[:n:n], h.inbox[n+1:]...)
	if !h.cut {
		h.mirror.Apply(u)
	}
}

// request returns a host's decision on a request with a key.
func (f *keyFleet) request(i int, key string) access.Decision {
	h := f.hosts[i]
	return access.Decide(h.table, routes.Route{}, []string{"Bearer " + key}, h.mirror.Age(kind), f.policy)
}

// TestRandomVersionsAndRequests changes the keys at random while hosts list, watch,
// restart and are cut off, and updates are late, lost and overtaken. No host may serve a
// request by a key that was removed longer ago than the age of its copy, or than the limit
// if it fails closed; and no host may finally refuse a key that each version in the limit
// has.
func TestRandomVersionsAndRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newKeyFleet(3, rapid.Bool().Draw(t, "fail closed"))
		host := func(t *rapid.T) int { return rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				f.publish(rapid.SliceOfDistinct(rapid.SampledFrom([]string{"k0", "k1", "k2"}), rapid.ID[string]).Draw(t, "keys")...)
			},
			"other object": func(t *rapid.T) { f.store.change("other", rapid.Bool().Draw(t, "removed")) },
			"wait":         func(t *rapid.T) { f.now += time.Duration(rapid.IntRange(200, 2500).Draw(t, "ms")) * time.Millisecond },
			"list": func(t *rapid.T) {
				f.store.lag = rapid.Uint64Range(0, 3).Draw(t, "lag")
				f.list(host(t))
			},
			"watch":   func(t *rapid.T) { f.watch(host(t)) },
			"deliver": func(t *rapid.T) { f.deliver(host(t), rapid.IntRange(0, 3).Draw(t, "update")) },
			"merge": func(t *rapid.T) {
				h := f.hosts[host(t)]
				if len(h.inbox) > 1 {
					h.inbox = append([][]Update{Merge(h.inbox[0], h.inbox[1])}, h.inbox[2:]...)
				}
			},
			"cut":     func(t *rapid.T) { h := f.hosts[host(t)]; h.cut = !h.cut },
			"restart": func(t *rapid.T) { f.restart(host(t)) },
			"": func(t *rapid.T) {
				for i := range f.hosts {
					for key, changedAt := range f.changedAt {
						f.assertDecision(t, i, key, f.now-changedAt)
					}
				}
			},
		})
	})
}

// assertDecision checks a host's decision on a key that was added or removed some time ago.
func (f *keyFleet) assertDecision(t *rapid.T, i int, key string, ago time.Duration) {
	t.Helper()
	age := f.hosts[i].mirror.Age(kind)
	known := age < math.MaxInt64 && ago > age
	switch d := f.request(i, key).(type) {
	case access.Allowed:
		if !f.current[key] && (known || f.policy.FailClosed && ago > f.policy.RevokeLimit) {
			t.Fatalf("host %d serves %s, which was removed %v ago; its copy is %v old", i, key, ago, age)
		}
	case access.Denied:
		if f.current[key] && ago > f.policy.ConfirmLimit {
			t.Fatalf("host %d refuses %s (%v), which was added %v ago; its copy is %v old", i, key, d.Cause, ago, age)
		}
	case access.Unsure:
		if age <= f.policy.ConfirmLimit {
			t.Fatalf("host %d can't decide (%v) by a copy that is %v old", i, d.Cause, age)
		}
	}
}

// TestKeyRemovedWhileCutOff guards against a host that serves a removed key for ever since
// it is cut off, and against one that fails closed where this is not set.
func TestKeyRemovedWhileCutOff(t *testing.T) {
	for _, failClosed := range []bool{false, true} {
		t.Run(fmt.Sprint("fail closed ", failClosed), func(t *testing.T) {
			f := newKeyFleet(2, failClosed)
			f.hosts[1].cut = true
			f.publish("k1")
			f.list(0)
			f.deliver(1, 0)
			check.Equal(t, "at the other host", f.request(0, "k0"), access.Decision(access.Denied{Cause: access.UnknownKey}))
			check.Equal(t, "cut off, at once", f.request(1, "k0"), access.Decision(access.Allowed{Team: "k0"}))
			check.Equal(t, "the new key, at once", f.request(1, "k1"), access.Decision(access.Denied{Cause: access.UnknownKey}))
			f.now += f.policy.ConfirmLimit + time.Second
			unsure, _ := f.request(1, "k1").(access.Unsure)
			check.Equal(t, "the new key, cut off for longer", unsure.Cause, access.UnknownUnconfirmed)
			f.now += f.policy.RevokeLimit
			_, allowed := f.request(1, "k0").(access.Allowed)
			check.Equal(t, "served by an old copy", allowed, !failClosed)
			f.hosts[1].cut = false
			f.list(1)
			check.Equal(t, "connected again", f.request(1, "k0"), access.Decision(access.Denied{Cause: access.UnknownKey}))
			check.Equal(t, "the new key, connected again", f.request(1, "k1"), access.Decision(access.Allowed{Team: "k1"}))
		})
	}
}

// TestAge checks what confirms a copy, and as of when.
func TestAge(t *testing.T) {
	const unconfirmed = time.Minute
	readAt := func(m *Mirror, ago time.Duration) Update {
		return Update{
			Kind: kind, Previous: 1, Revision: 1, Names: digest(func(yield func(string) bool) { yield("main") }), ReadAt: m.clock() - ago,
		}
	}
	for name, tc := range map[string]struct {
		do  func(m *Mirror)
		age time.Duration
	}{
		"nothing":               {func(*Mirror) {}, unconfirmed},
		"its list":              {func(m *Mirror) { m.listKinds(context.Background(), false) }, 0},
		"an update from a list": {func(m *Mirror) { m.Apply([]Update{readAt(m, 0)}) }, 0},
		"a late update":         {func(m *Mirror) { m.Apply([]Update{readAt(m, 6*time.Second)}) }, 6 * time.Second},
		"an older update": {func(m *Mirror) {
			u := readAt(m, time.Hour)
			u.Previous, u.Revision = 0, 0
			m.Apply([]Update{u})
		}, unconfirmed},
		"one read in time to come": {func(m *Mirror) { m.Apply([]Update{readAt(m, -time.Hour)}) }, unconfirmed},
		"an update from a watch":   {func(m *Mirror) { m.Apply([]Update{{Kind: kind, Previous: 1, Revision: 1}}) }, unconfirmed},
		"one of an older release": {func(m *Mirror) {
			u := readAt(m, 0)
			u.ReadAt = 0
			m.Apply([]Update{u})
		}, unconfirmed},
		"an update after a gap": {func(m *Mirror) {
			u := readAt(m, 0)
			u.Previous, u.Revision = 7, 8
			m.Apply([]Update{u})
		}, unconfirmed},
		"an update of other kinds": {func(m *Mirror) {
			u := readAt(m, 0)
			u.Kind = "servers"
			m.Apply([]Update{u})
		}, unconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newKeyFleet(1, false)
			f.restart(0)
			m := f.hosts[0].mirror
			f.list(0)
			check.Equal(t, "after the first list, which may be stale", m.Age(kind), math.MaxInt64)
			f.list(0)
			f.now += unconfirmed
			tc.do(m)
			f.now += time.Second
			check.Equal(t, "age", m.Age(kind), tc.age+time.Second)
		})
	}
}

// TestAgeInVersionStorm guards against a copy that is not confirmed, or not the newest,
// while versions follow each other faster than updates are sent.
func TestAgeInVersionStorm(t *testing.T) {
	const versions = 300
	store := memory.New()
	put(t, store, "main", "0")
	fleet, recorders := startFleet(t, store)
	for _, r := range recorders {
		r.await(t, map[string]string{"main": "0"}, bound)
	}
	for start, n := time.Now(), 1; n <= versions; n++ {
		put(t, store, "main", fmt.Sprint(n))
		for i, m := range fleet.mirrors {
			if age := m.Age(kind); time.Since(start) > bound && age > bound {
				t.Fatalf("the copy of node %d is %v old at version %d", i, age, n)
			}
		}
		for _, r := range recorders {
			for len(r.applied) > 0 {
				<-r.applied
			}
		}
		// The versions are spread over the time between two lists and longer.
		time.Sleep(10 * time.Millisecond)
	}
	for _, r := range recorders {
		r.await(t, map[string]string{"main": fmt.Sprint(versions)}, bound)
	}
}
