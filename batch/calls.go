package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/waits"
)

const (
	// acceptTimeout is how long storing a batch is retried while the store is
	// unavailable: an outage takes a few seconds, and the trainer waits a few
	// seconds longer.
	acceptTimeout = 8 * time.Second
	// offerTimeout is how long a peer may take to accept an offer or a backup. For
	// an offer it reads a few hundred kilobytes.
	offerTimeout = 250 * time.Millisecond
	// maxOffers limits the offered batches that are held until they are accepted.
	maxOffers = 8
	// maxTrackedSubmissions limits the batches whose first submission is
	// remembered; a trainer retries one for a few seconds.
	maxTrackedSubmissions = 64
	// demandWindow is how long a batch counts towards its model's demand.
	demandWindow = 20 * time.Second
	// acceptRetryAfter is when a trainer whose batch was not stored should retry.
	acceptRetryAfter = time.Second
	// endTimeout is how long storing the end of a batch is retried.
	endTimeout = 3500 * time.Millisecond
	// peerTimeout limits a call to the keeper. A read of results may take longer
	// by the wait that the reader requested.
	peerTimeout = 600 * time.Millisecond
	// findTimeout limits asking another node for an unknown batch, before the store is
	// asked.
	findTimeout = 300 * time.Millisecond
	// answerWait is how long an answer waits for memory. Callers of bodies wait a second or longer.
	answerWait = time.Second
	// storedBodyWait is how long a caller waits for a body that is read from the store. The load goes on
	// for the next one.
	storedBodyWait = 1500 * time.Millisecond
	// unknownBodyBytes is the estimated size of a body of a batch that this node does not know.
	unknownBodyBytes = 64 << 10
	// storedWait is how long a read waits for new results if this node should own
	// the batch but has not taken it over yet.
	storedWait = 300 * time.Millisecond
)

// Accept stores a batch durably and starts work on it.
func (k *Keeper) Accept(ctx context.Context, s Submission) AcceptResult {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	k.mu.Lock()
	known, submittedAt := k.batches[s.ID], start
	if known == nil {
		submittedAt = k.firstSubmission(s.ID, start)
	}
	k.mu.Unlock()
	if known != nil {
		switch err := k.checkTeam(ctx, s); {
		case errors.Is(err, ErrUnknown):
			return Rejected{Cause: err}
		case err != nil:
			// The batch may be this team's and run.
			return OutcomeUnknown{Cause: err}
		}
		event.BatchAcceptedBefore.Log(k.deps.Logger, zap.String("batch", s.ID))
		return Stored{Before: true}
	}
	keeper, incarnation := k.chooseKeeper(ctx, s)
	if keeper == k.deps.Name {
		if !k.reserveMemory(s) {
			k.deps.Scope.Tagged(map[string]string{"use": "accept"}).Counter("batch_memory_refused").Inc(1)
			event.BatchNotAccepted.Log(k.deps.Logger, zap.String("batch", s.ID), zap.Error(ErrNoMemory))
			return Rejected{RetryAfter: acceptRetryAfter, Cause: ErrNoMemory}
		}
		defer k.releaseMemory(s)
	}
	parts, err := k.storeBody(ctx, s)
	if err != nil {
		// Without a head no part of the batch can ever run.
		event.BatchNotAccepted.Log(k.deps.Logger, zap.String("batch", s.ID), zap.Error(err))
		return Rejected{RetryAfter: acceptRetryAfter, Cause: err}
	}
	head := Head{
		ID: s.ID, Host: s.Host, Path: s.Path, Model: s.Model, Step: s.Step, Items: len(s.Items),
		Keeper: keeper, Incarnation: incarnation, Tokens: totalTokens(s.Items), AcceptedMs: submittedAt.UnixMilli(), BodyParts: parts,
		Team: s.Team,
	}
	// The batch can end as soon as its head exists, before this node learns of that.
	createdAt := k.deps.Clock()
	head, outcome := k.storeHead(ctx, head)
	stored, ok := outcome.(Stored)
	if !ok {
		return outcome
	}
	if !k.mayUse(s.Team, head.Team) {
		k.Apply(Notification{Head: head})
		return Rejected{Cause: ErrUnknown}
	}
	k.deps.Scope.Timer("accept_time").Record(time.Since(start))
	if stored.Before {
		event.BatchAcceptedBefore.Log(k.deps.Logger, zap.String("batch", s.ID), zap.String("keeper", head.Keeper))
	} else {
		event.BatchAccepted.Log(k.deps.Logger, zap.String("batch", s.ID), zap.Int("items", len(s.Items)),
			zap.String("model", s.Model), zap.Int("step", s.Step), zap.Int("min_version", s.MinVersion),
			zap.String("keeper", head.Keeper), zap.Duration("took", time.Since(start)), event.Team(head.Team))
	}
	k.mu.Lock()
	k.applyLocked(Notification{Head: head})
	if k.owns(head) && !k.batches[s.ID].ended {
		j := k.newJob(head, s)
		if stored.Before {
			j.tail.share()
		} else {
			j.permission.confirm(createdAt)
		}
		k.startNew(j, createdAt)
	}
	k.mu.Unlock()
	k.deps.Peers.Notify(Notification{Head: head})
	return outcome
}

// chooseKeeper returns the node that is to own a new batch. All batches of a
// trainer go to one node while that node runs: it has the partial output of
// groups that are submitted again, and open connections. The batch is offered
// to that node; if it does not answer, this node becomes the keeper instead.
func (k *Keeper) chooseKeeper(ctx context.Context, s Submission) (string, uint64) {
	name, ok := rendez.First(s.Host+s.Model, k.deps.Peers.Keepers())
	if !ok || name == k.deps.Name {
		return k.deps.Name, k.deps.Incarnation
	}
	incarnation := k.deps.Peers.Incarnation(name)
	callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	err := k.deps.Peers.Offer(callCtx, name, s)
	if err == nil {
		return name, incarnation
	}
	k.logPeerError(s.ID, name, err)
	return k.deps.Name, k.deps.Incarnation
}

func totalTokens(items []Item) int {
	total := 0
	for i := range items {
		total += items[i].EstimatedTokens
	}
	return total
}

// Demand returns the tokens that a model's trainer requested recently.
func (k *Keeper) Demand(model string) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, total := time.Now(), 0
	for _, h := range k.batches {
		if h.head.Model == model && h.head.Age(now) < demandWindow {
			total += h.head.Tokens
		}
	}
	return float64(total)
}

// HoldOffer holds a batch that this node is to own once it is accepted.
func (k *Keeper) HoldOffer(id, host, path string, raw []byte) bool {
	s, err := k.deps.Decode(id, host, path, raw)
	if err != nil {
		event.BatchUnreadable.Log(k.deps.Logger, zap.String("batch", id), zap.Error(err))
		return false
	}
	// The raw body is not needed: the node that offers the batch stores it.
	s.Raw = nil
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving || !k.hasRoom(id, s.MemoryBytes()) {
		return false
	}
	if k.batches[id] != nil && k.hasTeams() {
		// The batch has a head already. Another team's submission must not replace its items.
		return true
	}
	if len(k.offers) >= maxOffers {
		// Most of these offers were never accepted. A batch that is accepted later is
		// read from the store.
		clear(k.offers)
	}
	k.offers[id] = offer{submission: s, bytes: s.MemoryBytes(), heldAt: k.deps.Clock()}
	k.firstSubmission(id, time.Now())
	return true
}

// firstSubmission returns when a batch was first submitted, and records it at
// the first call. The due time of its results counts from then, even if the
// store was unavailable and several submissions were needed. The caller holds
// the lock.
func (k *Keeper) firstSubmission(id string, now time.Time) time.Time {
	first, ok := k.submittedAt[id]
	if !ok {
		if len(k.submittedAt) >= maxTrackedSubmissions {
			clear(k.submittedAt)
		}
		first = now
		k.submittedAt[id] = first
	}
	return first
}

// owns reports whether the head names this incarnation of this node as the
// keeper and the node is not leaving. The caller holds the lock.
func (k *Keeper) owns(head Head) bool {
	return head.Keeper == k.deps.Name && head.Incarnation == k.deps.Incarnation && !k.leaving
}

// storeHead creates the head, which makes the batch accepted.
func (k *Keeper) storeHead(ctx context.Context, head Head) (Head, AcceptResult) {
	spec, err := json.Marshal(head)
	if err != nil {
		return head, Rejected{Cause: err}
	}
	_, err = object.CreateConfirmed(ctx, k.deps.Store, kindHeads, head.ID, spec)
	var exists *object.ExistsError
	switch {
	case err == nil:
		return head, Stored{}
	case errors.As(err, &exists):
		found, err := decodeHead(exists.Found)
		if err != nil {
			event.BatchUnreadable.Log(k.deps.Logger, zap.String("batch", head.ID), zap.Error(err))
			return head, Stored{Before: true}
		}
		// A creation whose answer was lost finds its own head.
		return found, Stored{Before: found != head}
	}
	outcomeUnknown := !errors.Is(err, object.ErrRefused) || errors.Is(err, object.ErrOutcomeUnknown)
	event.BatchNotAccepted.Log(k.deps.Logger, zap.String("batch", head.ID), zap.Bool("unsure", outcomeUnknown), zap.Error(err))
	if outcomeUnknown {
		return head, OutcomeUnknown{Cause: err}
	}
	return head, Rejected{RetryAfter: acceptRetryAfter, Cause: err}
}

// Read returns results from a position on, waiting for one if there is none.
func (k *Keeper) Read(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	page, err := k.ReadLocal(ctx, id, after, wait)
	if !errors.Is(err, ErrNotOwner) {
		return page, err
	}
	head, keeper, err := k.lookupHead(ctx, id)
	if err != nil {
		return Page{}, err
	}
	if keeper != k.deps.Name {
		if page, err = k.readAt(ctx, keeper, id, after, wait); err == nil {
			k.logEmptyPage(id, after, page, keeper)
			if page.Checked || len(page.Results) > 0 || after >= page.Total {
				return page, nil
			}
			return k.readFromStore(ctx, head, after)
		}
		k.logPeerError(id, keeper, err)
		// The next read goes to the present keeper if another node knows it.
		k.findAtPeer(ctx, id)
		wait = 0
	}
	page, err = k.readFromStore(ctx, head, after)
	if err == nil && len(page.Results) == 0 && page.Next < page.Total && wait > 0 {
		_ = waits.For(ctx, min(wait, storedWait))
		page, err = k.readFromStore(ctx, head, after)
	}
	if err == nil {
		k.logEmptyPage(id, after, page, sourceStore)
	}
	return page, err
}

// readAt reads results at the node that owns a batch. Readers that wait at the same position share
// the page.
func (k *Keeper) readAt(ctx context.Context, keeper, id string, after int, wait time.Duration) (Page, error) {
	key := fmt.Sprint("page/", keeper, "/", id, "/", after, "/", wait)
	return shareLoad(ctx, k, key, func(ctx context.Context) (Page, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		defer cancel()
		return k.deps.Peers.ReadAt(ctx, keeper, id, after, wait)
	})
}

// logPeerError logs a failed call to a peer. ErrNotOwner means that the peer
// answered but does not own the batch, or did not take the offer or the backup,
// since it has restarted or is leaving; this is logged as a different event
// from no answer.
func (k *Keeper) logPeerError(id, keeper string, err error) {
	kind := event.BatchKeeperUnreachable
	if errors.Is(err, ErrNotOwner) {
		kind = event.BatchNotOwned
	}
	kind.Log(k.deps.Logger, zap.String("batch", id), zap.String("keeper", keeper), zap.Error(err))
}

// ReadLocal reads results of a batch that this node owns, or returns ErrNotOwner.
func (k *Keeper) ReadLocal(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		k.mu.Lock()
		j := k.jobs[id]
		if j == nil {
			k.mu.Unlock()
			return Page{}, ErrNotOwner
		}
		if !j.results.Resident(after) {
			k.mu.Unlock()
			return Page{}, ErrNotOwner
		}
		page := j.results.Page(after, maxPageBytes)
		changed := j.changed
		complete := page.Next >= page.Total && after <= page.Total
		stopWaiting := j.results.Ended() || complete || wait <= 0
		required := k.mustCheck(j, after)
		check := required || j.tail.outdated(k.deps.Clock())
		k.mu.Unlock()
		if len(page.Results) > 0 || complete {
			return page, nil
		}
		if check {
			found, err := k.checkNextChunk(ctx, j, required)
			if err != nil {
				return Page{}, err
			}
			if found {
				continue
			}
		}
		if stopWaiting {
			k.logEmptyLocalPage(j, after)
			page.Checked = true
			return page, nil
		}
		select {
		case <-ctx.Done():
			return page, nil
		case <-timer.C:
			wait = 0
		case <-changed:
		}
	}
}

// mustCheck reports whether a read must not be answered before the store has been asked
// for further results. The caller holds the lock.
func (k *Keeper) mustCheck(j *job, after int) bool {
	now := k.deps.Clock()
	suspended := now-k.sweptAt > pauseLimit
	unsettled := j.results.Ended() || suspended || time.Since(k.deps.Peers.LastStatusChange()) < uncertainPeriod
	return after > j.results.Durable() || j.tail.mustCheck(now, unsettled)
}

// checkNextChunk is readNextChunk. If the check is not required it has a short time, and the
// store need not answer.
func (k *Keeper) checkNextChunk(ctx context.Context, j *job, required bool) (found bool, err error) {
	if required {
		return k.readNextChunk(ctx, j)
	}
	checkCtx, cancel := context.WithTimeout(ctx, tailCheckTimeout)
	defer cancel()
	if found, err = k.readNextChunk(checkCtx, j); err != nil {
		event.BatchTailNotChecked.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.Error(err))
	}
	return found, nil
}

// readNextChunk reads the chunk after the last one in memory and commits it.
// Found reports whether the job has new results.
func (k *Keeper) readNextChunk(ctx context.Context, j *job) (found bool, err error) {
	k.mu.Lock()
	n := j.results.Chunks()
	k.mu.Unlock()
	askedAt := k.deps.Clock()
	c, err := k.readChunk(ctx, j.head.ID, n)
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return false, fmt.Errorf("%w: %w", ErrUndetermined, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if j.results.Chunks() == n {
			j.tail.confirm(askedAt)
		}
		return j.results.Chunks() > n, nil
	}
	if j.results.Chunks() == n {
		event.BatchChunkOfOtherKeeper.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.Int("chunk", n),
			zap.String("winner", c.Keeper))
		j.tail.share()
		k.commitChunk(j, c.Results)
	}
	return true, nil
}

// Body returns the body of an item.
func (k *Keeper) Body(ctx context.Context, id, item string) ([]byte, error) {
	body, err := k.BodyLocal(ctx, id, item)
	if !errors.Is(err, ErrNotOwner) {
		return body, err
	}
	head, keeper, err := k.lookupHead(ctx, id)
	if err != nil {
		return nil, err
	}
	if keeper != k.deps.Name {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		body, err = k.deps.Peers.BodyAt(callCtx, keeper, id, item)
		cancel()
		if err == nil || errors.Is(err, ErrUnknown) {
			return body, err
		}
		k.logPeerError(id, keeper, err)
	}
	return k.bodyFromStore(ctx, head, item)
}

// BodyLocal returns the body of an item of a batch that this node owns.
func (k *Keeper) BodyLocal(ctx context.Context, id, item string) ([]byte, error) {
	k.mu.Lock()
	j := k.jobs[id]
	if j == nil {
		k.mu.Unlock()
		return nil, ErrNotOwner
	}
	it, ok := findItem(j.submission.Items, item)
	partBytes := j.submission.partBytes
	k.mu.Unlock()
	if !ok {
		return nil, ErrUnknown
	}
	return k.bodyOf(ctx, id, it, partBytes)
}

// bodyFromStore returns the body of an item of a batch whose owner does not answer.
func (k *Keeper) bodyFromStore(ctx context.Context, head Head, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storedBodyWait)
	defer cancel()
	index, err := k.index(ctx, head)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUndetermined, err)
	}
	it, ok := findItem(index.Items, item)
	if !ok {
		return nil, ErrUnknown
	}
	return k.bodyOf(ctx, head.ID, it, index.partBytes)
}

// bodyOf returns the body of an item, which may have to be read from the store.
func (k *Keeper) bodyOf(ctx context.Context, id string, it Item, partBytes int) ([]byte, error) {
	if it.unloaded {
		ctx, cancel := context.WithTimeout(ctx, storedBodyWait)
		defer cancel()
		var err error
		if it, err = k.loadItem(ctx, id, it, partBytes); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUndetermined, err)
		}
	}
	return it.Body, nil
}

func findItem(items []Item, id string) (Item, bool) {
	for i := range items {
		if items[i].ID == id {
			return items[i], true
		}
	}
	return Item{}, false
}

// HoldPage waits for memory for results that are sent to a caller, which the returned function releases
// once they have been written. It returns ErrNoMemory if that takes too long.
func (k *Keeper) HoldPage(ctx context.Context, bytes int64) (release func(), err error) {
	return k.hold(ctx, k.pages, bytes)
}

// HoldBody is HoldPage for the body of an item.
func (k *Keeper) HoldBody(ctx context.Context, id string) (release func(), err error) {
	return k.hold(ctx, k.bodies, k.bodyBytes(id))
}

// HoldReply is HoldPage for results that are sent to a peer. Replies have memory of their own, since the
// peer's caller holds memory there meanwhile.
func (k *Keeper) HoldReply(ctx context.Context, bytes int64) (release func(), err error) {
	return k.hold(ctx, k.replies, bytes)
}

// HoldBodyReply is HoldReply for the body of an item.
func (k *Keeper) HoldBodyReply(ctx context.Context, id string) (release func(), err error) {
	return k.hold(ctx, k.replies, k.bodyBytes(id))
}

func (k *Keeper) hold(ctx context.Context, s *section, bytes int64) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	if release, err = s.acquire(ctx, bytes); err != nil {
		k.deps.Scope.Tagged(map[string]string{"use": "answer"}).Counter("batch_memory_refused").Inc(1)
	}
	return release, err
}

// bodyBytes returns about how much memory a read of an item's body takes: twice what the average item of
// its batch takes in the store.
func (k *Keeper) bodyBytes(id string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.batches[id]
	if h == nil || h.head.Items == 0 {
		return unknownBodyBytes
	}
	return 2 * int64(h.head.BodyParts) * int64(k.partBytes()) / int64(h.head.Items)
}

// End ends a batch. It returns once the end is stored durably.
func (k *Keeper) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	head, keeper, err := k.lookupHead(ctx, id)
	if err != nil {
		return err
	}
	k.Apply(Notification{Head: head, Ended: true})
	if keeper != k.deps.Name {
		callCtx, cancelCall := context.WithTimeout(ctx, peerTimeout)
		if err := k.deps.Peers.EndAt(callCtx, keeper, head); err != nil {
			k.logPeerError(id, keeper, err)
		}
		cancelCall()
	}
	spec, err := json.Marshal(ending{EndedMs: time.Now().UnixMilli()})
	if err != nil {
		return fmt.Errorf("encoding the end of a batch: %w", err)
	}
	if err := k.createIfAbsent(ctx, kindEnds, id, spec); err != nil {
		return fmt.Errorf("%w: %w", ErrUndetermined, err)
	}
	event.BatchEnded.Log(k.deps.Logger, zap.String("batch", id), zap.Duration("age", head.Age(time.Now())))
	k.deps.Peers.Notify(Notification{Head: head, Ended: true})
	return nil
}
