package edge

import (
	"sync"
	"time"

	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/waits"
)

// maxHostClocks bounds the clocks that are held. The next answer of a host brings its
// clock again.
const maxHostClocks = 4096

type (
	// hostClocks holds what is known of the boot clocks of other hosts, so that this host
	// can say when it read the store by the clock of each. A message may be on its way for
	// any time, so its receiver can't tell that from its arrival. It is safe for concurrent
	// use; the zero value is empty.
	hostClocks struct {
		mu    sync.Mutex
		hosts map[string]hostClock
	}

	hostClock struct {
		incarnation uint64
		// ahead is how far the host's clock is ahead of this host's at least. It is negative
		// for a host that was started later.
		ahead time.Duration
	}
)

// record records the time in milliseconds that a host's clock showed when it answered, 0 if
// it has not said so. The answer was sent before now, so the clock is at least as far ahead.
func (c *hostClocks) record(h roster.Host, clockMS int64) {
	if clockMS <= 0 {
		return
	}
	ahead := time.Duration(clockMS)*time.Millisecond - waits.Boottime()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hosts == nil || len(c.hosts) >= maxHostClocks {
		c.hosts = make(map[string]hostClock)
	}
	c.hosts[h.Name] = hostClock{incarnation: h.Incarnation, ahead: ahead}
}

// ahead returns how far a host's clock is ahead at least, if that is known.
func (c *hostClocks) ahead(h roster.Host) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clock, ok := c.hosts[h.Name]
	return clock.ahead, ok && clock.incarnation == h.Incarnation
}
