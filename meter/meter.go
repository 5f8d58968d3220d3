// Package meter sets up the metrics of a process: a tally scope whose values
// are served in the Prometheus text format.
//
// # Usage
//
//	m := meter.New()
//	defer m.Close()
//	m.Scope().Counter("requests_answered").Inc(1)
//	mux.Handle("GET /metrics", m.Handler())
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"
)

const (
	metricPrefix   = "currantloft"
	reportInterval = 5 * time.Second
)

// Meter holds the metrics of a process.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a meter with its own registry, which also has the collectors of
// the Go runtime and the process.
func New() *Meter {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	cached := reporter.NewReporter(reporter.Options{
		Registerer: registry, Gatherer: registry, DefaultTimerType: reporter.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         metricPrefix,
		CachedReporter: cached,
		Separator:      reporter.DefaultSeparator,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, handler: cached.HTTPHandler()}
}

// Scope returns the root scope, in which metrics are created.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler returns the handler that serves the metrics.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close reports the last values and stops the reporter.
func (m *Meter) Close() error { return m.closer.Close() }
