// Package depot is a stand-in for the weight store: it serves weight versions
// at a limited rate.
//
// # Usage
//
//	store, err := depot.Start("127.0.0.1:0", 4, 50*time.Millisecond)
//	defer store.Close()
package depot

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/currantloft/currantloft/fakes/stand"
)

// Depot is the stand-in.
type Depot struct {
	server  *stand.Server
	limiter *rate.Limiter
	took    time.Duration
	loads   atomic.Int64
}

// Start serves the stand-in: so many fetches a second, each taking the time.
func Start(address string, perSecond float64, took time.Duration) (*Depot, error) {
	d := &Depot{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), took: took}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", d.fetch)
	server, err := stand.Listen(address, mux)
	if err != nil {
		return nil, err
	}
	d.server = server
	return d, nil
}

// URL returns the base address.
func (d *Depot) URL() string { return d.server.URL() }

// Close stops the stand-in.
func (d *Depot) Close() { d.server.Close() }

// Loads returns how many fetches were served.
func (d *Depot) Loads() int64 { return d.loads.Load() }

func (d *Depot) fetch(w http.ResponseWriter, r *http.Request) {
	if err := d.limiter.Wait(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	time.Sleep(d.took)
	d.loads.Add(1)
	w.WriteHeader(http.StatusOK)
}
