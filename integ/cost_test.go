package integ

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
)

const (
	costSettleTime  = 8 * time.Second
	costMeasureTime = 10 * time.Second
	// metricsLag is the delay until counts appear in the metrics.
	metricsLag = 6 * time.Second
)

// hostUsage is the total resource use of a site's hosts.
type hostUsage struct {
	cpu, rss, wakeUps float64
	// calls and bytes count calls between hosts and their bytes, by kind of call.
	calls, bytes map[string]float64
}

// BenchmarkEdgeCost measures what an idle edge host costs, mainly its calls to other
// hosts, as the site grows, with the store available, unresponsive and refusing
// calls. It writes docs/figures/edge_cost.txt.
func BenchmarkEdgeCost(b *testing.B) {
	var table strings.Builder
	table.WriteString("for each host, without load\n")
	table.WriteString("hosts store percent_of_core MB wake_ups/s peer_calls/s peer_KB/s kinds(calls/s)\n")
	for range b.N {
		for _, hosts := range []int{6, 12, 24, 48} {
			b.Run(strconv.Itoa(hosts), func(b *testing.B) { measureCost(b, hosts, &table) })
		}
	}
	writeFigureText(b, "edge_cost", table.String())
}

func measureCost(b *testing.B, hosts int, table *strings.Builder) {
	s := newSite(b, hosts, 5*time.Minute)
	for _, phase := range []struct {
		name   string
		faults memory.Faults
	}{{"there", memory.Faults{}}, {"silent", memory.Faults{Unresponsive: true}}, {"refuses", memory.Faults{Refuse: true}}} {
		s.store.Memory.SetFaults(phase.faults)
		time.Sleep(costSettleTime)
		before, start := s.totalUsage(), time.Now()
		time.Sleep(costMeasureTime)
		after, wall := s.totalUsage(), time.Since(start).Seconds()
		perHostSecond := func(after, before float64) float64 { return (after - before) / wall / float64(hosts) }
		calls, bytes, kinds := 0.0, 0.0, []string{}
		for kind, n := range after.calls {
			calls += perHostSecond(n, before.calls[kind])
			bytes += perHostSecond(after.bytes[kind], before.bytes[kind])
			if r := perHostSecond(n, before.calls[kind]); r > 0 {
				kinds = append(kinds, fmt.Sprintf("%s=%.2f", kind, r))
			}
		}
		fmt.Fprintf(table, "%d %s %.2f %.1f %.0f %.2f %.2f %s\n", hosts, phase.name, 100*perHostSecond(after.cpu, before.cpu),
			after.rss/float64(hosts), perHostSecond(after.wakeUps, before.wakeUps), calls, bytes/1000, strings.Join(kinds, " "))
	}
	b.ReportMetric(0, "ns/op")
}

// totalUsage returns the total use of all hosts so far.
func (s *site) totalUsage() hostUsage {
	c := hostUsage{calls: make(map[string]float64), bytes: make(map[string]float64)}
	time.Sleep(metricsLag)
	for _, h := range s.hosts {
		pid := h.cmd.Process.Pid
		c.cpu += cpuSeconds(pid)
		c.rss += residentMB(pid)
		c.wakeUps += wakeUps(pid)
		_, text := s.send("GET", h.adminAddress, "/metrics", "", nil)
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				continue
			}
			if kind, ok := strings.CutPrefix(name, `currantloft_peer_calls{kind="`); ok {
				c.calls[strings.TrimSuffix(kind, `"}`)] += n
			}
			if kind, ok := strings.CutPrefix(name, `currantloft_peer_bytes{kind="`); ok {
				c.bytes[strings.TrimSuffix(kind, `"}`)] += n
			}
		}
	}
	return c
}

// wakeUps returns how often the threads of a process have blocked and been woken
// again.
func wakeUps(pid int) float64 {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil {
		return 0
	}
	total := 0.0
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			// The thread has exited.
			continue
		}
		for line := range strings.Lines(string(text)) {
			if value, ok := strings.CutPrefix(line, "voluntary_ctxt_switches:"); ok {
				n, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
				total += n
			}
		}
	}
	return total
}
