// Package waits pauses a goroutine for as long as its context lives.
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

// For waits for the duration, or returns the context's error when that ends.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
