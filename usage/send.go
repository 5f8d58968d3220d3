package usage

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

const (
	// sendInterval is the shortest interval of messages to one host, except for the last
	// counts of a window.
	sendInterval = time.Second
	// sendTimeout limits a message to another host.
	sendTimeout = time.Second
	// queryDelay is how long after a window's end a host asks whether it is reported: the
	// second host takes over 3.5 s after the end.
	queryDelay = 2800 * time.Millisecond
)

type (
	// sender decides what this host sends to which other hosts.
	sender struct {
		mu      sync.Mutex
		targets map[Host]*target
	}

	// target is what another host is known to have.
	target struct {
		sentAt time.Time
		busy   bool
		has    map[sentKey]sentState
	}

	sentKey struct {
		host   Host
		window int64
	}

	sentState struct {
		revision uint64
		final    bool
	}
)

func newSender() *sender { return &sender{targets: make(map[Host]*target)} }

// next returns the calls that are due for a host, which may be none that carry counts, and
// whether a message is due. The caller must call done after it.
func (s *sender) next(to Host, calls []Call, query bool, now time.Time) ([]Call, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[to]
	if t == nil {
		t = &target{has: make(map[sentKey]sentState)}
		s.targets[to] = t
	}
	if t.busy {
		return nil, false
	}
	early := now.Sub(t.sentAt) < sendInterval
	var due []Call
	for _, call := range calls {
		changed := Call{Host: call.Host}
		for _, w := range call.Windows {
			has, sent := t.has[sentKey{call.Host, w.ID}]
			switch {
			case sent && has.final, early && !w.Final:
			case w.Final, w.revision > has.revision:
				changed.Windows = append(changed.Windows, w)
			}
		}
		if len(changed.Windows) > 0 {
			due = append(due, changed)
		}
	}
	if len(due) == 0 && (!query || early) {
		return nil, false
	}
	t.busy, t.sentAt = true, now
	return due, true
}

// done records the result of a message.
func (s *sender) done(to Host, calls []Call, delivered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[to]
	if t == nil {
		return
	}
	t.busy = false
	if !delivered {
		return
	}
	for _, call := range calls {
		for _, w := range call.Windows {
			t.has[sentKey{call.Host, w.ID}] = sentState{revision: w.revision, final: w.Final}
		}
	}
}

// forget drops what is known of hosts that are gone and of windows that are reported.
func (s *sender) forget(active []Host, through int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	alive := make(map[Host]bool, len(active))
	for _, host := range active {
		alive[host] = true
	}
	for host, t := range s.targets {
		if !alive[host] && !t.busy {
			delete(s.targets, host)
			continue
		}
		for key := range t.has {
			if key.window <= through {
				delete(t.has, key)
			}
		}
	}
}

// sendDue sends this host's counts to the reporting host, and to those that take over if
// windows are not reported in time. Ended makes all counts the last ones.
func (r *Reporter) sendDue(ctx context.Context, sending *sync.WaitGroup, ended bool) {
	now, active := r.deps.Clock.Now(), r.deps.Peers.Active()
	ranked, rank := r.rank()
	own := Call{Host: r.self, Windows: r.deps.Ledger.Snapshot(ended)}
	through := r.gathered.record(now, own)
	r.sender.forget(active, through)
	first, _ := r.gathered.unreported(now)
	query := now.Sub(windowEnd(first, r.deps.Length)) >= queryDelay
	// Hosts that are gone may have sent their counts only to this one.
	calls := append([]Call{own}, r.gathered.ofGone(active)...)
	for i, name := range ranked {
		// All hosts send to the first one, which sends to the second one, since it may die.
		regular := i == 0 || i == 1 && rank == 0
		to, ok := hostNamed(active, name)
		if !ok || name == r.self.Name || !regular && !r.gathered.overdue(now, i) {
			continue
		}
		due, ok := r.sender.next(to, calls, query, now)
		if !ok {
			continue
		}
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			reported, err := r.deps.Peers.Send(ctx, name, due)
			r.sender.done(to, due, err == nil)
			if err != nil {
				event.UsageNotSent.Log(r.deps.Logger, zap.String("host", name), zap.Error(err))
				return
			}
			r.advance(reported)
		})
	}
}

// advance records that all windows up to one are reported.
func (r *Reporter) advance(through int64) {
	r.gathered.advance(through)
	r.deps.Ledger.Drop(r.gathered.reportedThrough())
}

func hostNamed(hosts []Host, name string) (Host, bool) {
	for _, host := range hosts {
		if host.Name == name {
			return host, true
		}
	}
	return Host{}, false
}
