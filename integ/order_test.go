package integ

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/platform/fake"
)

// minResumedShare is the users' bound: of the streams that callers resume, at least
// half of the share of new ones that begin must go on.
const minResumedShare = 0.5

// resumeAttempts and resumePause are how callers resume a stream after all hosts have died.
const (
	resumeAttempts = 4
	resumePause    = 200 * time.Millisecond
)

// pieces are the events that a caller has of one stream, and the software versions that
// wrote them.
type pieces struct {
	next int
	// leaveAt is the number of events after which the caller leaves, 0 for never.
	leaveAt  int
	software map[string]bool
	// unnamed is true if the caller does not say which attempt brought the first event.
	unnamed bool
}

// newMarkedSite starts a site with two engines of each of two software versions, which
// mark their events, in place of its engines.
func newMarkedSite(t *testing.T, hosts int) *site {
	s := newSite(t, hosts, siteTimeout)
	for _, e := range s.engines {
		e.Close()
		s.removeEndpoint(e)
	}
	s.engines = nil
	for i, software := range []string{"v1", "v1", "v2", "v2"} {
		s.engines = append(s.engines, s.startEndpoint(fake.EngineOptions{
			ID: fmt.Sprintf("m%d", i), Service: enginePool, Models: []string{testModel}, Slots: 16,
			EventInterval: 60 * time.Millisecond, LoadTime: 50 * time.Millisecond, Software: software, Mark: true,
		}))
	}
	s.eventually("streams are served", func() bool {
		status, _ := s.send(http.MethodPost, s.hosts[0].callerAddress, streamPath+"x", "first", []byte("x"))
		return status == http.StatusOK
	})
	return s
}

// removeEndpoint removes an endpoint's entry.
func (s *site) removeEndpoint(e *fake.Engine) {
	s.t.Helper()
	if err := e.Deregister(); err != nil {
		s.t.Fatal(err)
	}
}

// add adds an event to the pieces and checks that it is the next one and that all come
// from one software version.
func (p *pieces) add(t testing.TB, id, data string) {
	t.Helper()
	event, software := fake.SplitMark(data)
	if want := fake.Event(id, p.next); event != want {
		t.Errorf("stream %s goes on with event %q, want %q", id, event, want)
	}
	p.next++
	if p.software[software] {
		return
	}
	p.software[software] = true
	if len(p.software) > 1 {
		t.Errorf("stream %s holds events of %d software versions", id, len(p.software))
	}
}

// stream makes one attempt at a stream and adds its events to the pieces. It returns
// the status, 0 for none. First names the attempt that brought the first event; onEvent
// is called after each event.
func (s *site) stream(h *host, attempt, first string, p *pieces, onEvent func()) int {
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddress+streamPath+"x", bytes.NewReader([]byte("x")))
	if err != nil {
		s.t.Error(err)
		return 0
	}
	request.Host = routeHostname
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", "4000")
	request.Header.Set(fake.PromptHeader, first)
	if p.next > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(p.next-1))
		if !p.unnamed {
			request.Header.Set("Resumes", first)
		}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			p.add(s.t, first, data)
			onEvent()
			if p.next == p.leaveAt {
				break
			}
		}
	}
	return response.StatusCode
}

// TestItemsOverTwoSoftwareVersions breaks the streams of items while engines of two
// software versions serve side by side, and kills the keeper: each text must come from
// one version.
func TestItemsOverTwoSoftwareVersions(t *testing.T) {
	s := newMarkedSite(t, 3)
	for _, e := range s.engines {
		e.BreakAfter(1)
	}
	const groups = 4
	for n := range 2 {
		id := fmt.Sprint("b", n)
		s.submitUntilAccepted(id, newBatchBody(id, groups, 1))
	}
	time.Sleep(150 * time.Millisecond)
	s.kill(s.hosts[1])
	s.start(s.hosts[1])
	for n := range 2 {
		s.checkMarkedBatch(fmt.Sprint("b", n), 3*groups)
	}
	resumed := 0
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if run.After >= 0 && !strings.HasPrefix(run.ID, "first") {
				resumed++
			}
		}
	}
	if resumed == 0 {
		t.Error("no item was resumed after the events already received")
	}
}

// checkMarkedBatch reads a batch to its end and checks that each text is complete and
// comes from one software version.
func (s *site) checkMarkedBatch(id string, total int) {
	s.t.Helper()
	n, after := 0, 0
	s.eventually("batch "+id+" is complete", func() bool {
		n++
		page, status := s.readResults(s.hosts[n%len(s.hosts)], id, after)
		if status != http.StatusOK {
			return false
		}
		for _, r := range page.Results {
			p := &pieces{software: make(map[string]bool)}
			for _, data := range strings.Split(r.Text, "\n") {
				p.add(s.t, r.ID, data)
			}
			if p.next != fake.EventCount(r.ID) || r.State != "completed" {
				s.t.Errorf("item %s is %s with %d events, want %d", r.ID, r.State, p.next, fake.EventCount(r.ID))
			}
		}
		after += len(page.Results)
		return after == total
	})
}

// TestStreamOverTwoSoftwareVersions breaks the engines' streams after each event: the
// stream goes on within one response, at engines of one version.
func TestStreamOverTwoSoftwareVersions(t *testing.T) {
	s := newMarkedSite(t, 2)
	for _, e := range s.engines {
		e.BreakAfter(1)
	}
	for i := range 8 {
		id, p := fmt.Sprint("talk-", i), &pieces{software: make(map[string]bool)}
		checkStatus(t, "a stream", s.stream(s.hosts[i%2], id, id, p, func() {}), http.StatusOK)
	}
}

// TestResumedStreamOverTwoSoftwareVersions kills hosts in the middle of streams: their
// callers resume them at another host, which must go on at the version that began each.
func TestResumedStreamOverTwoSoftwareVersions(t *testing.T) {
	s := newMarkedSite(t, 4)
	const streams = 24
	var tasks sync.WaitGroup
	var resumed, complete atomic.Int64
	began := make(chan struct{}, 64*streams)
	for i := range streams {
		tasks.Go(func() {
			id, p := fmt.Sprint("talk-", i), &pieces{software: make(map[string]bool)}
			s.stream(s.hosts[i%2], id, id, p, func() { began <- struct{}{} })
			if p.next == 0 || p.next == fake.EventCount(id) {
				return
			}
			resumed.Add(1)
			for n := range 5 {
				if p.next == fake.EventCount(id) {
					break
				}
				s.stream(s.hosts[2+(i+n)%2], fmt.Sprint(id, "-again-", n), id, p, func() {})
				time.Sleep(100 * time.Millisecond)
			}
			if p.next == fake.EventCount(id) {
				complete.Add(1)
			}
		})
	}
	for range streams {
		<-began
	}
	s.kill(s.hosts[0])
	s.kill(s.hosts[1])
	tasks.Wait()
	if resumed.Load() == 0 {
		t.Fatal("no stream broke off")
	}
	if share := float64(complete.Load()) / float64(resumed.Load()); share < minResumedShare {
		t.Errorf("%d of %d resumed streams went on, want at least %.0f %%", complete.Load(), resumed.Load(), 100*minResumedShare)
	}
}

// TestResumedStreamAfterAllHostsDied kills all hosts at once while two software versions
// serve, or when the endpoints of the old one have just left: no text may hold events of
// both.
func TestResumedStreamAfterAllHostsDied(t *testing.T) {
	for name, oldLeaves := range map[string]bool{"two versions serve": false, "the old version has just left": true} {
		t.Run(name, func(t *testing.T) { resumeAfterAllHostsDied(t, oldLeaves) })
	}
}

func resumeAfterAllHostsDied(t *testing.T, oldLeaves bool) {
	const streams, groups, batchID = 16, 4, fake.LongPrefix + "batch"
	s := newMarkedSite(t, 4)
	s.submitUntilAccepted(batchID, newBatchBody(batchID, groups, 1))
	s.eventually("the batch's partial output is stored", func() bool {
		_, err := s.store.Memory.Get(s.ctx, "batch-begun", batchID, object.Fresh)
		return err == nil
	})
	var tasks sync.WaitGroup
	var resumed, refused, complete [2]atomic.Int64
	began, restarted := make(chan struct{}, streams), make(chan struct{})
	for i := range streams {
		tasks.Go(func() {
			first := fmt.Sprint(fake.LongPrefix, "talk-", i)
			p := &pieces{software: make(map[string]bool), unnamed: i%2 == 1}
			s.stream(s.hosts[i%4], first, first, p, sync.OnceFunc(func() { began <- struct{}{} }))
			<-restarted
			resumed[i%2].Add(1)
			for n := range resumeAttempts {
				switch status := s.stream(s.hosts[(i+n)%4], fmt.Sprint(first, "-again-", n), first, p, func() {}); status {
				case http.StatusOK, 0:
				case http.StatusServiceUnavailable:
					refused[i%2].Add(1)
				default:
					t.Errorf("stream %s is answered with status %d", first, status)
				}
				if p.next == fake.EventCount(first) {
					complete[i%2].Add(1)
					return
				}
				time.Sleep(resumePause)
			}
		})
	}
	for range streams {
		<-began
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		<-h.ended()
	}
	if oldLeaves {
		for _, e := range s.engines[:2] {
			s.removeEndpoint(e)
			e.Close()
		}
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	for _, h := range s.hosts {
		s.eventually(h.name+" serves new streams", func() bool {
			p := &pieces{software: make(map[string]bool)}
			return s.stream(h, "new-"+h.name, "new-"+h.name, p, func() {}) == http.StatusOK
		})
	}
	close(restarted)
	tasks.Wait()
	s.checkMarkedBatch(batchID, 3*groups)
	for i, kind := range []string{"named", "unnamed"} {
		t.Logf("first attempt %s: %d streams resumed, %d complete, %d attempts refused", kind, resumed[i].Load(), complete[i].Load(), refused[i].Load())
	}
	var continued [2]int
	for i, e := range s.engines {
		for _, run := range e.Runs() {
			if run.After >= 0 && strings.HasPrefix(run.ID, batchID) {
				continued[i/2]++
			}
		}
	}
	t.Logf("runs of items that go on: %d at the old version, %d at the new one", continued[0], continued[1])
	if continued[1] == 0 {
		t.Error("no item was resumed after the events already received")
	}
}

// TestStreamOfOneSoftwareIsResumed checks that a caller that does not name its first
// attempt is served once only one software version has been there for long.
func TestStreamOfOneSoftwareIsResumed(t *testing.T) {
	s := newSite(t, 2, siteTimeout)
	config := siteConfig(2)
	for _, route := range config["routes"].([]map[string]any) {
		if route["name"] == "talk" {
			route["timeout_ms"] = 1000
		}
	}
	changed, statuses := time.Now(), make(map[int]bool)
	s.putObject("config", "main", config)
	s.eventually("the stream is resumed", func() bool {
		first := "talk-1"
		p := &pieces{next: 1, software: make(map[string]bool), unnamed: true}
		status := s.stream(s.hosts[0], fmt.Sprint("again-", time.Now().UnixNano()), first, p, func() {})
		statuses[status] = true
		return p.next == fake.EventCount(first)
	})
	if waited := time.Since(changed); waited < 3*time.Second {
		t.Errorf("resumed after %v, within three timeouts of a changed configuration", waited)
	}
	check.Equal(t, "statuses", statuses, map[int]bool{http.StatusServiceUnavailable: true, http.StatusOK: true})
}

// TestStreamsNotResumedWhileAllHostsStop stops all hosts in the middle of streams. As long
// as they answer, streams that one began must go on at another.
func TestStreamsNotResumedWhileAllHostsStop(t *testing.T) {
	const hosts = 8
	s := newMarkedSite(t, hosts)
	each := func(call func(i, j int)) {
		var tasks sync.WaitGroup
		for i := range hosts {
			for j := range hosts {
				if i != j {
					tasks.Go(func() { call(i, j) })
				}
			}
		}
		tasks.Wait()
	}
	var streams [hosts][hosts]pieces
	each(func(i, j int) {
		id, p := fmt.Sprintf("talk-%d-%d", i, j), &streams[i][j]
		p.leaveAt, p.software = 1, make(map[string]bool)
		s.stream(s.hosts[i], id, id, p, func() {})
	})
	for _, h := range s.hosts {
		h.signal(syscall.SIGTERM)
	}
	for _, h := range s.hosts {
		s.eventually(h.name+" is leaving", func() bool { return s.status(h, h.readyAddress, "/currantloft/readyz") != http.StatusOK })
	}
	var resumed, complete atomic.Int64
	each(func(i, j int) {
		id, p := fmt.Sprintf("talk-%d-%d", i, j), &streams[i][j]
		if p.next == 0 {
			return
		}
		resumed.Add(1)
		s.stream(s.hosts[j], id+"-again", id, p, func() {})
		if p.next == fake.EventCount(id) {
			complete.Add(1)
		}
	})
	if resumed.Load() == 0 {
		t.Fatal("no stream began")
	}
	if share := float64(complete.Load()) / float64(resumed.Load()); share < minResumedShare {
		t.Errorf("%d of %d resumed streams went on, want at least %.0f %%", complete.Load(), resumed.Load(), 100*minResumedShare)
	}
	t.Logf("%d of %d resumed streams went on", complete.Load(), resumed.Load())
}

// TestStreamResumedAtHostOutOfStep lets a host stand still while endpoints of a new software
// version join, and then brings it streams that began there and broke off: it must not take
// them for streams of the version that it knows.
func TestStreamResumedAtHostOutOfStep(t *testing.T) {
	const streams = 24
	s := newSiteWith(t, 3, siteTimeout, fake.EngineOptions{Software: "v1", Mark: true}, fake.EngineOptions{Software: "v1", Mark: true})
	config := siteConfig(2)
	for _, route := range config["routes"].([]map[string]any) {
		if route["name"] == "talk" {
			route["timeout_ms"] = 1000
		}
	}
	s.putObject("config", "main", config)
	still := s.hosts[2]
	s.eventually("the host resumes streams of the only version", func() bool {
		p := &pieces{next: 1, software: make(map[string]bool), unnamed: true}
		s.stream(still, fmt.Sprint("first-", time.Now().UnixNano()), "talk-1", p, func() {})
		return p.next == fake.EventCount("talk-1")
	})
	stoodStill := time.Now()
	still.signal(syscall.SIGSTOP)
	for i := range 2 {
		s.engines = append(s.engines, s.startEndpoint(fake.EngineOptions{
			ID: fmt.Sprint("new", i), Service: enginePool, Models: []string{testModel}, Slots: 16,
			EventInterval: 20 * time.Millisecond, LoadTime: 50 * time.Millisecond, Software: "v2", Mark: true,
		}))
	}
	begun := make([]*pieces, streams)
	s.eventually("the new version has begun streams", func() bool {
		var atNew atomic.Int64
		var tasks sync.WaitGroup
		for i := range begun {
			p := &pieces{leaveAt: 1, software: make(map[string]bool), unnamed: true}
			begun[i] = p
			tasks.Go(func() {
				s.stream(s.hosts[0], fmt.Sprintf("talk-%d-%d", i, time.Now().UnixNano()), fmt.Sprint("talk-", i), p, func() {})
				p.leaveAt = 0
				if len(p.software) > 0 && !p.software["v1"] {
					atNew.Add(1)
				}
			})
		}
		tasks.Wait()
		return atNew.Load() > streams/4
	})
	var tasks sync.WaitGroup
	statuses := make([]int, streams)
	for i, p := range begun {
		tasks.Go(func() { statuses[i] = s.stream(still, fmt.Sprint("again-", i), fmt.Sprint("talk-", i), p, func() {}) })
	}
	// The requests wait at the host when it goes on.
	time.Sleep(resumePause)
	still.signal(syscall.SIGCONT)
	tasks.Wait()
	t.Logf("answered with %v, %v after the host stood still", statuses, time.Since(stoodStill))
}
