// Package waits provides a sleep that a context can interrupt, and a clock that
// also advances while the system is suspended.
//
// # Usage
//
//	if err := waits.For(ctx, time.Second); err != nil {
//		return err
//	}
package waits

import (
	"context"
	"time"
)

// For waits for the duration d. It returns the context's error if the context
// ends first, or has ended.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
