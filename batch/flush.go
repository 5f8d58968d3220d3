package batch

import "time"

const (
	// urgentFlushDelay is how long a result waits for others when it may complete
	// what the trainer waits for: each chunk costs a store call.
	urgentFlushDelay = 30 * time.Millisecond
	// normalFlushDelay is how long a result waits otherwise; batches are due after
	// a few seconds, and readers poll twice a second.
	normalFlushDelay = time.Second
	// flushDueMargin is how long before and after a batch's due time its results
	// are urgent.
	flushDueMargin = time.Second
)

// FlushDelay returns how long pending results wait for others before they are
// written. Waited is how long the first of them has waited, untilDue is the time
// until the batch is due.
//
// It is designed for steps whose results arrive over seconds, of which only those
// that complete the groups that the trainer waits for are urgent.
func FlushDelay(results *ResultLog, desired int, waited, untilDue time.Duration) time.Duration {
	switch {
	case results.Pending() == 0:
		return time.Hour
	case results.Done(), desired > 0 && results.CompleteGroups() < desired && results.CompleteGroupsWithPending() >= desired:
		return max(0, urgentFlushDelay-waited)
	case untilDue < flushDueMargin && untilDue > -flushDueMargin:
		return max(0, urgentFlushDelay-waited)
	default:
		return max(0, normalFlushDelay-waited)
	}
}
