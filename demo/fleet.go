package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/fakes/objapi"
	"github.com/currantloft/currantloft/fakes/plain"
	"github.com/currantloft/currantloft/fakes/score"
	"github.com/currantloft/currantloft/node"
	"github.com/currantloft/currantloft/setup"
)

const (
	domains    = "abcd"
	scoreDelay = 2 * time.Millisecond
	plainDelay = time.Millisecond

	defaultAddressLifetime = 500 * time.Millisecond

	minPort         = 10_000
	portLimit       = 30_000
	firstPortSpread = 15_000
)

type (
	// Size describes the size and the timing of a fleet.
	Size struct {
		// Nodes is the number of nodes.
		Nodes int
		// Samplers is the number of endpoints of the rollout pool.
		Samplers int
		// Quotes is the number of endpoints of the interactive pool.
		Quotes int
		// Plains is the number of endpoints of the plain service.
		Plains int
		// AddressLifetime is how long callers may cache node addresses; 0 means 500 ms.
		AddressLifetime time.Duration
		// Heartbeat is the nodes' heartbeat interval; 0 means 1 s.
		Heartbeat time.Duration
		// Engine configures the engines of both pools.
		Engine model.Options
		// Domains is the number of failure domains that DomainOf returns; 0 means the
		// four domains a to d.
		Domains int
		// Regions is the number of regions that RegionOf returns; 0 means one. It needs
		// Domains.
		Regions int
	}

	// Fakes are the fakes of the external systems that a fleet uses.
	Fakes struct {
		platform *objapi.Platform
		samplers []*model.Engine
		quotes   []*model.Engine
		plains   []*plain.Service
		scorer   *score.Scorer
	}

	// Fleet is a set of nodes and fakes in this process.
	Fleet struct {
		*Fakes
		size   Size
		nodes  []*runningNode
		logger *zap.Logger
	}

	// NodeSettings is the contents of a node's settings file.
	NodeSettings struct {
		// Name is the node's name.
		Name string
		// Domain is its failure domain.
		Domain string
		// Region is its region; empty means main.
		Region string
		// PeerPort is the port for peers, on 127.0.0.1.
		PeerPort int
		// HTTPPort is the port for callers, on 127.0.0.1.
		HTTPPort int
		// Advertised is the peer address that the node announces to its peers;
		// empty means the one that it listens on.
		Advertised string
		// Seeds are the peer addresses of the nodes to contact first.
		Seeds []string
		// Platform is the base URL of the object API.
		Platform string
		// Profile makes the node serve its pprof profiles.
		Profile bool
		// AddressLifetime is how long callers may cache node addresses; 0 means 500 ms.
		AddressLifetime time.Duration
		// Heartbeat is the heartbeat interval; 0 means 1 s.
		Heartbeat time.Duration
	}

	runningNode struct {
		name        string
		httpAddress string
		node        *node.Node
		cancel      context.CancelFunc
		done        chan error
	}
)

// StartFleet starts the fakes and the nodes.
func StartFleet(ctx context.Context, size Size, logger *zap.Logger) (*Fleet, error) {
	fakes, err := StartFakes(size)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Fakes: fakes, size: size, logger: logger}
	if err := f.startNodes(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// StartFakes starts the fakes of a fleet.
func StartFakes(size Size) (*Fakes, error) {
	f := &Fakes{}
	if err := f.start(size); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Platform returns the fake object API.
func (f *Fakes) Platform() *objapi.Platform { return f.platform }

// Samplers returns the engines of the rollout pool.
func (f *Fakes) Samplers() []*model.Engine { return f.samplers }

// Quotes returns the engines of the interactive pool.
func (f *Fakes) Quotes() []*model.Engine { return f.quotes }

// Plains returns the endpoints of the plain service.
func (f *Fakes) Plains() []*plain.Service { return f.plains }

// Scorer returns the fake scoring service.
func (f *Fakes) Scorer() *score.Scorer { return f.scorer }

// NodeURLs returns the base URLs of all nodes.
func (f *Fleet) NodeURLs() []string {
	urls := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		urls = append(urls, "http://"+n.httpAddress)
	}
	return urls
}

// DomainOf returns the failure domain of the i-th node or endpoint.
func (s Size) DomainOf(i int) string {
	if s.Domains == 0 {
		return Domain(i)
	}
	return fmt.Sprintf("d%d", i%s.Domains)
}

// RegionOf returns the region of the i-th node.
func (s Size) RegionOf(i int) string {
	if s.Regions == 0 {
		return ""
	}
	return fmt.Sprintf("r%d", i%s.Domains%s.Regions)
}

// Domain returns one of the failure domains a to d, in turn by index.
func Domain(i int) string { return domains[i%len(domains) : i%len(domains)+1] }

// Close stops all nodes concurrently, and then the fakes.
func (f *Fleet) Close() error {
	var tasks sync.WaitGroup
	failed := make([]error, len(f.nodes))
	for i, n := range f.nodes {
		tasks.Go(func() {
			n.cancel()
			failed[i] = <-n.done
		})
	}
	tasks.Wait()
	f.Fakes.Close()
	return errors.Join(failed...)
}

// Close stops the fakes.
func (f *Fakes) Close() {
	for _, e := range f.samplers {
		e.Close()
	}
	for _, e := range f.quotes {
		e.Close()
	}
	for _, p := range f.plains {
		p.Close()
	}
	if f.scorer != nil {
		f.scorer.Close()
	}
	if f.platform != nil {
		f.platform.Close()
	}
}

func (f *Fakes) start(size Size) (err error) {
	if f.platform, err = objapi.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if f.scorer, err = score.Start("127.0.0.1:0", scoreDelay); err != nil {
		return err
	}
	if f.samplers, err = startEngines(size.Samplers, size.Engine); err != nil {
		return err
	}
	if f.quotes, err = startEngines(size.Quotes, size.Engine); err != nil {
		return err
	}
	for range size.Plains {
		service, err := plain.Start("127.0.0.1:0", plainDelay)
		if err != nil {
			return err
		}
		f.plains = append(f.plains, service)
	}
	return nil
}

func startEngines(n int, options model.Options) ([]*model.Engine, error) {
	var engines []*model.Engine
	for range n {
		e, err := model.Start("127.0.0.1:0", options)
		if err != nil {
			return engines, err
		}
		engines = append(engines, e)
	}
	return engines, nil
}

func (f *Fleet) startNodes(ctx context.Context) error {
	ports, err := FreePorts(2 * f.size.Nodes)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(f.size.Nodes, 3) {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", ports[2*i]))
	}
	for i := range f.size.Nodes {
		file := NodeSettings{
			Name: fmt.Sprintf("node-%d", i+1), Domain: Domain(i), PeerPort: ports[2*i], HTTPPort: ports[2*i+1],
			Seeds: seeds, Platform: f.platform.URL(), AddressLifetime: f.size.AddressLifetime, Heartbeat: f.size.Heartbeat,
		}
		settings, err := setup.Parse(file.Name+".ini", file.INI())
		if err != nil {
			return err
		}
		n, err := node.New(settings, f.logger.With(zap.String("node", settings.Name())))
		if err != nil {
			return err
		}
		nodeCtx, cancel := context.WithCancel(ctx)
		running := &runningNode{
			name: settings.Name(), httpAddress: settings.HTTPAddress(), node: n, cancel: cancel, done: make(chan error, 1),
		}
		f.nodes = append(f.nodes, running)
		go func() { running.done <- n.Run(nodeCtx) }()
	}
	return nil
}

// INI returns the settings file in INI format.
func (n NodeSettings) INI() []byte {
	lifetime, heartbeat := n.AddressLifetime, n.Heartbeat
	if lifetime == 0 {
		lifetime = defaultAddressLifetime
	}
	if heartbeat == 0 {
		heartbeat = time.Second
	}
	region := n.Region
	if region == "" {
		region = "main"
	}
	return fmt.Appendf(nil, `[node]
name = %s
domain = %s
region = %s
profile = %t
[listen]
ip = 127.0.0.1
peer_port = %d
http_port = %d
advertised_peer = %s
[peers]
seeds = %s
[platform]
url = %s
[timing]
address_lifetime = %s
heartbeat = %s
`, n.Name, n.Domain, region, n.Profile, n.PeerPort, n.HTTPPort, n.Advertised, strings.Join(n.Seeds, ","), n.Platform, lifetime, heartbeat)
}

// FreePorts returns n loopback ports on which no process is listening. They are
// below the range of ephemeral ports, so no outgoing connection can occupy one.
func FreePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for port := minPort + rand.IntN(firstPortSpread); len(ports) < n; port++ {
		if port >= portLimit {
			port = minPort
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, fmt.Errorf("finding a free port: %w", err)
		}
		ports = append(ports, port)
	}
	return ports, nil
}
