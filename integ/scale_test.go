package integ

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/plots"
)

const (
	figures       = "../docs/figures"
	targetNodes   = 320
	targetDomains = 11
	// minFitNodes is the size of the smallest fleet in the first fit. In a
	// smaller one a node has fewer watchers (nodes that send it heartbeats, see
	// package member) than in a fleet of targetNodes.
	minFitNodes      = 32
	targetRegions    = 4
	endpointsPerNode = 11
	ticksPerSecond   = 100
	settleTime       = 6 * time.Second
	measureTime      = 15 * time.Second
	changeCount      = 8
)

// nodeUsage is the resource use of the fleet's nodes: loopbackBytes counts all
// bytes on the loopback device, controlBytes those of heartbeats and facts.
type nodeUsage struct {
	cpu           float64
	rss           float64
	loopbackBytes float64
	controlBytes  float64
}

// BenchmarkControlScale measures what an idle node spends on the control plane as the
// number of nodes and endpoints grows, and how long a configuration change takes to be
// in force at all nodes. It writes docs/figures/control_*.
func BenchmarkControlScale(b *testing.B) {
	cpu := plots.New("control_cpu", "nodes", "percent of a core per node")
	rss := plots.New("control_memory", "nodes", "MB per node")
	bytes := plots.New("control_bytes", "nodes", "KB per second per node")
	inForce := plots.New("control_in_force", "nodes", "ms until the last node has a change in force")
	for range b.N {
		for _, nodes := range []int{8, 16, 32, 64} {
			b.Run(strconv.Itoa(nodes), func(b *testing.B) {
				measureScale(b, nodes, cpu, rss, bytes, inForce)
			})
		}
	}
	var fits strings.Builder
	fmt.Fprintf(&fits, "least squares over 32 and 64 nodes, and over all sizes, and their value at %d nodes\n", targetNodes)
	for _, f := range []*plots.Figure{cpu, rss, bytes, inForce} {
		if err := f.Write(figures); err != nil {
			b.Fatal(err)
		}
		fits.WriteString(f.Fits(minFitNodes, targetNodes))
		fits.WriteString("  all sizes: " + f.Fits(0, targetNodes))
	}
	writeFigureText(b, "control_fit", fits.String())
}

func measureScale(b *testing.B, nodes int, cpu, rss, bytes, inForce *plots.Figure) {
	f := startScale(b, nodes, endpointsPerNode*nodes)
	time.Sleep(settleTime)
	f.writeProfile(b, 15)
	idle := f.measureUsage(measureTime, func() {})
	x := float64(nodes)
	cpu.Add("idle", x, 100*idle.cpu)
	rss.Add("idle", x, idle.rss)
	bytes.Add("loopback, all headers", x, idle.loopbackBytes)
	bytes.Add("heartbeats and facts", x, idle.controlBytes)
	busy := f.measureUsage(measureTime, func() { f.applyRepeatedly(inForce, x) })
	cpu.Add(fmt.Sprintf("a change every %.1f s", (measureTime/changeCount).Seconds()), x, 100*busy.cpu)
	bytes.Add("with changes", x, busy.loopbackBytes)
	rss.Add("with changes", x, busy.rss)
	b.ReportMetric(100*idle.cpu, "%core/node")
	b.ReportMetric(idle.rss, "MB/node")
	b.ReportMetric(idle.loopbackBytes, "KB/s/node")
	b.ReportMetric(0, "ns/op")
}

// writeProfile writes a CPU profile of the first node if CURRANTLOFT_PROFILE names a
// folder.
func (f *fleet) writeProfile(b *testing.B, seconds int) {
	b.Helper()
	dir := os.Getenv("CURRANTLOFT_PROFILE")
	if dir == "" {
		return
	}
	response, err := http.Get(fmt.Sprintf("%s/debug/pprof/profile?seconds=%d", f.nodes[0].url, seconds))
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		b.Fatal(err)
	}
	if err := os.WriteFile(fmt.Sprintf("%s/cpu-%d.pprof", dir, len(f.nodes)), data, 0o600); err != nil {
		b.Fatal(err)
	}
}

// startScale starts a fleet with the target's number of domains and regions.
func startScale(b *testing.B, nodes, endpoints int) *fleet {
	b.Helper()
	f := newUnproxiedFleet(b, demo.Size{
		Nodes: nodes, Samplers: endpoints, Quotes: 1, Plains: 1, Engine: model.Options{Version: 1},
		Domains: targetDomains, Regions: targetRegions,
	}, 5*time.Minute)
	d := testDeclaration
	d.Domains = targetDomains
	request := active.Request{OperationID: "scale", Files: f.Files(d)}
	applied, err := f.client.Apply(f.ctx, f.nodes[0].url, request)
	if err != nil {
		b.Fatal(err)
	}
	f.generation = applied.Generation
	if _, err := f.client.AwaitGeneration(f.ctx, f.urls(), f.generation); err != nil {
		b.Fatal(err)
	}
	return f
}

// measureUsage returns the average use of a node while work runs, over d,
// with both byte counts in KB/s.
func (f *fleet) measureUsage(d time.Duration, work func()) nodeUsage {
	before, start := f.totalUsage(), time.Now()
	work()
	time.Sleep(d - time.Since(start))
	after, wall := f.totalUsage(), time.Since(start).Seconds()
	n := float64(len(f.nodes))
	return nodeUsage{
		cpu:           (after.cpu - before.cpu) / wall / n,
		rss:           after.rss / n,
		loopbackBytes: (after.loopbackBytes - before.loopbackBytes) / wall / n / 1000,
		controlBytes:  (after.controlBytes - before.controlBytes) / wall / n / 1000,
	}
}

func (f *fleet) totalUsage() nodeUsage {
	u := nodeUsage{loopbackBytes: loopbackBytes()}
	for _, n := range f.nodes {
		pid := n.cmd.Process.Pid
		u.cpu += cpuSeconds(pid)
		u.rss += residentMB(pid)
		control := f.dumpState(n).Control
		u.controlBytes += float64(control.SentBytes)
	}
	return u
}

// applyRepeatedly applies small changes and records how long each takes to be in force
// at all nodes.
func (f *fleet) applyRepeatedly(inForce *plots.Figure, x float64) {
	for i := range changeCount {
		start := time.Now()
		d := testDeclaration
		d.Domains = targetDomains
		d.MaxTokens = 100 + i
		request := active.Request{OperationID: fmt.Sprint("often-", i), Base: f.generation, Files: f.Files(d)}
		applied, err := f.client.Apply(f.ctx, f.nodes[i%len(f.nodes)].url, request)
		if err != nil {
			f.t.Fatal(err)
		}
		f.generation = applied.Generation
		last, err := f.client.AwaitGeneration(f.ctx, f.urls(), f.generation)
		if err != nil {
			f.t.Fatal(err)
		}
		inForce.Add("from the operator's call", x, millis(last.Sub(start)))
		time.Sleep(measureTime/changeCount - time.Since(start))
	}
}

// cpuSeconds returns the user and system CPU time of a process.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1000
		}
	}
	return 0
}

// loopbackBytes returns the bytes sent over the loopback device.
func loopbackBytes() float64 {
	text, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			sent, _ := strconv.ParseFloat(strings.Fields(value)[8], 64)
			return sent
		}
	}
	return 0
}
