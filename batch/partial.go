package batch

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/rendez"
)

const (
	// partialTTL is how long the partial output of an incomplete group is held; a
	// trainer's next batch comes a few seconds later.
	partialTTL = 30 * time.Second
	// backupInterval is how often partial output is sent to the node that would
	// take over, and thus the most that a crash loses.
	backupInterval = 600 * time.Millisecond
	// minBackupEvents is how many new events an item needs before they are sent.
	minBackupEvents = 8
	// sentComplete marks an item whose complete text was sent, sentScored one whose
	// complete text was sent with its score.
	sentComplete = -1
	sentScored   = -2
	// maxPartialBytes limits the text of all partial output that is held.
	maxPartialBytes = 6 << 20
)

type (
	// partialCache holds the partial output of groups that were incomplete when
	// their batch ended, for the batch in which they are submitted again, and the
	// backups that peers send.
	partialCache struct {
		items map[string]partial
		bytes int
	}

	partial struct {
		texts     []string
		lastEvent int
		versions  []int
		// software wrote the texts, empty if that is not known.
		software fleet.Software
		// complete reports that nothing is left to generate.
		complete bool
		// score is the score of a complete text, empty if there is none yet, and
		// rewardID the ID of the reward call that it answers.
		score, rewardID string
		savedAt         time.Time
	}

	// PartialOutput is the partial output of an item, as sent to the node that
	// would take over its batch and as stored in checkpoints.
	PartialOutput struct {
		Item string `json:"item"`
		// Offset is how many events the receiver should already have, and Preceding their
		// digest. Older releases don't state the digest.
		Offset    int      `json:"-"`
		Preceding uint64   `json:"-"`
		Texts     []string `json:"texts"`
		LastEvent int      `json:"last"`
		Versions  []int    `json:"versions"`
		// Software wrote the texts. Older releases don't state it.
		Software fleet.Software `json:"software,omitempty"`
		Complete bool           `json:"whole,omitempty"`
		// Score is the score of a complete text, empty if there is none yet, and
		// RewardID the ID of the reward call that it answers.
		Score    string `json:"score,omitempty"`
		RewardID string `json:"scorer,omitempty"`
	}
)

func newPartialCache() *partialCache { return &partialCache{items: make(map[string]partial)} }

func (p partial) bytes() int {
	n := 0
	for _, text := range p.texts {
		n += len(text)
	}
	return n
}

// put stores the partial output of an item, unless the cache is full.
func (c *partialCache) put(item string, p partial) {
	c.drop(item)
	size := p.bytes()
	if c.bytes+size > maxPartialBytes {
		c.expire(p.savedAt)
	}
	if c.bytes+size > maxPartialBytes {
		return
	}
	c.items[item] = p
	c.bytes += size
}

// pop removes and returns the partial output of an item. It reports false if
// there is none, if it has expired, if its weight versions are unknown, too
// old or mixed although the item must have a single one, or if it is incomplete and
// not known who wrote it.
func (c *partialCache) pop(item string, minVersion int, single bool, now time.Time) (partial, bool) {
	p, ok := c.items[item]
	if !ok {
		return partial{}, false
	}
	c.drop(item)
	if now.Sub(p.savedAt) > partialTTL || len(p.versions) == 0 || (single && len(p.versions) > 1) ||
		!p.complete && p.software == "" {
		return partial{}, false
	}
	for _, version := range p.versions {
		if version < minVersion {
			return partial{}, false
		}
	}
	return p, true
}

func (c *partialCache) drop(item string) {
	if p, ok := c.items[item]; ok {
		c.bytes -= p.bytes()
		delete(c.items, item)
	}
}

func (c *partialCache) expire(now time.Time) {
	for item, p := range c.items {
		if now.Sub(p.savedAt) > partialTTL {
			c.drop(item)
		}
	}
}

// StoreBackup stores partial output of items that another node runs. It reports
// false if earlier events are missing here.
func (k *Keeper) StoreBackup(list []PartialOutput) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, allStored := time.Now(), true
	for _, r := range list {
		texts := r.Texts
		if r.Offset > 0 {
			current, ok := k.partials.items[r.Item]
			if !ok || !r.continues(current) {
				allStored = false
				continue
			}
			texts = append(current.texts[:r.Offset:r.Offset], r.Texts...)
		}
		k.partials.put(r.Item, r.toPartial(texts, now))
	}
	return allStored
}

// continues reports whether the events of a partial output follow those of another one.
func (r PartialOutput) continues(earlier partial) bool {
	return len(earlier.texts) == r.Offset && earlier.software == r.Software &&
		(r.Preceding == 0 || r.Preceding == digest(earlier.texts))
}

// digest returns a digest of events.
func digest(texts []string) uint64 {
	sum := xxhash.New()
	for _, text := range texts {
		_, _ = sum.WriteString(text)
		_, _ = sum.WriteString("\n")
	}
	return sum.Sum64()
}

func (r PartialOutput) toPartial(texts []string, savedAt time.Time) partial {
	return partial{
		texts: texts, lastEvent: r.LastEvent, versions: r.Versions, software: r.Software, complete: r.Complete,
		score: r.Score, rewardID: r.RewardID, savedAt: savedAt,
	}
}

// sendBackups sends the partial output generated since the last call to the
// nodes that would take over.
func (k *Keeper) sendBackups(ctx context.Context) {
	type backup struct {
		job  *job
		name string
		list []PartialOutput
	}
	var backups []backup
	k.mu.Lock()
	for id, j := range k.jobs {
		if j.results.Ended() || j.released {
			continue
		}
		name, ok := k.successor(id)
		if !ok {
			continue
		}
		if name != j.backupNode {
			j.backupNode = name
			clear(j.backedUp)
		}
		if list := j.unsentPartials(); len(list) > 0 {
			backups = append(backups, backup{job: j, name: name, list: list})
		}
	}
	k.mu.Unlock()
	for _, b := range backups {
		callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
		err := k.deps.Peers.SendPartials(callCtx, b.name, b.list)
		cancel()
		if err != nil {
			k.logPeerError(b.job.head.ID, b.name, err)
			k.mu.Lock()
			clear(b.job.backedUp)
			k.mu.Unlock()
		}
	}
}

// successor returns the node that would take a batch over from this one.
func (k *Keeper) successor(id string) (string, bool) {
	var peers []string
	for _, name := range k.deps.Peers.Keepers() {
		if name != k.deps.Name {
			peers = append(peers, name)
		}
	}
	return rendez.First(id, peers)
}

// unsentPartials returns the partial output generated since the last call and
// marks it as sent.
func (j *job) unsentPartials() []PartialOutput {
	var list []PartialOutput
	for i := range j.running {
		state, it := &j.items[i], &j.submission.Items[i]
		sent := j.backedUp[it.ID]
		if len(state.texts) < sent {
			sent = 0
		}
		if len(state.texts)-sent < minBackupEvents {
			continue
		}
		list = append(list, PartialOutput{
			Item: it.ID, Offset: sent, Preceding: digest(state.texts[:sent]), Texts: append([]string(nil), state.texts[sent:]...), LastEvent: state.lastEvent,
			Versions: append([]int(nil), state.versions...), Software: state.software,
		})
		j.backedUp[it.ID] = len(state.texts)
	}
	for _, complete := range j.completeTexts() {
		mark := sentComplete
		if complete.Score != "" {
			mark = sentScored
		}
		if j.backedUp[complete.Item] != mark {
			list = append(list, complete)
			j.backedUp[complete.Item] = mark
		}
	}
	return list
}

// completeTexts returns the items whose text is complete but whose result is not
// durable: those that wait for their score and those whose result is pending.
func (j *job) completeTexts() []PartialOutput {
	pending := make(map[string]Result, len(j.results.pending))
	for _, r := range j.results.pending {
		pending[r.Item] = r
	}
	var list []PartialOutput
	for i := range j.submission.Items {
		it, state := &j.submission.Items[i], &j.items[i]
		if r, ok := pending[it.ID]; ok {
			if !r.Failed {
				list = append(list, PartialOutput{
					Item: it.ID, Texts: []string{r.Text}, Versions: r.Versions, Complete: true, Score: r.Score, RewardID: it.Reward.ID,
				})
			}
		} else if state.reward != nil {
			list = append(list, PartialOutput{
				Item: it.ID, Texts: []string{strings.Join(state.texts, "\n")}, Versions: state.versions, Complete: true, RewardID: it.Reward.ID,
			})
		}
	}
	return list
}

// cachePartials caches the partial output of a batch's incomplete groups. The
// caller holds the lock.
func (k *Keeper) cachePartials(j *job) {
	now := time.Now()
	byItem := make(map[string]Result)
	// Texts that are in the store only are generated anew.
	for _, list := range [][]Result{j.results.durable[j.results.evicted:], j.results.pending} {
		for _, r := range list {
			if !r.Failed {
				byItem[r.Item] = r
			}
		}
	}
	for i := range j.submission.Items {
		it, state := &j.submission.Items[i], &j.items[i]
		if j.results.missingByGroup[it.Group] == 0 {
			continue
		}
		if r, ok := byItem[it.ID]; ok {
			k.partials.put(it.ID, partial{
				texts: []string{r.Text}, versions: r.Versions, complete: true, score: r.Score, rewardID: it.Reward.ID, savedAt: now,
			})
		} else if len(state.texts) > 0 {
			k.partials.put(it.ID, partial{
				texts: state.texts, lastEvent: state.lastEvent, versions: state.versions, software: state.software,
				complete: state.reward != nil, savedAt: now,
			})
		}
	}
}

// restorePartials applies earlier partial output to a new job. It returns how
// many items are complete and how many resume. The caller holds the lock.
func (k *Keeper) restorePartials(j *job) (complete, resumed int) {
	now := time.Now()
	for i := range j.submission.Items {
		it := &j.submission.Items[i]
		p, ok := k.partials.pop(it.ID, j.submission.MinVersion, j.route.SingleVersion, now)
		switch {
		case !ok || j.results.HasResult(it.ID):
		case p.complete:
			state := &j.items[i]
			j.setTexts(i, p.texts)
			state.versions = p.versions
			if p.score != "" && p.rewardID == it.Reward.ID {
				k.recordScored(j, i, p.score)
			} else {
				k.finishText(j, i)
			}
			complete++
		default:
			state := &j.items[i]
			j.setTexts(i, p.texts)
			state.lastEvent, state.versions, state.software = p.lastEvent, p.versions, p.software
			resumed++
		}
	}
	return complete, resumed
}
