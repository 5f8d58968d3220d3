package batch

import "time"

// Backlog is what is left to do of a batch that a node owns.
type Backlog struct {
	Model            string
	Waiting, Running int
	// Tokens is the estimated output that is left to generate.
	Tokens int
	// Due is the time until the results are due, negative if they are late.
	Due time.Duration
}

// Backlog returns what is left to do of this node's batches for a service. Items whose
// text is complete are not part of it.
func (k *Keeper) Backlog(service string) []Backlog {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, stride := time.Now(), k.tokensPerEvent(service)
	var list []Backlog
	for _, j := range k.jobs {
		if j.results.Ended() || j.released || j.route.Service(j.head.ID) != service {
			continue
		}
		b := Backlog{Model: j.head.Model, Due: j.due().Sub(now)}
		if j.route.ResultDeadline <= 0 {
			b.Due = defaultLifetime
		}
		for i := range j.submission.Items {
			it := &j.submission.Items[i]
			if j.results.HasResult(it.ID) || j.items[i].reward != nil {
				continue
			}
			if _, running := j.running[i]; running {
				b.Running++
			} else {
				b.Waiting++
			}
			done := len(j.items[i].texts)
			b.Tokens += stride * max(it.EstimatedTokens/stride-done, done/2)
		}
		if b.Waiting+b.Running > 0 {
			list = append(list, b)
		}
	}
	return list
}
