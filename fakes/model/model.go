// Package model is a stand-in for a model engine: continuous batching, a prefix
// cache with limited memory, streams that can be resumed and cancelled, lagging
// load reports, late cache events with gaps, and orders with or without fencing.
//
// Tokens follow from prompt, seed, index and weight version alone, so a test
// can tell which version truly made a token. The engine keeps its own record
// of what it made.
//
// # Usage
//
//	engine, err := model.Start("127.0.0.1:0", model.Options{Version: 1})
//	defer engine.Close()
//	engine.SetFaults(model.Faults{PartialSwitch: true})
package model

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/fakes/stand"
)

const (
	// CrashMark in a prompt makes the engine die while it runs the request.
	CrashMark = "CRASH"

	defaultToken    = time.Millisecond
	defaultBatch    = 8
	defaultChunk    = 4
	defaultRestart  = 300 * time.Millisecond
	defaultLag      = 500 * time.Millisecond
	defaultCache    = 64
	batchCost       = 0.02
	prefillPerByte  = 2 * time.Microsecond
	stragglerFactor = 10
	orphanLife      = 10 * time.Second
	defaultLoadTime = 50 * time.Millisecond
	defaultSwitch   = 20 * time.Millisecond
	eventGapEvery   = 7
)

type (
	// Options describe an engine.
	Options struct {
		// Version is the weight version that it starts with.
		Version uint64 `json:"version"`
		// Token is the time of one decoding step of a batch of one.
		Token time.Duration `json:"token"`
		// Batch is how many streams decode at once.
		Batch int `json:"batch"`
		// Chunk is how many tokens a line of a stream carries.
		Chunk int `json:"chunk"`
		// IgnoreFence makes it take orders with old fencing numbers.
		IgnoreFence bool `json:"ignore_fence"`
		// Depot is the weight store's address, empty for loads that take LoadTime.
		Depot string `json:"depot"`
		// Model names the weights.
		Model string `json:"model"`
		// LoadTime and SwitchTime are how long orders take.
		LoadTime time.Duration `json:"load_time"`
		// SwitchTime is how long a switch takes.
		SwitchTime time.Duration `json:"switch_time"`
		// Restart is how long the engine is away after a crash.
		Restart time.Duration `json:"restart"`
		// StragglerPercent of streams decode ten times slower.
		StragglerPercent int `json:"straggler_percent"`
		// FixedLength makes every answer as long as asked for.
		FixedLength bool `json:"fixed_length"`
		// ReportLag is how old the load figures are.
		ReportLag time.Duration `json:"report_lag"`
		// CachedPrefixes is how many prompts the prefix cache holds.
		CachedPrefixes int `json:"cached_prefixes"`
	}

	// Faults are what goes wrong from now on.
	Faults struct {
		// PartialSwitch makes the next switch fail partway: the version is unknown.
		PartialSwitch bool `json:"partial_switch"`
		// Slow multiplies the time of a decoding step.
		Slow float64 `json:"slow"`
		// Leaving makes the engine report that its host is leaving.
		Leaving bool `json:"leaving"`
		// Hush makes every open connection go silent; new ones work.
		Hush bool `json:"hush"`
	}

	// Record is the engine's own account of one stream.
	Record struct {
		// Ranges says which version made which tokens.
		Ranges []engine.Chunk `json:"ranges"`
		// Done is true if the stream ended by itself.
		Done bool `json:"done"`
	}

	// Engine is the stand-in.
	Engine struct {
		options Options
		server  *stand.Server
		tasks   sync.WaitGroup
		stop    chan struct{}

		mu          sync.Mutex
		incarnation uint64
		version     uint64
		loaded      []uint64
		loading     uint64
		fence       uint64
		faults      Faults
		hushed      int
		running     []*stream
		waiting     []*stream
		streams     map[string]*stream
		records     map[string]*Record
		cache       []string
		events      []CacheEvent
		eventSeq    int
		lagged      engine.Status
		laggedAt    time.Time
		crashes     int
		lastStart   time.Time
		cacheHits   int
		orders      []engine.Order
		wake        chan struct{}
	}
)

// Start serves an engine at the address.
func Start(address string, options Options) (*Engine, error) {
	e := &Engine{
		options:     withDefaults(options),
		stop:        make(chan struct{}),
		incarnation: uint64(time.Now().UnixNano()),
		version:     options.Version,
		loaded:      []uint64{options.Version},
		streams:     make(map[string]*stream),
		records:     make(map[string]*Record),
		wake:        make(chan struct{}, 1),
	}
	server, err := stand.Listen(address, e.routes())
	if err != nil {
		return nil, err
	}
	e.server = server
	e.tasks.Go(e.decode)
	return e, nil
}

func withDefaults(o Options) Options {
	set := func(d *time.Duration, fallback time.Duration) {
		if *d == 0 {
			*d = fallback
		}
	}
	set(&o.Token, defaultToken)
	set(&o.LoadTime, defaultLoadTime)
	set(&o.SwitchTime, defaultSwitch)
	set(&o.Restart, defaultRestart)
	set(&o.ReportLag, defaultLag)
	if o.Batch == 0 {
		o.Batch = defaultBatch
	}
	if o.Chunk == 0 {
		o.Chunk = defaultChunk
	}
	if o.CachedPrefixes == 0 {
		o.CachedPrefixes = defaultCache
	}
	return o
}

// URL returns the base address.
func (e *Engine) URL() string { return e.server.URL() }

// Close stops the engine.
func (e *Engine) Close() {
	close(e.stop)
	e.server.Close()
	e.tasks.Wait()
}

// SetFaults replaces the faults; Hush acts once on what is open now.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Hush {
		e.hushed++
	}
	e.faults = faults
}

// Crash kills the engine; it comes back with its first weights.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crashes++
	e.incarnation++
	e.version = e.options.Version
	e.loaded = []uint64{e.options.Version}
	e.loading = 0
	e.running, e.waiting = nil, nil
	for _, s := range e.streams {
		s.fail()
	}
	e.streams = make(map[string]*stream)
	e.cache = nil
	e.lagged = engine.Status{}
	e.mu.Unlock()
	e.server.Kill()
	e.tasks.Go(func() {
		select {
		case <-time.After(e.options.Restart):
			_ = e.server.Restart()
		case <-e.stop:
		}
	})
}

// Crashes returns how often the engine died.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// CacheHits returns how often a prompt was found in the prefix cache.
func (e *Engine) CacheHits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheHits
}

// LastStart returns when the engine last let a stream in.
func (e *Engine) LastStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastStart
}

// Records returns the engine's own account of every stream.
func (e *Engine) Records() map[string]Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make(map[string]Record, len(e.records))
	for id, r := range e.records {
		records[id] = Record{Ranges: slices.Clone(r.Ranges), Done: r.Done}
	}
	return records
}

// Orders returns the orders that the engine has carried out.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Version returns the weight version being served.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", e.start)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	mux.HandleFunc("GET /v1/status", e.status)
	mux.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		stand.Reply(w, http.StatusOK, e.Records())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := stand.Read(r, &faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(faults)
	})
	return mux
}

// status reports the state; the load figures are as old as the lag.
func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.laggedAt) > e.options.ReportLag {
		e.lagged = engine.Status{Running: len(e.running), Waiting: len(e.waiting)}
		e.laggedAt = time.Now()
	}
	stand.Reply(w, http.StatusOK, engine.Status{
		Incarnation: e.incarnation,
		Leaving:     e.faults.Leaving,
		Version:     e.version,
		Loaded:      e.loaded,
		Loading:     e.loading,
		Running:     e.lagged.Running,
		Waiting:     e.lagged.Waiting,
		Fence:       e.fence,
	})
}
