package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/waits"
)

const (
	// textShare is the share of an object's maximum size that texts may take; JSON
	// escapes some bytes.
	textShare = 0.6
	// maxWriteWait is the longest time that the write loop waits before it checks
	// again.
	maxWriteWait = time.Second
)

type (
	// job is a batch that this node owns. The keeper's lock guards it.
	job struct {
		head         Head
		submission   Submission
		route        routes.Route
		results      *ResultLog
		items        []itemState
		running      map[int]*itemRun
		changed      chan struct{}
		resultReady  chan struct{}
		pendingSince time.Time
		// submittedAt is when the batch was first submitted, by this node's clock; zero
		// if this node has not seen it.
		submittedAt time.Time
		released    bool
		// indexBytes is about how much memory the items take without their bodies, bodyBytes that
		// of the bodies in memory.
		indexBytes, bodyBytes int64
		// lastDone is the item that ended last.
		lastDone lastItem
		// backupNode is the node that holds a backup of the partial output; backedUp
		// counts the events sent to it, by item.
		backupNode string
		// textBytes is about how much memory the texts of all items take.
		textBytes int64
		backedUp  map[string]int
		// checkpointed is the progress that is stored in the checkpoint, by item; nil
		// if there is no checkpoint.
		checkpointed map[string]int
		// previous is the head with the previous keeper, until that node has been
		// notified of the takeover; then it is empty.
		previous Head
		// takenOver reports that this node has taken the batch over from another one.
		takenOver bool
		// tail decides when a read asks the store for further chunks.
		tail tailState
		// emptyPages are the positions of the empty pages that were logged.
		emptyPages emptyPages
		// permission decides whether items may start. startsHeld reports that the last check
		// left it invalid.
		permission startPermission
		startsHeld bool
	}

	// lastItem describes the item that ended last, for logs: the longest items
	// decide how long a batch takes.
	lastItem struct {
		id, endpoint string
		events       int
		ran          time.Duration
	}

	// itemRun is one run of an item.
	itemRun struct {
		cancel    context.CancelFunc
		target    fleet.Target
		startedAt time.Time
		// moved reports that the run was stopped to resume the item on another
		// endpoint.
		moved bool
		// discarded reports that the item's output was discarded during the run, which writes
		// no more of it.
		discarded bool
	}

	// itemState is the state of an item without a result.
	itemState struct {
		texts []string
		// textBytes is about how much memory the texts take.
		textBytes    int
		lastEvent    int
		versions     []int
		serverErrors int
		failures     int
		// stalls counts the runs that were ended since no event came.
		stalls        int
		avoidEndpoint string
		notBefore     time.Time
		// software wrote the texts; only the same one may continue them.
		software fleet.Software
		// stuckSince is since when no endpoint continues the partial output, zero while one
		// can.
		stuckSince time.Time
		// restarts counts how often partial output was discarded for that reason.
		restarts int
		// reward is the state of the item's reward call once its text is complete, nil
		// before and for an item without such a call.
		reward *rewardState
	}
)

// maxTextBytes returns how many bytes of text one object may hold.
func (k *Keeper) maxTextBytes() int { return int(float64(k.deps.ValueBytes) * textShare) }

func (k *Keeper) newJob(head Head, s Submission) *job {
	// The raw body is in the store; only the items are needed here.
	s.Raw = nil
	if s.partBytes == 0 {
		s.partBytes = k.partBytes()
	}
	j := &job{
		head: head, submission: s, route: k.routeOf(head), results: NewResultLog(s.Items),
		items: make([]itemState, len(s.Items)), running: make(map[int]*itemRun),
		backedUp: make(map[string]int),
		changed:  make(chan struct{}), resultReady: make(chan struct{}, 1),
	}
	j.indexBytes, j.bodyBytes = s.itemBytes()
	for i := range j.items {
		j.items[i].lastEvent = -1
	}
	return j
}

// discardOutput discards the partial output of an item, so that it starts anew. The caller
// holds the lock.
func (j *job) discardOutput(i int) {
	s := &j.items[i]
	j.setTexts(i, nil)
	s.versions, s.lastEvent, s.software, s.stuckSince = nil, -1, "", time.Time{}
	delete(j.backedUp, j.submission.Items[i].ID)
}

// due returns when the batch's results are due.
func (j *job) due() time.Time {
	from := j.submittedAt
	if from.IsZero() {
		from = time.UnixMilli(j.head.AcceptedMs)
	}
	return from.Add(j.route.ResultDeadline)
}

// recordResult records an item's result. The caller holds the lock.
func (k *Keeper) recordResult(j *job, result Result) {
	if j.results.Ended() || !j.results.Finish(result) {
		return
	}
	if j.results.Pending() == 1 {
		j.pendingSince = time.Now()
	}
	select {
	case j.resultReady <- struct{}{}:
	default:
	}
}

// logFields returns the log fields that describe a batch's progress. The caller
// holds the lock.
func (j *job) logFields() []zap.Field {
	return []zap.Field{
		zap.String("batch", j.head.ID), zap.Int("results", j.results.Durable()), zap.Int("total", j.results.Total()),
		zap.Int("running", len(j.running)), zap.Int("scoring", j.scoring()), zap.String("last_item", j.lastDone.id), zap.String("endpoint", j.lastDone.endpoint),
		zap.Int("events", j.lastDone.events), zap.Duration("ran", j.lastDone.ran),
	}
}

// scoring returns how many items have a complete text and wait for their score. The
// caller holds the lock.
func (j *job) scoring() int {
	n := 0
	for i := range j.items {
		if j.items[i].reward != nil {
			n++
		}
	}
	return n
}

// endJob stops work on a batch that has ended. The caller holds the lock.
func (k *Keeper) endJob(j *job) {
	event.BatchWorkEnded.Log(k.deps.Logger, append(j.logFields(), zap.Duration("age", j.head.Age(time.Now())))...)
	k.cachePartials(j)
	for group := range j.results.missingByGroup {
		delete(k.groupEndpoints, j.head.ID+"/"+group)
	}
	j.results.End()
	for i := range j.items {
		j.setTexts(i, nil)
	}
	k.stopRuns(j)
	close(j.changed)
	j.changed = make(chan struct{})
}

func (k *Keeper) stopRuns(j *job) {
	for _, r := range j.running {
		r.cancel()
	}
	for i := range j.items {
		j.items[i].reward.cancelAttempts()
	}
}

// writeLoop stores results durably, one chunk after the other.
func (k *Keeper) writeLoop(j *job) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		results, n, wait, done := k.nextChunk(j)
		if done {
			return
		}
		if results != nil && k.ctx.Err() == nil {
			k.writeChunk(j, n, results)
			continue
		}
		timer.Reset(min(wait, maxWriteWait))
		select {
		case <-k.ctx.Done():
			return
		case <-j.resultReady:
		case <-timer.C:
		}
	}
}

// nextChunk returns the results to write now and the number of their chunk, or
// how long to wait. Done reports that nothing is left to write.
func (k *Keeper) nextChunk(j *job) (results []Result, n int, wait time.Duration, done bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j.released || j.results.Ended() || j.results.Durable() == j.results.Total() {
		return nil, 0, 0, true
	}
	wait = FlushDelay(j.results, j.submission.DesiredGroups, time.Since(j.pendingSince), time.Until(j.due()))
	if k.leaving && j.results.Pending() > 0 {
		wait = 0
	}
	if wait > 0 {
		return nil, 0, wait, false
	}
	maxBytes := k.maxTextBytes()
	return j.results.NextChunk(maxBytes), j.results.Chunks(), 0, false
}

// writeChunk creates chunk n. If another keeper has created it already, that
// chunk is committed here, and the results of this node go into a later one.
func (k *Keeper) writeChunk(j *job, n int, results []Result) {
	start, askedAt := time.Now(), k.deps.Clock()
	spec, err := json.Marshal(chunk{First: j.results.Durable(), Results: results, Keeper: k.deps.Name})
	if err != nil {
		event.BatchUnreadable.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.Error(err))
		return
	}
	_, err = object.CreateConfirmed(k.ctx, k.deps.Store, kindChunks, numberedName(j.head.ID, n), spec)
	created := err == nil
	var exists *object.ExistsError
	if errors.As(err, &exists) {
		var c chunk
		if c, err = k.existingChunk(j.head.ID, n, exists.Found); err == nil {
			event.BatchChunkOfOtherKeeper.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.Int("chunk", n),
				zap.String("winner", c.Keeper))
			results = c.Results
		}
	}
	if err != nil {
		event.BatchChunkRetried.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.Int("chunk", n), zap.Error(err))
		k.mu.Lock()
		j.tail.share()
		k.mu.Unlock()
		_ = waits.For(k.ctx, urgentFlushDelay)
		return
	}
	k.deps.Scope.Timer("chunk_time").Record(time.Since(start))
	k.mu.Lock()
	defer k.mu.Unlock()
	if j.results.Chunks() == n {
		k.commitChunk(j, results)
		if created {
			j.tail.confirm(askedAt)
		} else {
			j.tail.share()
		}
	}
	if j.results.Durable() == j.results.Total() {
		event.BatchComplete.Log(k.deps.Logger, append(j.logFields(), zap.Duration("age", j.head.Age(time.Now())))...)
	}
}

// commitChunk records a chunk that is stored durably. The caller holds the
// lock.
func (k *Keeper) commitChunk(j *job, results []Result) {
	j.results.Commit(results)
	k.makeRoom(j.head.ID, 0, true)
	j.endRewards()
	j.pendingSince = time.Now()
	close(j.changed)
	j.changed = make(chan struct{})
}

// existingChunk returns the chunk that already exists under the number that
// this node tried to write.
func (k *Keeper) existingChunk(id string, n int, found object.Entry) (chunk, error) {
	if len(found.Spec) > 0 {
		return decodeChunk(found)
	}
	return k.readChunk(k.ctx, id, n)
}
