// Package routes holds the configuration in force: the service that serves a
// request, its timeouts and its size limits.
//
// # Usage
//
//	table := routes.NewTable(version, list, services, teams, limits)
//	route, ok := table.Match(host, path)
//	service := route.Service(requestID)
package routes

import (
	"crypto/sha256"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a route's requests.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by an event stream.
	Streaming
	// Rollout requests are batches of generation requests.
	Rollout
)

type (
	// Share is a service with its weight among the services of a route.
	Share struct {
		Service string
		Weight  int
	}

	// Route defines how the requests to a host and path prefix are served.
	Route struct {
		Name          string
		Host          string
		Prefix        string
		Kind          Kind
		Shares        []Share
		Timeout       time.Duration
		TargetLatency time.Duration
		// ResultDeadline is how long after a batch's acceptance its results are due.
		ResultDeadline time.Duration
		// MaxQueue is how long an item of a batch may wait before it may be abandoned.
		MaxQueue      time.Duration
		Priority      int
		MaxAttempts   int
		SingleVersion bool
		Resumable     bool
		// Public reports whether requests need no key of a team.
		Public bool
	}

	// KeyDigest is the SHA-256 digest of a key.
	KeyDigest [sha256.Size]byte

	// Team is a group of callers that share keys.
	Team struct {
		Name string
		// Priority goes before that of the route; 0 is the highest.
		Priority int
		Keys     []KeyDigest
	}

	// Service is a set of endpoints.
	Service struct {
		Name       string
		HealthPath string
		// MaxConns is the largest number of connections that an endpoint accepts.
		MaxConns int
		// Slots is how many requests an engine runs at once, 0 for plain services.
		Slots int
		// CacheTokens is the KV cache capacity of an engine, in tokens.
		CacheTokens int
		// Stride is the number of tokens in one event of a stream, 0 if unknown.
		Stride int
		// Models are the models that an engine serves.
		Models []string
		// Scaling bounds the number of endpoints in each failure domain.
		Scaling Scaling
	}

	// Scaling says how the number of a service's endpoints may be changed. The zero value
	// permits no change.
	Scaling struct {
		// MinReplicas and MaxReplicas bound the endpoints in each failure domain.
		MinReplicas, MaxReplicas int
		// Boot is the time from an order until a new endpoint serves.
		Boot time.Duration
		// SpotPrice is the price of an endpoint that may be reclaimed, relative to others.
		SpotPrice float64
		// DomainPrices is the price of an endpoint by failure domain.
		DomainPrices map[string]float64
	}

	// Limits are the size limits of a caller's request.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
	}

	// Table is one version of the configuration. It is immutable.
	Table struct {
		version      uint64
		routesByHost map[string][]Route
		services     map[string]Service
		limits       Limits
		// teams holds the teams by key.
		teams map[KeyDigest]Team
	}
)

// NewTable returns a table of the routes and services.
func NewTable(version uint64, list []Route, services []Service, teams []Team, limits Limits) *Table {
	t := &Table{
		version:      version,
		routesByHost: make(map[string][]Route),
		services:     make(map[string]Service),
		limits:       limits,
	}
	for _, r := range list {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	if len(teams) > 0 {
		t.teams = make(map[KeyDigest]Team)
	}
	for _, team := range teams {
		for _, key := range team.Keys {
			t.teams[key] = team
		}
	}
	return t
}

// DigestKey returns the digest by which a key is looked up.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// HasTeams reports whether requests need the key of a team, except on public routes.
func (t *Table) HasTeams() bool { return t.teams != nil }

// TeamByKey returns the team that holds a key.
func (t *Table) TeamByKey(key KeyDigest) (Team, bool) {
	team, ok := t.teams[key]
	return team, ok
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the size limits of callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route of the host with the longest matching path prefix.
func (t *Table) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// SameStreams reports whether both tables have the same streaming routes, as far as it
// matters for where a stream began and how long ago.
func (t *Table) SameStreams(other *Table) bool {
	return maps.EqualFunc(t.streams(), other.streams(), func(a, b []Route) bool {
		return slices.EqualFunc(a, b, func(a, b Route) bool {
			return a.Prefix == b.Prefix && a.Timeout == b.Timeout && slices.Equal(a.Shares, b.Shares)
		})
	})
}

// streams returns the streaming routes by host.
func (t *Table) streams() map[string][]Route {
	streams := make(map[string][]Route)
	for host, list := range t.routesByHost {
		for _, r := range list {
			if r.Kind == Streaming {
				streams[host] = append(streams[host], r)
			}
		}
	}
	return streams
}

// Scaled returns the services whose number of endpoints may be changed, by name.
func (t *Table) Scaled() []Service {
	var scaled []Service
	for _, s := range t.services {
		if s.Scaling.MaxReplicas > 0 {
			scaled = append(scaled, s)
		}
	}
	sort.Slice(scaled, func(i, j int) bool { return scaled[i].Name < scaled[j].Name })
	return scaled
}

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Engines returns the services whose endpoints are model engines, by name.
func (t *Table) Engines() []Service {
	var engines []Service
	for _, s := range t.services {
		if len(s.Models) > 0 {
			engines = append(engines, s)
		}
	}
	sort.Slice(engines, func(i, j int) bool { return engines[i].Name < engines[j].Name })
	return engines
}

// Service returns the service for a request. It hashes the request ID, so that
// services get requests in proportion to their weights.
func (r Route) Service(requestID string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	position := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Shares {
		if position -= s.Weight; position < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Repeatable reports whether a request may run more than once. This holds for
// idempotent requests and for streams that can be resumed after the last event
// that the caller received.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Attempts returns how many endpoints may run one request.
func (r Route) Attempts() int { return max(1, r.MaxAttempts) }
