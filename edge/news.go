package edge

import (
	"sync"
	"time"

	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/wirepb"
)

// childNewsInterval is the pause between two messages with changes of the store to a
// host that is not a hub. Engines change weights dozens of times a second in a large
// fleet, and such a host sends no items to them.
const childNewsInterval = 400 * time.Millisecond

// childNews collects changes of the store and passes them on to the hosts that belong
// to this hub, at most one message each in childNewsInterval.
type childNews struct {
	peers *peerClient

	mu      sync.Mutex
	pending []mirror.Update
	sentAt  time.Time
	// timer is set while pending changes wait.
	timer  *time.Timer
	closed bool
}

func newChildNews(p *peerClient) *childNews { return &childNews{peers: p} }

// add adds changes to the next message.
func (n *childNews) add(updates []mirror.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.pending = mirror.Merge(n.pending, updates)
	if n.timer == nil {
		n.timer = time.AfterFunc(max(0, time.Until(n.sentAt.Add(childNewsInterval))), n.flush)
	}
}

// flush sends the pending changes.
func (n *childNews) flush() {
	n.mu.Lock()
	updates := n.pending
	n.pending, n.timer, n.sentAt = nil, nil, time.Now()
	closed := n.closed
	n.mu.Unlock()
	if closed {
		return
	}
	n.peers.passOn(&wirepb.Frame{Body: &wirepb.Frame_StoreNews{StoreNews: encodeUpdates(updates)}})
}

// Close drops pending changes.
func (n *childNews) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	if n.timer != nil {
		n.timer.Stop()
	}
}
