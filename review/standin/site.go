package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantloft/currantloft/platform/fake"
)

const (
	deployFile   = "deploy/system.toml"
	hostname     = "portal.example"
	readyTimeout = 20 * time.Second
	// settleTime is longer than contact_ms (3,000), so that all machines are in touch, and
	// long enough for hosts to know each other.
	settleTime = 4 * time.Second
	// firstPort is below the range from which the system takes ports of outgoing
	// connections.
	firstPort = 21000
	// edgeCount is the number of edge machines, storeCount that of storage machines.
	edgeCount, storeCount = 2, 1
)

type (
	// site is a small deployment with its stand-ins.
	site struct {
		record   *record
		dir      string
		store    *fake.Store
		edges    []*process
		stores   []*process
		samplers []*sampler
		closing  sync.Once
	}

	// process is one machine with one role of the deploy file.
	process struct {
		name, ip                  string
		frontend, ready, registry string
		arguments                 []string
		settings, log             string
		mu                        sync.Mutex
		cmd                       *exec.Cmd
		done                      chan struct{}
	}
)

// newSite starts an empty store and makes a folder for the processes' files.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("making a folder: %w", err)
	}
	return &site{record: r, dir: dir, store: fake.StartStore()}, nil
}

// Close ends all processes and stand-ins.
func (s *site) Close() {
	s.closing.Do(func() {
		for _, p := range append(append([]*process(nil), s.edges...), s.stores...) {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.ended()
		}
		for _, e := range s.samplers {
			e.Close()
		}
		s.store.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.dir)
		} else {
			s.record.printf("files are kept in %s", s.dir)
		}
	})
}

// put writes an object as the operator or a sampler does.
func (s *site) put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encoding %s/%s: %w", kind, name, err)
	}
	ctx := context.Background()
	if _, err = s.store.Memory.Replace(ctx, kind, name, raw, 0); err != nil {
		_, err = s.store.Memory.Create(ctx, kind, name, raw)
	}
	return err
}

// start writes the desired state and starts the machines, and waits until they are ready
// and in touch.
func (s *site) start(config map[string]any) error {
	if err := s.put("config", "main", config); err != nil {
		return err
	}
	subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range edgeCount {
		p, err := s.newProcess("edge", fmt.Sprintf("edge-a-%d", i+1), fmt.Sprintf("%s.%d", subnet, i+1))
		if err != nil {
			return err
		}
		s.edges = append(s.edges, p)
	}
	for i := range storeCount {
		p, err := s.newProcess("store", fmt.Sprintf("store-a-%d", i+1), fmt.Sprintf("%s.%d", subnet, 100+i))
		if err != nil {
			return err
		}
		s.stores = append(s.stores, p)
	}
	for _, p := range append(append([]*process(nil), s.edges...), s.stores...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, p := range s.edges {
		for !isReady(p.ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %s", p.name, p.lastLog())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	s.record.printf("%d edge machines are ready and in touch", len(s.edges))
	return nil
}

func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/currantloft/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// command returns the command of a role in the deploy file.
func command(role string) ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, fmt.Errorf("reading the deploy file: %w", err)
	}
	_, section, _ := strings.Cut(string(text), "[roles."+role+"]")
	_, line, found := strings.Cut(section, "run = \"")
	line, _, _ = strings.Cut(line, "\"")
	if !found || line == "" {
		return nil, fmt.Errorf("the deploy file has no command of the role %s", role)
	}
	return strings.Fields(line), nil
}

// newProcess chooses free ports and writes the settings of a machine.
func (s *site) newProcess(role, name, ip string) (*process, error) {
	arguments, err := command(role)
	if err != nil {
		return nil, err
	}
	base, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	address := func(n int) string { return fmt.Sprintf("%s:%d", ip, base+n) }
	p := &process{
		name: name, ip: ip, arguments: arguments, frontend: address(0), ready: address(1), registry: address(2),
		settings: filepath.Join(s.dir, name+".conf"), log: filepath.Join(s.dir, name+".log"),
	}
	lines := []string{
		"node_name=" + name, "role=" + role, "ip=" + ip, "zone=hall-a", "region=pnw", "zones.hall-a=pnw",
		fmt.Sprintf("internal_ports=%d,%d", base+10, base+25), "bootstrap=true", "in_tolerance=false",
		"limits.cpu_quota=0.4", "limits.cpu_cores=1", "limits.memory_mb=134", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"discovery=platform", "entry=registry", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform",
		"bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=8",
		"bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.recover_s=12",
		"bounds.status_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000", "bounds.fencing_enforced=false",
		"bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.ttl_max_s=5",
		"platform.address=" + s.store.Address(), "platform.form=objects", "platform.value_bytes=1048576",
	}
	if role == "edge" {
		lines = append(lines, "machine_class=edge", "serves=edge,registry", "listen.frontend="+p.frontend, "listen.ready="+p.ready, "listen.registry="+p.registry)
	} else {
		lines = append(lines, "machine_class=storage", "serves=storage")
	}
	if err := os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("writing settings: %w", err)
	}
	return p, nil
}

// freePorts returns the first of a range of ports of which the first ones are free.
func freePorts(ip string) (int, error) {
	for range 50 {
		base := firstPort + 40*rand.IntN(250)
		if portsAreFree(ip, base, base+1, base+2, base+10) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsAreFree(ip string, ports ...int) bool {
	for _, port := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts the process.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening a log: %w", err)
	}
	defer log.Close()
	cmd, done := exec.Command(p.arguments[0], p.arguments[1:]...), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTLOFT_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.name, err)
	}
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		// How it ended does not matter to a case.
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// ended returns a channel that is closed once the process has ended.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	return p.done
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		// It has no effect on a process that has ended.
		_ = p.cmd.Process.Signal(sig)
	}
}

// lastLog returns the end of the process's log.
func (p *process) lastLog() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	const most = 1000
	return string(text[max(0, len(text)-most):])
}
