package batch

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/waits"
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

// TestEmptyPagesAreLogged checks that the log tells where an empty page came from, once for
// each position.
func TestEmptyPagesAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	k := &Keeper{deps: Deps{Logger: zap.New(core), Clock: waits.Boottime}, batches: map[string]*knownBatch{"b": {}}}
	for _, after := range []int{1, 1, 2, 1} {
		k.logEmptyPage("b", after, Page{Total: 3, Next: after}, "node")
	}
	k.logEmptyPage("b", 0, Page{Total: 3, Next: 1, Results: make([]Result, 1)}, "node")
	k.logEmptyPage("b", 3, Page{Total: 3, Next: 3}, "node")
	j := &job{head: Head{ID: "b"}, results: NewResultLog(itemsOf(2, 1))}
	j.results.Commit([]Result{{Item: "i0"}})
	k.logEmptyLocalPage(j, 1)
	k.logEmptyLocalPage(j, 1)
	var got []string
	for _, line := range logs.All() {
		fields := line.ContextMap()
		got = append(got, fmt.Sprint(line.Message, " ", fields["after"], " ", fields["source"], " ", fields["chunks"]))
	}
	check.Equal(t, "lines", got, []string{
		"batch_page_empty 1 node <nil>", "batch_page_empty 2 node <nil>", "batch_page_empty 1 memory 1",
	})
}
