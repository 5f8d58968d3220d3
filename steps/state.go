package steps

// JobState is a snapshot of a node's state of one trainer.
type JobState struct {
	// Trainer is the trainer's name.
	Trainer string `json:"trainer"`
	// Step is the step of the current sample set.
	Step uint64 `json:"step"`
	// Attempt counts the step's sample sets from 1.
	Attempt uint32 `json:"attempt"`
	// State is the state of the step chart, empty without a sample set.
	State string `json:"state"`
	// Waiting counts the trainer's requests that wait for an answer.
	Waiting int `json:"waiting"`
}

// States returns a snapshot of each trainer that the node has state of.
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
