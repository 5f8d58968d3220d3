package batch

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestLogPeerError checks that a keeper that answers that it does not own the
// batch is logged differently from one that is unreachable.
func TestLogPeerError(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want string
	}{
		{"answered that it does not own the batch", fmt.Errorf("reading at the keeper: %w", ErrNotOwner), "batch_not_kept_there"},
		{"did not answer", context.DeadlineExceeded, "batch_keeper_unreachable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			k := &Keeper{deps: Deps{Logger: zap.New(core)}}
			k.logPeerError("b", "node", tc.err)
			check.Equal(t, "lines", logs.Len(), 1)
			check.Equal(t, "event", logs.All()[0].Message, tc.want)
		})
	}
}
