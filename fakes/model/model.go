// Package model is a fake model engine for tests: continuous batching, a prefix
// cache of limited size, streams that can be resumed and cancelled, load reports
// that lag, cache events with gaps, and orders with or without fencing.
//
// A token depends only on prompt, seed, index and weight version, and its text
// contains the version, so a test can determine which version generated it. The
// engine also records what it generated.
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
	"github.com/currantloft/currantloft/fakes/server"
)

const (
	// CrashMark in a prompt crashes the engine while it runs the request.
	CrashMark = "CRASH"

	defaultTokenTime      = time.Millisecond
	defaultBatchSize      = 8
	defaultChunkTokens    = 4
	defaultRestartDelay   = 300 * time.Millisecond
	defaultReportLag      = 500 * time.Millisecond
	defaultCachedPrefixes = 64
	slowdownPerStream     = 0.02 // share by which each running stream lengthens a step
	prefillTimePerByte    = 2 * time.Microsecond
	stragglerFactor       = 10
	orphanTimeout         = 10 * time.Second
	defaultLoadTime       = 50 * time.Millisecond
	defaultSwitchTime     = 20 * time.Millisecond
	lostEventInterval     = 7
)

type (
	// Options configure an engine.
	Options struct {
		// Version is the weight version served after a start or a crash.
		Version uint64 `json:"version"`
		// TokenTime is the duration of a decoding step with a batch of one stream.
		TokenTime time.Duration `json:"token"`
		// BatchSize is the maximum number of streams decoded together.
		BatchSize int `json:"batch"`
		// ChunkTokens is the minimum number of tokens written to a connection at once;
		// the last write of a stream may have fewer.
		ChunkTokens int `json:"chunk"`
		// IgnoreFence makes the engine accept orders with stale fencing tokens.
		IgnoreFence bool `json:"ignore_fence"`
		// Depot is the base URL of the weight store; if empty, a load takes
		// LoadTime and fetches nothing.
		Depot string `json:"depot"`
		// Model is the name of the model in the weight store.
		Model string `json:"model"`
		// LoadTime is the duration of a load without a weight store.
		LoadTime time.Duration `json:"load_time"`
		// SwitchTime is the duration of a switch to another version.
		SwitchTime time.Duration `json:"switch_time"`
		// RestartDelay is the time from a crash until the engine listens again.
		RestartDelay time.Duration `json:"restart"`
		// StragglerPercent is the percentage of streams that decode ten times
		// slower.
		StragglerPercent int `json:"straggler_percent"`
		// FixedLength makes every answer MaxTokens long.
		FixedLength bool `json:"fixed_length"`
		// ReportLag is the maximum age of the load figures in a status report.
		ReportLag time.Duration `json:"report_lag"`
		// CachedPrefixes is the capacity of the prefix cache, in prompts.
		CachedPrefixes int `json:"cached_prefixes"`
	}

	// Faults are the failures that the engine simulates.
	Faults struct {
		// PartialSwitch makes the next switch fail halfway, which leaves version 0,
		// an unknown version.
		PartialSwitch bool `json:"partial_switch"`
		// Slow multiplies the duration of a decoding step.
		Slow float64 `json:"slow"`
		// Leaving makes status reports state that the engine's host is leaving.
		Leaving bool `json:"leaving"`
		// Stall stalls every connection that is open now; new ones work.
		Stall bool `json:"hush"`
	}

	// Record is what the engine generated for one stream.
	Record struct {
		// Ranges lists the tokens by the weight version that generated them.
		Ranges []engine.Chunk `json:"ranges"`
		// Done reports whether all tokens of the stream were generated.
		Done bool `json:"done"`
	}

	// Engine is a fake model engine.
	Engine struct {
		options Options
		server  *server.Server
		tasks   sync.WaitGroup
		stop    chan struct{}

		mu            sync.Mutex
		incarnation   uint64
		version       uint64
		loaded        []uint64
		loading       uint64
		fence         uint64
		faults        Faults
		stalls        int
		running       []*stream
		waiting       []*stream
		streams       map[string]*stream
		records       map[string]*Record
		cachedPrompts []string
		events        []CacheEvent
		eventSeq      int
		reported      engine.Status
		reportedAt    time.Time
		crashes       int
		lastStart     time.Time
		cacheHits     int
		orders        []engine.Order
		wake          chan struct{}
	}
)

// Start starts an engine that listens on the address.
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
	srv, err := server.Listen(address, e.routes())
	if err != nil {
		return nil, err
	}
	e.server = srv
	e.tasks.Go(e.decode)
	return e, nil
}

func withDefaults(o Options) Options {
	set := func(d *time.Duration, fallback time.Duration) {
		if *d == 0 {
			*d = fallback
		}
	}
	set(&o.TokenTime, defaultTokenTime)
	set(&o.LoadTime, defaultLoadTime)
	set(&o.SwitchTime, defaultSwitchTime)
	set(&o.RestartDelay, defaultRestartDelay)
	set(&o.ReportLag, defaultReportLag)
	if o.BatchSize == 0 {
		o.BatchSize = defaultBatchSize
	}
	if o.ChunkTokens == 0 {
		o.ChunkTokens = defaultChunkTokens
	}
	if o.CachedPrefixes == 0 {
		o.CachedPrefixes = defaultCachedPrefixes
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

// SetFaults replaces the faults. Stall acts once, on the connections that are
// open at this moment.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Stall {
		e.stalls++
	}
	e.faults = faults
}

// Crash closes all connections and drops all streams. The engine listens again
// after Options.RestartDelay, with the weight version of its start. Its fencing
// token survives the crash.
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
	e.cachedPrompts = nil
	e.reported = engine.Status{}
	e.mu.Unlock()
	e.server.Kill()
	e.tasks.Go(func() {
		select {
		case <-time.After(e.options.RestartDelay):
			_ = e.server.Restart()
		case <-e.stop:
		}
	})
}

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// CacheHits returns the number of requests whose prompt was in the prefix cache.
func (e *Engine) CacheHits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheHits
}

// LastStart returns when the engine last accepted a new stream.
func (e *Engine) LastStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastStart
}

// Records returns what the engine generated, by stream ID.
func (e *Engine) Records() map[string]Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make(map[string]Record, len(e.records))
	for id, r := range e.records {
		records[id] = Record{Ranges: slices.Clone(r.Ranges), Done: r.Done}
	}
	return records
}

// Orders returns the orders that passed the fencing check.
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
	mux.HandleFunc("POST /v1/streams", e.handleStart)
	mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.handleCancel)
	mux.HandleFunc("GET /v1/status", e.handleStatus)
	mux.HandleFunc("GET /v1/cache_events", e.handleCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /records", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, e.Records())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := server.DecodeJSON(r, &faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(faults)
	})
	return mux
}

// handleStatus reports the state; the load figures are up to ReportLag old.
func (e *Engine) handleStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) > e.options.ReportLag {
		e.reported = engine.Status{Running: len(e.running), Waiting: len(e.waiting)}
		e.reportedAt = time.Now()
	}
	server.WriteJSON(w, http.StatusOK, engine.Status{
		Incarnation: e.incarnation,
		Leaving:     e.faults.Leaving,
		Version:     e.version,
		Loaded:      e.loaded,
		Loading:     e.loading,
		Running:     e.reported.Running,
		Waiting:     e.reported.Waiting,
		Fence:       e.fence,
	})
}
