package integ

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/currantloft/currantloft/platform/fake"
)

const (
	// earlierRelease is the commit that hosts are upgraded from: the landing before this
	// tree.
	earlierRelease = "8eab7ae"
	// upgradeEnv is the environment variable for further runs: the commits to upgrade from
	// and the seeds, as "COMMIT,COMMIT:FIRST-LAST" or "COMMIT,COMMIT:N" for N random ones.
	upgradeEnv = "CURRANTLOFT_UPGRADE"

	upgradeHosts = 4
	// upgradeReaders is the number of readers of results and of callers of streams.
	upgradeReaders = 5
	// recentBatches is the number of batches that half of the reads go to.
	recentBatches = 16
	// upgradeTimeout limits one seed: all hosts are replaced twice.
	upgradeTimeout = 90 * time.Second
	// stopBound is the users' time from SIGTERM to SIGKILL.
	stopBound = 8 * time.Second
	// maxReplacePause is the longest pause between the stops of two hosts, and maxReplaced
	// how many stop at the same time.
	maxReplacePause = 2 * time.Second
	maxReplaced     = 2
	// configBound is the users' bound until a configuration is in force.
	configBound = 2 * time.Second
	// orderLease is the lease's length in the settings of the hosts: orders of two hosts
	// are as far apart.
	orderLease = time.Second
	// serveBound is how long a caller tries to be served, at one host after another.
	serveBound = 2 * time.Second
)

type (
	// upgrade is the state of one seed's run.
	upgrade struct {
		*site
		releases map[string]string
		stop     chan struct{}

		mu       sync.Mutex
		batches  []*upgradeBatch
		rejected []string
		version  int
		streams  int
		counts   map[string]int
	}

	// upgradeBatch is an accepted batch and what was read of it.
	upgradeBatch struct {
		id         string
		total      int
		minVersion int
		acceptedAt time.Time
		history    *resultHistory
		// ended is true if its end was requested, maybe before all results were there.
		ended bool
	}
)

// TestUpgradeHostByHost replaces hosts that run an earlier release one after the other by
// this one, and back, while callers and trainers go on.
func TestUpgradeHostByHost(t *testing.T) {
	commits, seeds := []string{earlierRelease}, []uint64{1}
	if text := os.Getenv(upgradeEnv); text != "" {
		list, seedText, ok := strings.Cut(text, ":")
		if ok {
			seeds = parseSeeds(t, upgradeEnv, seedText)
		}
		commits = strings.Split(list, ",")
	}
	for _, commit := range commits {
		binary := buildRelease(t, commit)
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("from %s, seed %d", commit, seed), func(t *testing.T) { runUpgrade(t, binary, seed) })
		}
	}
}

// buildRelease builds the program of an earlier commit and returns its path.
func buildRelease(t *testing.T, commit string) string {
	t.Helper()
	dir := t.TempDir()
	archive, binary := filepath.Join(dir, "source.tar"), filepath.Join(dir, "currantloft")
	if out, err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").CombinedOutput(); err != nil {
		t.Fatalf("the upgrade starts from commit %s, which is not in this repository; fetch the history with "+
			"`git fetch --unshallow`: %v: %s", commit, err, out)
	}
	arguments := []string{"build", "-o", binary}
	if os.Getenv("CURRANTLOFT_RACE") != "" {
		arguments = append(arguments, "-race")
	}
	for _, command := range []*exec.Cmd{
		exec.Command("git", "-C", "..", "archive", "--output", archive, commit),
		exec.Command("tar", "-x", "-C", dir, "-f", archive),
		exec.Command("go", append(arguments, ".")...),
	} {
		if command.Args[0] == "go" {
			command.Dir = dir
		}
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("building %s: %v: %v: %s", commit, command.Args, err, out)
		}
	}
	return binary
}

func runUpgrade(t *testing.T, earlier string, seed uint64) {
	engines := []fake.EngineOptions{
		{Software: "v1", Mark: true}, {Software: "v1", Mark: true}, {Software: "v2", Mark: true}, {Software: "v2", Mark: true},
	}
	u := &upgrade{
		site: newSiteOf(t, earlier, upgradeHosts, upgradeTimeout, engines...),
		stop: make(chan struct{}), counts: make(map[string]int), version: 1,
	}
	u.releases = map[string]string{earlier: "the earlier release", binaryPath: "this release"}
	var tasks sync.WaitGroup
	drivers := []func(*rand.Rand){u.submitBatches, u.callIdempotent, u.nameVersions, u.changeConfig, u.replaceEndpoints}
	for range upgradeReaders {
		drivers = append(drivers, u.readBatches, u.requestStreams)
	}
	for i, drive := range drivers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		tasks.Go(func() { drive(random) })
	}
	checkKept := u.keepConnections(&tasks)
	random := rand.New(rand.NewPCG(seed, 100))
	time.Sleep(time.Second)
	u.replaceAll(random, binaryPath)
	time.Sleep(time.Second)
	u.replaceAll(random, earlier)
	close(u.stop)
	tasks.Wait()
	checkKept()
	u.checkBatches()
	u.checkRuns()
	u.checkOrders()
	t.Logf("%v", u.counts)
}

func (u *upgrade) count(what string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[what]++
}

// describe names a host and the release that it runs.
func (u *upgrade) describe(h *host) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.name + " (" + u.releases[h.binary] + ")"
}

// replaceAll stops one host after the other and starts it again with the given program. A
// host may stop before the one before is back.
func (u *upgrade) replaceAll(random *rand.Rand, binary string) {
	var tasks errgroup.Group
	tasks.SetLimit(maxReplaced)
	for _, i := range random.Perm(len(u.hosts)) {
		tasks.Go(func() error {
			u.replace(u.hosts[i], binary)
			return nil
		})
		time.Sleep(time.Duration(random.Int64N(int64(maxReplacePause))))
	}
	if err := tasks.Wait(); err != nil {
		u.t.Error(err)
	}
	for _, h := range u.hosts {
		u.eventually(u.describe(h)+" is ready", func() bool { return u.status(h, h.readyAddress, "/currantloft/readyz") == http.StatusOK })
	}
}

func (u *upgrade) replace(h *host, binary string) {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended():
	case <-time.After(stopBound):
		u.t.Errorf("%s has not stopped within %v", u.describe(h), stopBound)
		u.kill(h)
	}
	h.mu.Lock()
	h.binary = binary
	h.mu.Unlock()
	u.start(h)
}

// upgradeName returns the name of a batch or stream. Every other one is long, so that its
// output is interrupted and continued elsewhere.
func upgradeName(prefix string, n int) string {
	if n%2 == 0 {
		prefix = fake.LongPrefix + prefix
	}
	return fmt.Sprint(prefix, n)
}

// anyHost returns a random host.
func (u *upgrade) anyHost(random *rand.Rand) *host { return u.hosts[random.IntN(len(u.hosts))] }

// submitBatches submits batches of the newest version but one, each to one host after
// another until one accepts it.
func (u *upgrade) submitBatches(random *rand.Rand) {
	n := 0
	repeatUntil(u.stop, 250*time.Millisecond, func() {
		n++
		u.mu.Lock()
		b := &upgradeBatch{id: upgradeName("b", n), total: 12, minVersion: max(1, u.version-1), history: newResultHistory()}
		u.mu.Unlock()
		raw, refusals := newBatchBody(b.id, b.total/3, b.minVersion), 0
		order := random.Perm(len(u.hosts))
		for _, i := range order {
			switch u.submit(u.hosts[i], b.id, raw) {
			case http.StatusAccepted:
				b.acceptedAt = time.Now()
				u.mu.Lock()
				u.batches = append(u.batches, b)
				u.mu.Unlock()
				return
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				refusals++
			}
		}
		u.count("batches not accepted")
		if refusals == len(order) {
			u.mu.Lock()
			u.rejected = append(u.rejected, b.id)
			u.mu.Unlock()
		}
	})
}

// checkBody reads the body of an item, which must be there while the batch is not ended.
func (u *upgrade) checkBody(random *rand.Rand, b *upgradeBatch) {
	h, began := u.anyHost(random), time.Now()
	at, item := u.describe(h), fmt.Sprintf("%s-%d-%d", b.id, random.IntN(b.total/3), random.IntN(3))
	status, body := u.send(http.MethodGet, h.callerAddress, "/currantloft/items/"+b.id+"?id="+item, "", nil)
	u.mu.Lock()
	ended := b.ended
	u.mu.Unlock()
	switch {
	case status == http.StatusOK && string(body) != "body of "+item:
		u.t.Errorf("%s: body of %s is %q", at, item, body)
	case status == http.StatusNotFound && !ended && began.Sub(b.acceptedAt) > settleBound:
		u.t.Errorf("%s: item %s is unknown %v after its batch was accepted", at, item, began.Sub(b.acceptedAt))
	}
	u.count(fmt.Sprint("bodies with status ", status))
}

// readBatches reads random positions of random batches at random hosts, and ends some
// batches.
func (u *upgrade) readBatches(random *rand.Rand) {
	repeatUntil(u.stop, 5*time.Millisecond, func() {
		u.mu.Lock()
		if len(u.batches) == 0 {
			u.mu.Unlock()
			return
		}
		b := u.batches[random.IntN(len(u.batches))]
		if random.IntN(2) == 0 {
			b = u.batches[max(0, len(u.batches)-1-random.IntN(recentBatches))]
		}
		u.mu.Unlock()
		b.history.mu.Lock()
		known := len(b.history.byPosition)
		b.history.mu.Unlock()
		after := min(known, b.total-1)
		if known > 0 && random.IntN(4) > 0 {
			after = random.IntN(known)
		}
		u.read(u.anyHost(random), b, after)
		u.checkBody(random, b)
		if random.IntN(50) == 0 {
			u.mu.Lock()
			b.ended = true
			u.mu.Unlock()
			h, began := u.anyHost(random), time.Now()
			at := u.describe(h)
			status, _ := u.send(http.MethodDelete, h.callerAddress, "/currantloft/lots/"+b.id, "", nil)
			if status == http.StatusNotFound && began.Sub(b.acceptedAt) > settleBound {
				u.t.Errorf("%s: batch %s is unknown at its end", at, b.id)
			}
			u.count(fmt.Sprint("ends with status ", status))
		}
	})
}

// read reads results at a host and checks that none is missing which was read before.
func (u *upgrade) read(h *host, b *upgradeBatch, after int) {
	at, began := u.describe(h), time.Now()
	b.history.mu.Lock()
	readAt, known := b.history.firstRead[after]
	b.history.mu.Unlock()
	page, status := u.readResults(h, b.id, after)
	settled := began.Sub(b.acceptedAt) > settleBound
	switch {
	case status == http.StatusNotFound && settled:
		u.t.Errorf("%s: batch %s is unknown %v after it was accepted", at, b.id, began.Sub(b.acceptedAt))
	case status == http.StatusOK && page.Total != b.total:
		u.t.Errorf("%s: batch %s has a total of %d, want %d", at, b.id, page.Total, b.total)
	case status == http.StatusOK && len(page.Results) == 0 && known && began.Sub(readAt) > settleBound:
		u.t.Errorf("%s: batch %s has nothing at position %d, which was read %v before", at, b.id, after, began.Sub(readAt))
	}
	u.count(fmt.Sprint("reads with status ", status))
	b.history.check(u.t, page, after, b.minVersion)
}

// callIdempotent sends idempotent requests, each to one host after another until it is
// answered.
func (u *upgrade) callIdempotent(random *rand.Rand) {
	n := 0
	repeatUntil(u.stop, 10*time.Millisecond, func() {
		n++
		id, began := fmt.Sprint("call-", n), time.Now()
		for time.Since(began) < serveBound {
			h := u.anyHost(random)
			status, body := u.send(http.MethodPost, h.callerAddress, plainPath+"x", id, []byte(id))
			u.count(fmt.Sprint("idempotent requests with status ", status))
			if status != http.StatusOK {
				continue
			}
			if string(body) != "answer to "+id {
				u.t.Errorf("%s: request %s got %q", u.describe(h), id, body)
			}
			return
		}
		u.t.Errorf("request %s was not served within %v", id, serveBound)
	})
}

// keepConnections keeps a connection to each host and sends non-idempotent requests on it.
// The returned function checks that each one that ran was answered.
func (u *upgrade) keepConnections(tasks *sync.WaitGroup) func() {
	var callers []*keptCaller
	for _, h := range u.hosts {
		c := &keptCaller{client: &http.Client{Transport: &http.Transport{}}}
		callers = append(callers, c)
		tasks.Go(func() {
			defer c.client.CloseIdleConnections()
			n := 0
			repeatUntil(u.stop, 4*callerPause, func() {
				n++
				if c.call(u.ctx, h.callerAddress, fmt.Sprintf("kept-%s-%d", h.name, n)) != nil {
					time.Sleep(callerPause)
				}
			})
		})
	}
	return func() {
		runs := u.runs()
		for _, c := range callers {
			u.counts["answers on kept connections"] += c.answered
			for _, id := range c.unanswered {
				if runs[id] > 0 {
					u.t.Errorf("request %s ran and was not answered", id)
				}
			}
		}
	}
}

// requestStreams sends streaming requests. Some callers leave after the first events and
// take the stream up at another host.
func (u *upgrade) requestStreams(random *rand.Rand) {
	repeatUntil(u.stop, 40*time.Millisecond, func() {
		u.mu.Lock()
		u.streams++
		id, p := upgradeName("talk-", u.streams), &pieces{software: make(map[string]bool)}
		u.mu.Unlock()
		if random.IntN(2) == 0 {
			p.leaveAt = 1 + random.IntN(3)
		}
		first, began := id, time.Now()
		for try := 0; p.next < fake.EventCount(first) && time.Since(began) < 2*serveBound; try++ {
			attempt := fmt.Sprint(id, "-", try)
			if p.next == 0 {
				first = attempt
			}
			h, before := u.anyHost(random), p.next
			at := u.describe(h)
			status := u.stream(h, attempt, first, p, func() {})
			u.count(fmt.Sprintf("streams from event %d with status %d", min(1, before), status))
			if status == http.StatusOK && p.next < fake.EventCount(first) && p.next != p.leaveAt {
				u.t.Errorf("%s: stream %s was cut off after %d of %d events", at, attempt, p.next, fake.EventCount(first))
			}
			p.leaveAt = 0
		}
		if p.next < fake.EventCount(first) {
			u.t.Errorf("stream %s got %d of %d events within %v", first, p.next, fake.EventCount(first), 2*serveBound)
		}
	})
}

// nameVersions names a new weight version now and then.
func (u *upgrade) nameVersions(random *rand.Rand) {
	repeatUntil(u.stop, 2500*time.Millisecond, func() {
		u.mu.Lock()
		u.version++
		version := u.version
		u.mu.Unlock()
		u.putObject("versions", testModel, map[string]any{"model": testModel, "version": version})
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	})
}

// changeConfig replaces one route by another and checks that each host that answers has
// the new configuration in time.
func (u *upgrade) changeConfig(random *rand.Rand) {
	version := 1
	path := func(version int) string { return fmt.Sprintf("/new-%d/", version) }
	repeatUntil(u.stop, time.Millisecond, func() {
		before := version
		version += 1 + random.IntN(3)
		config := siteConfig(version)
		config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
			"name": "new", "hostname": routeHostname, "path_prefix": path(version), "route_type": "idempotent",
			"timeout_ms": 2000, "max_attempts": 2, "service": plainPool,
		})
		u.putObject("config", "main", config)
		u.count("configurations")
		time.Sleep(configBound)
		for _, h := range u.hosts {
			at := u.describe(h)
			status, _ := u.send(http.MethodPost, h.callerAddress, path(version)+"x", "new", []byte("x"))
			u.count(fmt.Sprint("requests on new routes with status ", status))
			if status == http.StatusNotFound {
				u.t.Errorf("%s: configuration %d is not in force after %v", at, version, configBound)
			}
			status, _ = u.send(http.MethodPost, h.callerAddress, path(before)+"x", "old", []byte("x"))
			if status == http.StatusOK {
				u.t.Errorf("%s: the route of configuration %d is served %v after it was removed", at, before, configBound)
			}
		}
	})
}

// replaceEndpoints empties plain endpoints and adds others.
func (u *upgrade) replaceEndpoints(*rand.Rand) {
	oldest := 0
	repeatUntil(u.stop, time.Second, func() {
		e, err := fake.StartEngine(u.store, fake.EngineOptions{
			ID: fmt.Sprintf("p%d", len(u.plains)), Service: plainPool, Slots: 4, EventInterval: 5 * time.Millisecond,
		})
		if err != nil {
			u.t.Error(err)
			return
		}
		u.t.Cleanup(e.Close)
		u.plains = append(u.plains, e)
		leaving := u.plains[oldest]
		oldest++
		if err := leaving.Register("draining"); err != nil {
			u.t.Error(err)
		}
		left := time.Now()
		time.Sleep(drainBound + time.Second)
		for _, run := range leaving.Runs() {
			if late := run.At.Sub(left); late > drainBound {
				u.t.Errorf("request %s reached an endpoint %v after it began to drain", run.ID, late)
				break
			}
		}
		if err := leaving.Deregister(); err != nil {
			u.t.Error(err)
		}
	})
}

// checkBatches reads all batches at all hosts: those that have not been ended complete, and
// nothing that was read is missing anywhere.
func (u *upgrade) checkBatches() {
	u.counts["batches"] = len(u.batches)
	for _, b := range u.batches {
		if !b.ended {
			u.readComplete(b.id, b.history, b.total, b.minVersion)
		}
		for _, h := range u.hosts {
			for after := 0; after < len(b.history.byPosition); {
				page, status := u.readResults(h, b.id, after)
				if len(page.Results) == 0 {
					u.t.Errorf("%s: batch %s has nothing at position %d (status %d), %d were read", u.describe(h), b.id, after, status, len(b.history.byPosition))
					break
				}
				b.history.check(u.t, page, after, b.minVersion)
				after += len(page.Results)
			}
		}
	}
}

// runs returns how often each request ran at endpoints.
func (u *upgrade) runs() map[string]int {
	runs := make(map[string]int)
	for _, e := range append(append([]*fake.Engine(nil), u.engines...), u.plains...) {
		for _, run := range e.Runs() {
			runs[run.ID]++
		}
	}
	return runs
}

// checkRuns checks that no non-idempotent request ran twice, and no item of a batch that
// each host refused.
func (u *upgrade) checkRuns() {
	for id, n := range u.runs() {
		if strings.HasPrefix(id, "kept-") && n > 1 {
			u.t.Errorf("request %s ran %d times", id, n)
		}
		for _, rejected := range u.rejected {
			if strings.HasPrefix(id, rejected+"-") {
				u.t.Errorf("%s ran although its batch was refused", id)
			}
		}
	}
}

// checkOrders checks that orders came from one holder at a time.
func (u *upgrade) checkOrders() {
	for i, e := range u.engines {
		before, lastEpoch, times := "", 0, e.OrderTimes()
		for n, order := range e.Orders() {
			var holder, model string
			var epoch, version int
			if _, err := fmt.Sscanf(splitOrder(order), "%s %d %s %d", &holder, &epoch, &model, &version); err != nil {
				u.t.Fatal(err)
			}
			u.counts["orders"]++
			if epoch < lastEpoch || epoch == lastEpoch && holder != before {
				u.t.Errorf("engine %d: order %s came after one of %s with epoch %d", i, order, before, lastEpoch)
			}
			if n > 0 && holder != before {
				u.counts["holders changed"]++
				if gap := times[n].Sub(times[n-1]); gap < orderLease {
					u.t.Errorf("engine %d: order %s came %v after one of %s, want at least %v", i, order, gap, before, orderLease)
				}
			}
			before, lastEpoch = holder, epoch
		}
	}
}
