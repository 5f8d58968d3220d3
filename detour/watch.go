package detour

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/waits"
)

const (
	// watchInterval is how often paths are looked at while some are in use or broken.
	watchInterval = 50 * time.Millisecond
	// checkTimeout limits a check, which opens a connection, and hostCheckTimeout one
	// through another host, which may answer only after serveDialTimeout.
	checkTimeout     = 100 * time.Millisecond
	hostCheckTimeout = serveDialTimeout + 80*time.Millisecond
	// minSilence and minStreamSilence are how long nothing may have come for a request,
	// or within its answer, before it is given up on a broken path.
	minSilence       = 150 * time.Millisecond
	minStreamSilence = 300 * time.Millisecond
	// announceInterval is how often the other hosts are told how many endpoints only they
	// reach.
	announceInterval = 2 * time.Second
	// cleanInterval is how often the records of endpoints that are gone are dropped.
	cleanInterval = 10 * time.Second
)

// Run checks silent and broken paths and gives up requests whose path is broken, until
// the context ends.
func (s *Sender) Run(ctx context.Context) error {
	var checks sync.WaitGroup
	defer checks.Wait()
	cleanAt, announceAt, unreached := time.Now().Add(cleanInterval), time.Time{}, 0
	for ctx.Err() == nil {
		if !s.deps.Book.Watching() {
			select {
			case <-ctx.Done():
				return nil
			case <-s.wake:
			case path := <-s.suspects:
				s.Suspect(path.Address)
			}
		}
		if waits.For(ctx, watchInterval) != nil {
			return nil
		}
		for _, path := range s.dueChecks() {
			checks.Go(func() { s.check(ctx, path) })
		}
		s.giveUpSilent()
		s.logBroken()
		if n := s.deps.Book.Unreached(); n != unreached || n > 0 && time.Now().After(announceAt) {
			unreached, announceAt = n, time.Now().Add(announceInterval)
			checks.Go(func() { s.deps.OnUnreached(ctx, n) })
		}
		if now := time.Now(); now.After(cleanAt) {
			cleanAt = now.Add(cleanInterval)
			s.deps.Book.Forget(s.deps.Known)
			s.deps.Transport.Forget(s.deps.Known)
		}
	}
	return nil
}

// check opens a connection over a path. If that fails, it looks for a path that works,
// since the endpoint itself may be down.
func (s *Sender) check(ctx context.Context, path reach.Path) {
	limit := checkTimeout
	if !path.IsDirect() {
		limit = hostCheckTimeout
	}
	err := s.tryPath(ctx, path, limit)
	if err == nil || ctx.Err() != nil {
		return
	}
	s.deps.Book.Failed(path, failureOf(path, err))
	if s.deps.Book.Broken(path) {
		return
	}
	attempt := s.deps.Book.BeginSearch(path, s.deps.Hosts)
	for other, patience, ok := attempt.Next(); ok; other, patience, ok = attempt.Next() {
		err := s.tryPath(ctx, other, patience)
		if err == nil || ctx.Err() != nil {
			return
		}
		attempt.Failed(other, failureOf(other, err))
	}
}

// tryPath opens a connection over a path and closes it.
func (s *Sender) tryPath(ctx context.Context, path reach.Path, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.deps.Dialer.Check(ctx, path)
}

// Suspect makes the sender check whether other hosts reach an endpoint that this one has
// just failed to reach.
func (s *Sender) Suspect(address string) {
	select {
	case s.suspects <- reach.Direct(address):
	default:
		// Enough are to be checked; the next failure comes again.
	}
}

// dueChecks returns the paths to check now.
func (s *Sender) dueChecks() []reach.Path {
	due := s.deps.Book.DueChecks()
	for {
		select {
		case path := <-s.suspects:
			if !slices.Contains(due, path) && s.deps.Book.BeginCheck(path) {
				due = append(due, path)
			}
		default:
			return due
		}
	}
}

// Refused reports whether an endpoint's address refuses connections of this host.
func (s *Sender) Refused(ctx context.Context, address string) bool {
	path := reach.Direct(address)
	err := s.tryPath(ctx, path, checkTimeout)
	return err != nil && failureOf(path, err).Refused
}

// Reached reports whether another host reaches an endpoint.
func (s *Sender) Reached(ctx context.Context, address string) bool {
	attempt := s.deps.Book.BeginSearch(reach.Direct(address), s.deps.Hosts)
	for path, patience, ok := attempt.Next(); ok; path, patience, ok = attempt.Next() {
		err := s.tryPath(ctx, path, patience)
		if err == nil || ctx.Err() != nil {
			return err == nil
		}
		attempt.Failed(path, failureOf(path, err))
	}
	return false
}

// giveUpSilent ends the requests whose path is broken and over which nothing comes.
// Requests that may not be sent again wait on: their answer may still come.
func (s *Sender) giveUpSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.flights {
		if !f.abandonable || f.lost.Load() || !f.connected.Load() {
			continue
		}
		limit := minSilence
		if f.answered.Load() {
			limit = minStreamSilence
		}
		if f.silence() < limit || !s.deps.Book.Broken(f.path) {
			continue
		}
		if f.hurry && !f.answered.Load() || s.deps.Book.Lost(f.path) {
			f.lost.Store(true)
			f.cancel()
		}
	}
}

// logBroken logs direct paths that are broken, or work again.
func (s *Sender) logBroken() {
	now := s.deps.Book.BrokenPaths()
	s.mu.Lock()
	defer s.mu.Unlock()
	for path, through := range now {
		if !s.broken[path] {
			s.broken[path] = true
			event.EndpointPathBroken.Log(s.deps.Logger, zap.String("address", path.Address), zap.String("reached_by", through),
				zap.Bool("isolated", s.deps.Book.Isolated()))
		}
	}
	for path := range s.broken {
		if _, ok := now[path]; !ok {
			delete(s.broken, path)
			event.EndpointPathRestored.Log(s.deps.Logger, zap.String("address", path.Address))
		}
	}
}
