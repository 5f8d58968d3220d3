package fleet

import "time"

// leavingMemory is how long it is remembered that an endpoint leaves after its entry is
// gone, since an entry may come back.
const leavingMemory = time.Minute

// leavingFact is what an endpoint's answers have said of one of its starts.
type leavingFact struct {
	startedMs int64
	at        time.Time
}

// OnLeaving sets a function that is called once for each start of an endpoint that says
// in its answers that it leaves. Origin is where this node has it from. It must be called
// before the fleet is used.
func (f *Fleet) OnLeaving(call func(target Target, origin string)) { f.onLeaving = call }

// RecordLeaving records that an endpoint has said in an answer that it leaves. That holds
// for its present start: an entry that says otherwise does not end it, nor does one that
// was lost and comes back, only the entry of a later start.
func (f *Fleet) RecordLeaving(target Target, origin string) {
	f.mu.Lock()
	fact, ok := f.leaving[target.id]
	isNew := !ok || target.startedMs > fact.startedMs
	if isNew {
		now := f.now()
		for id, old := range f.leaving {
			if f.endpoints[id] == nil && now.Sub(old.at) > leavingMemory {
				delete(f.leaving, id)
			}
		}
		f.leaving[target.id] = leavingFact{startedMs: target.startedMs, at: now}
		f.notifyChange()
	}
	f.mu.Unlock()
	if isNew && f.onLeaving != nil {
		f.onLeaving(target, origin)
	}
}

// leaves reports whether an endpoint gets no more requests: its entry says that it is
// draining, or its answers have said that it leaves. The caller holds the lock.
func (f *Fleet) leaves(entry Entry) bool {
	fact, ok := f.leaving[entry.ID]
	return entry.Draining || ok && entry.StartedMs <= fact.startedMs
}

// TakesRequests reports whether an endpoint that does not leave listens at the address.
func (f *Fleet) TakesRequests(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e.entry.Address == address && !f.leaves(e.entry) {
			return true
		}
	}
	return false
}
