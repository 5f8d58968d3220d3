package batch

import "time"

// JobState describes a batch that a node keeps.
type JobState struct {
	Head Head `json:"head"`
	// Listed, Pending and Running count items.
	Listed  int  `json:"listed"`
	Pending int  `json:"pending"`
	Running int  `json:"running"`
	Whole   int  `json:"whole_groups"`
	Desired int  `json:"desired_groups"`
	Chunks  int  `json:"chunks"`
	Ended   bool `json:"ended"`
	// Doubtful says that another node may have kept it too.
	Doubtful bool `json:"doubtful"`
}

// Dump describes the batches that this node keeps.
func (k *Keeper) Dump() []JobState {
	k.mu.Lock()
	defer k.mu.Unlock()
	states := make([]JobState, 0, len(k.jobs))
	for _, j := range k.jobs {
		states = append(states, JobState{
			Head: j.head, Listed: j.book.Listed(), Pending: j.book.Pending(), Running: len(j.running),
			Whole: j.book.Whole(), Desired: j.sub.Desired, Chunks: j.book.Chunks(), Ended: j.book.Ended(),
			Doubtful: time.Now().Before(j.doubtUntil),
		})
	}
	return states
}
