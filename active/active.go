// Package active keeps the configuration that is in force at a node.
//
// The whole applied set is one platform object. Two nodes of each region
// watch it; the others hear of a new generation by a fact and pull the
// files that they lack from the node that told them. A node never goes below a
// generation that it has seen, and has none in force until it got one from the
// platform or a peer.
//
// # Usage
//
//	keeper := active.New(platform, members, store, pool, logger)
//	go keeper.Run(ctx)
//	current := keeper.Current() // nil until one is in force
//	generation, err := keeper.Apply(ctx, request)
package active

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/facts"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// Kind and Name say where the platform keeps the configuration.
	Kind = "config"
	// Name is the object's name.
	Name = "active"

	factKey           = "config"
	watchersPerRegion = 2
	roleInterval      = time.Second
	retryDelay        = 500 * time.Millisecond
	pullTimeout       = 2 * time.Second
	pullTries         = 4
)

type (
	// Keeper keeps the configuration in force at one node.
	Keeper struct {
		platform *object.Client
		members  *member.Members
		store    *facts.Store
		pool     *peers.Pool
		logger   *zap.Logger
		parser   *specs.Parser

		mu       sync.Mutex
		current  atomic.Pointer[Current]
		version  atomic.Uint64
		heard    chan struct{}
		watchers []chan<- struct{}
		ready    chan struct{}
	}

	// Request asks to put a set in force.
	Request struct {
		// OperationID is the same for each try of one apply.
		OperationID string `json:"operation"`
		// Base is the generation that the operator saw, 0 for none.
		Base uint64 `json:"base"`
		// Files are the whole set.
		Files []DocumentFile `json:"files"`
	}

	// ConflictError says that another apply came first.
	ConflictError struct {
		base  uint64
		found Document
	}
)

// New returns a keeper without a configuration.
func New(
	platform *object.Client, members *member.Members, store *facts.Store, pool *peers.Pool, logger *zap.Logger,
) *Keeper {
	k := &Keeper{
		platform: platform,
		members:  members,
		store:    store,
		pool:     pool,
		logger:   logger,
		parser:   specs.NewParser(),
		heard:    make(chan struct{}, 1),
		ready:    make(chan struct{}),
	}
	store.Notify(k.heard)
	return k
}

// Error returns the conflict as one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d is in force, the change was made against %d", e.found.Generation, e.base)
}

// Found returns the configuration that came first.
func (e *ConflictError) Found() Document { return e.found }

// Current returns the configuration in force, nil if there is none yet.
func (k *Keeper) Current() *Current { return k.current.Load() }

// Ready is closed once a configuration is in force.
func (k *Keeper) Ready() <-chan struct{} { return k.ready }

// Notify makes the keeper send to the channel, without waiting, on each change.
func (k *Keeper) Notify(channel chan<- struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watchers = append(k.watchers, channel)
}

// Run follows the platform and the peers until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.followPlatform(ctx) })
	group.Go(func() error { return k.followPeers(ctx) })
	return group.Wait()
}

// Apply writes a set as the next generation and puts it in force here.
func (k *Keeper) Apply(ctx context.Context, request Request) (uint64, error) {
	document := Document{
		Generation:  request.Base + 1,
		OperationID: request.OperationID,
		AppliedAt:   time.Now().UnixMilli(),
		Files:       request.Files,
	}
	if _, err := specs.Parse(document.SpecFiles()); err != nil {
		return 0, err
	}
	var found stored
	version, err := object.GetRecord(ctx, k.platform, Kind, Name, &found)
	if err != nil {
		return 0, fmt.Errorf("reading the configuration in force: %w", err)
	}
	if version > 0 && found.OperationID == request.OperationID {
		return found.Generation, k.take(found.Document)
	}
	if found.Generation != request.Base {
		return 0, &ConflictError{base: request.Base, found: found.Document}
	}
	_, err = object.PutRecord(ctx, k.platform, Kind, Name, stored{document}, version)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		if _, readErr := object.GetRecord(ctx, k.platform, Kind, Name, &found); readErr != nil {
			return 0, fmt.Errorf("reading the configuration that came first: %w", readErr)
		}
		return 0, &ConflictError{base: request.Base, found: found.Document}
	}
	if err != nil {
		return 0, fmt.Errorf("writing the configuration: %w", err)
	}
	return document.Generation, k.take(document)
}

// ServePull answers a peer that lacks the configuration in force here.
func (k *Keeper) ServePull(pull *wirepb.PullConfig) (*wirepb.ConfigBody, bool) {
	current := k.Current()
	if current == nil || current.Generation() < pull.GetAtLeast() {
		return nil, false
	}
	body, err := encode(current.Document(), pull.GetHave())
	return body, err == nil
}

// take puts a document in force if it is newer than what is.
func (k *Keeper) take(document Document) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.current.Load()
	if old != nil && old.Generation() >= document.Generation {
		return nil
	}
	current, err := newCurrent(document, k.parser)
	if err != nil {
		event.ConfigRefused.Log(k.logger, zap.Uint64("generation", document.Generation), zap.Error(err))
		return err
	}
	k.current.Store(current)
	if old == nil {
		close(k.ready)
	}
	event.ConfigInForce.Log(k.logger, zap.Uint64("generation", document.Generation),
		zap.String("operation", document.OperationID))
	k.members.Publish(&wirepb.Fact{
		Key:     factKey,
		Version: document.Generation,
		Value: &wirepb.Fact_ConfigHead{ConfigHead: &wirepb.ConfigHead{
			Generation: document.Generation,
			Digest:     document.Digest(),
		}},
	})
	for _, channel := range k.watchers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
	return nil
}

// followPlatform watches the object while this node is one of its region's
// watchers, and reads it once at the start.
func (k *Keeper) followPlatform(ctx context.Context) error {
	for ctx.Err() == nil {
		if k.Current() != nil && !k.watches() {
			_ = waits.For(ctx, roleInterval)
			continue
		}
		if err := k.watchOnce(ctx); err != nil && ctx.Err() == nil {
			event.ConfigWatchFailed.Log(k.logger, zap.Error(err))
			_ = waits.For(ctx, retryDelay+rand.N(retryDelay))
		}
	}
	return nil
}

// watches reports whether this node is one of the watchers of its region.
func (k *Keeper) watches() bool {
	view := k.members.View()
	self, ok := view.Node(view.Self())
	if !ok {
		return true
	}
	var names []string
	for _, n := range view.Alive() {
		if n.Region() == self.Region() {
			names = append(names, n.Name())
		}
	}
	return slices.Contains(rendez.Top(factKey, names, watchersPerRegion), self.Name())
}

func (k *Keeper) watchOnce(ctx context.Context) error {
	value, changed, err := k.platform.Watch(ctx, Kind, Name, k.version.Load())
	if err != nil || !changed {
		return err
	}
	var document stored
	if err := json.Unmarshal(value.Body(), &document); err != nil {
		return fmt.Errorf("decoding the configuration: %w", err)
	}
	k.version.Store(value.Version())
	return k.take(document.Document)
}

// followPeers pulls a generation that a fact names and this node lacks.
func (k *Keeper) followPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.heard:
		}
		wanted := k.store.Get(factKey).GetConfigHead().GetGeneration()
		for try := 0; k.generation() < wanted && try < pullTries && ctx.Err() == nil; try++ {
			if err := k.pull(ctx, wanted); err != nil {
				_ = waits.For(ctx, retryDelay/2)
			}
		}
	}
}

func (k *Keeper) generation() uint64 {
	if current := k.Current(); current != nil {
		return current.Generation()
	}
	return 0
}

// pull takes the configuration from the node that told of it, or any other.
func (k *Keeper) pull(ctx context.Context, wanted uint64) error {
	view := k.members.View()
	source, ok := view.Node(k.store.Origin(factKey))
	if !ok || !source.Running() {
		others := view.Alive()
		if len(others) == 0 {
			return errors.New("no node to pull the configuration from")
		}
		source = others[rand.IntN(len(others))]
	}
	call := &wirepb.PullConfig{AtLeast: wanted}
	var mine []DocumentFile
	if current := k.Current(); current != nil {
		mine = current.Document().Files
	}
	for _, f := range mine {
		call.Have = append(call.Have, fileDigest(f))
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := k.pool.Do(ctx, source.PeerAddress(),
		&wirepb.Frame{Body: &wirepb.Frame_PullConfig{PullConfig: call}})
	if err != nil {
		return fmt.Errorf("pulling the configuration from %s: %w", source.Name(), err)
	}
	document, err := decode(answer.GetConfigBody(), mine)
	if err != nil {
		return err
	}
	return k.take(document)
}
