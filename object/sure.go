package object

import (
	"context"
	"errors"
	"time"
)

const (
	// hedgeAfter is how long a creation waits for an answer before it is sent once
	// more: an answer takes 4 ms, and a quarter of a second while the store is
	// slow. A connection that went silent shows by nothing else.
	hedgeAfter = 350 * time.Millisecond
	// hedgeAgain is the pause between later tries: the store is away, and a caller
	// that waits a second for its answer must not miss its return.
	hedgeAgain = 120 * time.Millisecond
	// mostInFlight bounds the tries of one creation that wait for an answer.
	mostInFlight = 6
	// refusedPause is the pause after a definite refusal.
	refusedPause = 150 * time.Millisecond
)

// GetLasting reads an object that never changes once it exists, so that a stale
// read that finds it is enough; one that doesn't proves nothing.
func GetLasting(ctx context.Context, store Store, kind, name string) (Entry, error) {
	entry, err := store.Get(ctx, kind, name, Stale)
	if errors.Is(err, ErrNotFound) {
		return store.Get(ctx, kind, name, Fresh)
	}
	return entry, err
}

// CreateSure creates an object, trying again until there is a definite answer or
// the context ends. Since a creation never replaces anything, several tries may
// be on their way at once. It returns nil or an *ExistsError, an error that is
// ErrRefused if no try can have taken effect, or one that is ErrUnsure.
func CreateSure(ctx context.Context, store Store, kind, name string, spec []byte) (Entry, error) {
	type result struct {
		entry Entry
		err   error
	}
	results := make(chan result, mostInFlight)
	inFlight, maybe := 0, false
	last := ErrRefused
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
			// The tries in flight end with the context; one may have brought the
			// answer.
			for ; inFlight > 0; inFlight-- {
				r := <-results
				var exists *ExistsError
				if r.err == nil || errors.As(r.err, &exists) {
					return r.entry, r.err
				}
				last, maybe = r.err, maybe || !errors.Is(r.err, ErrRefused)
			}
			if maybe {
				return Entry{}, errors.Join(ErrUnsure, last)
			}
			return Entry{}, last
		case <-timer.C:
			if inFlight < mostInFlight {
				send()
			}
			timer.Reset(hedgeAgain)
		case r := <-results:
			inFlight--
			var exists *ExistsError
			if r.err == nil || errors.As(r.err, &exists) {
				return r.entry, r.err
			}
			last = r.err
			maybe = maybe || !errors.Is(r.err, ErrRefused)
			if inFlight == 0 {
				timer.Reset(refusedPause)
			}
		}
	}
}
