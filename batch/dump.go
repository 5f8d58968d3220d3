package batch

// JobState describes a batch that a node owns.
type JobState struct {
	Head Head `json:"head"`
	// Durable, Pending and Running count items.
	Durable int `json:"listed"`
	Pending int `json:"pending"`
	Running int `json:"running"`
	// Scoring counts the items whose text is complete and whose reward call is not
	// answered.
	Scoring        int  `json:"scoring"`
	CompleteGroups int  `json:"whole_groups"`
	DesiredGroups  int  `json:"desired_groups"`
	Chunks         int  `json:"chunks"`
	Ended          bool `json:"ended"`
	// Uncertain reports that another node may have owned it too.
	Uncertain bool `json:"doubtful"`
}

// Dump describes the batches that this node owns.
func (k *Keeper) Dump() []JobState {
	k.mu.Lock()
	defer k.mu.Unlock()
	states := make([]JobState, 0, len(k.jobs))
	for _, j := range k.jobs {
		states = append(states, JobState{
			Scoring: j.scoring(), Head: j.head, Durable: j.results.Durable(), Pending: j.results.Pending(), Running: len(j.running),
			CompleteGroups: j.results.CompleteGroups(), DesiredGroups: j.submission.DesiredGroups, Chunks: j.results.Chunks(), Ended: j.results.Ended(),
			Uncertain: j.tail.shared,
		})
	}
	return states
}
