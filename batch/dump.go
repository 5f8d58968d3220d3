package batch

import "time"

// JobState describes a batch that a node owns.
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
	// Doubtful reports that another node may have owned it too.
	Doubtful bool `json:"doubtful"`
}

// Dump describes the batches that this node owns.
func (k *Keeper) Dump() []JobState {
	k.mu.Lock()
	defer k.mu.Unlock()
	states := make([]JobState, 0, len(k.jobs))
	for _, j := range k.jobs {
		states = append(states, JobState{
			Head: j.head, Listed: j.results.Listed(), Pending: j.results.Pending(), Running: len(j.running),
			Whole: j.results.Whole(), Desired: j.submission.Desired, Chunks: j.results.Chunks(), Ended: j.results.Ended(),
			Doubtful: time.Now().Before(j.uncertainUntil),
		})
	}
	return states
}
