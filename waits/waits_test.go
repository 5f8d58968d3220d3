package waits

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestForWithoutDuration guards against timers that are due at once: with the race detector, several that fire
// at the same time within a synctest bubble crash the runtime of Go 1.26.
func TestForWithoutDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		var waiters sync.WaitGroup
		for range 8 {
			waiters.Go(func() {
				for range 2000 {
					if err := For(t.Context(), 0); err != nil {
						t.Error(err)
					}
					if err := For(ended, -time.Second); err == nil {
						t.Error("no error of a context that has ended")
					}
				}
			})
		}
		waiters.Wait()
	})
}
