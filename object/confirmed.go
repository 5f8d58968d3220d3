package object

import (
	"context"
	"errors"
	"time"
)

const (
	// hedgeAfter is how long a creation waits for an answer before a second attempt
	// is sent: an answer takes 4 ms, and a quarter of a second while the store is
	// slow. A missing answer is the only sign of a stalled connection.
	hedgeAfter = 350 * time.Millisecond
	// hedgeInterval is the pause between later attempts. By then the store is
	// unavailable, and a caller that waits for one second must get its answer as soon
	// as the store is available again.
	hedgeInterval = 120 * time.Millisecond
	// maxInFlight bounds the concurrent attempts of one creation.
	maxInFlight = 6
	// failureRetryDelay is the pause before the next attempt once all attempts have
	// failed, whether they were refused or their outcome is unknown.
	failureRetryDelay = 150 * time.Millisecond
)

// GetImmutable reads an object that never changes once it exists. A stale read
// suffices if it finds the object; if it doesn't, a fresh one follows.
func GetImmutable(ctx context.Context, store Store, kind, name string) (Entry, error) {
	entry, err := store.Get(ctx, kind, name, Stale)
	if errors.Is(err, ErrNotFound) {
		return store.Get(ctx, kind, name, Fresh)
	}
	return entry, err
}

// CreateConfirmed creates an object, retrying until there is a definite answer or
// the context ends. Since a creation never replaces an object, several attempts may
// be in flight at once, and an *ExistsError may come from an object that an earlier
// attempt created. If the context ends before a definite answer, the error wraps
// ErrRefused if no attempt can have taken effect, and ErrOutcomeUnknown otherwise.
func CreateConfirmed(ctx context.Context, store Store, kind, name string, spec []byte) (Entry, error) {
	type result struct {
		entry Entry
		err   error
	}
	results := make(chan result, maxInFlight)
	inFlight, outcomeUnknown := 0, false
	lastErr := ErrRefused
	send := func() {
		inFlight++
		go func() {
			entry, err := store.Create(ctx, kind, name, spec)
			results <- result{entry: entry, err: err}
		}()
	}
	send()
	timer := time.NewTimer(hedgeAfter)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			// The attempts in flight end with the context; one of them may have been
			// answered.
			for ; inFlight > 0; inFlight-- {
				r := <-results
				var exists *ExistsError
				if r.err == nil || errors.As(r.err, &exists) {
					return r.entry, r.err
				}
				lastErr, outcomeUnknown = r.err, outcomeUnknown || !errors.Is(r.err, ErrRefused)
			}
			if outcomeUnknown {
				return Entry{}, errors.Join(ErrOutcomeUnknown, lastErr)
			}
			return Entry{}, lastErr
		case <-timer.C:
			if inFlight < maxInFlight {
				send()
			}
			timer.Reset(hedgeInterval)
		case r := <-results:
			inFlight--
			var exists *ExistsError
			if r.err == nil || errors.As(r.err, &exists) {
				return r.entry, r.err
			}
			lastErr = r.err
			outcomeUnknown = outcomeUnknown || !errors.Is(r.err, ErrRefused)
			if inFlight == 0 {
				timer.Reset(failureRetryDelay)
			}
		}
	}
}
