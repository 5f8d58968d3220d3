// Package depot is a fake of the weight store, from which engines fetch weight
// versions, for tests. It limits the rate of fetches and sends no weights.
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

	"github.com/currantloft/currantloft/fakes/server"
)

// Store is the fake weight store.
type Store struct {
	server    *server.Server
	limiter   *rate.Limiter
	fetchTime time.Duration
	fetches   atomic.Int64
}

// Start starts the fake, which listens on the address. It serves at most
// perSecond fetches per second and delays each by fetchTime.
func Start(address string, perSecond float64, fetchTime time.Duration) (*Store, error) {
	d := &Store{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), fetchTime: fetchTime}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", d.handleFetch)
	srv, err := server.Listen(address, mux)
	if err != nil {
		return nil, err
	}
	d.server = srv
	return d, nil
}

// URL returns the base address.
func (d *Store) URL() string { return d.server.URL() }

// Close stops the fake.
func (d *Store) Close() { d.server.Close() }

// Fetches returns the number of fetches served.
func (d *Store) Fetches() int64 { return d.fetches.Load() }

func (d *Store) handleFetch(w http.ResponseWriter, r *http.Request) {
	if err := d.limiter.Wait(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	time.Sleep(d.fetchTime)
	d.fetches.Add(1)
	w.WriteHeader(http.StatusOK)
}
