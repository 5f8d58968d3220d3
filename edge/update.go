package edge

import (
	"sync"
	"time"

	"github.com/currantloft/currantloft/mirror"
)

// childUpdateInterval is the pause between two messages with changes of the store to a
// host that is not a hub. Engines change weights dozens of times a second in a large
// fleet, and such a host sends no items to them.
const childUpdateInterval = 400 * time.Millisecond

// childUpdates collects changes of the store and passes them on to the hosts that belong
// to this hub, at most one message each in childUpdateInterval.
type childUpdates struct {
	peers *peerClient

	mu      sync.Mutex
	pending []mirror.Update
	sentAt  time.Time
	// timer is set while pending changes wait.
	timer  *time.Timer
	closed bool
	// flushes counts timers that have neither fired nor been stopped.
	flushes sync.WaitGroup
}

func newChildUpdates(p *peerClient) *childUpdates { return &childUpdates{peers: p} }

// add adds changes to the next message.
func (u *childUpdates) add(updates []mirror.Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return
	}
	u.pending = mirror.Merge(u.pending, updates)
	if u.timer == nil {
		u.flushes.Add(1)
		u.timer = time.AfterFunc(max(0, time.Until(u.sentAt.Add(childUpdateInterval))), u.flush)
	}
}

// flush sends the pending changes.
func (u *childUpdates) flush() {
	defer u.flushes.Done()
	u.mu.Lock()
	batch := u.pending
	u.pending, u.timer, u.sentAt = nil, nil, time.Now()
	closed := u.closed
	u.mu.Unlock()
	if closed {
		return
	}
	u.peers.sendUpdates(u.peers.Children(), batch)
}

// Close drops pending changes and waits for a message that is being sent.
func (u *childUpdates) Close() {
	u.mu.Lock()
	u.closed = true
	if u.timer != nil && u.timer.Stop() {
		u.flushes.Done()
	}
	u.mu.Unlock()
	u.flushes.Wait()
}
