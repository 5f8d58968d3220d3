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

	defaultLifetime = 500 * time.Millisecond

	firstPort = 10_000
	lastPort  = 30_000
	portRange = 15_000
)

type (
	// Size says how much a fleet has of each kind.
	Size struct {
		// Nodes, Samplers, Quotes and Plains count processes.
		Nodes int
		// Samplers counts endpoints of the rollout pool.
		Samplers int
		// Quotes counts endpoints of the interactive pool.
		Quotes int
		// Plains counts endpoints of the plain service.
		Plains int
		// Lifetime is how long callers keep an address answer.
		Lifetime time.Duration
		// Heartbeat is the nodes' heartbeat interval.
		Heartbeat time.Duration
		// Engine is what the samplers are like.
		Engine model.Options
		// Domains and Regions say how the nodes spread, 0 for four and one.
		Domains int
		// Regions is the number of regions.
		Regions int
	}

	// StandIns are the outside systems of a fleet.
	StandIns struct {
		platform *objapi.Platform
		samplers []*model.Engine
		quotes   []*model.Engine
		plains   []*plain.Service
		scorer   *score.Scorer
	}

	// Fleet is a set of nodes and stand-ins in this process.
	Fleet struct {
		*StandIns
		size   Size
		nodes  []*runningNode
		logger *zap.Logger
	}

	// NodeFile is what a node's settings file says.
	NodeFile struct {
		// Name is the node's name.
		Name string
		// Domain is its failure domain.
		Domain string
		// Region is its region, empty for the only one.
		Region string
		// PeerPort and HTTPPort are its ports on 127.0.0.1.
		PeerPort int
		// HTTPPort is the port for callers.
		HTTPPort int
		// Advertised is the peer address that others are told, empty for its own.
		Advertised string
		// Seeds are peer addresses.
		Seeds []string
		// Platform is the base address of the object API.
		Platform string
		// Profile lets the node serve profiles of itself.
		Profile bool
		// Lifetime is how long callers keep an address answer, 0 for 500 ms.
		Lifetime time.Duration
		// Heartbeat is the heartbeat interval, 0 for 1 s.
		Heartbeat time.Duration
	}

	runningNode struct {
		name   string
		http   string
		node   *node.Node
		cancel context.CancelFunc
		done   chan error
	}
)

// StartFleet starts the stand-ins and the nodes.
func StartFleet(ctx context.Context, size Size, logger *zap.Logger) (*Fleet, error) {
	stands, err := StartStandIns(size)
	if err != nil {
		return nil, err
	}
	f := &Fleet{StandIns: stands, size: size, logger: logger}
	if err := f.startNodes(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// StartStandIns starts the outside systems of a fleet.
func StartStandIns(size Size) (*StandIns, error) {
	s := &StandIns{}
	if err := s.start(size); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Platform returns the stand-in of the object API.
func (s *StandIns) Platform() *objapi.Platform { return s.platform }

// Samplers returns the engines of the rollout pool.
func (s *StandIns) Samplers() []*model.Engine { return s.samplers }

// Quotes returns the engines of the interactive pool.
func (s *StandIns) Quotes() []*model.Engine { return s.quotes }

// Plains returns the plain services.
func (s *StandIns) Plains() []*plain.Service { return s.plains }

// Scorer returns the scoring service.
func (s *StandIns) Scorer() *score.Scorer { return s.scorer }

// URLs returns the base addresses of all nodes.
func (f *Fleet) URLs() []string {
	urls := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		urls = append(urls, "http://"+n.http)
	}
	return urls
}

// DomainOf returns the failure domain of the i-th node.
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

// Domain returns the failure domain of the i-th thing of a kind.
func Domain(i int) string { return domains[i%len(domains) : i%len(domains)+1] }

// Close stops all nodes, one beside the other, and then the stand-ins.
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
	f.StandIns.Close()
	return errors.Join(failed...)
}

// Close stops the stand-ins.
func (s *StandIns) Close() {
	for _, e := range s.samplers {
		e.Close()
	}
	for _, e := range s.quotes {
		e.Close()
	}
	for _, p := range s.plains {
		p.Close()
	}
	if s.scorer != nil {
		s.scorer.Close()
	}
	if s.platform != nil {
		s.platform.Close()
	}
}

func (s *StandIns) start(size Size) (err error) {
	if s.platform, err = objapi.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if s.scorer, err = score.Start("127.0.0.1:0", scoreDelay); err != nil {
		return err
	}
	if s.samplers, err = startEngines(size.Samplers, size.Engine); err != nil {
		return err
	}
	if s.quotes, err = startEngines(size.Quotes, size.Engine); err != nil {
		return err
	}
	for range size.Plains {
		service, err := plain.Start("127.0.0.1:0", plainDelay)
		if err != nil {
			return err
		}
		s.plains = append(s.plains, service)
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
		file := NodeFile{
			Name: fmt.Sprintf("node-%d", i+1), Domain: Domain(i), PeerPort: ports[2*i], HTTPPort: ports[2*i+1],
			Seeds: seeds, Platform: f.platform.URL(), Lifetime: f.size.Lifetime, Heartbeat: f.size.Heartbeat,
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
			name: settings.Name(), http: settings.HTTPAddress(), node: n, cancel: cancel, done: make(chan error, 1),
		}
		f.nodes = append(f.nodes, running)
		go func() { running.done <- n.Run(nodeCtx) }()
	}
	return nil
}

// INI returns the settings as a file.
func (n NodeFile) INI() []byte {
	lifetime, heartbeat := n.Lifetime, n.Heartbeat
	if lifetime == 0 {
		lifetime = defaultLifetime
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

// FreePorts returns loopback ports that nobody listens on now. They lie below
// the range that outgoing connections take their ports from.
func FreePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for port := firstPort + rand.IntN(portRange); len(ports) < n; port++ {
		if port >= lastPort {
			port = firstPort
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
