// Package waits has a pause that ends with its context and a clock that includes
// suspension.
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

// For waits until d has passed. It returns the context's error if the context ends
// before.
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
