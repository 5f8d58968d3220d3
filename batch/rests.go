package batch

import (
	"strings"
	"time"
)

const (
	// restLife is how long what was generated for an unfinished group is kept; a
	// trainer's next batch comes some seconds later.
	restLife = 30 * time.Second
	// restBytes bounds the text that is kept.
	restBytes = 6 << 20
)

type (
	// rests holds what was generated for groups that were not whole when their
	// batch ended, for the batch in which they come again.
	rests struct {
		items map[string]rest
		bytes int
	}

	rest struct {
		texts    []string
		last     int
		versions []int
		// whole says that nothing is left to generate.
		whole bool
		at    time.Time
	}
)

func newRests() *rests { return &rests{items: make(map[string]rest)} }

func (r rest) bytes() int {
	n := 0
	for _, text := range r.texts {
		n += len(text)
	}
	return n
}

// put keeps what was generated for an item.
func (r *rests) put(item string, kept rest) {
	r.drop(item)
	size := kept.bytes()
	if r.bytes+size > restBytes {
		r.expire(kept.at)
	}
	if r.bytes+size > restBytes {
		return
	}
	r.items[item] = kept
	r.bytes += size
}

// take returns what was generated for an item, if its weights are new enough.
func (r *rests) take(item string, minVersion int, single bool, now time.Time) (rest, bool) {
	kept, ok := r.items[item]
	if !ok {
		return rest{}, false
	}
	r.drop(item)
	if now.Sub(kept.at) > restLife || len(kept.versions) == 0 || (single && len(kept.versions) > 1) {
		return rest{}, false
	}
	for _, version := range kept.versions {
		if version < minVersion {
			return rest{}, false
		}
	}
	return kept, true
}

func (r *rests) drop(item string) {
	if kept, ok := r.items[item]; ok {
		r.bytes -= kept.bytes()
		delete(r.items, item)
	}
}

func (r *rests) expire(now time.Time) {
	for item, kept := range r.items {
		if now.Sub(kept.at) > restLife {
			r.drop(item)
		}
	}
}

// keepRests keeps what was generated for a batch's unfinished groups. The caller
// holds the lock.
func (k *Keeper) keepRests(j *job) {
	now := time.Now()
	results := make(map[string]Result)
	for _, list := range [][]Result{j.book.lasting, j.book.pending} {
		for _, r := range list {
			if !r.Failed {
				results[r.Item] = r
			}
		}
	}
	for i := range j.sub.Items {
		it, state := &j.sub.Items[i], &j.items[i]
		if j.book.groups[it.Group] == 0 {
			continue
		}
		if r, ok := results[it.ID]; ok {
			k.rests.put(it.ID, rest{texts: []string{r.Text}, versions: r.Versions, whole: true, at: now})
		} else if len(state.texts) > 0 {
			k.rests.put(it.ID, rest{texts: state.texts, last: state.last, versions: state.versions, at: now})
		}
	}
}

// useRests gives a new job what was generated before. The caller holds the lock.
func (k *Keeper) useRests(j *job) (whole, begun int) {
	now := time.Now()
	for i := range j.sub.Items {
		it := &j.sub.Items[i]
		kept, ok := k.rests.take(it.ID, j.sub.MinVersion, j.route.SingleVersion, now)
		switch {
		case !ok:
		case kept.whole:
			k.finish(j, Result{Item: it.ID, Text: strings.Join(kept.texts, "\n"), Versions: kept.versions})
			whole++
		default:
			j.items[i].texts, j.items[i].last, j.items[i].versions = kept.texts, kept.last, kept.versions
			begun++
		}
	}
	return whole, begun
}
