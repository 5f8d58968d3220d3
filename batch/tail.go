package batch

import "time"

const (
	// confirmTTL is how long the store's answer that there are no further results
	// is trusted; a position that was read must be readable a second later.
	confirmTTL = 400 * time.Millisecond
	// tailCheckTimeout limits the read of the next chunk by a keeper that knows of no other
	// one. Its reader waits for it.
	tailCheckTimeout = 300 * time.Millisecond
)

// tailState decides whether a keeper asks the store before it says that a batch has no
// further results. The only keeper that writes chunks has them all in memory, but one that
// others take for dead may not know that it is not the only one.
//
// It is designed for keepers that leave, are suspended or are taken for dead while their
// batch goes on elsewhere, and for readers that still ask them.
type tailState struct {
	// shared reports that another keeper may write chunks. It stays true: nothing tells
	// when the last write of another keeper takes effect.
	shared bool
	// confirmed reports that this keeper once had all stored chunks, confirmedAt when it
	// last did, on the clock that includes suspension: the store had no further one, or
	// this keeper created the last one.
	confirmed   bool
	confirmedAt time.Duration
}

// share records that another keeper may write chunks.
func (s *tailState) share() { s.shared = true }

// confirm records that the store had no further chunk at the given time, which must not be
// later than when the request that showed it was sent: a chunk may be created and read
// elsewhere before the answer comes.
func (s *tailState) confirm(at time.Duration) {
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed, s.confirmedAt = true, at
	}
}

// mustCheck reports whether the store must be asked for chunks that are not in memory.
// Unsettled reports that a host was found dead or alive a short time ago, or that the batch
// has ended, after which this keeper writes nothing and so learns of no chunk by itself.
func (s *tailState) mustCheck(now time.Duration, unsettled bool) bool {
	return (s.shared || unsettled) && s.outdated(now)
}

// outdated reports whether it is too long ago that this keeper had all stored chunks.
func (s *tailState) outdated(now time.Duration) bool {
	return !s.confirmed || now-s.confirmedAt >= confirmTTL
}
