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
//	config := active.New(platform, members, factStore, pool, logger)
//	go config.Run(ctx)
//	current := config.Current() // nil until one is in force
//	generation, err := config.Apply(ctx, request)
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
	// Config holds the configuration in force at one node and follows its changes.
	Config struct {
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

	// ConflictError reports that another apply has changed the configuration since
	// the base generation.
	ConflictError struct {
		base    uint64
		inForce Document
	}
)

// New returns a Config with no configuration in force; Run follows the changes.
func New(
	platform *object.Client, members *member.Members, factStore *facts.Store, pool *peers.Pool, logger *zap.Logger,
) *Config {
	c := &Config{
		platform:     platform,
		members:      members,
		factStore:    factStore,
		pool:         pool,
		logger:       logger,
		parser:       specs.NewParser(),
		factsChanged: make(chan struct{}, 1),
		ready:        make(chan struct{}),
	}
	factStore.Subscribe(c.factsChanged)
	return c
}

// Error returns the conflict as one line.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d is in force, the change was made against %d", e.inForce.Generation, e.base)
}

// InForce returns the configuration that is in force instead.
func (e *ConflictError) InForce() Document { return e.inForce }

// Current returns the configuration in force, nil if there is none yet.
func (c *Config) Current() *Current { return c.current.Load() }

// Ready returns a channel that is closed once a configuration is in force.
func (c *Config) Ready() <-chan struct{} { return c.ready }

// Subscribe makes the Config send to the channel on each change, without blocking.
func (c *Config) Subscribe(channel chan<- struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, channel)
}

// Run follows changes from the platform and from peers until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.followPlatform(ctx) })
	group.Go(func() error { return c.followPeers(ctx) })
	return group.Wait()
}

// Apply writes the requested configuration to the platform as the next generation
// and puts it in force on this node.
func (c *Config) Apply(ctx context.Context, request Request) (uint64, error) {
	document := Document{
		Generation:    request.Base + 1,
		OperationID:   request.OperationID,
		AppliedUnixMs: time.Now().UnixMilli(),
		Files:         request.Files,
	}
	if _, err := specs.Parse(document.SpecFiles()); err != nil {
		return 0, err
	}
	var existing storedDocument
	version, err := object.GetRecord(ctx, c.platform, Kind, Name, &existing)
	if err != nil {
		return 0, fmt.Errorf("reading the configuration in force: %w", err)
	}
	if version > 0 && existing.OperationID == request.OperationID {
		return existing.Generation, c.activate(existing.Document)
	}
	if existing.Generation != request.Base {
		return 0, &ConflictError{base: request.Base, inForce: existing.Document}
	}
	_, err = object.PutRecord(ctx, c.platform, Kind, Name, storedDocument{document}, version)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		if _, readErr := object.GetRecord(ctx, c.platform, Kind, Name, &existing); readErr != nil {
			return 0, fmt.Errorf("reading the configuration that came first: %w", readErr)
		}
		return 0, &ConflictError{base: request.Base, inForce: existing.Document}
	}
	if err != nil {
		return 0, fmt.Errorf("writing the configuration: %w", err)
	}
	return document.Generation, c.activate(document)
}

// ServePull returns the configuration in force here for a peer, false if it is
// older than the peer requests.
func (c *Config) ServePull(pull *wirepb.PullConfig) (*wirepb.ConfigBody, bool) {
	current := c.Current()
	if current == nil || current.Generation() < pull.GetAtLeast() {
		return nil, false
	}
	body, err := encode(current.Document(), pull.GetHave())
	return body, err == nil
}

// activate puts a document in force if it is newer than the current one, and
// publishes its generation to the other nodes.
func (c *Config) activate(document Document) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.current.Load()
	if old != nil && old.Generation() >= document.Generation {
		return nil
	}
	current, err := newCurrent(document, c.parser)
	if err != nil {
		event.ConfigRefused.Log(c.logger, zap.Uint64("generation", document.Generation), zap.Error(err))
		return err
	}
	c.current.Store(current)
	if old == nil {
		close(c.ready)
	}
	event.ConfigInForce.Log(c.logger, zap.Uint64("generation", document.Generation),
		zap.String("operation", document.OperationID))
	c.members.Publish(&wirepb.Fact{
		Key:     factKey,
		Version: document.Generation,
		Value: &wirepb.Fact_ConfigHead{ConfigHead: &wirepb.ConfigHead{
			Generation: document.Generation,
			Digest:     document.Digest(),
		}},
	})
	for _, channel := range c.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
	return nil
}

// followPlatform watches the platform object while this node is one of its
// region's watchers, and in any case until it has a configuration.
func (c *Config) followPlatform(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.Current() != nil && !c.isWatcher() {
			_ = waits.For(ctx, watcherCheckInterval)
			continue
		}
		if err := c.watchOnce(ctx); err != nil && ctx.Err() == nil {
			event.ConfigWatchFailed.Log(c.logger, zap.Error(err))
			_ = waits.For(ctx, retryDelay+rand.N(retryDelay))
		}
	}
	return nil
}

// isWatcher reports whether this node is one of the watchers of its region.
func (c *Config) isWatcher() bool {
	view := c.members.View()
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

func (c *Config) watchOnce(ctx context.Context) error {
	value, changed, err := c.platform.Watch(ctx, Kind, Name, c.objectVersion.Load())
	if err != nil || !changed {
		return err
	}
	var document storedDocument
	if err := json.Unmarshal(value.Body(), &document); err != nil {
		return fmt.Errorf("decoding the configuration: %w", err)
	}
	c.objectVersion.Store(value.Version())
	return c.activate(document.Document)
}

// followPeers pulls the configuration from a peer when a fact announces a newer
// generation. After maxPullAttempts it waits for the next change of the facts.
func (c *Config) followPeers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.factsChanged:
		}
		desired := c.factStore.Get(factKey).GetConfigHead().GetGeneration()
		for attempt := 0; c.generation() < desired && attempt < maxPullAttempts && ctx.Err() == nil; attempt++ {
			if err := c.pull(ctx, desired); err != nil {
				_ = waits.For(ctx, retryDelay/2)
			}
		}
	}
}

func (c *Config) generation() uint64 {
	if current := c.Current(); current != nil {
		return current.Generation()
	}
	return 0
}

// pull fetches the configuration from the node that sent the fact, or from a random
// one if that node is not running.
func (c *Config) pull(ctx context.Context, desired uint64) error {
	view := c.members.View()
	source, ok := view.Node(c.factStore.Origin(factKey))
	if !ok || !source.Running() {
		alive := view.Alive()
		if len(alive) == 0 {
			return errors.New("no node to pull the configuration from")
		}
		source = alive[rand.IntN(len(alive))]
	}
	request := &wirepb.PullConfig{AtLeast: desired}
	var localFiles []DocumentFile
	if current := c.Current(); current != nil {
		localFiles = current.Document().Files
	}
	for _, f := range localFiles {
		request.Have = append(request.Have, fileDigest(f))
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := c.pool.Do(ctx, source.PeerAddress(),
		&wirepb.Frame{Body: &wirepb.Frame_PullConfig{PullConfig: request}})
	if err != nil {
		return fmt.Errorf("pulling the configuration from %s: %w", source.Name(), err)
	}
	document, err := decode(response.GetConfigBody(), localFiles)
	if err != nil {
		return err
	}
	return c.activate(document)
}
