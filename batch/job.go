package batch

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/waits"
)

const (
	// textShare is the share of an object that texts may take; JSON escapes some
	// bytes.
	textShare = 0.6
	// dueWait is how long the write loop waits at most before it looks again.
	dueWait = time.Second
)

type (
	// job is a batch that this node keeps. The keeper's lock guards it.
	job struct {
		head    Head
		sub     Submission
		route   routes.Route
		book    *Book
		items   []itemState
		running map[int]*itemRun
		changed chan struct{}
		pending chan struct{}
		first   time.Time
		// asked is when it was first handed in, by this node's clock; zero if this
		// node did not see it.
		asked    time.Time
		released bool
		// last is the item that ended last.
		last lastItem
		// backup is the node that has what was generated, sent how much of it.
		backup string
		sent   map[string]int
		// saved is how many events of each item the store has, nil without its
		// object.
		saved map[string]int
		// from is the head by the keeper before this one, until that has been told.
		from Head
		// doubtUntil is until when another keeper may have written chunks,
		// confirmed when the store last said that there is none.
		doubtUntil time.Time
		confirmed  time.Time
	}

	// lastItem tells why a batch took as long as it did: its longest items decide.
	lastItem struct {
		id, endpoint string
		events       int
		ran          time.Duration
	}

	// itemRun is one run of an item.
	itemRun struct {
		cancel context.CancelFunc
		target fleet.Target
		since  time.Time
		// moved says that it was stopped to go on elsewhere.
		moved bool
		// begun says that an event came, crashed that the endpoint ended before one.
		begun   atomic.Bool
		crashed bool
	}

	// itemState is what is known of an item that has no result.
	itemState struct {
		texts    []string
		last     int
		versions []int
		errors   int
		failures int
		// crashes counts endpoints that ended under the item since its last event.
		crashes int
		avoid   string
		after   time.Time
	}
)

// textBytes returns how many bytes of texts one object may hold.
func (k *Keeper) textBytes() int { return int(float64(k.parts.ValueBytes) * textShare) }

func (k *Keeper) newJob(head Head, s Submission) *job {
	// What lasts is in the store; the items are all that is needed here.
	s.Raw = nil
	j := &job{
		head: head, sub: s, route: k.routeOf(head), book: NewBook(s.Items),
		items:   make([]itemState, len(s.Items)),
		running: make(map[int]*itemRun),
		sent:    make(map[string]int),
		changed: make(chan struct{}), pending: make(chan struct{}, 1),
	}
	for i := range j.items {
		j.items[i].last = -1
	}
	return j
}

// due returns when the batch's results are due.
func (j *job) due() time.Time {
	from := j.asked
	if from.IsZero() {
		from = time.UnixMilli(j.head.AcceptedMs)
	}
	return from.Add(j.route.ResultDeadline)
}

// finish notes an item's result. The caller holds the lock.
func (k *Keeper) finish(j *job, result Result) {
	if j.book.Ended() || !j.book.Finish(result) {
		return
	}
	if j.book.Pending() == 1 {
		j.first = time.Now()
	}
	select {
	case j.pending <- struct{}{}:
	default:
	}
}

// state returns what a log line says of a batch's work. The caller holds the lock.
func (j *job) state() []zap.Field {
	return []zap.Field{
		zap.String("batch", j.head.ID), zap.Int("results", j.book.Listed()), zap.Int("total", j.book.Total()),
		zap.Int("running", len(j.running)), zap.String("last_item", j.last.id), zap.String("endpoint", j.last.endpoint),
		zap.Int("events", j.last.events), zap.Duration("ran", j.last.ran),
	}
}

// endJob ends a batch's work. The caller holds the lock.
func (k *Keeper) endJob(j *job) {
	event.BatchLeft.Log(k.parts.Logger, append(j.state(), zap.Duration("age", j.head.Age(time.Now())))...)
	k.keepRests(j)
	for group := range j.book.groups {
		delete(k.homes, j.head.ID+"/"+group)
	}
	j.book.End()
	k.stopRuns(j)
	close(j.changed)
	j.changed = make(chan struct{})
}

func (k *Keeper) stopRuns(j *job) {
	for _, r := range j.running {
		r.cancel()
	}
}

// writeLoop makes results last, one chunk after the other.
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
		timer.Reset(min(wait, dueWait))
		select {
		case <-k.ctx.Done():
			return
		case <-j.pending:
		case <-timer.C:
		}
	}
}

// nextChunk returns the results to write now, or how long to wait.
func (k *Keeper) nextChunk(j *job) (results []Result, n int, wait time.Duration, done bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j.released || j.book.Ended() || j.book.Listed() == j.book.Total() {
		return nil, 0, 0, true
	}
	wait = FlushIn(j.book, j.sub.Desired, time.Since(j.first), time.Until(j.due()))
	if k.leaving && j.book.Pending() > 0 {
		wait = 0
	}
	if wait > 0 {
		return nil, 0, wait, false
	}
	most := k.textBytes()
	return j.book.Next(most), j.book.Chunks(), 0, false
}

// writeChunk creates chunk n. If another keeper has created it, its results
// count and ours go into a later one.
func (k *Keeper) writeChunk(j *job, n int, results []Result) {
	begun := time.Now()
	spec, err := json.Marshal(chunk{First: j.book.Listed(), Results: results, Keeper: k.parts.Name})
	if err != nil {
		event.BatchUnreadable.Log(k.parts.Logger, zap.String("batch", j.head.ID), zap.Error(err))
		return
	}
	_, err = object.CreateSure(k.ctx, k.parts.Store, kindChunks, chunkName(j.head.ID, n), spec)
	var exists *object.ExistsError
	if errors.As(err, &exists) {
		var c chunk
		if c, err = k.winner(j.head.ID, n, exists.Found); err == nil {
			event.BatchChunkLost.Log(k.parts.Logger, zap.String("batch", j.head.ID), zap.Int("chunk", n),
				zap.String("winner", c.Keeper))
			results = c.Results
		}
	}
	if err != nil {
		event.BatchChunkRetried.Log(k.parts.Logger, zap.String("batch", j.head.ID), zap.Int("chunk", n), zap.Error(err))
		_ = waits.For(k.ctx, flushSoon)
		return
	}
	k.parts.Scope.Timer("chunk_time").Record(time.Since(begun))
	k.mu.Lock()
	defer k.mu.Unlock()
	if j.book.Chunks() == n {
		k.commit(j, results)
	}
	if j.book.Listed() == j.book.Total() {
		event.BatchWhole.Log(k.parts.Logger, append(j.state(), zap.Duration("age", j.head.Age(time.Now())))...)
	}
}

// commit notes a chunk that lasts. The caller holds the lock.
func (k *Keeper) commit(j *job, results []Result) {
	j.book.Commit(results)
	j.first, j.confirmed = time.Now(), time.Now()
	close(j.changed)
	j.changed = make(chan struct{})
}

// winner returns the chunk that stands where ours was to go.
func (k *Keeper) winner(id string, n int, found object.Entry) (chunk, error) {
	if len(found.Spec) > 0 {
		return decodeChunk(found)
	}
	return k.chunkAt(k.ctx, id, n)
}
