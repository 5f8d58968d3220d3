package batch

import "time"

const (
	// startPermissionTime is how long items may start after the batch was last confirmed
	// to be open. The end of a batch must take effect within 3 s; the rest of that time is
	// for hubs that learn of the end late and for requests on their way to an endpoint.
	startPermissionTime = 1800 * time.Millisecond
	// confirmAfter is the age from which a permission is confirmed again if items wait. It
	// leaves time for one failed read and a hub's answer before the permission expires.
	confirmAfter = startPermissionTime / 2
	// confirmRetryDelay is how long after a check without an answer the next one is made.
	confirmRetryDelay = 250 * time.Millisecond
)

// startPermission decides whether items of a batch may start: only for a limited time
// after the batch was confirmed to be open. All times are on the clock that includes
// suspension. Without a confirmation no item may start.
type startPermission struct {
	confirmed   bool
	confirmedAt time.Duration
	checking    bool
	nextCheckAt time.Duration
}

// confirm records that the batch was open at the given time, which must not be later than
// the moment at which the source of that knowledge was read.
func (p *startPermission) confirm(at time.Duration) {
	if !p.confirmed || at > p.confirmedAt {
		p.confirmed, p.confirmedAt = true, at
	}
}

// valid reports whether items may start.
func (p *startPermission) valid(now time.Duration) bool {
	return p.confirmed && now-p.confirmedAt < startPermissionTime
}

// beginCheck reports whether to check now that the batch is open, given that items wait
// to start, and records that the check has begun.
func (p *startPermission) beginCheck(now time.Duration) bool {
	if p.checking || now < p.nextCheckAt || p.confirmed && now-p.confirmedAt <= confirmAfter {
		return false
	}
	p.checking = true
	return true
}

// endCheck records the end of a check that did not find the end of the batch. Open reports
// whether it found the batch open, askedAt when the request that found this was sent.
func (p *startPermission) endCheck(open bool, askedAt, now time.Duration) {
	p.checking = false
	if open {
		p.confirm(askedAt)
	}
	if !open || now-askedAt > confirmAfter {
		// Answers that come too late to be of use must not cause one read after the other.
		p.nextCheckAt = now + confirmRetryDelay
	}
}
