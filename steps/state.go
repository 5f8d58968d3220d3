package steps

// JobState is a picture of what a node holds of one trainer.
type JobState struct {
	// Trainer is the trainer's name.
	Trainer string `json:"trainer"`
	// Step and Attempt are those of the sample set at hand.
	Step uint64 `json:"step"`
	// Attempt counts the step's sample sets from 1.
	Attempt uint32 `json:"attempt"`
	// State is the state of the step chart, empty if nothing is at hand.
	State string `json:"state"`
	// Waiting counts requests of the trainer that wait.
	Waiting int `json:"waiting"`
}

// States returns a picture of each trainer that the node holds something of.
func (k *Keeper) States() []JobState {
	jobs := k.snapshot()
	states := make([]JobState, 0, len(jobs))
	for _, j := range jobs {
		states = append(states, j.state())
	}
	return states
}

func (j *job) state() JobState {
	j.mu.Lock()
	defer j.mu.Unlock()
	state := JobState{Trainer: j.trainer, Waiting: j.waiting}
	if j.run != nil {
		state.Step, state.Attempt = j.run.step, j.run.attempt
		state.State = string(j.run.machine.State())
	}
	return state
}
