package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/waits"
)

const (
	// sweepInterval is how often a node checks for batches that it should take
	// over.
	sweepInterval = 400 * time.Millisecond
	// listInterval is how often heads and ends are listed again in a small fleet,
	// to find batches whose notification was lost; listIntervalPerNode lengthens it
	// in a large one.
	listInterval        = 5 * time.Second
	listIntervalPerNode = 400 * time.Millisecond
	// peersTimeout is how long a starting node that can't register waits for its
	// peers to be discovered before it takes over batches.
	peersTimeout = 1200 * time.Millisecond
	// peersPoll is how often a starting node checks whether it has discovered its
	// peers.
	peersPoll = 50 * time.Millisecond
	// uncertainPeriod is how long reads of a batch are verified against the store
	// after another node may have owned it too.
	uncertainPeriod = 15 * time.Second
	// pauseLimit is how long the process may be suspended before its peers may have
	// taken over its batches.
	pauseLimit = sweepInterval + time.Second
	// defaultLifetime is how long the items of a batch without a route, or without
	// a queue limit, are run.
	defaultLifetime = 40 * time.Second
	// maxClockSkew is by how much the clocks of two hosts may differ; the platform
	// bounds it at 5 or 6 s.
	maxClockSkew = 6 * time.Second
	// maxPageBytes limits the text in one page of results: readers accept 1 MB of
	// JSON.
	maxPageBytes = 700 << 10
)

var (
	// ErrUnknown reports that the batch, or the item in it, definitely does not
	// exist.
	ErrUnknown = errors.New("no such batch")

	// ErrNotOwner reports that this node does not own the batch.
	ErrNotOwner = errors.New("this node does not own the batch")

	// ErrUndetermined reports that reading or writing the batch in the store
	// failed, so that this node can't determine its state or whether it exists.
	ErrUndetermined = errors.New("it is not known whether there is such a batch")
)

type (
	// Engine runs items.
	Engine interface {
		relay.Sender
		// ReadEvents reads a stream's events until its end or an error.
		ReadEvents(body io.Reader, emit func(Event) error) error
	}

	// Notification notifies other nodes of a change to a batch.
	Notification struct {
		Head Head
		// Ended reports that the batch has ended.
		Ended bool
		// HandedOver reports that its keeper has handed it over.
		HandedOver bool
		// TakenOver reports that another node has taken it over. The previous keeper,
		// if it still runs, may lack results that were stored meanwhile.
		TakenOver bool
	}

	// Peers gives access to the other nodes.
	Peers interface {
		// Alive reports whether that incarnation of the node is running, even if it
		// is leaving.
		Alive(name string, incarnation uint64) bool
		// ActiveNames returns the nodes that are running and not leaving, this one
		// included.
		ActiveNames() []string
		// Keepers returns the active nodes that may own batches.
		Keepers() []string
		// Discovered reports whether the node has had time to discover its peers.
		Discovered() bool
		// LastStatusChange returns when a node was last found dead or alive again.
		LastStatusChange() time.Time
		// Incarnation returns a node's current incarnation.
		Incarnation(name string) uint64
		// Notify sends a notification to all other nodes that may own batches.
		Notify(notification Notification)
		// Find asks another node for a batch that this one does not know. It returns
		// false if that node does not know it either, or if none is to be asked.
		Find(ctx context.Context, id string) (Notification, bool)
		// FindAt asks a named node for a batch. The notification of a batch that it does
		// not know names none.
		FindAt(ctx context.Context, name, id string) (Notification, error)
		// Offer sends a batch to the node that is to own it.
		Offer(ctx context.Context, name string, s Submission) error
		// ReadAt reads results at the node that owns the batch, or returns ErrNotOwner.
		ReadAt(ctx context.Context, name, id string, after int, wait time.Duration) (Page, error)
		// BodyAt reads an item's body at the node that owns the batch.
		BodyAt(ctx context.Context, name, id, item string) ([]byte, error)
		// SendPartials sends partial output to the node that would take over.
		SendPartials(ctx context.Context, name string, partials []PartialOutput) error
		// EndAt ends the batch at the node that owns it.
		EndAt(ctx context.Context, name string, head Head) error
	}

	// Deps are the dependencies of a keeper.
	Deps struct {
		Name        string
		Incarnation uint64
		// Domain is the node's failure domain.
		Domain     string
		Store      object.Store
		ValueBytes int
		Fleet      *fleet.Fleet
		Engine     Engine
		Peers      Peers
		// Policy decides the order and the endpoints of items.
		Policy Policy
		// IsLeader reports whether this node performs the tasks that only one node of
		// the fleet performs.
		IsLeader func() bool
		// MemoryBytes limits what this node holds of all batches together, 0 for no limit. Beside it,
		// LoadBytes limits what is being read from the store, SendBytes the bodies that were read to
		// be sent, and AnswerBytes each of the results and the bodies that callers get, and the replies to
		// peers.
		MemoryBytes, LoadBytes, SendBytes, AnswerBytes int64
		// TextBytes limits the texts of unfinished items, 0 for no limit.
		TextBytes int64
		// Retention is how long results can be read.
		Retention time.Duration
		// Routes returns the active configuration, nil before the first one.
		Routes func() *routes.Table
		// Decode parses the raw body of a submission.
		Decode func(id, host, path string, raw []byte) (Submission, error)
		// DecodeFrom does the same while the body is read, calls visit for each item, which may drop
		// its bodies, and ends with its error. DecodeItem parses a part of the body that is one item.
		DecodeFrom func(id, host, path string, r io.Reader, visit func(item *Item) error) (Submission, error)
		DecodeItem func(raw []byte) (Item, error)
		// Clock is the time since boot, including time suspended; nil means waits.Boottime.
		Clock  func() time.Duration
		Scope  tally.Scope
		Logger *zap.Logger
	}

	// Keeper runs the batches that one node owns. It is safe for concurrent use.
	Keeper struct {
		deps   Deps
		ctx    context.Context
		cancel context.CancelFunc
		tasks  sync.WaitGroup
		wake   chan struct{}
		// handover signals that this node may have to take over a batch.
		handover chan struct{}

		// loads, sends, pages, bodies and replies are the memory for what is being read from the store
		// or sent to endpoints, callers and peers. Loads wait for none of the others, bodies for replies
		// of peers, and all for loads.
		loads, sends, pages, bodies, replies *section
		// shared shares loads among those that need the same.
		shared singleflight.Group

		mu      sync.Mutex
		jobs    map[string]*job
		batches map[string]*knownBatch
		// unreadable holds the names of the heads that the last list could not read.
		unreadable     map[string]bool
		groupEndpoints GroupEndpoints
		cache          *cache
		offers         map[string]offer
		// accepting holds the memory of the batches that this node is about to take on, loading those
		// that are being read from the store.
		accepting map[string]int64
		loading   map[*load]struct{}
		// submittedAt is when each batch was first submitted, as far as this node has
		// seen it.
		submittedAt map[string]time.Time
		partials    *partialCache
		leaving     bool
		lastMoveAt  time.Time
		// sweptAt is when the sweep loop last ran, on the clock that includes suspension.
		sweptAt time.Duration
	}

	// offer is a batch that this node is to own once it is accepted. heldAt is when it came,
	// by the clock that includes suspension.
	offer struct {
		submission Submission
		bytes      int64
		heldAt     time.Duration
	}

	// knownBatch is a batch in the memory of this node, whether it owns it or not.
	knownBatch struct {
		head       Head
		ended      bool
		handedOver bool
		takingOver bool
		// complete reports that all results were durable when this node dropped the batch from memory.
		complete bool
		// ends are where the chunks end that this node has read or written.
		ends chunkEnds
		// retryAt is when the next takeover may begin, by the clock that includes suspension.
		retryAt time.Duration
		// orphanedAt is since when no live node owns the batch, by that clock; orphaned reports that
		// none does.
		orphaned   bool
		orphanedAt time.Duration
		emptyPages emptyPages
	}
)

// New returns a keeper that runs until Close.
func New(deps Deps) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	if deps.Clock == nil {
		deps.Clock = waits.Boottime
	}
	k := &Keeper{
		deps: deps, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), handover: make(chan struct{}, 1),
		jobs: make(map[string]*job), batches: make(map[string]*knownBatch), groupEndpoints: make(GroupEndpoints),
		cache: newCache(), offers: make(map[string]offer), accepting: make(map[string]int64), loading: make(map[*load]struct{}), submittedAt: make(map[string]time.Time), partials: newPartialCache(),
	}
	large := semaphore.NewWeighted(1)
	k.loads, k.sends = newSection(deps.LoadBytes, nil), newSection(deps.SendBytes, large)
	k.pages, k.bodies, k.replies = newSection(deps.AnswerBytes, nil), newSection(deps.AnswerBytes, large), newSection(deps.AnswerBytes, nil)
	k.sweptAt = deps.Clock()
	k.tasks.Go(k.scheduleLoop)
	k.tasks.Go(k.sweepLoop)
	k.runPeriodically(backupInterval, k.sendBackups)
	k.runPeriodically(checkpointInterval, k.saveCheckpoints)
	k.runPeriodically(cleanInterval, k.cleanUp)
	return k
}

// Close stops all work and waits until it has ended.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.cancel()
	k.mu.Unlock()
	k.tasks.Wait()
}

// begin starts work that Close waits for. It returns false if the keeper is closed.
func (k *Keeper) begin(work func()) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx.Err() != nil {
		return false
	}
	k.tasks.Go(work)
	return true
}

// Apply records a change to a batch reported by another node or the store.
func (k *Keeper) Apply(notification Notification) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyLocked(notification)
}

// applyLocked records a change to a batch. The caller holds the lock.
func (k *Keeper) applyLocked(notification Notification) {
	id := notification.Head.ID
	h, known := k.batches[id]
	if !known {
		h = &knownBatch{head: notification.Head}
		k.batches[id] = h
	} else if !notification.Head.TeamUnknown {
		h.head.Team, h.head.TeamUnknown = notification.Head.Team, false
	}
	h.handedOver = h.handedOver || notification.HandedOver
	if notification.HandedOver {
		if j := k.jobs[id]; j != nil {
			j.tail.share()
		}
		select {
		case k.handover <- struct{}{}:
		default:
		}
	}
	if notification.TakenOver {
		k.applyTakeover(h, notification.Head)
	}
	if o, offered := k.offers[id]; offered {
		delete(k.offers, id)
		// Of a batch that was known before, other nodes may have written results, which the
		// sweep loads. Without its team the batch is taken over from the store, too.
		teamKnown := !h.head.TeamUnknown || !k.hasTeams()
		if !known && !notification.Ended && k.owns(h.head) && teamKnown {
			k.startNew(k.newJob(h.head, o.submission), o.heldAt)
		}
	}
	if notification.Ended {
		h.ended = true
		if j := k.jobs[id]; j != nil && !j.results.Ended() {
			k.endJob(j)
		}
	}
}

// applyTakeover records that another node has taken a batch over. Of two nodes that both
// have, only the first by rank stays the owner, and notifies the other again: each may have
// sent its notification before it got the other one. The caller holds the lock.
func (k *Keeper) applyTakeover(h *knownBatch, head Head) {
	j := k.jobs[h.head.ID]
	if j != nil {
		j.tail.share()
		first, _ := rendez.First(head.ID, []string{k.deps.Name, head.Keeper})
		if j.takenOver && first == k.deps.Name && head.Keeper != first && k.owns(h.head) && !h.handedOver {
			j.previous = head
			return
		}
	}
	h.head.Keeper, h.head.Incarnation, h.handedOver = head.Keeper, head.Incarnation, false
}

// keeperOf returns the node that should own a batch. The caller holds the lock.
func (k *Keeper) keeperOf(h *knownBatch) string {
	if !h.handedOver && k.deps.Peers.Alive(h.head.Keeper, h.head.Incarnation) {
		return h.head.Keeper
	}
	name, _ := rendez.First(h.head.ID, k.deps.Peers.Keepers())
	return name
}

// lookupHead returns a batch's head, read from the store if it is not in
// memory, and the node that should own the batch.
func (k *Keeper) lookupHead(ctx context.Context, id string) (head Head, keeper string, err error) {
	k.mu.Lock()
	h := k.batches[id]
	if h != nil {
		head, keeper = h.head, k.keeperOf(h)
	}
	k.mu.Unlock()
	if h != nil {
		return head, keeper, nil
	}
	if head, keeper, ok := k.findAtPeer(ctx, id); ok {
		return head, keeper, nil
	}
	record, err := object.GetImmutable(ctx, k.deps.Store, kindHeads, id)
	if errors.Is(err, object.ErrNotFound) {
		return Head{}, "", ErrUnknown
	}
	if err != nil {
		return Head{}, "", fmt.Errorf("%w: %w", ErrUndetermined, err)
	}
	head, err = decodeHead(record)
	if err != nil {
		return Head{}, "", fmt.Errorf("%w: %w", ErrUndetermined, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyLocked(Notification{Head: head})
	h = k.batches[id]
	return h.head, k.keeperOf(h), nil
}

// findAtPeer asks another node for a batch and returns its head and the node that
// should own it.
func (k *Keeper) findAtPeer(ctx context.Context, id string) (head Head, keeper string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	found, ok := k.deps.Peers.Find(ctx, id)
	if !ok {
		return Head{}, "", false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// What this node knew of the keeper may be out of date.
	found.TakenOver = !found.HandedOver
	k.applyLocked(found)
	h := k.batches[id]
	return h.head, k.keeperOf(h), true
}

// Find returns what this node knows of a batch.
func (k *Keeper) Find(id string) (Notification, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.batches[id]
	if h == nil {
		return Notification{}, false
	}
	return Notification{Head: h.head, Ended: h.ended, HandedOver: h.handedOver}, true
}

// runPeriodically calls work at the given interval until the keeper closes.
func (k *Keeper) runPeriodically(interval time.Duration, work func(context.Context)) {
	k.tasks.Go(func() {
		for waits.For(k.ctx, interval) == nil {
			work(k.ctx)
		}
	})
}

// startNew starts work on a batch that no other node has worked on at the given time. Later
// one may have taken it over if this node was suspended. The caller holds the lock.
func (k *Keeper) startNew(j *job, at time.Duration) {
	if k.deps.Clock()-at > pauseLimit {
		j.tail.share()
	}
	k.startJob(j)
}

// startJob starts work on a batch. The caller holds the lock.
func (k *Keeper) startJob(j *job) {
	if k.jobs[j.head.ID] != nil || k.ctx.Err() != nil {
		return
	}
	k.jobs[j.head.ID] = j
	k.cache.drop(j.head.ID)
	delete(k.accepting, j.head.ID)
	k.makeRoom(j.head.ID, 0, true)
	j.submittedAt = k.submittedAt[j.head.ID]
	if complete, resumed := k.restorePartials(j); complete+resumed > 0 {
		event.BatchResumed.Log(k.deps.Logger, zap.String("batch", j.head.ID), zap.Int("whole", complete), zap.Int("begun", resumed))
	}
	k.tasks.Go(func() { k.writeLoop(j) })
	k.wakeScheduler()
}

// wakeScheduler triggers a scheduling pass.
func (k *Keeper) wakeScheduler() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
