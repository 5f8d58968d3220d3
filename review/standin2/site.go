package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
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

const (
	hostname   = "portal.example"
	batchPath  = "/rollout/"
	enginePool = "lm-pool"
	// memoryMB is limits.memory_mb of an edge machine on the sheet of cascade-commons.
	memoryMB = 134
	// faultEnds is how many ends of its own make a machine count for the rule Fault, and
	// faultMachines the least number of such machines.
	faultEnds, faultMachines = 3, 2
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	callTimeout  = 5 * time.Second

	callersPort  = 8161
	readyPort    = 8162
	resolverPort = 8163
	peerPort     = 8164
)

type (
	// record is the record of a case: what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}

	// machine is one edge machine with its process.
	machine struct {
		name, ip, settings string
		program            string
		arguments          []string
		output             *os.File

		mu sync.Mutex
		// gone machines are not started again.
		gone    bool
		cmd     *exec.Cmd
		done    chan struct{}
		peakMB  int
		ownEnds int
	}

	// site is a small deployment: a store, samplers and edge machines.
	site struct {
		ctx      context.Context
		root     string
		record   *record
		store    *fake.Store
		engines  []*fake.Engine
		machines []*machine
		client   *http.Client
		tasks    sync.WaitGroup
	}
)

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) close() { _ = r.file.Close() }

// printf adds a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written leaves the exit code.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployCommand returns the program and the arguments of a role of the deploy file.
func deployCommand(root, role string) (program string, arguments []string, err error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return "", nil, err
	}
	inRole := false
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles."+role+"]"
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && inRole {
			words := strings.Fields(strings.Trim(value, `"`))
			return filepath.Join(root, words[0]), words[1:], nil
		}
	}
	return "", nil, fmt.Errorf("the deploy file has no role %s", role)
}

// newSite starts a store, samplers and edge machines, and waits until all are ready.
func newSite(ctx context.Context, rec *record, root, dir string, machines int, config map[string]any, engines []fake.EngineOptions) (*site, error) {
	s := &site{
		ctx: ctx, root: root, record: rec, store: fake.StartStore(),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, options := range engines {
		e, err := fake.StartEngine(s.store, options)
		if err != nil {
			return s, err
		}
		s.engines = append(s.engines, e)
	}
	spec, err := json.Marshal(config)
	if err != nil {
		return s, err
	}
	if _, err := s.store.Memory.Create(ctx, "config", "main", spec); err != nil {
		return s, err
	}
	program, arguments, err := deployCommand(root, "edge")
	if err != nil {
		return s, err
	}
	subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(230), 1+rand.IntN(250))
	for i := range machines {
		m := &machine{
			name: machineName(i), ip: fmt.Sprintf("%s.%d", subnet, i+1), program: program, arguments: arguments,
		}
		m.settings = filepath.Join(dir, m.name+".conf")
		if err := os.WriteFile(m.settings, []byte(s.settingsOf(m, i)), 0o600); err != nil {
			return s, err
		}
		if m.output, err = os.Create(filepath.Join(dir, m.name+".log")); err != nil {
			return s, err
		}
		s.machines = append(s.machines, m)
		if err := s.start(m); err != nil {
			return s, err
		}
	}
	return s, s.await("all machines are ready", 20*time.Second, func() bool {
		for _, m := range s.machines {
			if status, _ := s.call(http.MethodGet, m.address(readyPort), "/currantloft/readyz", nil, nil); status != http.StatusOK || s.known(m) != machines {
				return false
			}
		}
		return true
	})
}

func machineName(i int) string { return fmt.Sprintf("edge-%d", i) }

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settingsOf returns the settings that the pages show for an edge machine of cascade-commons.
func (s *site) settingsOf(m *machine, i int) string {
	return fmt.Sprintf(`node_name=%[1]s
role=edge
machine_class=edge
serves=edge,registry
ip=%[2]s
zone=hall-%[3]d
region=pnw
listen.frontend=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
listen.registry=%[2]s:%[6]d
internal_ports=%[7]d,%[8]d
bootstrap=true
in_tolerance=false
limits.cpu_quota=0.4
limits.cpu_cores=1
limits.memory_mb=%[9]d
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=registry
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.recover_s=12
bounds.status_s=120
bounds.cancel_ms=3000
bounds.settle_ms=1000
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.ttl_max_s=5
platform.address=%[10]s
platform.form=objects
platform.value_bytes=1048576
`, m.name, m.ip, i%4, callersPort, readyPort, resolverPort, peerPort, peerPort+15, memoryMB, s.store.Address())
}

// start starts a machine's process, and starts it again after each end of its own.
func (s *site) start(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || s.ctx.Err() != nil {
		return nil
	}
	cmd, done := exec.Command(m.program, m.arguments...), make(chan struct{})
	cmd.Dir = s.root
	// The platform's machines report one core.
	cmd.Env = []string{"GOMAXPROCS=1", "CURRANTLOFT_SETTINGS=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = m.output, m.output
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done = cmd, done
	s.record.printf("%s starts as process %d", m.name, cmd.Process.Pid)
	s.tasks.Go(func() { s.watch(m, cmd, done) })
	return nil
}

// watch ends a process that exceeds the machine's memory, as the platform does, and starts it
// again after its end.
func (s *site) watch(m *machine, cmd *exec.Cmd, done chan struct{}) {
	go func() {
		// How the process ended is recorded below.
		_ = cmd.Wait()
		close(done)
	}()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			m.mu.Lock()
			gone := m.gone
			m.mu.Unlock()
			if gone || s.ctx.Err() != nil {
				return
			}
			s.record.printf("%s has ended: %v", m.name, cmd.ProcessState)
			time.Sleep(restartDelay)
			if err := s.start(m); err != nil {
				s.record.printf("%s can't be started: %v", m.name, err)
			}
			return
		case <-ticker.C:
		}
		used := anonymousMB(cmd.Process.Pid)
		m.mu.Lock()
		m.peakMB = max(m.peakMB, used)
		over := used > memoryMB && !m.gone
		if over {
			m.ownEnds++
		}
		m.mu.Unlock()
		if over {
			s.record.printf("%s takes %d MB, over its memory_mb of %d: the platform kills it", m.name, used, memoryMB)
			_ = cmd.Process.Kill()
			<-done
		}
	}
}

// anonymousMB returns the anonymous resident memory of a process, without the pages of its
// program file.
func anonymousMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// kill ends a machine's process with SIGKILL. If the machine is gone for good, the process is
// not started again.
func (s *site) kill(m *machine, gone bool) {
	m.mu.Lock()
	m.gone = gone
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	s.record.printf("SIGKILL to %s, gone for good: %t", m.name, gone)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// checkFault returns errBroken if processes have ended by themselves three times on a tenth of
// the machines in use, two at least. Machines that the case has removed don't count.
func (s *site) checkFault() error {
	ended, inUse := 0, 0
	for _, m := range s.machines {
		m.mu.Lock()
		s.record.printf("%s: removed by the case %t, peak of %d MB, %d ends of its own", m.name, m.gone, m.peakMB, m.ownEnds)
		if !m.gone {
			inUse++
			if m.ownEnds >= faultEnds {
				ended++
			}
		}
		m.mu.Unlock()
	}
	s.record.printf("%d of %d machines in use have ended by themselves %d times or more", ended, inUse, faultEnds)
	if ended >= max(faultMachines, (inUse+9)/10) {
		return errBroken
	}
	return nil
}

// close ends all processes that the site has started.
func (s *site) close() {
	for _, m := range s.machines {
		m.mu.Lock()
		started := m.cmd != nil
		m.mu.Unlock()
		if started {
			s.kill(m, true)
		}
		_ = m.output.Close()
	}
	s.tasks.Wait()
	for _, e := range s.engines {
		e.Close()
	}
	s.store.Close()
}

// await polls until the condition holds.
func (s *site) await(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && s.ctx.Err() == nil; time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// known returns how many addresses a machine tells callers.
func (s *site) known(m *machine) int {
	status, body := s.call(http.MethodGet, m.address(resolverPort), "/currantloft/resolve?name="+hostname, nil, nil)
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return 0
	}
	return len(answer.Addresses)
}

// call makes one call; status 0 means that there was no complete answer.
func (s *site) call(method, address, target string, header map[string]string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = hostname
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
