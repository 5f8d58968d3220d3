// Package edge puts the parts of a node on the prepared platform together: the
// callers' listeners, the watches of the platform's store, the batches, the
// orders to endpoints and the calls between nodes.
//
// # Usage
//
//	e, err := edge.New(settings, options, logger)
//	err = e.Run(ctx) // until ctx ends, then a graceful shutdown
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/meter"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/orders"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/relay"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/routes"
	"github.com/currantloft/currantloft/setup"
	"github.com/currantloft/currantloft/waits"
)

const (
	// addressLife is how long a caller may keep an address answer. Some keep it
	// three times as long, which must fit into the time for a planned stop.
	addressLife = 1500 * time.Millisecond
	// staleLife is how long addresses may be in use after a node began to leave.
	staleLife = 3 * addressLife
	// stopReserve is what is left of the time for a planned stop at its end.
	stopReserve = 1200 * time.Millisecond
	// quietTime is how long a leaving node lets running items end.
	quietTime = 2500 * time.Millisecond
	// memoryShare is the share of the memory limit that the garbage collector
	// aims at; the rest is for stacks and what has not been read yet.
	memoryShare = 0.7
	// thousandths turns cores into what hosts tell of themselves.
	thousandths = 1000
	// heapGrowth is by how many percent the heap grows before it is collected:
	// memory is dear on the users' sites, processor time is not.
	heapGrowth = 40
	// idleTimeout is how long an idle connection of a caller is kept: callers use
	// one again after up to four fifths of the configuration's limit, 15 s on the
	// users' sites, so that closing sooner would break requests off.
	idleTimeout = 90 * time.Second
	// headerTimeout is how long a caller may take to send its headers.
	headerTimeout = 5 * time.Second
)

type (
	// Edge is one node on the prepared platform.
	Edge struct {
		settings atomic.Pointer[setup.Host]
		logger   *zap.Logger
		meter    *meter.Meter
		store    *platform.Store
		pool     *peers.Pool
		roster   *roster.Roster
		fleet    *fleet.Fleet
		sender   *platform.Sender
		relay    *relay.Relay
		keeper   *batch.Keeper
		giver    *orders.Giver
		table    atomic.Pointer[routes.Table]
		others   *others
		suspects *suspects
		mirror   *mirror.Mirror
		// lapse is until when removed entries may come back; the mirror's lock
		// guards it.
		lapse   time.Time
		leaving atomic.Bool
		// adminPort is where operators connect, 0 for nowhere.
		adminPort int
	}
)

// New puts a node together; nothing listens yet.
func New(settings *setup.Host, options Options, logger *zap.Logger) *Edge {
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Memory())))
	e := &Edge{
		logger: logger, adminPort: options.AdminPort, meter: meter.New(), pool: peers.NewPool(),
		fleet: fleet.New(time.Now),
	}
	e.settings.Store(settings)
	e.pool.Observe(counting(e.meter.Scope()))
	e.store = platform.NewStore(settings.Store(), e.meter.Scope(), logger)
	e.sender = platform.NewSender(e.fleet)
	self := roster.Host{
		Name: settings.Name(), Incarnation: uint64(time.Now().UnixNano()), Domain: settings.Domain(),
		Callers: settings.Callers(), Peers: settings.Peers(), Power: uint32(settings.Processor() * thousandths),
	}
	e.roster = roster.New(self, e.store, e.pool, logger)
	e.others = &others{Roster: e.roster, pool: e.pool, logger: logger}
	e.store.SetDetour(e.others.detour)
	e.roster.OnDead(e.others.lost)
	e.suspects = newSuspects(e.others, logger)
	e.roster.Carry(e.suspects)
	e.relay = relay.New(relay.Parts{
		Fleet: e.fleet, Sender: e.sender, Suspects: e.suspects,
		Domain: settings.Domain(), Scope: e.meter.Scope(), Logger: logger,
	})
	e.keeper = batch.New(batch.Parts{
		Name: self.Name, Incarnation: self.Incarnation, Store: e.store, ValueBytes: settings.StoreValueBytes(),
		Fleet: e.fleet, Engine: platform.Engine{Sender: e.sender}, Gone: e.suspects.gone, Peers: e.others, First: e.first,
		Policy: options.Policy.items, Keep: settings.Keep(), Routes: e.table.Load,
		Decode: platform.DecodeBatch, Scope: e.meter.Scope(), Logger: logger,
	})
	e.giver = orders.New(orders.Parts{
		Name: self.Name, Store: e.store, Fleet: e.fleet, Policy: options.Policy.versions,
		Lease:  orders.NewLease(e.store, self.Name, self.Incarnation, settings.Lease(), settings.Thaw(), waits.Boottime),
		Orders: e.sender, Routes: e.table.Load, First: e.first,
		Decode: platform.DecodeNamedVersion, Demand: e.keeper.Demand, Scope: e.meter.Scope(), Logger: logger,
	})
	e.mirror = mirror.New(e.store, e.others, settings.ConfigBound(), logger, e.kinds()...)
	return e
}

// Run serves until the context ends, then leaves gracefully.
func (e *Edge) Run(ctx context.Context) error {
	settings := e.settings.Load()
	event.NodeStarting.Log(e.logger, zap.String("node", settings.Name()))
	peerServer, err := peers.Listen(settings.Peers(), e.serve, e.logger)
	if err != nil {
		return err
	}
	handler := platform.NewHandler(e, e.logger)
	servers, err := e.listen(handler)
	if err != nil {
		return errors.Join(err, peerServer.Close())
	}
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(parts)
	for _, run := range []func(context.Context) error{e.roster.Run, e.giver.Run, e.mirror.Run} {
		group.Go(func() error { return run(groupCtx) })
	}
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	e.leave(servers)
	stop()
	err = group.Wait()
	e.keeper.Close()
	e.pool.Close()
	err = errors.Join(err, peerServer.Close())
	e.sender.Close()
	e.store.Close()
	err = errors.Join(err, e.meter.Close())
	event.NodeStopped.Log(e.logger, zap.String("node", settings.Name()))
	return err
}

// listen opens the listeners that the settings name.
func (e *Edge) listen(handler *platform.Handler) ([]*http.Server, error) {
	settings := e.settings.Load()
	var servers []*http.Server
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{settings.Callers(), handler},
		{settings.Ready(), handler.Ready()},
		{settings.Resolver(), handler.Resolver()},
		{e.adminAddress(settings), e.admin()},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return servers, fmt.Errorf("listening: %w", err)
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				e.logger.Error("serving callers", zap.Error(err))
			}
		}()
	}
	return servers, nil
}

// adminAddress returns where operators connect, empty for nowhere.
func (e *Edge) adminAddress(settings *setup.Host) string {
	ip, _, err := net.SplitHostPort(settings.Peers())
	if err != nil || e.adminPort == 0 {
		return ""
	}
	return net.JoinHostPort(ip, strconv.Itoa(e.adminPort))
}

// leave is the planned stop: callers are sent elsewhere, batches are handed on,
// and connections are closed once no caller can hold this node's address.
func (e *Edge) leave(servers []*http.Server) {
	begun := time.Now()
	event.NodeLeaving.Log(e.logger)
	e.leaving.Store(true)
	deadline := begun.Add(e.settings.Load().Grace() - stopReserve)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	e.roster.Leave(ctx)
	quiet, cancelQuiet := context.WithTimeout(ctx, quietTime)
	e.keeper.Leave(quiet)
	cancelQuiet()
	if err := waits.For(ctx, time.Until(begun.Add(staleLife))); err != nil {
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
}

// Reload brings changed settings into force: times and limits. Names and
// addresses hold until the next start.
func (e *Edge) Reload(settings *setup.Host) {
	if *settings == *e.settings.Load() {
		return
	}
	e.settings.Store(settings)
	event.Settings.Log(e.logger, zap.Duration("grace", settings.Grace()), zap.Duration("lease", settings.Lease()))
}

// first reports whether this node has the duties of one node.
func (e *Edge) first() bool {
	rank, _ := e.others.Rank()
	return rank == 0
}

// Ready reports whether the node wants requests.
func (e *Edge) Ready() bool { return !e.leaving.Load() && e.table.Load() != nil }

// Leaving reports whether callers should use other connections.
func (e *Edge) Leaving() bool { return e.leaving.Load() }

// Routes returns the configuration in force.
func (e *Edge) Routes() *routes.Table { return e.table.Load() }

// Addresses returns the nodes that callers may connect to.
func (e *Edge) Addresses() ([]string, time.Duration) {
	const most = 64
	var addresses []string
	for _, h := range e.roster.StayingHosts() {
		if h.Callers != "" && len(addresses) < most {
			addresses = append(addresses, h.Callers)
		}
	}
	return addresses, min(addressLife, e.settings.Load().AddressLifetime())
}

// Serve answers a plain request.
func (e *Edge) Serve(ctx context.Context, request relay.Request, route routes.Route) relay.End {
	return e.relay.Serve(ctx, request, route)
}

// Accept keeps a batch.
func (e *Edge) Accept(ctx context.Context, s batch.Submission) batch.Accepted {
	return e.keeper.Accept(ctx, s)
}

// Read returns results of a batch.
func (e *Edge) Read(ctx context.Context, id string, after int, wait time.Duration) (batch.Page, error) {
	return e.keeper.Read(ctx, id, after, wait)
}

// Body returns the body of an item.
func (e *Edge) Body(ctx context.Context, id, item string) ([]byte, error) {
	return e.keeper.Body(ctx, id, item)
}

// End ends a batch.
func (e *Edge) End(ctx context.Context, id string) error { return e.keeper.End(ctx, id) }
