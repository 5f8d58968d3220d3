package integ

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/demo"
)

const testTimeout = 25 * time.Second

var binaryPath string

type (
	// process is one node that runs as a real process, with a proxy between it and
	// the platform and a proxy in front of its peer port.
	process struct {
		name          string
		url           string
		ini           string
		log           string
		cmd           *exec.Cmd
		platformProxy *toxiproxy.Proxy
		peerProxy     *toxiproxy.Proxy
		done          chan error
	}

	// fleet is a set of real node processes with a fake platform and fake endpoints.
	fleet struct {
		*demo.Fakes
		t          testing.TB
		ctx        context.Context
		nodes      []*process
		client     *caller.Client
		generation uint64
	}
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "currantloft")
	if err != nil {
		panic(err)
	}
	binaryPath = filepath.Join(dir, "currantloft")
	arguments := []string{"build", "-o", binaryPath}
	if os.Getenv("CURRANTLOFT_RACE") != "" {
		arguments = append(arguments, "-race")
	}
	build := exec.Command("go", append(arguments, "..")...)
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building: %v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startFleet starts fakes and node processes and waits until all nodes answer.
func startFleet(t *testing.T, size demo.Size) *fleet {
	t.Helper()
	return newFleet(t, size, testTimeout)
}

// newFleet is startFleet for tests and benchmarks, with a time limit of its own.
func newFleet(t testing.TB, size demo.Size, limit time.Duration) *fleet {
	t.Helper()
	return buildFleet(t, size, limit, true)
}

// newUnproxiedFleet is newFleet without proxies, to measure the cost of the nodes
// alone.
func newUnproxiedFleet(t testing.TB, size demo.Size, limit time.Duration) *fleet {
	t.Helper()
	return buildFleet(t, size, limit, false)
}

func buildFleet(t testing.TB, size demo.Size, limit time.Duration, proxied bool) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	fakes, err := demo.StartFakes(size)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fakes.Close)
	f := &fleet{Fakes: fakes, t: t, ctx: ctx}
	ports, err := demo.FreePorts(2 * size.Nodes)
	if err != nil {
		t.Fatal(err)
	}
	var seeds []string
	for i := range min(2, size.Nodes) {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", ports[2*i]))
	}
	dir := t.TempDir()
	for i := range size.Nodes {
		f.addNode(dir, proxied, demo.NodeSettings{
			Name: fmt.Sprintf("node-%d", i+1), Domain: size.DomainOf(i), Region: size.RegionOf(i), PeerPort: ports[2*i], HTTPPort: ports[2*i+1],
			Seeds: seeds, AddressLifetime: size.AddressLifetime, Heartbeat: size.Heartbeat,
			Profile: os.Getenv("CURRANTLOFT_PROFILE") != "",
		})
	}
	f.client = caller.New(f.urls(), "a")
	t.Cleanup(f.client.Close)
	for _, n := range f.nodes {
		f.awaitAnswer(n)
	}
	f.awaitMembers(size.Nodes)
	return f
}

func (f *fleet) addNode(dir string, proxied bool, settings demo.NodeSettings) {
	f.t.Helper()
	n := &process{
		name: settings.Name,
		url:  fmt.Sprintf("http://127.0.0.1:%d", settings.HTTPPort),
		ini:  filepath.Join(dir, settings.Name+".ini"),
		log:  filepath.Join(dir, settings.Name+".log"),
	}
	settings.Platform = f.Platform().URL()
	if proxied {
		n.platformProxy = f.newProxy(f.Platform().URL()[len("http://"):])
		n.peerProxy = f.newProxy(fmt.Sprintf("127.0.0.1:%d", settings.PeerPort))
		settings.Platform, settings.Advertised = "http://"+n.platformProxy.Listen, n.peerProxy.Listen
	}
	if err := os.WriteFile(n.ini, settings.INI(), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	f.start(n)
	f.t.Cleanup(func() { f.reap(n) })
}

// newProxy starts a proxy that forwards to an address.
func (f *fleet) newProxy(upstream string) *toxiproxy.Proxy {
	f.t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, upstream, "127.0.0.1:0", upstream)
	if err := proxy.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(proxy.Stop)
	return proxy
}

// start starts the node's process and appends its log to n.log.
func (f *fleet) start(n *process) {
	f.t.Helper()
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	n.cmd = exec.Command(binaryPath, "node", "-c", n.ini)
	n.cmd.Stderr = log
	if err := n.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	n.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(n.cmd, n.done)
}

// reap kills the process at the end of a test and logs its output on failure.
func (f *fleet) reap(n *process) {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.done
	text, _ := os.ReadFile(n.log)
	if strings.Contains(string(text), "DATA RACE") || strings.Contains(string(text), "panic:") {
		f.t.Errorf("%s: data race or panic in its log", n.name)
	}
	if f.t.Failed() {
		f.t.Logf("%s:\n%s", n.name, text)
	}
}

func (n *process) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL, as kill -9 does.
func (f *fleet) kill(n *process) {
	n.signal(syscall.SIGKILL)
	err := <-n.done
	n.done <- err
}

// awaitExit waits until the process has exited and returns its error.
func (f *fleet) awaitExit(n *process) error {
	f.t.Helper()
	select {
	case err := <-n.done:
		n.done <- err
		return err
	case <-f.ctx.Done():
		f.t.Fatalf("%s did not exit within the time limit", n.name)
		return nil
	}
}

func (f *fleet) urls() []string {
	urls := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		urls = append(urls, n.url)
	}
	return urls
}

func (f *fleet) awaitAnswer(n *process) {
	f.t.Helper()
	f.eventually(n.name+" answers", func() bool {
		_, err := f.client.Status(f.ctx, n.url)
		return err == nil
	})
}

// eventually polls until the condition holds or the test's time limit is reached.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-f.ctx.Done():
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// apply applies a declaration and waits until it is in force at every node.
func (f *fleet) apply(d demo.Declaration) {
	f.t.Helper()
	request := active.Request{OperationID: fmt.Sprintf("op-%d", f.generation+1), Base: f.generation, Files: f.Files(d)}
	applied, err := f.client.Apply(f.ctx, f.nodes[0].url, request)
	if err != nil {
		f.t.Fatal(err)
	}
	f.generation = applied.Generation
	if _, err := f.client.AwaitGeneration(f.ctx, f.urls(), f.generation); err != nil {
		f.t.Fatal(err)
	}
}

// keeperOf waits until a node owns the trainer's step and returns that node, the
// step's keeper.
func (f *fleet) keeperOf(step uint64) *process {
	f.t.Helper()
	var keeper *process
	f.eventually(fmt.Sprintf("a node owns step %d", step), func() bool {
		for _, n := range f.nodes {
			if f.dumpState(n).currentStep(trainer) == step {
				keeper = n
				return true
			}
		}
		return false
	})
	return keeper
}

// awaitMembers waits until each node reports the given number of alive members.
func (f *fleet) awaitMembers(alive int) {
	f.t.Helper()
	for _, n := range f.nodes {
		f.eventually(fmt.Sprintf("%s reports %d alive members", n.name, alive), func() bool {
			status, err := f.client.Status(f.ctx, n.url)
			reported := 0
			for _, m := range status.Members {
				if m.State == "alive" {
					reported++
				}
			}
			return err == nil && reported == alive
		})
	}
}
