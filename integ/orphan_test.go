package integ

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/memory"
	"github.com/currantloft/currantloft/platform/fake"
)

const (
	// orphanMemoryMB is limits.memory_mb of the settings. A host whose anonymous memory exceeds it is
	// killed and started again, as the platform does.
	orphanMemoryMB     = 134
	orphanRestartDelay = 500 * time.Millisecond
	// orphanQueueTime is max_queue_s of the batches, and orphanSlack what the items of a batch may take
	// longer to be listed: the skew of two clocks that hosts allow for, and the poll of a reader.
	orphanQueueTime = 40 * time.Second
	orphanSlack     = 10 * time.Second
	// orphanSeedsEnv is the environment variable for additional seeds: "FIRST-LAST", or "N" for N
	// random ones.
	orphanSeedsEnv = "CURRANTLOFT_ORPHANS"
)

type (
	// orphanCase is a set of hosts that lose some of them, with open batches and readers of bodies.
	orphanCase struct {
		hosts, removed, restarted int
		// batches is how many batches each host accepts, of items with bodies of the given size.
		batches, items, itemBytes int
		// readers is how many callers read bodies at each host that stays.
		readers int
		// inSeries removes or restarts hosts one after the other.
		inSeries bool
		// outage is how long the store is away after the loss of hosts.
		outage time.Duration
	}

	// orphanSite is a site whose hosts are limited to their memory.
	orphanSite struct {
		*site
		c orphanCase

		mu       sync.Mutex
		gone     map[*host]bool
		ends     map[*host]int
		peakMB   int
		stopped  chan struct{}
		watchers sync.WaitGroup
	}
)

// TestCrowdOfOrphanedBatches guards against hosts that exceed their memory since they take over batches
// or read them for callers, and against batches whose items are never listed.
func TestCrowdOfOrphanedBatches(t *testing.T) {
	for name, c := range map[string]orphanCase{
		"one large batch, read at all hosts": {hosts: 3, removed: 1, batches: 1, items: 60, itemBytes: 380 << 10, readers: 20},
		"a large batch a host":               {hosts: 8, removed: 6, batches: 1, items: 60, itemBytes: 380 << 10},
		"store away":                         {hosts: 4, removed: 2, batches: 1, items: 60, itemBytes: 380 << 10, readers: 5, outage: 6 * time.Second},
		"all restart":                        {hosts: 4, restarted: 4, batches: 3, items: 30, itemBytes: 160 << 10, readers: 2},
	} {
		t.Run(name, func(t *testing.T) { runOrphans(t, c) })
	}
	for _, seed := range orphanSeeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runOrphans(t, drawOrphans(seed)) })
	}
}

func orphanSeeds(t *testing.T) []uint64 {
	if text := os.Getenv(orphanSeedsEnv); text != "" {
		return parseSeeds(t, orphanSeedsEnv, text)
	}
	return []uint64{1}
}

// drawOrphans returns a random case.
func drawOrphans(seed uint64) orphanCase {
	r := rand.New(rand.NewPCG(seed, 0))
	c := orphanCase{hosts: 3 + r.IntN(6), inSeries: r.IntN(2) == 0, readers: []int{0, 2, 5, 20}[r.IntN(4)]}
	if r.IntN(2) == 0 {
		c.removed = 1 + r.IntN(c.hosts-2)
	} else {
		c.restarted = 1 + r.IntN(c.hosts)
	}
	if r.IntN(3) == 0 {
		c.outage = time.Duration(1+r.IntN(6)) * time.Second
	}
	// What a host accepts is from 2 MB to 31 MB, in batches from 0.4 MB on.
	total := (2 << 20) << r.IntN(4)
	c.batches = 1 << r.IntN(4)
	c.items = 8 * (1 + r.IntN(6))
	c.itemBytes = max(1<<10, total/c.batches/c.items)
	return c
}

func runOrphans(t *testing.T, c orphanCase) {
	t.Logf("%+v", c)
	s := &orphanSite{c: c, gone: make(map[*host]bool), ends: make(map[*host]int), stopped: make(chan struct{})}
	s.site = prepareSite(t, binaryPath, "", crowdTimeout)
	engine := fake.EngineOptions{Software: "v1"}
	s.startAll(c.hosts, engine, engine, engine, engine)
	config := siteConfig(2)
	config["limits"].(map[string]any)["max_body_bytes"] = 32 << 20
	s.putObject("config", "main", config)
	time.Sleep(time.Second)
	for _, h := range s.hosts {
		s.watchers.Go(func() { s.watch(h) })
	}
	defer s.watchers.Wait()
	defer close(s.stopped)
	accepted := s.acceptAll()
	var readers sync.WaitGroup
	var bodies, refused atomic.Int64
	done := make(chan struct{})
	for _, h := range s.hosts[c.removed:] {
		for n := range c.readers {
			readers.Go(func() { s.readBodies(h, n, accepted, &bodies, &refused, done) })
		}
	}
	s.loseHosts()
	s.checkListed(accepted)
	close(done)
	readers.Wait()
	t.Logf("%d bodies, %d reads refused, peak of %d MB", bodies.Load(), refused.Load(), s.peak())
	if c.readers > 0 && bodies.Load() == 0 {
		t.Error("no body was read")
	}
	for h, n := range s.endsByHost() {
		if n > 0 {
			t.Errorf("%s has exceeded its memory %d times", h.name, n)
		}
	}
}

// orphanItem returns the name of an item, whose output has 60 events.
func orphanItem(batch string, i int) string { return fmt.Sprintf("%s%s.%d", fake.LongPrefix, batch, i) }

// body returns the submission of a batch.
func (c orphanCase) body(batch string) []byte {
	text := base64.StdEncoding.EncodeToString(orphanBody(c.itemBytes))
	var list []map[string]any
	for i := range c.items {
		item := orphanItem(batch, i)
		list = append(list, map[string]any{
			"id": item, "path": batchPath + item, "group": "g" + strconv.Itoa(i/4), "tokens": 80,
			"headers": map[string]string{"Model": testModel, "Length-Hint": "60"}, "body": text,
		})
	}
	raw, err := json.Marshal(map[string]any{"step": 1, "model": testModel, "min_version": 1, "desired_count": c.items / 4, "items": list})
	if err != nil {
		panic(err)
	}
	return raw
}

func orphanBody(size int) []byte {
	return bytes.Repeat([]byte("abcdefghijklmnopqrstuvwxyz012345"), (size+31)/32)[:size]
}

// acceptAll submits all batches, those of all hosts at the same time, and returns when each was
// submitted that was accepted.
func (s *orphanSite) acceptAll() map[string]time.Time {
	accepted := make(map[string]time.Time)
	var mu sync.Mutex
	var trainers sync.WaitGroup
	for i, h := range s.hosts {
		trainers.Go(func() {
			for n := range s.c.batches {
				id, at := fmt.Sprintf("b%d-%d", i, n), time.Now()
				if s.submit(h, id, s.c.body(id)) == http.StatusAccepted {
					mu.Lock()
					accepted[id] = at
					mu.Unlock()
				}
			}
		})
	}
	trainers.Wait()
	s.t.Logf("%d of %d batches of %d bytes are accepted", len(accepted), s.c.hosts*s.c.batches, s.c.items*s.c.itemBytes)
	if len(accepted) == 0 {
		s.t.Error("no batch was accepted")
	}
	return accepted
}

// loseHosts removes the first hosts, or restarts all that are to be restarted, while the store goes away.
func (s *orphanSite) loseHosts() {
	if s.c.outage > 0 {
		s.store.Memory.SetFaults(memory.Faults{Unresponsive: true})
		time.AfterFunc(s.c.outage, func() { s.store.Memory.SetFaults(memory.Faults{}) })
	}
	var lost sync.WaitGroup
	for i, h := range s.hosts[:max(s.c.removed, s.c.restarted)] {
		lost.Go(func() {
			if s.c.inSeries {
				time.Sleep(time.Duration(i) * 2 * time.Second)
			}
			s.mu.Lock()
			s.gone[h] = i < s.c.removed
			s.mu.Unlock()
			h.signal(syscall.SIGKILL)
		})
	}
	lost.Wait()
}

// watch kills a host that exceeds its memory, and starts it again after each end unless it was removed.
func (s *orphanSite) watch(h *host) {
	for {
		select {
		case <-s.stopped:
			return
		case <-h.ended():
			s.mu.Lock()
			gone := s.gone[h]
			s.mu.Unlock()
			if gone {
				return
			}
			time.Sleep(orphanRestartDelay)
			s.start(h)
		case <-time.After(20 * time.Millisecond):
			if used := anonymousMB(h); s.exceeds(h, used) {
				s.t.Logf("%s takes %d MB", h.name, used)
				h.signal(syscall.SIGKILL)
				<-h.ended()
			}
		}
	}
}

// exceeds records what a host takes and reports whether it is too much.
func (s *orphanSite) exceeds(h *host, usedMB int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peakMB = max(s.peakMB, usedMB)
	if usedMB <= orphanMemoryMB || s.gone[h] {
		return false
	}
	s.ends[h]++
	return true
}

func (s *orphanSite) peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakMB
}

func (s *orphanSite) endsByHost() map[*host]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := make(map[*host]int)
	for h, n := range s.ends {
		ends[h] = n
	}
	return ends
}

// anonymousMB returns the anonymous resident memory of a host, 0 if it has ended.
func anonymousMB(h *host) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid()))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "RssAnon:")
	var kib int
	if _, err := fmt.Sscan(after, &kib); err != nil {
		return 0
	}
	return kib >> 10
}

// readBodies reads bodies of items at a host, two a second, until done is closed.
func (s *orphanSite) readBodies(h *host, n int, accepted map[string]time.Time, bodies, refused *atomic.Int64, done <-chan struct{}) {
	var ids []string
	for id := range accepted {
		ids = append(ids, id)
	}
	want := orphanBody(s.c.itemBytes)
	for ; len(ids) > 0; n += s.c.readers {
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
		id := ids[n%len(ids)]
		target := fmt.Sprintf("/currantloft/items/%s?id=%s", id, orphanItem(id, n%s.c.items))
		status, body := s.send(http.MethodGet, h.callerAddress, target, "", nil)
		switch {
		case status == http.StatusOK && bytes.Equal(body, want):
			bodies.Add(1)
		case status == http.StatusServiceUnavailable, status == 0:
			refused.Add(1)
		default:
			s.t.Errorf("body of an item of %s at %s: status %d, %d bytes", id, h.name, status, len(body))
		}
	}
}

// checkListed reads all batches until each of their items is listed, at the latest when its time is over.
func (s *orphanSite) checkListed(accepted map[string]time.Time) {
	var readers sync.WaitGroup
	var completed, errored atomic.Int64
	for id, at := range accepted {
		readers.Go(func() {
			history, after, page := newResultHistory(), 0, resultPage{}
			for time.Since(at) < orphanQueueTime+orphanSlack && after < s.c.items {
				if page, _ = s.readResults(s.hosts[len(s.hosts)-1], id, after); len(page.Results) == 0 {
					time.Sleep(300 * time.Millisecond)
					continue
				}
				history.check(s.t, page, after, 1)
				for _, result := range page.Results {
					if result.State == "completed" {
						completed.Add(1)
					} else {
						errored.Add(1)
					}
				}
				after += len(page.Results)
			}
			if after < s.c.items {
				s.t.Errorf("%d of %d items of batch %s are listed %v after its submission", after, s.c.items, id, time.Since(at))
			}
		})
	}
	readers.Wait()
	s.t.Logf("%d items completed, %d errored", completed.Load(), errored.Load())
}
