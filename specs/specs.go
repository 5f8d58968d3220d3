// Package specs parses the declared configuration: services, model pools,
// endpoints, trainers and scorers. It is written in INI files that are applied
// together as one set.
//
// Every file of a set is parsed to its end. All findings are reported together,
// with file, line, key and what is expected. docs/INTERFACES.md lists every
// section and key.
//
// # Usage
//
//	files, err := specs.ReadDir("examples/cascade")
//	set, err := specs.Parse(files)
//	pool, ok := set.Pool("rollout")
package specs

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"
)

const fileSuffix = ".ini"

// Fencing states whether an endpoint rejects orders with an old fencing token.
type Fencing string

// How an endpoint treats fencing tokens.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

type (
	// File is one declaration file.
	File struct {
		name string
		body []byte
	}

	// Pool is a set of endpoints that serve one model.
	Pool struct {
		name          string
		model         string
		servedVersion uint64
		stagedVersion uint64
		window        int
		switchShare   int
		orderLimit    time.Duration
	}

	// Endpoint is a server that runs the requests of a pool or a plain service.
	Endpoint struct {
		name    string
		pool    string
		service string
		url     string
		domain  string
		fencing Fencing
	}

	// Service is what callers send requests to. A model service is backed by a
	// pool, a plain service by endpoints of its own.
	Service struct {
		name            string
		pool            string
		timeout         time.Duration
		progressTimeout time.Duration
		idempotent      bool
		maxBody         int
		window          int
	}

	// Trainer is a training job that requests steps of scored samples.
	Trainer struct {
		name              string
		pool              string
		scorer            string
		groups            int
		samples           int
		overSample        int
		maxTokens         int
		stepTimeout       time.Duration
		acceptFrom        uint64
		acceptTo          uint64
		maxVersionsBehind uint64
		maxAge            time.Duration
		weight            int
		idleLimit         time.Duration
	}

	// Scorer is an external service that grades samples.
	Scorer struct {
		name    string
		url     string
		timeout time.Duration
	}

	// Set is a checked configuration.
	Set struct {
		pools     map[string]Pool
		endpoints map[string]Endpoint
		services  map[string]Service
		trainers  map[string]Trainer
		scorers   map[string]Scorer
		rawValues map[string]map[string]string
	}
)

// NewFile returns a declaration file.
func NewFile(name string, body []byte) File { return File{name: name, body: body} }

// Name returns the file's name without its folder.
func (f File) Name() string { return f.name }

// Body returns the file's bytes.
func (f File) Body() []byte { return f.body }

// ReadDir reads all declaration files of a folder, sorted by name.
func ReadDir(dir string) ([]File, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+fileSuffix))
	if err != nil {
		return nil, fmt.Errorf("listing %s: %w", dir, err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("no %s files in %s: name a folder that holds a complete set", fileSuffix, dir)
	}
	sort.Strings(paths)
	files := make([]File, 0, len(paths))
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("reading declaration file: %w", err)
		}
		files = append(files, NewFile(filepath.Base(path), body))
	}
	return files, nil
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// Model returns the model that the pool's endpoints serve.
func (p Pool) Model() string { return p.model }

// ServedVersion returns the weight version that the endpoints must serve.
func (p Pool) ServedVersion() uint64 { return p.servedVersion }

// StagedVersion returns the weight version to load in advance. It equals
// ServedVersion if there is none.
func (p Pool) StagedVersion() uint64 { return p.stagedVersion }

// Window returns the largest number of requests in flight at one endpoint.
func (p Pool) Window() int { return p.window }

// SwitchShare returns the share of a cell that may switch at once, in percent.
func (p Pool) SwitchShare() int { return p.switchShare }

// OrderLimit returns the time limit of an order to an engine.
func (p Pool) OrderLimit() time.Duration { return p.orderLimit }

// Name returns the endpoint's name.
func (e Endpoint) Name() string { return e.name }

// Pool returns the endpoint's pool, empty for an endpoint of a plain service.
func (e Endpoint) Pool() string { return e.pool }

// Service returns the endpoint's plain service, empty for an endpoint of a pool.
func (e Endpoint) Service() string { return e.service }

// URL returns the endpoint's base URL.
func (e Endpoint) URL() string { return e.url }

// Domain returns the endpoint's failure domain.
func (e Endpoint) Domain() string { return e.domain }

// Fencing returns whether the endpoint checks fencing tokens.
func (e Endpoint) Fencing() Fencing { return e.fencing }

// Backend returns the backend name of the endpoint's pool or plain service.
func (e Endpoint) Backend() string {
	if e.pool != "" {
		return PoolBackend(e.pool)
	}
	return ServiceBackend(e.service)
}

// PoolBackend returns the backend name of a model pool.
func PoolBackend(pool string) string { return "pool/" + pool }

// ServiceBackend returns the backend name of a plain service.
func ServiceBackend(service string) string { return "service/" + service }

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Pool returns the model pool behind the service, empty for a plain service.
func (s Service) Pool() string { return s.pool }

// Plain reports whether the service is not a model service.
func (s Service) Plain() bool { return s.pool == "" }

// Timeout returns the time limit of a request.
func (s Service) Timeout() time.Duration { return s.timeout }

// ProgressTimeout returns how long a stream may deliver nothing before its
// engine is probed. It also limits the first attempt of an idempotent request
// to a plain service, which uses a pooled connection.
func (s Service) ProgressTimeout() time.Duration { return s.progressTimeout }

// Idempotent reports whether requests may run more than once, unless a request
// states otherwise.
func (s Service) Idempotent() bool { return s.idempotent }

// MaxBody returns the largest request body in bytes.
func (s Service) MaxBody() int { return s.maxBody }

// Window returns the largest number of requests in flight at one endpoint of a
// plain service.
func (s Service) Window() int { return s.window }

// Backend returns the backend name under which the service's requests are queued.
func (s Service) Backend() string {
	if s.Plain() {
		return ServiceBackend(s.name)
	}
	return PoolBackend(s.pool)
}

// Name returns the trainer's name.
func (t Trainer) Name() string { return t.name }

// Pool returns the pool that samples are drawn from.
func (t Trainer) Pool() string { return t.pool }

// Scorer returns the scorer that grades samples.
func (t Trainer) Scorer() string { return t.scorer }

// Groups returns the largest number of groups in a step.
func (t Trainer) Groups() int { return t.groups }

// Samples returns the number of samples in a group.
func (t Trainer) Samples() int { return t.samples }

// OverSample returns how many samples of a group are started in addition to
// Samples.
func (t Trainer) OverSample() int { return t.overSample }

// MaxTokens returns the maximum length of a sample in tokens.
func (t Trainer) MaxTokens() int { return t.maxTokens }

// StepTimeout returns the time in which a step must be complete.
func (t Trainer) StepTimeout() time.Duration { return t.stepTimeout }

// Accepts reports whether the trainer accepts samples of the weight version.
func (t Trainer) Accepts(version uint64) bool {
	return version >= t.acceptFrom && version <= t.acceptTo
}

// MaxVersionsBehind returns how many versions a sample may be behind the served version.
func (t Trainer) MaxVersionsBehind() uint64 { return t.maxVersionsBehind }

// MaxAge returns the maximum age of a sample at delivery.
func (t Trainer) MaxAge() time.Duration { return t.maxAge }

// Weight returns the trainer's share among trainers of the same pool.
func (t Trainer) Weight() int { return t.weight }

// IdleLimit returns how long a step is retained while its trainer sends no
// request.
func (t Trainer) IdleLimit() time.Duration { return t.idleLimit }

// Name returns the scorer's name.
func (s Scorer) Name() string { return s.name }

// URL returns the scorer's address.
func (s Scorer) URL() string { return s.url }

// Timeout returns the time limit of a scoring request.
func (s Scorer) Timeout() time.Duration { return s.timeout }

// Pool returns the pool of this name.
func (s *Set) Pool(name string) (Pool, bool) { v, ok := s.pools[name]; return v, ok }

// Endpoint returns the endpoint of this name.
func (s *Set) Endpoint(name string) (Endpoint, bool) { v, ok := s.endpoints[name]; return v, ok }

// Service returns the service of this name.
func (s *Set) Service(name string) (Service, bool) { v, ok := s.services[name]; return v, ok }

// Trainer returns the trainer of this name.
func (s *Set) Trainer(name string) (Trainer, bool) { v, ok := s.trainers[name]; return v, ok }

// Scorer returns the scorer of this name.
func (s *Set) Scorer(name string) (Scorer, bool) { v, ok := s.scorers[name]; return v, ok }

// Services returns all services, sorted by name.
func (s *Set) Services() []Service { return sorted(s.services) }

// Pools returns all pools, sorted by name.
func (s *Set) Pools() []Pool { return sorted(s.pools) }

// Endpoints returns all endpoints, sorted by name.
func (s *Set) Endpoints() []Endpoint { return sorted(s.endpoints) }

// Trainers returns all trainers, sorted by name.
func (s *Set) Trainers() []Trainer { return sorted(s.trainers) }

func sorted[V any](all map[string]V) []V {
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	values := make([]V, 0, len(all))
	for _, name := range names {
		values = append(values, all[name])
	}
	return values
}

// Summary returns one line with the number of sections of each kind.
func (s *Set) Summary() string {
	return strings.Join([]string{
		fmt.Sprintf("%d services", len(s.services)),
		fmt.Sprintf("%d pools", len(s.pools)),
		fmt.Sprintf("%d endpoints", len(s.endpoints)),
		fmt.Sprintf("%d trainers", len(s.trainers)),
		fmt.Sprintf("%d scorers", len(s.scorers)),
	}, ", ")
}
