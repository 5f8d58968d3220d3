// Package active holds the configuration in force at a node.
//
// The complete configuration is one platform object. Two nodes of each region
// watch it. The others learn of a new generation from a fact and pull the files
// that they lack from the node that sent the fact. A node never returns to an
// older generation. It has no configuration in force until it has received one
// from the platform or a peer.
//
// # Usage
//
//	keeper := active.New(platform, members, factStore, pool, logger)
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
	// Kind is the kind of the platform object with the configuration.
	Kind = "config"
	// Name is the name of that object.
	Name = "active"

	factKey              = "config"
	watchersPerRegion    = 2
	watcherCheckInterval = time.Second
	retryDelay           = 500 * time.Millisecond
	pullTimeout          = 2 * time.Second
	maxPullAttempts      = 4
)

type (
	// Keeper holds the configuration in force at one node and follows its changes.
	Keeper struct {
		platform  *object.Client
		members   *member.Members
		factStore *facts.Store
		pool      *peers.Pool
		logger    *zap.Logger
		parser    *specs.Parser

		mu            sync.Mutex
		current       atomic.Pointer[Current]
		objectVersion atomic.Uint64
		factsChanged  chan struct{}
		subscribers   []chan<- struct{}
		ready         chan struct{}
	}

	// Request is a request to replace the configuration in force.
	Request struct {
		// OperationID identifies the apply; retries repeat it.
		OperationID string `json:"operation"`
		// Base is the generation that the change is based on, 0 for none.
		Base uint64 `json:"base"`
		// Files are all declaration files.
		Files []DocumentFile `json:"files"`
	}

	// ConflictError reports that another apply has changed the configuration since the
	// base generation.
	ConflictError struct {
		base  uint64
		found Document
	}
)

// New returns a keeper without a configuration; Run follows the changes.
func New(
	platform *object.Client, members *member.Members, factStore *facts.Store, pool *peers.Pool, logger *zap.Logger,
) *Keeper {
	k := &Keeper{
		platform:     platform,
		members:      members,
		factStore:    factStore,
		pool:         pool,
		logger:       logger,
		parser:       specs.NewParser(),
		factsChanged: make(chan struct{}, 1),
		ready:        make(chan struct{}),
	}
	factStore.Subscribe(k.factsChanged)
	return k
}

// Error returns the conflict as one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d is in force, the change was made against %d", e.found.Generation, e.base)
}

// Found returns the configuration that is in force instead.
func (e *ConflictError) Found() Document { return e.found }

// Current returns the configuration in force, nil if there is none yet.
func (k *Keeper) Current() *Current { return k.current.Load() }

// Ready returns a channel that is closed once a configuration is in force.
func (k *Keeper) Ready() <-chan struct{} { return k.ready }

// Notify makes the keeper send to the channel on each change, without blocking.
func (k *Keeper) Notify(channel chan<- struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, channel)
}

// Run follows changes from the platform and from peers until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.followPlatform(ctx) })
	group.Go(func() error { return k.followPeers(ctx) })
	return group.Wait()
}

// Apply writes the requested configuration to the platform as the next generation
// and puts it in force on this node.
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
	var existing storedDocument
	version, err := object.GetRecord(ctx, k.platform, Kind, Name, &existing)
	if err != nil {
		return 0, fmt.Errorf("reading the configuration in force: %w", err)
	}
	if version > 0 && existing.OperationID == request.OperationID {
		return existing.Generation, k.activate(existing.Document)
	}
	if existing.Generation != request.Base {
		return 0, &ConflictError{base: request.Base, found: existing.Document}
	}
	_, err = object.PutRecord(ctx, k.platform, Kind, Name, storedDocument{document}, version)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		if _, readErr := object.GetRecord(ctx, k.platform, Kind, Name, &existing); readErr != nil {
			return 0, fmt.Errorf("reading the configuration that came first: %w", readErr)
		}
		return 0, &ConflictError{base: request.Base, found: existing.Document}
	}
	if err != nil {
		return 0, fmt.Errorf("writing the configuration: %w", err)
	}
	return document.Generation, k.activate(document)
}

// ServePull returns the configuration in force here for a peer, false if it is
// older than the peer requests.
func (k *Keeper) ServePull(pull *wirepb.PullConfig) (*wirepb.ConfigBody, bool) {
	current := k.Current()
	if current == nil || current.Generation() < pull.GetAtLeast() {
		return nil, false
	}
	body, err := encode(current.Document(), pull.GetHave())
	return body, err == nil
}

// activate puts a document in force if it is newer than the current one, and
// publishes its generation to the other nodes.
func (k *Keeper) activate(document Document) error {
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
	for _, channel := range k.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
	return nil
}

// followPlatform watches the platform object while this node is one of its
// region's watchers, and in any case until it has a configuration.
func (k *Keeper) followPlatform(ctx context.Context) error {
	for ctx.Err() == nil {
		if k.Current() != nil && !k.isWatcher() {
			_ = waits.For(ctx, watcherCheckInterval)
			continue
		}
		if err := k.watchOnce(ctx); err != nil && ctx.Err() == nil {
			event.ConfigWatchFailed.Log(k.logger, zap.Error(err))
			_ = waits.For(ctx, retryDelay+rand.N(retryDelay))
		}
	}
	return nil
}

// isWatcher reports whether this node is one of the watchers of its region.
func (k *Keeper) isWatcher() bool {
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
	value, changed, err := k.platform.Watch(ctx, Kind, Name, k.objectVersion.Load())
	if err != nil || !changed {
		return err
	}
	var document storedDocument
	if err := json.Unmarshal(value.Body(), &document); err != nil {
		return fmt.Errorf("decoding the configuration: %w", err)
	}
	k.objectVersion.Store(value.Version())
	return k.activate(document.Document)
}

// followPeers pulls the configuration from a peer when a fact announces a newer
// generation.
func (k *Keeper) followPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.factsChanged:
		}
		desired := k.factStore.Get(factKey).GetConfigHead().GetGeneration()
		for attempt := 0; k.generation() < desired && attempt < maxPullAttempts && ctx.Err() == nil; attempt++ {
			if err := k.pull(ctx, desired); err != nil {
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

// pull fetches the configuration from the node that sent the fact, or from a random
// one if that node is not running.
func (k *Keeper) pull(ctx context.Context, desired uint64) error {
	view := k.members.View()
	source, ok := view.Node(k.factStore.Origin(factKey))
	if !ok || !source.Running() {
		alive := view.Alive()
		if len(alive) == 0 {
			return errors.New("no node to pull the configuration from")
		}
		source = alive[rand.IntN(len(alive))]
	}
	request := &wirepb.PullConfig{AtLeast: desired}
	var localFiles []DocumentFile
	if current := k.Current(); current != nil {
		localFiles = current.Document().Files
	}
	for _, f := range localFiles {
		request.Have = append(request.Have, fileDigest(f))
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := k.pool.Do(ctx, source.PeerAddress(),
		&wirepb.Frame{Body: &wirepb.Frame_PullConfig{PullConfig: request}})
	if err != nil {
		return fmt.Errorf("pulling the configuration from %s: %w", source.Name(), err)
	}
	document, err := decode(response.GetConfigBody(), localFiles)
	if err != nil {
		return err
	}
	return k.activate(document)
}
