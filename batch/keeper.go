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

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/waits"
)

const (
	// sweepInterval is how often a node looks for batches that fell to it.
	sweepInterval = 400 * time.Millisecond
	// listInterval is how often heads and ends are listed anew, for those whose
	// notice was lost, in a small fleet; listPerNode stretches it in a large one.
	listInterval = 5 * time.Second
	listPerNode  = 400 * time.Millisecond
	// settleTime is how long after its start a node that can't register waits to
	// learn of others before it takes over batches.
	settleTime = 1200 * time.Millisecond
	// settlePause is how often a node that starts looks whether it knows them.
	settlePause = 50 * time.Millisecond
	// doubtLife is for how long a batch that another node may have kept too is
	// read with care.
	doubtLife = 15 * time.Second
	// pauseLimit is how long the process may stand still before others may have
	// taken over what it keeps.
	pauseLimit = sweepInterval + time.Second
	// openLife is for how long a batch whose route is unknown is worked on.
	openLife = 40 * time.Second
	// clockSkew is by how much the clocks of two hosts may differ; the platform's
	// bound for it is 5 or 6 s.
	clockSkew = 6 * time.Second
	// pageBytes is the most text in one page of results, in bytes: readers take
	// 1 MB of JSON.
	pageBytes = 700 << 10
)

var (
	// ErrUnknown says that there certainly is no such batch.
	ErrUnknown = errors.New("no such batch")

	// ErrNotKept says that this node does not keep the batch.
	ErrNotKept = errors.New("the batch is not kept here")

	// ErrUnsure says that this node can't tell.
	ErrUnsure = errors.New("it is not known whether there is such a batch")
)

type (
	// Engine runs items.
	Engine interface {
		relay.Sender
		// ReadEvents reads a stream's events until its end or an error.
		ReadEvents(body io.Reader, emit func(Event) error) error
	}

	// Notice tells other nodes of a batch.
	Notice struct {
		Head Head
		// Ended says that the batch was ended.
		Ended bool
		// Handed says that its keeper has given it up.
		Handed bool
		// Taken says that another node has taken it over: its keeper, if it still
		// runs, may lack results that lasted meanwhile.
		Taken bool
	}

	// Peers are the other nodes.
	Peers interface {
		// Alive reports whether that start of the node runs, leaving or not.
		Alive(name string, incarnation uint64) bool
		// Staying returns the nodes that run and don't leave, with this one.
		Staying() []string
		// Keepers returns those of them that may keep batches.
		Keepers() []string
		// Settled reports whether the node has had time to learn of the others.
		Settled() bool
		// LastLost returns when a node was last found dead or alive again.
		LastLost() time.Time
		// Incarnation returns the start of a node.
		Incarnation(name string) uint64
		// Tell sends a notice to all other nodes.
		Tell(notice Notice)
		// OfferTo gives a batch to the node that is to keep it.
		OfferTo(ctx context.Context, name string, s Submission) error
		// ReadAt reads results at the node that keeps the batch, or returns
		// ErrNotKept.
		ReadAt(ctx context.Context, name, id string, after int, wait time.Duration) (Page, error)
		// BodyAt reads an item's body there.
		BodyAt(ctx context.Context, name, id, item string) ([]byte, error)
		// RestsTo sends what was generated to the node that would take over.
		RestsTo(ctx context.Context, name string, rests []Rest) error
		// EndAt ends the batch there.
		EndAt(ctx context.Context, name string, head Head) error
	}

	// Parts are what a keeper works with.
	Parts struct {
		Name        string
		Incarnation uint64
		Store       object.Store
		ValueBytes  int
		Fleet       *fleet.Fleet
		Engine      Engine
		// Gone reports whether an endpoint's process has ended.
		Gone  func(ctx context.Context, target fleet.Target) bool
		Peers Peers
		// Policy places items.
		Policy Policy
		// First reports whether this node has the duties of one node.
		First func() bool
		// Keep is for how long results can be read.
		Keep time.Duration
		// Routes returns the configuration in force, nil before the first one.
		Routes func() *routes.Table
		// Decode reads a submission as it came.
		Decode func(id, host, path string, raw []byte) (Submission, error)
		Scope  tally.Scope
		Logger *zap.Logger
	}

	// Keeper keeps batches at one node. It is safe for concurrent use.
	Keeper struct {
		parts  Parts
		ctx    context.Context
		cancel context.CancelFunc
		tasks  sync.WaitGroup
		wake   chan struct{}
		// fell tells that a batch may have fallen to this node.
		fell chan struct{}

		mu     sync.Mutex
		jobs   map[string]*job
		heads  map[string]*known
		homes  Homes
		cache  *cache
		offers map[string]Submission
		// asked is when a batch was first handed in, as far as this node saw it.
		asked   map[string]time.Time
		rests   *rests
		leaving bool
		movedAt time.Time
	}

	// known is a batch that this node has heard of.
	known struct {
		head   Head
		ended  bool
		handed bool
		taking bool
	}
)

// New returns a keeper that runs until Close.
func New(parts Parts) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		parts: parts, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), fell: make(chan struct{}, 1),
		jobs: make(map[string]*job), heads: make(map[string]*known), homes: make(Homes),
		cache: newCache(), offers: make(map[string]Submission), asked: make(map[string]time.Time), rests: newRests(),
	}
	k.tasks.Go(k.scheduleLoop)
	k.tasks.Go(k.sweepLoop)
	k.every(backupInterval, k.backup)
	k.every(saveInterval, k.save)
	k.every(cleanInterval, k.tidy)
	return k
}

// Close stops all work and waits for it.
func (k *Keeper) Close() {
	k.cancel()
	k.tasks.Wait()
}

// Learn notes what another node or the store tells of a batch.
func (k *Keeper) Learn(notice Notice) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learn(notice)
}

func (k *Keeper) learn(notice Notice) {
	id := notice.Head.ID
	h := k.heads[id]
	if h == nil {
		h = &known{head: notice.Head}
		k.heads[id] = h
	}
	h.handed = h.handed || notice.Handed
	if notice.Handed {
		select {
		case k.fell <- struct{}{}:
		default:
		}
	}
	if notice.Taken {
		h.head.Keeper, h.head.Incarnation, h.handed = notice.Head.Keeper, notice.Head.Incarnation, false
		if j := k.jobs[id]; j != nil {
			j.doubtUntil = time.Now().Add(doubtLife)
		}
	}
	if s, offered := k.offers[id]; offered {
		delete(k.offers, id)
		h.head = notice.Head
		if !notice.Ended && k.mine(h.head) {
			k.open(k.newJob(h.head, s))
		}
	}
	if notice.Ended && !h.ended {
		h.ended = true
		if j := k.jobs[id]; j != nil {
			k.endJob(j)
		}
	}
}

// keeperOf returns the node that a batch falls to. The caller holds the lock.
func (k *Keeper) keeperOf(h *known) string {
	if !h.handed && k.parts.Peers.Alive(h.head.Keeper, h.head.Incarnation) {
		return h.head.Keeper
	}
	name, _ := rendez.First(h.head.ID, k.parts.Peers.Keepers())
	return name
}

// head returns a batch's head, from the store if need be, and the node that the
// batch falls to.
func (k *Keeper) head(ctx context.Context, id string) (head Head, keeper string, err error) {
	k.mu.Lock()
	h := k.heads[id]
	if h != nil {
		head, keeper = h.head, k.keeperOf(h)
	}
	k.mu.Unlock()
	if h != nil {
		return head, keeper, nil
	}
	record, err := object.GetLasting(ctx, k.parts.Store, kindHeads, id)
	if errors.Is(err, object.ErrNotFound) {
		return Head{}, "", ErrUnknown
	}
	if err != nil {
		return Head{}, "", fmt.Errorf("%w: %w", ErrUnsure, err)
	}
	head, err = decodeHead(record)
	if err != nil {
		return Head{}, "", fmt.Errorf("%w: %w", ErrUnsure, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learn(Notice{Head: head})
	h = k.heads[id]
	return h.head, k.keeperOf(h), nil
}

// every does a piece of work again and again until the keeper closes.
func (k *Keeper) every(pause time.Duration, work func(context.Context)) {
	k.tasks.Go(func() {
		for waits.For(k.ctx, pause) == nil {
			work(k.ctx)
		}
	})
}

// open starts work on a batch. The caller holds the lock.
func (k *Keeper) open(j *job) {
	if k.jobs[j.head.ID] != nil {
		return
	}
	k.jobs[j.head.ID] = j
	j.asked = k.asked[j.head.ID]
	if whole, begun := k.useRests(j); whole+begun > 0 {
		event.BatchRests.Log(k.parts.Logger, zap.String("batch", j.head.ID), zap.Int("whole", whole), zap.Int("begun", begun))
	}
	k.tasks.Go(func() { k.writeLoop(j) })
	k.nudge()
}

// nudge makes the scheduler look again.
func (k *Keeper) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
