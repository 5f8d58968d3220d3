package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
)

const (
	// saveInterval is how often what runs is saved in the store, which is what the
	// end of all nodes at once loses at most: the longest items run for seven
	// seconds, and each save is a call.
	saveInterval = 2 * time.Second
	// saveEvents is how many events make an item worth saving, and how many new
	// ones a batch: fewer than a second's.
	saveEvents = 20
	// saveLimit is how long a save may take before the next one is due.
	saveLimit = time.Second
)

// save writes the progress of each batch that has gone on by enough. Backups at
// other nodes cover the loss of some; this covers the loss of all.
func (k *Keeper) save(ctx context.Context) {
	type saving struct {
		job   *job
		list  []Rest
		again bool
	}
	var all []saving
	most := k.textBytes()
	k.mu.Lock()
	for _, j := range k.jobs {
		if j.book.Ended() || j.released {
			continue
		}
		list := j.progress(most)
		gained := 0
		for _, r := range list {
			gained += max(0, len(r.Texts)-j.saved[r.Item])
		}
		if gained >= saveEvents {
			all = append(all, saving{job: j, list: list, again: j.saved != nil})
		}
	}
	k.mu.Unlock()
	for _, s := range all {
		limited, cancel := context.WithTimeout(ctx, saveLimit)
		err := k.saveOne(limited, s.job.head.ID, s.list, s.again)
		cancel()
		if err != nil {
			if k.ctx.Err() == nil {
				event.BatchNotSaved.Log(k.parts.Logger, zap.String("batch", s.job.head.ID), zap.Int("items", len(s.list)), zap.Error(err))
			}
			continue
		}
		saved := make(map[string]int, len(s.list))
		for _, r := range s.list {
			saved[r.Item] = len(r.Texts)
		}
		k.mu.Lock()
		s.job.saved = saved
		k.mu.Unlock()
	}
}

// progress returns what unfinished items have generated and the results that
// don't last yet, the longest first up to so many bytes. The caller holds the lock.
func (j *job) progress(most int) []Rest {
	var list []Rest
	for i := range j.items {
		state := &j.items[i]
		if len(state.texts) < saveEvents {
			continue
		}
		list = append(list, Rest{
			Item: j.sub.Items[i].ID, Texts: state.texts[:len(state.texts):len(state.texts)], Last: state.last,
			Versions: append([]int(nil), state.versions...),
		})
	}
	for _, r := range j.book.pending {
		if !r.Failed {
			list = append(list, Rest{Item: r.Item, Texts: strings.Split(r.Text, "\n"), Versions: r.Versions, Whole: true})
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return len(list[a].Texts) > len(list[b].Texts) })
	for n, r := range list {
		size := rest{texts: r.Texts}.bytes()
		if size > most {
			return list[:n]
		}
		most -= size
	}
	return list
}

// saveOne writes a batch's progress. Writes need no order: each state is a prefix
// of what was generated.
func (k *Keeper) saveOne(ctx context.Context, id string, list []Rest, again bool) error {
	spec, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("encoding the progress of batch %s: %w", id, err)
	}
	if !again {
		_, err = k.parts.Store.Create(ctx, kindBegun, id, spec)
		var exists *object.ExistsError
		if !errors.As(err, &exists) {
			return err
		}
	}
	_, err = k.parts.Store.Replace(ctx, kindBegun, id, spec, 0)
	return err
}

// loadBegun notes the progress that was saved of a batch, where this node has
// not got more from the keeper itself. Without it items begin anew.
func (k *Keeper) loadBegun(ctx context.Context, id string) {
	record, err := k.parts.Store.Get(ctx, kindBegun, id, object.Fresh)
	if errors.Is(err, object.ErrNotFound) {
		return
	}
	var list []Rest
	if err == nil {
		err = json.Unmarshal(record.Spec, &list)
	}
	if err != nil {
		event.BatchUnreadable.Log(k.parts.Logger, zap.String("batch", id), zap.Error(err))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, r := range list {
		if kept, ok := k.rests.items[r.Item]; ok && (kept.whole || !r.Whole && len(kept.texts) >= len(r.Texts)) {
			continue
		}
		k.rests.put(r.Item, rest{texts: r.Texts, last: r.Last, versions: r.Versions, whole: r.Whole, at: now})
	}
}
