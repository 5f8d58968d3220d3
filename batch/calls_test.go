package batch

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestPeerFailed tells an answer from a keeper that can't be reached.
func TestPeerFailed(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		want string
	}{
		{"it answered", fmt.Errorf("asking: %w", ErrNotKept), "batch_not_kept_there"},
		{"it did not answer", context.DeadlineExceeded, "batch_keeper_unreachable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			k := &Keeper{parts: Parts{Logger: zap.New(core)}}
			k.peerFailed("b", "node", tc.err)
			check.Equal(t, "lines", logs.Len(), 1)
			check.Equal(t, "event", logs.All()[0].Message, tc.want)
		})
	}
}
