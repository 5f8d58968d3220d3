package batch

// eventOverheadBytes is what an event's text takes besides its bytes.
const eventOverheadBytes = 32

// textMemory returns about how much memory the texts of events take.
func textMemory(texts ...string) int {
	total := 0
	for _, text := range texts {
		total += len(text) + eventOverheadBytes
	}
	return total
}

// setTexts replaces the texts of an item.
func (j *job) setTexts(i int, texts []string) {
	state, bytes := &j.items[i], textMemory(texts...)
	j.textBytes += int64(bytes - state.textBytes)
	state.texts, state.textBytes = texts, bytes
}

// reserveText counts the text of an item's next event. If the texts of unfinished items take too
// much memory, the longest of them are discarded, so that texts without an end leave room for the
// others. It returns an error if that includes the item's own. The caller holds the lock.
func (k *Keeper) reserveText(j *job, i int, text string) error {
	bytes := textMemory(text)
	for k.deps.TextBytes > 0 && k.textBytes()+int64(bytes) > k.deps.TextBytes {
		longest, at := k.longestText()
		if longest == nil || longest == j && at == i || longest.items[at].textBytes <= j.items[i].textBytes {
			j.discardOutput(i)
			return errTextDiscarded
		}
		longest.discardOutput(at)
		if run := longest.running[at]; run != nil {
			run.discarded = true
			run.cancel()
		}
	}
	j.items[i].textBytes += bytes
	j.textBytes += int64(bytes)
	return nil
}

// textBytes returns how much memory the texts of all unfinished items take.
func (k *Keeper) textBytes() int64 {
	total := int64(0)
	for _, j := range k.jobs {
		total += j.textBytes
	}
	return total
}

// longestText returns the item whose text takes most memory and is not complete, nil for none.
func (k *Keeper) longestText() (longest *job, at int) {
	most := 0
	for _, j := range k.jobs {
		for i := range j.items {
			if state := &j.items[i]; state.reward == nil && state.textBytes > most {
				longest, at, most = j, i, state.textBytes
			}
		}
	}
	return longest, at
}
