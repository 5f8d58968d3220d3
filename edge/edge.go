// Package edge assembles and runs a node on the prepared platform, the users'
// own platform that package platform connects to: the callers' listeners, the
// watches of the platform's store, the batches, the orders to endpoints and the
// calls between nodes.
//
// The keeper of a batch is the node that owns it and runs its items.
//
// # Usage
//
//	e := edge.New(settings, options, logger)
//	err := e.Run(ctx) // until ctx ends, then a graceful shutdown
package edge

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/access"
	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/detour"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/intake"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/meter"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/orders"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/reach"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/setup"
	"github.com/currantloft/currantloft/usage"
	"github.com/currantloft/currantloft/waits"
)

const (
	// addressTTL is how long callers may cache a list of addresses. Some cache it
	// three times as long, which must fit into the time for a graceful shutdown.
	addressTTL = 1500 * time.Millisecond
	// staleAddressTTL is how long callers may still use the address of a node that
	// has begun to leave.
	staleAddressTTL = 3 * addressTTL
	// shutdownReserve is the part of the time for a graceful shutdown that is kept
	// free at its end.
	shutdownReserve = 1200 * time.Millisecond
	// lateAfter is how long after the start of a graceful shutdown requests are still taken
	// that may not end in time. A caller that comes later uses an old address.
	lateAfter = 3 * time.Second
	// settleTimeout limits the list before a stream is resumed whose first attempt is not
	// named.
	settleTimeout = 500 * time.Millisecond
	// itemDrainTimeout is how long a leaving node waits for running items to end.
	itemDrainTimeout = 2500 * time.Millisecond
	// memoryShare is the share of the process's memory limit that is set as the
	// Go runtime's memory limit; the rest is for stacks and unread data.
	memoryShare = 0.7
	// milliPerCore converts cores to the thousandths of a core that hosts announce.
	milliPerCore = 1000
	// gcPercent is the growth of the heap between two garbage collections, in
	// percent. It is low since on the users' sites memory is scarce and processor
	// time is not.
	gcPercent = 40
	// idleTimeout limits how long a caller's connection may be idle. Callers reuse a
	// connection that has been idle for up to four fifths of the configuration's
	// limit, which is 15 s on the users' sites; a timeout shorter than that would
	// break off requests.
	idleTimeout = 90 * time.Second
	// headerTimeout limits how long a caller may take to send its headers.
	headerTimeout = 5 * time.Second
	// leaseOrders is the name of the lease of the order sender.
	leaseOrders = "orders"
)

type (
	// stopTimes are the times of a graceful shutdown.
	stopTimes struct{ start, end time.Time }

	// Edge is one node on the prepared platform.
	Edge struct {
		settings atomic.Pointer[setup.Host]
		logger   *zap.Logger
		meter    *meter.Meter
		store    *platform.Store
		pool     *peers.Pool
		roster   *roster.Roster
		fleet    *fleet.Fleet
		// answers is the memory for answers of endpoints while they are read.
		answers     *intact.Budget
		sender      *platform.Sender
		book        *reach.Book
		detour      *detour.Sender
		detours     *detour.Server
		relay       *relay.Relay
		decoder     *platform.BatchDecoder
		keeper      *batch.Keeper
		orderSender *orders.Sender
		// usage is nil if no usage is to be reported.
		usage *usage.Reporter
		table atomic.Pointer[routes.Table]
		// streamsAt is when the streaming routes of the configuration came into force.
		streamsAt atomic.Pointer[time.Time]
		peers     *peerClient
		suspects  *suspects
		limits    *limits
		origins   *origins
		mirror    *mirror.Mirror
		// scaling is nil if no endpoints are ordered.
		scaling *scaling
		// restoreUntil is the time until which entries that were removed while the
		// store was unavailable may be registered again. The mirror's lock guards it.
		restoreUntil time.Time
		// rejected holds the names of the entries that name no endpoint. The mirror's lock
		// guards it.
		rejected map[string]bool
		leaving  atomic.Bool
		// stop is when the graceful shutdown began and ends; nil before.
		stop atomic.Pointer[stopTimes]
		// adminPort is the port of the operators' listener, 0 for none.
		adminPort int
	}
)

// New assembles a node without starting it.
func New(settings *setup.Host, options Options, logger *zap.Logger) *Edge {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes())))
	e := &Edge{
		logger: logger, adminPort: options.AdminPort, meter: meter.New(), pool: peers.NewPool(),
		fleet: fleet.New(time.Now), rejected: make(map[string]bool),
	}
	e.settings.Store(settings)
	e.decoder = platform.NewBatchDecoder(share(settings, decodeShare), share(settings, indexShare*batchShare))
	e.pool.Observe(countCalls(e.meter.Scope()))
	e.answers = intact.NewBudget(share(settings, answerShare))
	e.store = platform.NewStore(settings.StoreAddress(), intact.NewBudget(share(settings, storeShare)), e.meter.Scope(), logger)
	self := roster.Host{
		Name: settings.Name(), Incarnation: uint64(time.Now().UnixNano()), Domain: settings.Domain(),
		CallerAddress: settings.CallerAddress(), PeerAddress: settings.PeerAddress(), Power: uint32(settings.CPUQuota() * milliPerCore),
	}
	e.roster = roster.New(self, e.store, e.pool, logger)
	e.peers = &peerClient{Roster: e.roster, pool: e.pool, logger: logger}
	e.peers.updates = newChildUpdates(e.peers)
	e.store.SetPeerFallback(e.peers.peerFallback)
	e.roster.OnDead(e.peers.notifyLost)
	e.roster.OnLeaving(e.peers.notifyLeaving)
	e.fleet.OnLeaving(e.endpointLeaves)
	e.connect(options.DialEndpoint)
	e.limits = newLimits(e.fleet.Limits(), e.peers, logger)
	e.origins = newOrigins(e.peers, e.fleet, e.settled, logger)
	e.suspects = newSuspects(e.peers, e.detour, logger)
	e.roster.SetQuarantine(e.suspects)
	e.roster.SetLimits(e.limits)
	relayDeps := relay.Deps{
		Fleet: e.fleet, Sender: e.detour, Suspects: e.suspects, Origins: e.origins,
		Domain: settings.Domain(), Scope: e.meter.Scope(), Logger: logger,
	}
	ledger, reporter := e.newUsage(settings, self)
	if reporter != nil {
		relayDeps.Usage, e.usage = ledger, reporter
	}
	e.relay = relay.New(relayDeps)
	e.keeper = batch.New(batch.Deps{
		Name: self.Name, Incarnation: self.Incarnation, Domain: self.Domain, Store: e.store, ValueBytes: settings.StoreValueBytes(),
		Fleet: e.fleet, Engine: platform.Engine{Sender: e.detour, Routes: e.table.Load}, Peers: e.peers, IsLeader: e.isLeader,
		Policy: options.Policy.items, Retention: settings.Retention(), Routes: e.table.Load,
		MemoryBytes: share(settings, batchShare), LoadBytes: share(settings, loadShare), SendBytes: share(settings, sendShare),
		AnswerBytes: share(settings, readShare), TextBytes: share(settings, textShare),
		Decode: e.decoder.Decode, DecodeFrom: platform.DecodeBatchFrom, DecodeItem: platform.DecodeItem, Scope: e.meter.Scope(), Logger: logger,
	})
	e.orderSender = orders.New(orders.Deps{
		Name: self.Name, Store: e.store, Fleet: e.fleet, Policy: options.Policy.versions,
		Lease:     lease.New(e.store, leaseOrders, self.Name, self.Incarnation, settings.LeaseDuration(), settings.TakeoverDelay(), waits.Boottime),
		Endpoints: e.detour, Routes: e.table.Load, IsLeader: e.peers.SendsOrders,
		Decode: platform.DecodeNamedVersion, Demand: e.keeper.Demand, Scope: e.meter.Scope(), Logger: logger,
	})
	e.mirror = mirror.New(e.store, e.peers, settings.ConfigApplyLimit(), logger, e.mirroredKinds()...)
	if options.OrderEndpoints && settings.OrdersEndpoints() {
		e.scaling = newScaling(scalingDeps{
			Name: self.Name, Incarnation: self.Incarnation, Peers: e.peers, Fleet: e.fleet, Backlog: e.keeper.Backlog,
			Lease:  lease.New(e.store, leaseScaling, self.Name, self.Incarnation, settings.LeaseDuration(), settings.TakeoverDelay(), waits.Boottime),
			Routes: e.table.Load, Listed: func() bool { return e.mirror.Listed(platform.KindEndpoints) },
			Order: platform.NewDuties(settings.DutyAddress(), e.answers).OrderEndpoints, Scope: e.meter.Scope(), Logger: logger,
		})
	}
	return e
}

// connect assembles what connects to endpoints, directly and through other hosts.
func (e *Edge) connect(dial intact.DialFunc) {
	e.book = reach.NewBook(time.Now)
	others := &detourPeers{peerClient: e.peers}
	dialer := detour.NewDialer(detour.DialerDeps{Book: e.book, Peers: others, Dial: dial, Clock: waits.Boottime, MaxOpen: maxDetours(e.settings.Load())})
	e.sender = platform.NewSender(e.fleet, dialer, e.answers, e.logger)
	e.detour = detour.NewSender(detour.SenderDeps{
		Book: e.book, Dialer: dialer, Transport: e.sender, Hosts: others.Detours, Known: e.fleet.HasAddress,
		OnUnreached: e.roster.SetUnreached, Scope: e.meter.Scope(), Logger: e.logger,
	})
	e.detours = detour.NewServer(detour.ServerDeps{
		Book: e.book, Dialer: dialer, MaxOpen: maxDetours(e.settings.Load()), Known: e.fleet.TakesRequests, OnFailed: e.detour.Suspect, Leaving: e.leaving.Load, Clock: waits.Boottime,
		Scope: e.meter.Scope(), Logger: e.logger,
	})
}

// Run serves until the context ends, then shuts down gracefully.
func (e *Edge) Run(ctx context.Context) error {
	settings := e.settings.Load()
	event.NodeStarting.Log(e.logger, zap.String("node", settings.Name()))
	peerServer, err := peers.Listen(settings.PeerAddress(), e.serve, e.logger)
	if err != nil {
		return err
	}
	handler := platform.NewHandler(e, e.meter.Scope(), e.logger)
	handler.DecodeWith(e.decoder)
	servers, err := e.listen(handler)
	if err != nil {
		return errors.Join(err, peerServer.Close())
	}
	serviceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(serviceCtx)
	tasks := []func(context.Context) error{e.roster.Run, e.orderSender.Run, e.mirror.Run, e.limits.run, e.origins.run, e.detour.Run, e.runUsage}
	if e.scaling != nil {
		tasks = append(tasks, e.scaling.run, e.scaling.runDemand)
	}
	for _, run := range tasks {
		group.Go(func() error { return run(groupCtx) })
	}
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	e.leave(servers)
	stop()
	err = group.Wait()
	e.peers.updates.Close()
	e.keeper.Close()
	e.pool.Close()
	err = errors.Join(err, peerServer.Close())
	e.sender.Close()
	e.store.Close()
	err = errors.Join(err, e.meter.Close())
	event.NodeStopped.Log(e.logger, zap.String("node", settings.Name()))
	return err
}

// listen opens the listeners of the settings.
func (e *Edge) listen(handler *platform.Handler) ([]*intake.Server, error) {
	settings := e.settings.Load()
	budget, connections := intake.NewBudget(share(settings, intakeShare), time.Now), callerConnections(settings)
	var servers []*intake.Server
	for _, l := range []struct {
		address     string
		handler     http.Handler
		connections int
	}{
		{settings.CallerAddress(), handler, connections},
		{settings.ReadinessAddress(), handler.Ready(), connections / otherListeners},
		{settings.ResolverAddress(), handler.Resolver(), connections / otherListeners},
		{e.adminAddress(settings), e.admin(), connections / otherListeners},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return servers, fmt.Errorf("listening: %w", err)
		}
		server := intake.NewServer(intake.Config{
			Budget: budget, Connections: l.connections, HeadBytes: e.headBytes,
			HeadTimeout: headerTimeout, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout,
			Handler: l.handler, Scope: e.meter.Scope(), Logger: e.logger,
		})
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				e.logger.Error("serving callers", zap.Error(err))
			}
		}()
	}
	return servers, nil
}

// adminAddress returns the address of the operators' listener, empty for none.
func (e *Edge) adminAddress(settings *setup.Host) string {
	ip, _, err := net.SplitHostPort(settings.PeerAddress())
	if err != nil || e.adminPort == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(e.adminPort))
}

// leave is the graceful shutdown: it directs callers to other nodes, hands
// batches over, and closes connections once no caller can have this node's
// address cached.
func (e *Edge) leave(servers []*intake.Server) {
	start := time.Now()
	event.NodeLeaving.Log(e.logger)
	deadline := start.Add(e.settings.Load().GracePeriod() - shutdownReserve)
	e.stop.Store(&stopTimes{start: start, end: deadline})
	e.leaving.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	e.roster.Leave(ctx)
	drainCtx, cancelDrain := context.WithTimeout(ctx, itemDrainTimeout)
	e.keeper.Leave(drainCtx)
	cancelDrain()
	if err := waits.For(ctx, time.Until(start.Add(staleAddressTTL))); err != nil {
		event.NodeDrainTimeout.Log(e.logger, zap.Error(err))
	}
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			event.NodeDrainTimeout.Log(e.logger, zap.Error(err))
			if err := server.Close(); err != nil {
				e.logger.Debug("closing a listener", zap.Error(err))
			}
		}
	}
	e.detours.Wait(ctx)
}

// Reload applies changed times and limits. Changed names and addresses take
// effect at the next start.
func (e *Edge) Reload(settings *setup.Host) {
	if *settings == *e.settings.Load() {
		return
	}
	e.settings.Store(settings)
	event.SettingsReloaded.Log(e.logger, zap.Duration("grace", settings.GracePeriod()), zap.Duration("lease", settings.LeaseDuration()))
}

// isLeader reports whether this node performs the duties that only one node has.
func (e *Edge) isLeader() bool {
	rank, _ := e.peers.Rank()
	return rank == 0
}

// Ready reports whether the node accepts requests: it has a configuration and knows
// the endpoints. If it refuses keys by an old configuration, its configuration must have
// been confirmed once, since the first list may be stale.
func (e *Edge) Ready() bool {
	table := e.table.Load()
	return !e.leaving.Load() && table != nil && e.mirror.Listed(platform.KindEndpoints) &&
		(!table.HasTeams() || !e.settings.Load().RevokeFailClosed() || e.ConfigAge() < math.MaxInt64)
}

// Leaving reports whether the node is shutting down, so that callers should close
// their connections to it.
func (e *Edge) Leaving() bool { return e.leaving.Load() }

// Takes reports whether a request that may last for the given time, 0 if without a limit,
// can be answered before a graceful shutdown ends.
func (e *Edge) Takes(limit time.Duration) bool {
	stop := e.stop.Load()
	return stop == nil || stop.takes(time.Now(), limit)
}

// takes reports whether a request that comes now may begin. Early ones are served whatever
// they may last: most end long before their limit, and their callers can't know better.
func (s stopTimes) takes(now time.Time, limit time.Duration) bool {
	return now.Sub(s.start) < lateAfter || limit > 0 && !now.Add(limit).After(s.end)
}

// Routes returns the configuration in force.
func (e *Edge) Routes() *routes.Table { return e.table.Load() }

// ConfigAge returns how long ago the configuration in force was last confirmed to be the
// newest one.
func (e *Edge) ConfigAge() time.Duration { return e.mirror.Age(platform.KindConfig) }

// settled reports whether the streaming routes have been in force for the given time, and
// the configuration and the list of endpoints are current and have been so for as long. It
// lists for that, since other hosts may know of a change that this one has not heard of.
func (e *Edge) settled(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	steady, err := e.mirror.Confirm(ctx)
	if err != nil {
		e.logger.Debug("resuming a stream", zap.Error(err))
		return false
	}
	at := e.streamsAt.Load()
	return at != nil && time.Since(*at) >= within && steady >= within
}

// KeyPolicy returns how the age of the configuration affects decisions on keys.
func (e *Edge) KeyPolicy() access.Policy {
	settings := e.settings.Load()
	return access.Policy{
		ConfirmLimit: settings.ConfigApplyLimit(), FailClosed: settings.RevokeFailClosed(), RevokeLimit: settings.RevokeLimit(),
	}
}

// Addresses returns the addresses that callers may connect to, and for how long
// the answer may be cached.
func (e *Edge) Addresses() ([]string, time.Duration) {
	addresses := chooseAddresses(e.roster.Self().Name, e.roster.ActiveHosts(), e.roster.Keepers())
	return addresses, min(addressTTL, e.settings.Load().AddressLifetime())
}

// Serve answers a plain request.
func (e *Edge) Serve(ctx context.Context, request relay.Request, route routes.Route) relay.Outcome {
	return e.relay.Serve(ctx, request, route)
}

// Accept stores a batch durably and begins to work on it.
func (e *Edge) Accept(ctx context.Context, s batch.Submission) batch.AcceptResult {
	return e.keeper.Accept(ctx, s)
}

// Read returns results of a batch.
func (e *Edge) Read(ctx context.Context, id string, after int, wait time.Duration) (batch.Page, error) {
	return e.keeper.Read(ctx, id, after, wait)
}

// Team returns the team that submitted a batch, empty for none.
func (e *Edge) Team(ctx context.Context, id string) (string, error) { return e.keeper.Team(ctx, id) }

// Body returns the body of an item.
func (e *Edge) Body(ctx context.Context, id, item string) ([]byte, error) {
	return e.keeper.Body(ctx, id, item)
}

// HoldPage waits for memory for results that are to be written.
func (e *Edge) HoldPage(ctx context.Context, bytes int64) (release func(), err error) {
	return e.keeper.HoldPage(ctx, bytes)
}

// HoldBody waits for memory for the body of an item of a batch.
func (e *Edge) HoldBody(ctx context.Context, id string) (release func(), err error) {
	return e.keeper.HoldBody(ctx, id)
}

// End ends a batch.
func (e *Edge) End(ctx context.Context, id string) error { return e.keeper.End(ctx, id) }
