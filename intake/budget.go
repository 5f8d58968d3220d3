package intake

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// smallBytes is the size up to which a request counts as small.
	smallBytes = 64 << 10
	// largeShare is the share of a budget that large requests may use together, so that
	// they leave room for small ones.
	largeShare = 0.75
	// minWait is how long a client may take at least before its request yields to others.
	minWait = time.Second
)

var (
	// ErrBusy reports that other requests take all memory that is set aside for requests.
	ErrBusy = errors.New("too many requests are being received: try again")
	// ErrYielded reports that an incomplete request was given up for others.
	ErrYielded = errors.New("the request took too long to arrive while others waited: try again")
)

type (
	// Budget shares memory and connections among clients. It only decides; what yields is
	// ended by its owner. It is safe for concurrent use.
	Budget struct {
		capacity int64
		clock    func() time.Time

		mu    sync.Mutex
		holds map[*Hold]struct{}
		// small and large are the bytes of all small and of all large holds.
		small, large int64
	}

	// Group is a set of connections whose number is limited.
	Group struct {
		budget *Budget
		limit  int
		// open counts the group's holds. The budget's lock guards it.
		open int
	}

	// Hold is what one connection takes of a budget. The budget's lock guards it.
	Hold struct {
		group *Group
		// yield ends the incomplete request. It is called without a lock.
		yield func()
		bytes int64
		// waiting is since when the client's next bytes are awaited, zero while a whole
		// request is being served.
		waiting time.Time
		yielded bool
	}
)

// NewBudget returns a budget of the given number of bytes.
func NewBudget(capacity int64, clock func() time.Time) *Budget {
	return &Budget{capacity: capacity, clock: clock, holds: make(map[*Hold]struct{})}
}

// Used returns the bytes that all holds take.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}

// NewGroup returns a group of at most limit connections.
func (b *Budget) NewGroup(limit int) *Group { return &Group{budget: b, limit: limit} }

// Open returns the number of the group's connections.
func (g *Group) Open() int {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return g.open
}

// Admit adds a connection whose client is awaited. In a full group, the connection that has
// been waiting for its client for longest yields. It returns nil if there is none.
func (g *Group) Admit(yield func()) *Hold {
	b := g.budget
	h := &Hold{group: g, yield: yield}
	b.mu.Lock()
	h.waiting = b.clock()
	var victim *Hold
	if g.open >= g.limit {
		if victim = g.longestWaiting(); victim == nil {
			b.mu.Unlock()
			return nil
		}
		b.giveUp(victim)
	}
	g.open++
	b.holds[h] = struct{}{}
	b.mu.Unlock()
	if victim != nil {
		victim.yield()
	}
	return h
}

// longestWaiting returns the hold that has been waiting for longest, nil for none.
func (g *Group) longestWaiting() *Hold {
	var longest *Hold
	for h := range g.budget.holds {
		if h.group == g && !h.waiting.IsZero() && (longest == nil || h.waiting.Before(longest.waiting)) {
			longest = h
		}
	}
	return longest
}

// Grow adds bytes to what the hold takes. If too few are left, those incomplete requests
// yield that have taken most memory for most time. It returns ErrBusy if that is not enough,
// and ErrYielded if the hold itself has yielded.
func (h *Hold) Grow(bytes int64) error {
	b := h.group.budget
	b.mu.Lock()
	if h.yielded {
		b.mu.Unlock()
		return ErrYielded
	}
	victims, enough := b.makeRoom(h, bytes)
	if enough {
		b.resize(h, h.bytes+bytes)
	}
	b.mu.Unlock()
	for _, victim := range victims {
		victim.yield()
	}
	if !enough {
		return ErrBusy
	}
	return nil
}

// makeRoom gives up the holds that must yield so that another one may grow, and reports
// whether it may.
func (b *Budget) makeRoom(growing *Hold, bytes int64) ([]*Hold, bool) {
	if b.fits(growing, bytes, b.small, b.large) {
		return nil, true
	}
	small, large := b.small, b.large
	yielding := b.yielding(growing)
	for i, h := range yielding {
		if h.bytes <= smallBytes {
			small -= h.bytes
		} else {
			large -= h.bytes
		}
		if b.fits(growing, bytes, small, large) {
			for _, victim := range yielding[:i+1] {
				b.giveUp(victim)
			}
			return yielding[:i+1], true
		}
	}
	return nil, false
}

// fits reports whether a hold may grow while all holds take the given bytes. Small requests
// always have the part that large ones leave them. A request that is larger than the share of
// large ones is received if there is no other large one.
func (b *Budget) fits(growing *Hold, bytes, small, large int64) bool {
	largeCapacity := int64(largeShare * float64(b.capacity))
	reserved := b.capacity - largeCapacity
	withinCapacity := small+large+bytes <= b.capacity
	if growing.bytes+bytes <= smallBytes {
		return withinCapacity || small+bytes <= reserved
	}
	if growing.bytes <= smallBytes {
		small, large = small-growing.bytes, large+growing.bytes
	}
	alone := large == growing.bytes && small <= reserved
	return withinCapacity && large+bytes <= largeCapacity || alone
}

// yielding returns the holds that may yield to another one, those first that have taken most
// memory for most time.
func (b *Budget) yielding(growing *Hold) []*Hold {
	now := b.clock()
	cost := func(h *Hold) float64 { return float64(h.bytes) * now.Sub(h.waiting).Seconds() }
	var list []*Hold
	for h := range b.holds {
		if h != growing && h.bytes > 0 && !h.waiting.IsZero() && now.Sub(h.waiting) >= minWait {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(x, y *Hold) int { return cmp.Compare(cost(y), cost(x)) })
	return list
}

// resize changes the bytes of a hold.
func (b *Budget) resize(h *Hold, bytes int64) {
	if h.bytes <= smallBytes {
		b.small -= h.bytes
	} else {
		b.large -= h.bytes
	}
	h.bytes = bytes
	if bytes <= smallBytes {
		b.small += bytes
	} else {
		b.large += bytes
	}
}

// giveUp takes a hold out of the budget for others.
func (b *Budget) giveUp(h *Hold) {
	h.yielded = true
	b.remove(h)
}

func (b *Budget) remove(h *Hold) {
	if _, ok := b.holds[h]; !ok {
		return
	}
	delete(b.holds, h)
	b.resize(h, 0)
	h.waiting = time.Time{}
	h.group.open--
}

// Await records that the client's next bytes are awaited from now on.
func (h *Hold) Await() { h.update(func(_ *Budget, now time.Time) { h.waiting = now }) }

// Complete records that the request is whole: it keeps its bytes and yields to nobody.
func (h *Hold) Complete() { h.update(func(*Budget, time.Time) { h.waiting = time.Time{} }) }

// Release returns the bytes of a request that has ended. The next one is awaited.
func (h *Hold) Release() {
	h.update(func(b *Budget, now time.Time) {
		b.resize(h, 0)
		h.waiting = now
	})
}

// Close ends the hold of a connection that has been closed.
func (h *Hold) Close() { h.update(func(b *Budget, _ time.Time) { b.remove(h) }) }

// Yielded reports whether the hold was given up for others.
func (h *Hold) Yielded() bool {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.yielded
}

// update changes a hold that has not ended.
func (h *Hold) update(change func(b *Budget, now time.Time)) {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holds[h]; ok {
		change(b, b.clock())
	}
}
