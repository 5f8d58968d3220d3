package mirror

import (
	"testing"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/object"
)

// TestChangeBetweenPagesReachesPeers guards against a changed object that peers never get: it
// changes between two pages of a list, which is complete only up to its first page.
func TestChangeBetweenPagesReachesPeers(t *testing.T) {
	last := make(map[string]uint64)
	kinds := func(node string) Kind {
		return Kind{Name: kind, Apply: func(change object.Change, _ bool) { last[node+change.Entry.Name] = change.Entry.Revision }}
	}
	lister := New(memory.New(), &outbox{}, bound, zap.NewNop(), kinds("lister "))
	peer := New(memory.New(), &outbox{}, bound, zap.NewNop(), kinds("peer "))
	first := []object.Entry{{Name: "a", Revision: 5}, {Name: "b", Revision: 6}}
	for _, m := range []*Mirror{lister, peer} {
		// A node's first list may be out of date.
		m.applyList(kind, first, 8, false)
		m.applyList(kind, first, 8, false)
	}
	// The page with a was read at 10, a changed at 11, and the page with b was read at 12.
	peer.Apply([]Update{lister.applyList(kind, []object.Entry{{Name: "a", Revision: 5}, {Name: "b", Revision: 12}}, 10, false)})
	changes := []object.Change{{Entry: object.Entry{Name: "a", Revision: 11}}, {Entry: object.Entry{Name: "b", Revision: 12}}}
	peer.Apply([]Update{lister.applyWatch(kind, changes, 12, false)})
	want := map[string]uint64{"lister a": 11, "lister b": 12, "peer a": 11, "peer b": 12}
	check.Equal(t, "revisions", last, want)
	check.Equal(t, "the peer misses changes up to", peer.kinds[kind].aheadTo, uint64(0))
}
