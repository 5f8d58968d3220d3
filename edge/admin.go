package edge

import (
	"encoding/json"
	"math"
	"net"
	"net/http"
	"runtime"
	"strconv"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/entry"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/orders"
	"github.com/currantloft/currantloft/quota"
	"github.com/currantloft/currantloft/usage"
)

type (
	// State is the dump of a node on the prepared platform.
	State struct {
		// Status is the node's summary for operators.
		Status entry.Status `json:"status"`
		// ConfigAgeMs is how long ago the configuration was last confirmed to be the newest
		// one, in milliseconds, -1 if it never was. Teams tells whether it has teams.
		ConfigAgeMs int64 `json:"config_age_ms"`
		Teams       bool  `json:"teams"`
		// Leaving is true once a graceful shutdown has begun.
		Leaving bool `json:"leaving"`
		// LeaderRank is the node's position among the nodes that may be the leader, 0
		// for the leader.
		LeaderRank int `json:"rank"`
		// Hub is true if the node passes messages on to other hosts, and Children names
		// those hosts.
		Hub      bool     `json:"hub"`
		Children []string `json:"children"`
		// Endpoints are the endpoints in the node's fleet.
		Endpoints []fleet.State `json:"endpoints"`
		// Limits are the request rates that endpoints allow.
		Limits []quota.Status `json:"limits"`
		// Batches are the batches that the node owns.
		Batches []batch.JobState `json:"batches"`
		// Orders is the state of the orders to load weight versions.
		Orders orders.State `json:"orders"`
		// Usage is the state of the usage reports, absent if there are none.
		Usage *usage.State `json:"usage,omitempty"`
		// Scaling is the state of the orders of endpoints, nil if none are ordered.
		Scaling *ScalingState `json:"scaling,omitempty"`
		// Store counts the node's calls to the platform's store.
		Store StoreState `json:"store"`
		// Quarantined counts the requests in quarantine for crashing endpoints.
		Quarantined int `json:"refused"`
		// BrokenPaths holds the addresses of endpoints that this node can't connect to, each
		// with a host that can. Isolated is true if it reaches hardly any endpoint.
		BrokenPaths map[string]string `json:"broken_paths"`
		Isolated    bool              `json:"isolated"`
		// Detours counts the connections to endpoints that are open for other hosts.
		Detours int64 `json:"detours"`
		// Dials counts connections that were opened to endpoints.
		Dials int64 `json:"dials"`
		// Goroutines counts goroutines, HeapBytes is the memory of heap objects, those
		// not yet collected included.
		Goroutines int    `json:"goroutines"`
		HeapBytes  uint64 `json:"heap_bytes"`
	}

	// StoreState counts calls to the platform's store.
	StoreState struct {
		// Calls counts direct calls since the start, Failed those that failed.
		Calls  int64 `json:"calls"`
		Failed int64 `json:"failed"`
		// Reachable is true if the last direct call was answered and not rejected with
		// status 429 or 503. Cancelled calls that failed do not count.
		Reachable bool `json:"reachable"`
	}
)

// admin serves metrics, the status and the state dump to operators.
func (e *Edge) admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.meter.Handler())
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { e.reply(w, e.status()) })
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) { e.reply(w, e.Dump()) })
	return mux
}

func (e *Edge) reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		e.logger.Debug("writing an answer to an operator", zap.Error(err))
	}
}

// status returns the summary of the node. Its generation is the version of the
// configuration in force.
func (e *Edge) status() entry.Status {
	self := e.roster.Self()
	status := entry.Status{Node: self.Name}
	if table := e.table.Load(); table != nil {
		status.Generation = table.Version()
	}
	for _, h := range append(e.roster.Peers(), self) {
		state := "alive"
		if h.Leaving {
			state = "leaving"
		}
		ip, _, err := net.SplitHostPort(h.PeerAddress)
		if err != nil {
			e.logger.Debug("splitting the address of a node", zap.String("host", h.Name), zap.Error(err))
			continue
		}
		status.Members = append(status.Members, entry.MemberStatus{
			Name: h.Name, Domain: h.Domain, State: state,
			URL: "http://" + net.JoinHostPort(ip, strconv.Itoa(e.adminPort)),
		})
	}
	return status
}

// Dump returns the state of the process.
func (e *Edge) Dump() State {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	rank, _ := e.peers.Rank()
	sent, failed := e.store.Calls()
	children := []string{}
	for _, h := range e.roster.Children() {
		children = append(children, h.Name)
	}
	brokenPaths := make(map[string]string)
	for path, host := range e.book.BrokenPaths() {
		brokenPaths[path.Address] = host
	}
	configAge := int64(-1)
	if age := e.ConfigAge(); age < math.MaxInt64 {
		configAge = age.Milliseconds()
	}
	table := e.table.Load()
	return State{
		ConfigAgeMs: configAge, Teams: table != nil && table.HasTeams(),
		BrokenPaths: brokenPaths, Isolated: e.book.Isolated(), Detours: e.detours.Open(),
		Hub: e.roster.IsHub(), Children: children,
		Status: e.status(), Leaving: e.leaving.Load(), LeaderRank: rank, Endpoints: e.fleet.All(),
		Limits:  e.fleet.Limits().Dump(),
		Batches: e.keeper.Dump(), Orders: e.orderSender.Dump(), Usage: e.dumpUsage(), Scaling: e.scaling.dump(),
		Store:       StoreState{Calls: sent, Failed: failed, Reachable: e.store.Reachable()},
		Quarantined: len(e.suspects.ledger.ListQuarantined()), Dials: e.sender.Dials(), Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc,
	}
}
