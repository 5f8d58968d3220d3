package demo

import (
	"context"
	"errors"
	"fmt"
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
	}

	// Fleet is a set of nodes and stand-ins in this process.
	Fleet struct {
		size     Size
		platform *objapi.Platform
		samplers []*model.Engine
		quotes   []*model.Engine
		plains   []*plain.Service
		scorer   *score.Scorer
		nodes    []*runningNode
		logger   *zap.Logger
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
	f := &Fleet{size: size, logger: logger}
	if err := f.startStandIns(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if err := f.startNodes(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Platform returns the stand-in of the object API.
func (f *Fleet) Platform() *objapi.Platform { return f.platform }

// Samplers returns the engines of the rollout pool.
func (f *Fleet) Samplers() []*model.Engine { return f.samplers }

// Quotes returns the engines of the interactive pool.
func (f *Fleet) Quotes() []*model.Engine { return f.quotes }

// Plains returns the plain services.
func (f *Fleet) Plains() []*plain.Service { return f.plains }

// Scorer returns the scoring service.
func (f *Fleet) Scorer() *score.Scorer { return f.scorer }

// URLs returns the base addresses of all nodes.
func (f *Fleet) URLs() []string {
	urls := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		urls = append(urls, "http://"+n.http)
	}
	return urls
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
	for _, e := range append(f.samplers, f.quotes...) {
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
	return errors.Join(failed...)
}

func (f *Fleet) startStandIns() (err error) {
	if f.platform, err = objapi.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if f.scorer, err = score.Start("127.0.0.1:0", scoreDelay); err != nil {
		return err
	}
	if f.samplers, err = startEngines(f.size.Samplers, f.size.Engine); err != nil {
		return err
	}
	if f.quotes, err = startEngines(f.size.Quotes, f.size.Engine); err != nil {
		return err
	}
	for range f.size.Plains {
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
		text := f.nodeINI(i, ports[2*i], ports[2*i+1], seeds)
		settings, err := setup.Parse(fmt.Sprintf("node-%d.ini", i+1), []byte(text))
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

func (f *Fleet) nodeINI(i, peerPort, httpPort int, seeds []string) string {
	lifetime, heartbeat := f.size.Lifetime, f.size.Heartbeat
	if lifetime == 0 {
		lifetime = 500 * time.Millisecond
	}
	if heartbeat == 0 {
		heartbeat = time.Second
	}
	return fmt.Sprintf(`[node]
name = node-%d
domain = %s
[listen]
ip = 127.0.0.1
peer_port = %d
http_port = %d
[peers]
seeds = %s
[platform]
url = %s
[timing]
address_lifetime = %s
heartbeat = %s
`, i+1, Domain(i), peerPort, httpPort, strings.Join(seeds, ","), f.platform.URL(), lifetime, heartbeat)
}

// FreePorts returns loopback ports that nobody listens on now.
func FreePorts(n int) ([]int, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	ports := make([]int, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("finding a free port: %w", err)
		}
		listeners = append(listeners, l)
		address, ok := l.Addr().(*net.TCPAddr)
		if !ok {
			return nil, fmt.Errorf("unexpected address %s", l.Addr())
		}
		ports = append(ports, address.Port)
	}
	return ports, nil
}
