package integ

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantloft/currantloft/edge"
	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fakes/links"
	"github.com/currantloft/currantloft/platform/fake"
)

const (
	linkSiteHosts = 5
	// noticeTime is the users' bound from the loss of the links to the first request that
	// must be served.
	noticeTime = 3 * time.Second
	// minServedShare, failedSlack and failedShare are the users' bound: first tries at
	// hosts that reach no endpoint are served at least two thirds as often as those at
	// the others, unless at most ten and one in fifty of all fail there.
	minServedShare = 2.0 / 3
	failedSlack    = 10
	failedShare    = 1.0 / 50
	// callerDeadline is the shortest deadline on the users' sites.
	callerDeadline = 800 * time.Millisecond
)

// gatedBinary builds the program whose links to endpoints can be broken.
var gatedBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binaryPath), "gated")
	if out, err := exec.Command("go", "build", "-o", path, "../fakes/gated").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building: %w: %s", err, out)
	}
	return path, nil
})

// newLinkSite starts a site whose hosts can lose their links to endpoints.
func newLinkSite(t *testing.T, hosts int, limit time.Duration) *site {
	t.Helper()
	engine := fake.EngineOptions{Software: "v1"}
	return newLinkSiteWith(t, hosts, limit, engine, engine, engine)
}

// newLinkSiteWith is newLinkSite with the given engines.
func newLinkSiteWith(t *testing.T, hosts int, limit time.Duration, engines ...fake.EngineOptions) *site {
	t.Helper()
	binary, err := gatedBinary()
	if err != nil {
		t.Fatal(err)
	}
	return newSiteOf(t, binary, hosts, limit, engines...)
}

// breakLinks replaces the faults of the links from a host to endpoints.
func (s *site) breakLinks(h *host, faults ...links.Fault) {
	s.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := links.Write(h.links, faults...); err != nil {
		s.t.Error(err)
	}
}

// tally counts first tries and those that were served.
type tally struct{ tried, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.tried)) }

// firstTries sends plain requests to each of the hosts, once a request, and counts the
// answers that came before the callers' deadline.
func (s *site) firstTries(label string, hosts []*host, each int) tally {
	var (
		mu    sync.Mutex
		all   tally
		tasks sync.WaitGroup
	)
	for i, h := range hosts {
		tasks.Go(func() {
			for n := range each {
				started := time.Now()
				status, _ := s.send(http.MethodPost, h.callerAddress, plainPath+"x", fmt.Sprintf("%s-%d-%d", label, i, n), []byte("x"))
				mu.Lock()
				all.tried++
				if status == http.StatusOK && time.Since(started) <= callerDeadline {
					all.served++
				}
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	return all
}

// checkServedAlike checks the users' bound on the first tries at hosts that reach no
// endpoint.
func checkServedAlike(t *testing.T, cut, others tally) {
	t.Helper()
	t.Logf("hosts that reach no endpoint served %d of %d, the others %d of %d", cut.served, cut.tried, others.served, others.tried)
	failed, allowed := cut.tried-cut.served, failedSlack+failedShare*float64(cut.tried+others.tried)
	if cut.share() < minServedShare*others.share() && float64(failed) > allowed {
		t.Errorf("%d first tries failed, want at most %.0f, or to serve two thirds as often as the others", failed, allowed)
	}
}

// linkFaults are the ways in which a host loses its links.
var linkFaults = map[string]links.Fault{
	"links hang":                          {New: links.NewHang, Open: links.OpenHang},
	"links are refused and reset":         {New: links.NewRefuse, Open: links.OpenReset},
	"new links hang and open ones live":   {New: links.NewHang, Open: links.OpenLive},
	"new links refused, open ones live":   {New: links.NewRefuse, Open: links.OpenLive},
	"new links hang, open ones are reset": {New: links.NewHang, Open: links.OpenReset},
}

// TestCallersOfHostWithoutEndpointsAreServed cuts most hosts off from all endpoints. Their
// callers must be served like those of the others.
func TestCallersOfHostWithoutEndpointsAreServed(t *testing.T) {
	for name, fault := range linkFaults {
		t.Run(name, func(t *testing.T) {
			s := newLinkSite(t, linkSiteHosts, siteTimeout)
			s.firstTries("before", s.hosts, 10)
			cut, others := s.hosts[:3], s.hosts[3:]
			for _, h := range cut {
				s.breakLinks(h, fault)
			}
			time.Sleep(noticeTime)
			checkServedAlike(t, s.firstTries("cut", cut, 20), s.firstTries("others", others, 20))
		})
	}
}

// orderBound is the users' bound for a step: its results are due this long after it was
// asked, and need the version that the orders bring.
const orderBound = 7500 * time.Millisecond

// dump returns a host's state, an empty one if it does not answer.
func (s *site) dump(h *host) edge.State {
	var state edge.State
	status, body := s.send(http.MethodGet, h.adminAddress, "/v1/dump", "", nil)
	if status == http.StatusOK && json.Unmarshal(body, &state) != nil {
		s.t.Errorf("the dump of %s can't be decoded", h.name)
	}
	return state
}

// orderSender returns the host that sends the orders.
func (s *site) orderSender() *host {
	s.t.Helper()
	var found *host
	s.eventually("one host sends the orders", func() bool {
		for _, h := range s.hosts {
			if s.dump(h).Orders.Held {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// loads counts the endpoints that have loaded a version.
func (s *site) loads(version int) int {
	n := 0
	for _, e := range s.engines {
		if slices.Contains(e.Versions(), fmt.Sprintf("%s/%d", testModel, version)) {
			n++
		}
	}
	return n
}

func (s *site) nameVersion(version int) {
	s.putObject("versions", testModel, map[string]any{"model": testModel, "version": version})
}

// checkOneHolderAtATime checks that the epochs of the orders that endpoints accepted never
// decrease and belong to one holder each.
func (s *site) checkOneHolderAtATime(t *testing.T) {
	t.Helper()
	holders := make(map[string]string)
	for _, e := range s.engines {
		last := ""
		for _, order := range e.Orders() {
			fields := strings.Split(order, "/")
			holder, epoch := fields[0], fields[1]
			if before, ok := holders[epoch]; ok && before != holder {
				t.Errorf("epoch %s has the holders %s and %s", epoch, before, holder)
			}
			if holders[epoch] = holder; epoch < last {
				t.Errorf("an endpoint accepted an order of epoch %s after one of epoch %s", epoch, last)
			}
			last = epoch
		}
	}
}

// TestOrdersStayAtHostWithoutEndpoints cuts the host that sends the orders off from
// endpoints: another host must send them in time for a step.
func TestOrdersStayAtHostWithoutEndpoints(t *testing.T) {
	for name, fault := range map[string]links.Fault{
		"all links hang":    {New: links.NewHang, Open: links.OpenHang},
		"all links refused": {New: links.NewRefuse, Open: links.OpenReset},
		"one link hangs":    {Address: "first engine", New: links.NewHang, Open: links.OpenHang},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLinkSite(t, linkSiteHosts, siteTimeout)
			s.nameVersion(2)
			leader := s.orderSender()
			s.eventually("version 2 is loaded", func() bool { return s.loads(2) > 0 })
			if fault.Address != "" {
				fault.Address = s.engines[0].Address()
			}
			s.breakLinks(leader, fault)
			for version := 3; version <= 4; version++ {
				s.nameVersion(version)
				named := time.Now()
				// Half of the endpoints keep the version before.
				s.eventually("a version is loaded", func() bool { return s.loads(version) > 0 || time.Since(named) > orderBound })
				took := time.Since(named)
				t.Logf("version %d was loaded %v after it was named", version, took)
				if took > orderBound {
					t.Errorf("version %d was not loaded within %v", version, orderBound)
				}
			}
			s.eventually("no endpoint is two versions behind", func() bool {
				return !slices.ContainsFunc(s.engines, func(e *fake.Engine) bool {
					loaded := e.Versions()
					return !slices.Contains(loaded, testModel+"/3") && !slices.Contains(loaded, testModel+"/4")
				})
			})
			s.breakLinks(leader)
			s.nameVersion(5)
			s.eventually("a version is loaded after the links are back", func() bool { return s.loads(5) > 0 })
			s.checkOneHolderAtATime(t)
		})
	}
}

// resultBound is the users' bound from the submission of a batch to its results.
const resultBound = 7500 * time.Millisecond

// TestItemsWaitForKeeperWithoutEndpoints cuts hosts off from the engines, or from the
// endpoints of reward calls, while they run the items of batches, and submits more
// batches to them: all results must come in time.
func TestItemsWaitForKeeperWithoutEndpoints(t *testing.T) {
	for name, service := range map[string]func(*site) []*fake.Engine{
		"from engines":           func(s *site) []*fake.Engine { return s.engines },
		"from reward endpoints":  func(s *site) []*fake.Engine { return s.plains },
		"from all but one":       func(s *site) []*fake.Engine { return s.engines[1:] },
		"from engines, refusing": func(s *site) []*fake.Engine { return s.engines },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLinkSite(t, linkSiteHosts, siteTimeout)
			cut := s.hosts[:4]
			fault := links.Fault{New: links.NewHang, Open: links.OpenHang}
			if strings.HasSuffix(name, "refusing") {
				fault = links.Fault{New: links.NewRefuse, Open: links.OpenReset}
			}
			var faults []links.Fault
			for _, e := range service(s) {
				fault.Address = e.Address()
				faults = append(faults, fault)
			}
			started := time.Now()
			for i, h := range cut {
				id := fmt.Sprintf("before-%d", i)
				checkStatus(t, "a batch before the cut", s.submit(h, id, newBatchBody(id, 3, 1)), http.StatusAccepted)
			}
			for _, h := range cut {
				s.breakLinks(h, faults...)
			}
			for i := range cut {
				s.readComplete(fmt.Sprintf("before-%d", i), newResultHistory(), 9, 1)
			}
			checkTook(t, "batches from before the cut", started, resultBound)
			started = time.Now()
			for i, h := range cut {
				id := fmt.Sprintf("within-%d", i)
				checkStatus(t, "a batch within the cut", s.submit(h, id, newBatchBody(id, 3, 1)), http.StatusAccepted)
			}
			for i := range cut {
				s.readComplete(fmt.Sprintf("within-%d", i), newResultHistory(), 9, 1)
			}
			checkTook(t, "batches within the cut", started, resultBound)
		})
	}
}

func checkTook(t *testing.T, what string, started time.Time, bound time.Duration) {
	t.Helper()
	took := time.Since(started)
	t.Logf("%s took %v", what, took)
	if took > bound {
		t.Errorf("%s took %v, want at most %v", what, took, bound)
	}
}

// TestStreamsEndWithLinksOfTheirHost cuts the host of a stream off after its second event.
// The stream must go on through other hosts, without a gap.
func TestStreamsEndWithLinksOfTheirHost(t *testing.T) {
	for name, fault := range linkFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow := fake.EngineOptions{Software: "v1", Mark: true}
			s := newLinkSiteWith(t, 3, siteTimeout, slow, slow, slow)
			h := s.hosts[0]
			for n := range 4 {
				id, p := fmt.Sprint("talk-", n), &pieces{software: make(map[string]bool)}
				s.stream(h, id, id, p, func() {
					if p.next == 2 {
						s.breakLinks(h, fault)
					}
				})
				if p.next != fake.EventCount(id) {
					t.Errorf("stream %s ended after %d of %d events", id, p.next, fake.EventCount(id))
				}
				s.breakLinks(h)
				time.Sleep(time.Second)
			}
		})
	}
}

// TestRequestRunsTwiceAfterLostLinks breaks and heals the links of hosts while requests
// that may run once are sent through them: none may run twice, nor at all if its caller
// was told that it has not run.
func TestRequestRunsTwiceAfterLostLinks(t *testing.T) {
	s := newLinkSite(t, linkSiteHosts, siteTimeout)
	random := rand.New(rand.NewPCG(1, 1))
	names := slices.Sorted(maps.Keys(linkFaults))
	stop, statuses := make(chan struct{}), make(map[string]int)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for i, h := range s.hosts {
		tasks.Go(func() {
			n := 0
			repeatUntil(stop, 5*time.Millisecond, func() {
				n++
				id := fmt.Sprintf("once-%d-%d", i, n)
				status, _ := s.send(http.MethodPost, h.callerAddress, "/once/x", id, []byte(id))
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
			})
		})
	}
	for range 12 {
		fault := linkFaults[names[random.IntN(len(names))]]
		for _, h := range s.hosts[:1+random.IntN(len(s.hosts)-1)] {
			s.breakLinks(h, fault)
		}
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
		for _, h := range s.hosts {
			s.breakLinks(h)
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
	close(stop)
	tasks.Wait()
	// What was held up has arrived by then.
	time.Sleep(noticeTime)
	runs, served := make(map[string]int), 0
	for _, e := range s.plains {
		for _, run := range e.Runs() {
			runs[run.ID]++
		}
	}
	for id, status := range statuses {
		if status == http.StatusOK {
			served++
		}
		if runs[id] > 1 {
			t.Errorf("request %s ran %d times", id, runs[id])
		}
		if status == http.StatusServiceUnavailable && runs[id] > 0 {
			t.Errorf("request %s ran and its caller was told that it has not run", id)
		}
	}
	t.Logf("%d of %d requests served", served, len(statuses))
}

// refusalBound is how long a refusal may take that is known before the request comes: two
// round trips between hosts and what a busy machine adds.
const refusalBound = 100 * time.Millisecond

// TestCallersWaitThoughNobodyReachesEndpoints cuts all hosts off from all endpoints. Once
// they know, they must refuse requests at once, with a time to come back, and serve again
// soon after the links are back.
func TestCallersWaitThoughNobodyReachesEndpoints(t *testing.T) {
	s := newLinkSite(t, 3, siteTimeout)
	s.firstTries("before", s.hosts, 5)
	for _, h := range s.hosts {
		s.breakLinks(h, links.Fault{New: links.NewHang, Open: links.OpenHang})
	}
	s.firstTries("learn", s.hosts, 4)
	late := 0
	for n := range 60 {
		started := time.Now()
		status, _ := s.send(http.MethodPost, s.hosts[n%3].callerAddress, plainPath+"x", fmt.Sprint("none-", n), []byte("x"))
		checkStatus(t, "a request that nobody can serve", status, http.StatusServiceUnavailable)
		if time.Since(started) > refusalBound {
			late++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if late > 0 {
		t.Errorf("%d of 60 refusals took longer than %v", late, refusalBound)
	}
	for _, h := range s.hosts {
		s.breakLinks(h)
	}
	time.Sleep(noticeTime)
	after := s.firstTries("after", s.hosts, 10)
	check.Equal(t, "served after the links are back", after.served, after.tried)
}
