package batch

import "time"

const (
	// flushSoon is how long a result waits for others when it may complete what
	// the trainer waits for: a chunk costs a call of the store.
	flushSoon = 30 * time.Millisecond
	// flushIdle is how long a result waits otherwise; the due time of a batch is
	// some seconds, and readers ask twice a second.
	flushIdle = time.Second
	// flushDue is how near to its due time a batch's results are written at once.
	flushDue = time.Second
)

// FlushIn says how long pending results wait for others before they are
// written. Oldest is how long the first of them has waited, left is the time to
// the batch's due time.
//
// Load pattern: results of a step trickle in over seconds; only the ones that
// complete the groups the trainer waits for are urgent.
func FlushIn(book *Book, desired int, oldest, left time.Duration) time.Duration {
	switch {
	case book.Pending() == 0:
		return time.Hour
	case book.Done(), desired > 0 && book.Whole() < desired && book.WholeWithPending() >= desired:
		return max(0, flushSoon-oldest)
	case left < flushDue && left > -flushDue:
		return max(0, flushSoon-oldest)
	default:
		return max(0, flushIdle-oldest)
	}
}
