package intact

import (
	"errors"
	"io"
	"sync"
)

// ErrNoMemory reports that an answer was given up since all answers that are being read take more
// memory than is set aside for them.
var ErrNoMemory = errors.New("the answers that are being read take too much memory")

type (
	// Budget limits the memory that answers take together while they are read. If it is used up,
	// the largest answers are given up, so that those without an end leave room for the others.
	// It only decides; its users end the answers. It is safe for concurrent use.
	Budget struct {
		capacity int64

		mu    sync.Mutex
		used  int64
		holds map[*Hold]struct{}
	}

	// Hold is what one answer takes of a budget. A nil hold takes nothing. The budget's lock
	// guards it.
	Hold struct {
		budget *Budget
		// giveUp ends the answer. It is called without a lock.
		giveUp func()
		bytes  int64
	}
)

// NewBudget returns a budget of the given number of bytes.
func NewBudget(capacity int64) *Budget {
	return &Budget{capacity: capacity, holds: make(map[*Hold]struct{})}
}

// Used returns the bytes that all answers take.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open adds an answer. giveUp is called if it has to make room for others. A nil budget has no
// limit.
func (b *Budget) Open(giveUp func()) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, giveUp: giveUp}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[h] = struct{}{}
	return h
}

// Grow adds bytes to what the answer takes. If too few are left, larger answers are given up, or
// else Grow returns ErrNoMemory and the answer is to be given up itself.
func (h *Hold) Grow(bytes int64) error {
	if h == nil {
		return nil
	}
	victims, err := h.budget.grow(h, bytes)
	for _, victim := range victims {
		victim.giveUp()
	}
	return err
}

func (b *Budget) grow(h *Hold, bytes int64) (victims []*Hold, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holds[h]; !ok {
		return nil, ErrNoMemory
	}
	for b.used+bytes > b.capacity {
		largest := h
		for other := range b.holds {
			if other != h && other.bytes > h.bytes+bytes && (largest == h || other.bytes > largest.bytes) {
				largest = other
			}
		}
		b.remove(largest)
		if largest == h {
			return victims, ErrNoMemory
		}
		victims = append(victims, largest)
	}
	h.bytes += bytes
	b.used += bytes
	return victims, nil
}

func (b *Budget) remove(h *Hold) {
	if _, ok := b.holds[h]; ok {
		delete(b.holds, h)
		b.used -= h.bytes
		h.bytes = 0
	}
}

// Shrink returns bytes that the answer does not take any more.
func (h *Hold) Shrink(bytes int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if _, ok := h.budget.holds[h]; ok {
		h.bytes -= bytes
		h.budget.used -= bytes
	}
}

// Close returns all that the answer takes.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.remove(h)
}

// HoldOf returns what the answer with a body takes of a budget, nil for nothing. Readers that
// wrap a body have a method Hold that returns that of the body.
func HoldOf(body io.Reader) *Hold {
	if holder, ok := body.(interface{ Hold() *Hold }); ok {
		return holder.Hold()
	}
	return nil
}
