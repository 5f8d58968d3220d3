// Package node assembles one node and runs its background loops and listeners.
//
// # Usage
//
//	n, err := node.New(settings, logger)
//	err = n.Run(ctx) // until ctx ends, then a graceful shutdown
package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/chart"
	"github.com/currantloft/currantloft/claim"
	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/entry"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/facts"
	"github.com/currantloft/currantloft/flight"
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/meter"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/sample"
	"github.com/currantloft/currantloft/setup"
	"github.com/currantloft/currantloft/steps"
	"github.com/currantloft/currantloft/weight"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// leaveSpreadTime is how long it takes until a node's peers have learned that it leaves.
	// Until then they give its address to callers.
	leaveSpreadTime = 100 * time.Millisecond
	// answerBytes is the memory for answers while they are read. The largest answer of a plain
	// service takes a quarter of it.
	answerBytes = 128 << 20
)

type (
	// Node is one running node.
	Node struct {
		settings *setup.Node
		logger   *zap.Logger
		machine  *chart.Machine
		meter    *meter.Meter

		platform       *object.Client
		facts          *facts.Store
		pool           *peers.Pool
		members        *member.Members
		config         *active.Config
		dispatcher     *permit.Dispatcher
		client         *engine.Client
		quarantine     *poison.Quarantine
		runner         *route.Runner
		worker         *sample.Worker
		steps          *steps.Keeper
		weights        *weight.Supervisor
		entry          *entry.Server
		peers          *peers.Server
		peerCalls      flight.Counter
		drainRequested chan struct{}
	}

	// backgroundLoop is a function that runs until its context ends.
	backgroundLoop struct {
		name string
		run  func(context.Context) error
	}
)

// New assembles a node without starting it.
func New(settings *setup.Node, logger *zap.Logger) (*Node, error) {
	if err := chart.CheckAll(); err != nil {
		return nil, err
	}
	perSecond, burst := settings.PlatformRateLimit()
	answers := intact.NewBudget(answerBytes)
	n := &Node{
		settings:       settings,
		logger:         logger,
		machine:        chart.MustLoad("node").Start(),
		meter:          meter.New(),
		facts:          facts.NewStore(),
		pool:           peers.NewPool(),
		client:         engine.NewClient(answers),
		drainRequested: make(chan struct{}, 1),
	}
	n.platform = object.NewClient(settings.PlatformURL(), object.WithBudget(perSecond, burst), object.WithPeerFallback(n.peerFallback), object.WithMemory(answers))
	n.members = member.New(member.Config{
		Self: &wirepb.Member{
			Name:        settings.Name(),
			Domain:      settings.Domain(),
			Region:      settings.Region(),
			PeerAddress: settings.AdvertisedPeerAddress(),
			HttpAddress: settings.HTTPAddress(),
		},
		Seeds:    settings.Seeds(),
		Interval: settings.Heartbeat(),
	}, n.facts, n.pool, logger)
	n.config = active.New(n.platform, n.members, n.facts, n.pool, logger)
	n.dispatcher = permit.NewDispatcher(n.config, n.members, n.pool, logger)
	n.quarantine = poison.New(n.members, n.facts, logger)
	n.runner = route.New(n.dispatcher, n.client, n.quarantine, logger)
	n.worker = sample.New(n.config, n.runner, answers, logger)
	n.steps = steps.New(steps.Deps{
		Config: n.config, Members: n.members, Platform: n.platform, Pool: n.pool, Worker: n.worker, Logger: logger,
	})
	n.weights = weight.New(weight.Deps{
		Config: n.config, Dispatcher: n.dispatcher, Members: n.members, Store: n.facts,
		Platform: n.platform, Client: n.client, Logger: logger,
	})
	n.entry = entry.New(entry.Deps{
		Config: n.config, Members: n.members, Pool: n.pool, Dispatcher: n.dispatcher, Runner: n.runner,
		Quarantine: n.quarantine, Claims: claim.New(n.platform, settings.Name(), logger), Answers: answers, Steps: n.steps,
		Scope: n.meter.Scope(), Metrics: n.meter.Handler(), Dump: n.Dump, Drain: n.Drain,
		Profile: settings.Profile(), AddressLifetime: settings.AddressLifetime(), Logger: logger,
	})
	return n, nil
}

// backgroundLoops lists the loops that run beside the two listeners.
func (n *Node) backgroundLoops() []backgroundLoop {
	return []backgroundLoop{
		{name: "membership", run: n.members.Run},
		{name: "configuration", run: n.config.Run},
		{name: "weights", run: n.weights.Run},
	}
}

// Drain starts a graceful shutdown; Run returns when it is done.
func (n *Node) Drain() {
	select {
	case n.drainRequested <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends or Drain is called, and then shuts down gracefully:
// the node announces that it leaves, serves until no caller can have its address
// cached, rejects new requests, and waits for those in flight.
func (n *Node) Run(ctx context.Context) error {
	event.NodeStarting.Log(n.logger, zap.String("node", n.settings.Name()))
	server, err := peers.Listen(n.settings.PeerAddress(), n.serve, n.logger)
	if err != nil {
		return err
	}
	n.peers = server
	if err := n.entry.Listen(n.settings.HTTPAddress()); err != nil {
		return errors.Join(err, server.Close())
	}
	loopsCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	group, groupCtx := errgroup.WithContext(loopsCtx)
	for _, loop := range n.backgroundLoops() {
		group.Go(func() error {
			if err := loop.run(groupCtx); err != nil {
				event.NodeLoopFailed.Log(n.logger, zap.String("part", loop.name), zap.Error(err))
				return fmt.Errorf("running %s: %w", loop.name, err)
			}
			return nil
		})
	}
	n.awaitConfig(ctx)
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	case <-groupCtx.Done():
	}
	n.leave()
	stopLoops()
	return errors.Join(group.Wait(), n.close())
}

// awaitConfig waits until a configuration is in force or the node must stop.
func (n *Node) awaitConfig(ctx context.Context) {
	select {
	case <-n.config.Ready():
		_ = n.machine.Fire("configured")
		event.NodeServing.Log(n.logger, zap.String("node", n.settings.Name()),
			zap.String("http", n.settings.HTTPAddress()))
	case <-ctx.Done():
	case <-n.drainRequested:
		// Run waits for the same signal, so put it back.
		n.Drain()
	}
}

// leave is the graceful shutdown up to the point where no request is in flight.
func (n *Node) leave() {
	if n.machine.Fire("drain") != nil {
		_ = n.machine.Fire("stop")
		return
	}
	event.NodeLeaving.Log(n.logger, zap.String("node", n.settings.Name()))
	n.members.Leave()
	deadline := time.After(n.settings.DrainTimeout())
	time.Sleep(leaveSpreadTime + n.settings.AddressLifetime())
	_ = n.machine.Fire("lifetime_over")
	n.entry.RejectRequests()
	for _, idle := range []<-chan struct{}{n.entry.Idle(), n.peerCalls.Idle()} {
		select {
		case <-idle:
		case <-deadline:
			event.NodeDrainTimeout.Log(n.logger, zap.Int("in_flight", n.entry.InFlight()))
		}
	}
	_ = n.machine.Fire("stop")
}

// close closes the remaining components in the order of their dependencies.
func (n *Node) close() error {
	err := n.entry.Close()
	n.steps.Close()
	err = errors.Join(err, n.peers.Close())
	n.pool.Close()
	n.client.Close()
	n.platform.Close()
	err = errors.Join(err, n.meter.Close())
	event.NodeStopped.Log(n.logger, zap.String("node", n.settings.Name()))
	return err
}
