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
	// acceptWait is how long an acceptance is tried while the store is away: an
	// outage takes some seconds, and the trainer waits for some more.
	acceptWait = 8 * time.Second
	// offerWait is how long a node may take to take an offer; it reads some
	// hundred kilobytes.
	offerWait = 250 * time.Millisecond
	// mostOffers bounds the offers that wait for their acceptance.
	mostOffers = 8
	// mostAsked bounds the batches whose first try is remembered; a trainer tries
	// one for some seconds.
	mostAsked = 64
	// demandLife is how long a batch counts to its model's demand.
	demandLife = 20 * time.Second
	// acceptRetry is when a trainer that was refused comes back.
	acceptRetry = time.Second
	// endWait is how long the end of a batch is tried to be made lasting.
	endWait = 3500 * time.Millisecond
	// peerWait is how long a call to the keeper may take beyond what it waits.
	peerWait = 600 * time.Millisecond
	// confirmLife is how long the store's word that there are no more results
	// holds; a position that was read must be there a second later.
	confirmLife = 400 * time.Millisecond
	// storedWait is how long a reader waits where no keeper can be asked.
	storedWait = 300 * time.Millisecond
)

// Accept makes a batch last and begins to work on it.
func (k *Keeper) Accept(ctx context.Context, s Submission) Accepted {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptWait)
	defer cancel()
	k.mu.Lock()
	h, first := k.heads[s.ID], begun
	if h == nil {
		first = k.firstAsked(s.ID, begun)
	}
	k.mu.Unlock()
	if h != nil {
		event.BatchAgain.Log(k.parts.Logger, zap.String("batch", s.ID))
		return Kept{}
	}
	keeper, incarnation := k.chooseKeeper(ctx, s)
	parts, err := k.storeBody(ctx, s)
	if err != nil {
		// Without a head no part of the batch can ever run.
		event.BatchRefused.Log(k.parts.Logger, zap.String("batch", s.ID), zap.Error(err))
		return NotKept{RetryAfter: acceptRetry, Cause: err}
	}
	head := Head{
		ID: s.ID, Host: s.Host, Path: s.Path, Model: s.Model, Step: s.Step, Items: len(s.Items),
		Keeper: keeper, Incarnation: incarnation, Tokens: tokensOf(s.Items), AcceptedMs: first.UnixMilli(), Parts: parts,
	}
	head, outcome := k.storeHead(ctx, head)
	if _, ok := outcome.(Kept); !ok {
		return outcome
	}
	k.parts.Scope.Timer("accept_time").Record(time.Since(begun))
	event.BatchAccepted.Log(k.parts.Logger, zap.String("batch", s.ID), zap.Int("items", len(s.Items)),
		zap.String("model", s.Model), zap.Int("step", s.Step), zap.Int("min_version", s.MinVersion),
		zap.String("keeper", head.Keeper), zap.Duration("took", time.Since(begun)))
	k.mu.Lock()
	k.learn(Notice{Head: head})
	if k.mine(head) {
		k.open(k.newJob(head, s))
	}
	k.mu.Unlock()
	k.parts.Peers.Tell(Notice{Head: head})
	return outcome
}

// chooseKeeper returns who is to keep a new batch. All batches of a trainer go to
// one node while that runs: it has what was generated for groups that come
// again, and its connections. The node is offered the batch; one that does not
// answer is passed over for this node.
func (k *Keeper) chooseKeeper(ctx context.Context, s Submission) (string, uint64) {
	name, ok := rendez.First(s.Host+s.Model, k.parts.Peers.Keepers())
	if !ok || name == k.parts.Name {
		return k.parts.Name, k.parts.Incarnation
	}
	incarnation := k.parts.Peers.Incarnation(name)
	limited, cancel := context.WithTimeout(ctx, offerWait)
	defer cancel()
	err := k.parts.Peers.OfferTo(limited, name, s)
	if err == nil {
		return name, incarnation
	}
	k.peerFailed(s.ID, name, err)
	return k.parts.Name, k.parts.Incarnation
}

func tokensOf(items []Item) int {
	total := 0
	for i := range items {
		total += items[i].Length
	}
	return total
}

// Demand returns the tokens that a model's trainer asked for lately.
func (k *Keeper) Demand(model string) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, total := time.Now(), 0
	for _, h := range k.heads {
		if h.head.Model == model && h.head.Age(now) < demandLife {
			total += h.head.Tokens
		}
	}
	return float64(total)
}

// Offered takes a batch that this node is to keep once it is accepted.
func (k *Keeper) Offered(id, host, path string, raw []byte) bool {
	s, err := k.parts.Decode(id, host, path, raw)
	if err != nil {
		event.BatchUnreadable.Log(k.parts.Logger, zap.String("batch", id), zap.Error(err))
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return false
	}
	if len(k.offers) >= mostOffers {
		// Offers that were never accepted; the store has what was.
		clear(k.offers)
	}
	k.offers[id] = s
	k.firstAsked(id, time.Now())
	return true
}

// firstAsked returns when a batch was first handed in. Its results are due by
// then, also if the store was away and several tries were needed. The caller
// holds the lock.
func (k *Keeper) firstAsked(id string, now time.Time) time.Time {
	first, ok := k.asked[id]
	if !ok {
		if len(k.asked) >= mostAsked {
			clear(k.asked)
		}
		first = now
		k.asked[id] = first
	}
	return first
}

// mine reports whether the head names this start of this node as the keeper.
func (k *Keeper) mine(head Head) bool {
	return head.Keeper == k.parts.Name && head.Incarnation == k.parts.Incarnation && !k.leaving
}

// storeHead creates the head, which is what accepts the batch.
func (k *Keeper) storeHead(ctx context.Context, head Head) (Head, Accepted) {
	spec, err := json.Marshal(head)
	if err != nil {
		return head, NotKept{Cause: err}
	}
	_, err = object.CreateSure(ctx, k.parts.Store, kindHeads, head.ID, spec)
	var exists *object.ExistsError
	switch {
	case err == nil:
		return head, Kept{}
	case errors.As(err, &exists):
		if found, err := decodeHead(exists.Found); err == nil {
			head = found
		} else {
			event.BatchUnreadable.Log(k.parts.Logger, zap.String("batch", head.ID), zap.Error(err))
		}
		return head, Kept{}
	}
	unsure := !errors.Is(err, object.ErrRefused) || errors.Is(err, object.ErrUnsure)
	event.BatchRefused.Log(k.parts.Logger, zap.String("batch", head.ID), zap.Bool("unsure", unsure), zap.Error(err))
	if unsure {
		return head, Unsure{Cause: err}
	}
	return head, NotKept{RetryAfter: acceptRetry, Cause: err}
}

// Read returns results from a position on, waiting for one if there is none.
func (k *Keeper) Read(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	page, err := k.ReadHere(ctx, id, after, wait)
	if !errors.Is(err, ErrNotKept) {
		return page, err
	}
	head, keeper, err := k.head(ctx, id)
	if err != nil {
		return Page{}, err
	}
	if keeper != k.parts.Name {
		limited, cancel := context.WithTimeout(ctx, wait+peerWait)
		page, err = k.parts.Peers.ReadAt(limited, keeper, id, after, wait)
		cancel()
		if err == nil {
			return page, nil
		}
		k.peerFailed(id, keeper, err)
		wait = 0
	}
	page, err = k.readStored(ctx, head, after)
	if err == nil && len(page.Results) == 0 && page.Next < page.Total && wait > 0 {
		_ = waits.For(ctx, min(wait, storedWait))
		return k.readStored(ctx, head, after)
	}
	return page, err
}

// peerFailed tells a keeper that did not answer from one that answered that it
// does not keep the batch: it started again, or leaves.
func (k *Keeper) peerFailed(id, keeper string, err error) {
	kind := event.BatchPeerFailed
	if errors.Is(err, ErrNotKept) {
		kind = event.BatchNotKept
	}
	kind.Log(k.parts.Logger, zap.String("batch", id), zap.String("keeper", keeper), zap.Error(err))
}

// ReadHere reads results of a batch that this node keeps, or returns ErrNotKept.
func (k *Keeper) ReadHere(ctx context.Context, id string, after int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		k.mu.Lock()
		j := k.jobs[id]
		if j == nil {
			k.mu.Unlock()
			return Page{}, ErrNotKept
		}
		page := j.book.Page(after, pageBytes)
		changed := j.changed
		whole := page.Next >= page.Total && after <= page.Total
		over := j.book.Ended() || whole || wait <= 0
		doubtful := k.doubtful(j, after)
		k.mu.Unlock()
		if len(page.Results) > 0 || whole {
			return page, nil
		}
		if doubtful {
			found, err := k.refresh(ctx, j)
			if err != nil {
				return Page{}, err
			}
			if found {
				continue
			}
		}
		if over {
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

// doubtful reports whether the store may hold results that this node lacks. The
// caller holds the lock.
func (k *Keeper) doubtful(j *job, after int) bool {
	now := time.Now()
	if now.Sub(j.confirmed) < confirmLife && after <= j.book.Listed() {
		return false
	}
	return after > j.book.Listed() || now.Before(j.doubtUntil) || now.Sub(k.parts.Peers.LastLost()) < doubtLife
}

// refresh reads the chunk after the last one that is known.
func (k *Keeper) refresh(ctx context.Context, j *job) (found bool, err error) {
	k.mu.Lock()
	n := j.book.Chunks()
	k.mu.Unlock()
	c, err := k.chunkAt(ctx, j.head.ID, n)
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return false, fmt.Errorf("%w: %w", ErrUnsure, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		j.confirmed = time.Now()
		return j.book.Chunks() > n, nil
	}
	if j.book.Chunks() == n {
		event.BatchChunkLost.Log(k.parts.Logger, zap.String("batch", j.head.ID), zap.Int("chunk", n),
			zap.String("winner", c.Keeper))
		k.commit(j, c.Results)
	}
	return true, nil
}

// Body returns the body of an item.
func (k *Keeper) Body(ctx context.Context, id, item string) ([]byte, error) {
	body, err := k.BodyHere(id, item)
	if !errors.Is(err, ErrNotKept) {
		return body, err
	}
	head, keeper, err := k.head(ctx, id)
	if err != nil {
		return nil, err
	}
	if keeper != k.parts.Name {
		limited, cancel := context.WithTimeout(ctx, peerWait)
		body, err = k.parts.Peers.BodyAt(limited, keeper, id, item)
		cancel()
		if err == nil || errors.Is(err, ErrUnknown) {
			return body, err
		}
		k.peerFailed(id, keeper, err)
	}
	return k.storedBody(ctx, head, item)
}

// BodyHere returns an item's body of a batch that this node keeps.
func (k *Keeper) BodyHere(id, item string) ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil {
		return nil, ErrNotKept
	}
	return bodyOf(j.sub.Items, item)
}

func (k *Keeper) storedBody(ctx context.Context, head Head, item string) ([]byte, error) {
	k.mu.Lock()
	items := k.cache.get(head.ID).items
	k.mu.Unlock()
	if items == nil {
		s, err := k.submission(ctx, head)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnsure, err)
		}
		items = s.Items
		k.mu.Lock()
		k.cache.get(head.ID).items = items
		k.mu.Unlock()
	}
	return bodyOf(items, item)
}

func bodyOf(items []Item, id string) ([]byte, error) {
	for i := range items {
		if items[i].ID == id {
			return items[i].Body, nil
		}
	}
	return nil, ErrUnknown
}

// End ends a batch. It returns once the end lasts.
func (k *Keeper) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	head, keeper, err := k.head(ctx, id)
	if err != nil {
		return err
	}
	k.Learn(Notice{Head: head, Ended: true})
	if keeper != k.parts.Name {
		limited, cancelLimited := context.WithTimeout(ctx, peerWait)
		if err := k.parts.Peers.EndAt(limited, keeper, head); err != nil {
			k.peerFailed(id, keeper, err)
		}
		cancelLimited()
	}
	spec, err := json.Marshal(ending{EndedMs: time.Now().UnixMilli()})
	if err != nil {
		return fmt.Errorf("encoding the end of a batch: %w", err)
	}
	if err := k.create(ctx, kindEnds, id, spec); err != nil {
		return fmt.Errorf("%w: %w", ErrUnsure, err)
	}
	event.BatchEnded.Log(k.parts.Logger, zap.String("batch", id), zap.Duration("age", head.Age(time.Now())))
	k.parts.Peers.Tell(Notice{Head: head, Ended: true})
	return nil
}
