package batch

import (
	"context"
	"strings"
	"time"

	"github.com/currantloft/currantloft/rendez"
)

const (
	// restLife is how long what was generated for an unfinished group is kept; a
	// trainer's next batch comes some seconds later.
	restLife = 30 * time.Second
	// backupInterval is how often what was generated is sent to the node that would
	// take over, which is what a crash loses at most.
	backupInterval = 600 * time.Millisecond
	// backupEvents is how many new events make it worth while.
	backupEvents = 8
	// sentWhole marks an item whose whole text was sent.
	sentWhole = -1
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

	// Rest is what was generated for an item, for the node that would take its
	// batch over.
	Rest struct {
		Item string `json:"item"`
		// From is how many events that node should have already.
		From     int      `json:"-"`
		Texts    []string `json:"texts"`
		Last     int      `json:"last"`
		Versions []int    `json:"versions"`
		Whole    bool     `json:"whole,omitempty"`
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

// Backup takes what another node's items have generated so far. It reports false
// if it lacks what came before.
func (k *Keeper) Backup(list []Rest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, whole := time.Now(), true
	for _, r := range list {
		texts := r.Texts
		if r.From > 0 {
			kept, ok := k.rests.items[r.Item]
			if !ok || len(kept.texts) != r.From {
				whole = false
				continue
			}
			texts = append(kept.texts[:r.From:r.From], r.Texts...)
		}
		k.rests.put(r.Item, rest{texts: texts, last: r.Last, versions: r.Versions, whole: r.Whole, at: now})
	}
	return whole
}

// backup sends what each batch's items have generated since the last time to the
// node that would take over.
func (k *Keeper) backup(ctx context.Context) {
	type sending struct {
		job  *job
		name string
		list []Rest
	}
	var all []sending
	k.mu.Lock()
	for id, j := range k.jobs {
		if j.book.Ended() || j.released {
			continue
		}
		name, ok := k.successor(id)
		if !ok {
			continue
		}
		if name != j.backup {
			j.backup = name
			clear(j.sent)
		}
		if list := j.newRests(); len(list) > 0 {
			all = append(all, sending{job: j, name: name, list: list})
		}
	}
	k.mu.Unlock()
	for _, s := range all {
		limited, cancel := context.WithTimeout(ctx, offerWait)
		err := k.parts.Peers.RestsTo(limited, s.name, s.list)
		cancel()
		if err != nil {
			k.peerFailed(s.job.head.ID, s.name, err)
			k.mu.Lock()
			clear(s.job.sent)
			k.mu.Unlock()
		}
	}
}

// successor returns the node that would take a batch over from this one.
func (k *Keeper) successor(id string) (string, bool) {
	var others []string
	for _, name := range k.parts.Peers.Keepers() {
		if name != k.parts.Name {
			others = append(others, name)
		}
	}
	return rendez.First(id, others)
}

// newRests returns what was generated since the last time, and notes it as sent.
func (j *job) newRests() []Rest {
	var list []Rest
	for i := range j.running {
		state, it := &j.items[i], &j.sub.Items[i]
		sent := j.sent[it.ID]
		if len(state.texts) < sent {
			sent = 0
		}
		if len(state.texts)-sent < backupEvents {
			continue
		}
		list = append(list, Rest{
			Item: it.ID, From: sent, Texts: append([]string(nil), state.texts[sent:]...), Last: state.last,
			Versions: append([]int(nil), state.versions...),
		})
		j.sent[it.ID] = len(state.texts)
	}
	for _, r := range j.book.pending {
		if !r.Failed && j.sent[r.Item] != sentWhole {
			list = append(list, Rest{Item: r.Item, Texts: []string{r.Text}, Versions: r.Versions, Whole: true})
			j.sent[r.Item] = sentWhole
		}
	}
	return list
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
