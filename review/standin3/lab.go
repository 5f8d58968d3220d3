package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantloft/currantloft/platform/fake"
)

// Ports of each host, on a loopback address of its own. They are below the range from which the
// system takes the ports of outgoing connections.
const (
	frontendPort = 8161
	readyPort    = 8162
	registryPort = 8163
	internalPort = 7300
)

const (
	hostname = "review.example"
	// pool is the service of models, portal the plain one.
	pool   = "lm-pool"
	portal = "tenant-portal"
	// contact is contact_ms of the settings, restartDelay how long the platform takes to start a
	// process again.
	contact       = 3 * time.Second
	restartDelay  = 500 * time.Millisecond
	memoryLimitMB = 134
	readyLimit    = 20 * time.Second
)

type (
	// lab is a small deployment: the store, samplers and hosts.
	lab struct {
		trouble bool
		began   time.Time
		folder  string
		subnet  string
		store   *fake.Store
		// bounds are further lines of the hosts' settings, which come last.
		bounds []string
		// oneCore makes the hosts use one processor, as the platform's machines have one.
		oneCore bool
		// bodyBytes is max_body_bytes of the desired state.
		bodyBytes int

		mu       sync.Mutex
		record   io.Writer
		hosts    []*host
		samplers []*sampler
	}

	// host is a process of the program under review.
	host struct {
		lab      *lab
		name, ip string
		settings string
		command  []string

		mu   sync.Mutex
		cmd  *exec.Cmd
		done chan struct{}
	}
)

// newLab starts the store of a deployment without hosts.
func newLab(record io.Writer, trouble bool) (*lab, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, began: time.Now(), folder: folder, store: fake.StartStore(), record: record, bodyBytes: 1 << 20}
	l.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(230), 1+rand.IntN(250))
	l.logf("trouble %t, hosts at %s.1 and on, store at %s", trouble, l.subnet, l.store.Address())
	return l, nil
}

// logf adds a line to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...)
	if _, err := fmt.Fprintln(l.record, line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, h := range l.hosts {
		h.kill()
	}
	for _, s := range l.samplers {
		s.close()
	}
	l.store.Close()
	if err := os.RemoveAll(l.folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// put creates or replaces an object of the store, as the operator and the samplers do.
func (l *lab) put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	ctx := context.Background()
	if _, err = l.store.Memory.Replace(ctx, kind, name, raw, 0); err == nil {
		return nil
	}
	_, err = l.store.Memory.Create(ctx, kind, name, raw)
	return err
}

// route returns a route of the desired state.
func route(name, kind, service string, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": hostname, "path_prefix": "/" + name + "/", "route_type": kind, "service": service,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 400, "max_attempts": attempts, "priority": 1,
	}
}

// desire writes a desired state.
func (l *lab) desire(version int, tenants any, routes ...map[string]any) error {
	services := map[string]bool{}
	var list []map[string]any
	for _, r := range routes {
		if name := r["service"].(string); !services[name] {
			services[name] = true
			service := map[string]any{"name": name, "health_path": "/healthz", "max_conns": 500}
			if models := l.modelsOf(name); len(models) > 0 {
				service["engine"] = map[string]any{"slots": slots, "kv_capacity_tokens": 90000, "stride": 2, "models": models}
			}
			list = append(list, service)
		}
	}
	state := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": l.bodyBytes, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		state["tenants"] = tenants
	}
	l.logf("the operator writes desired state %d", version)
	return l.put("config", "main", state)
}

// modelsOf returns the models of a service's samplers.
func (l *lab) modelsOf(service string) []map[string]any {
	for _, s := range l.samplers {
		if s.service == service {
			return s.modelList()
		}
	}
	return nil
}

// startHosts starts edge hosts and waits until all are ready and list each other.
func (l *lab) startHosts(count int) error {
	for i := range count {
		h := &host{lab: l, name: fmt.Sprintf("edge-hall-%d", i+1), ip: fmt.Sprintf("%s.%d", l.subnet, i+1)}
		h.command = []string{"target/currantloft", "edge", "--admin-port", "9464"}
		h.settings = filepath.Join(l.folder, h.name+".conf")
		if err := os.WriteFile(h.settings, []byte(h.settingsText(i)), 0o600); err != nil {
			return err
		}
		l.hosts = append(l.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return l.awaitReady()
}

// awaitReady waits until all hosts are ready and list each other.
func (l *lab) awaitReady() error {
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range l.hosts {
			if h.ready() && len(h.addresses()) == len(l.hosts) {
				ready++
			}
		}
		if ready == len(l.hosts) {
			l.logf("all %d hosts are ready", ready)
			return nil
		}
	}
	return errors.New("the hosts did not become ready")
}

func (h *host) settingsText(i int) string {
	lines := []string{
		"node_name=" + h.name, "role=edge", "machine_class=edge", "serves=edge,registry", "ip=" + h.ip,
		"zone=hall-" + strconv.Itoa(i%2), "region=pnw", "zones.hall-0=pnw", "zones.hall-1=pnw",
		fmt.Sprintf("listen.frontend=%s:%d", h.ip, frontendPort), fmt.Sprintf("listen.ready=%s:%d", h.ip, readyPort),
		fmt.Sprintf("listen.registry=%s:%d", h.ip, registryPort), fmt.Sprintf("internal_ports=%d,%d", internalPort, internalPort+15),
		"bootstrap=true", "in_tolerance=false", "limits.cpu_quota=0.4", "limits.cpu_cores=1",
		"limits.memory_mb=" + strconv.Itoa(memoryLimitMB), "limits.max_fds=4100", "limits.link_mbps=1000", "limits.disk_mb=0",
		"discovery=platform", "entry=registry", "heartbeat_ms=1200",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.skew_max_ms=5000", "bounds.recover_s=12",
		"bounds.status_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000", "bounds.lease_ms=3000", "bounds.thaw_ms=300",
		"bounds.ttl_max_s=5", "platform.address=" + h.lab.store.Address(), "platform.form=objects", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	return strings.Join(append(lines, h.lab.bounds...), "\n") + "\n"
}

// start starts the host's process.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.lab.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(h.command[0], h.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CURRANTLOFT_SETTINGS=" + h.settings}
	if h.lab.oneCore {
		cmd.Env = append(cmd.Env, "GOMAXPROCS=1")
	}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	go func() {
		// The state of the process tells how it ended.
		_ = cmd.Wait()
		h.lab.logf("%s has ended: %v", h.name, cmd.ProcessState)
		close(done)
	}()
	h.lab.logf("%s is started, process %d", h.name, cmd.Process.Pid)
	return nil
}

// kill ends the host's process with SIGKILL and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// memoryMB returns the anonymous memory of the host's process, without the pages of its program.
func (h *host) memoryMB() float64 {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "RssAnon:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	n, err := strconv.Atoi(kilobytes)
	if err != nil {
		return 0
	}
	return float64(n) / 1024
}

// limitMemory ends the host's process whenever it takes more memory than its limit, and starts it
// again. It returns how often that was, and the most memory that was seen.
func (h *host) limitMemory(end time.Time) (ended int, most float64) {
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		used := h.memoryMB()
		most = max(most, used)
		if used <= memoryLimitMB {
			continue
		}
		h.lab.logf("%s takes %.0f MB, its limit is %d: the platform ends it", h.name, used, memoryLimitMB)
		h.kill()
		ended++
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			h.lab.logf("%s does not start: %v", h.name, err)
			return ended, most
		}
	}
	return ended, most
}

// judgeMemory judges how often each host was ended for its memory: three times on a tenth of the
// machines, two at least, is too often.
func (l *lab) judgeMemory(ended []int, most []float64) error {
	machines := 0
	for i, h := range l.hosts {
		l.logf("%s: most memory %.0f MB, ended %d times", h.name, most[i], ended[i])
		if ended[i] >= 3 {
			machines++
		}
	}
	l.logf("%d of %d machines were ended three times", machines, len(l.hosts))
	if machines >= 2 {
		return errBroken
	}
	return nil
}

var control = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether the host says that it is ready.
func (h *host) ready() bool {
	response, err := control.Get(fmt.Sprintf("http://%s:%d/currantloft/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// addresses returns the addresses that the host lists for requesters.
func (h *host) addresses() []string {
	response, err := control.Get(fmt.Sprintf("http://%s:%d/currantloft/resolve?name=%s&region=pnw&zone=hall-0", h.ip, registryPort, hostname))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&reply) != nil {
		return nil
	}
	return reply.Addresses
}

// frontend returns where requesters connect to the host.
func (h *host) frontend() string { return net.JoinHostPort(h.ip, strconv.Itoa(frontendPort)) }
