package integ

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/links"
)

const (
	// stopCallers is the number of callers that keep a connection to the host that stops.
	stopCallers = 12
	// callerPause is the pause between two requests of a caller.
	callerPause = 3 * time.Millisecond
)

// keptCaller sends requests on a connection that it keeps until the host is gone.
type keptCaller struct {
	client *http.Client
	// path and limit are those of its requests.
	path  string
	limit time.Duration
	// unanswered holds the requests that ended without a complete answer.
	unanswered []string
	answered   int
}

// call sends one request.
func (c *keptCaller) call(ctx context.Context, address, id string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.path, bytes.NewReader([]byte(id)))
	if err != nil {
		return err
	}
	request.Host = routeHostname
	request.GetBody = nil
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(c.limit.Milliseconds()))
	response, err := c.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	if err != nil {
		c.unanswered = append(c.unanswered, id)
		return err
	}
	c.answered++
	return nil
}

// keepCalling starts callers that keep a connection to a host until stop is closed. The
// returned function waits for them and checks that each request which ran was answered.
func (s *site) keepCalling(t *testing.T, h *host, stop <-chan struct{}) func() {
	return s.keepCallingPath(t, h, stop, "/once/x", 2*time.Second)
}

// keepCallingPath is keepCalling with the path and the time limit of the requests.
func (s *site) keepCallingPath(t *testing.T, h *host, stop <-chan struct{}, path string, limit time.Duration) func() {
	callers := make([]*keptCaller, stopCallers)
	var tasks sync.WaitGroup
	for i := range callers {
		c := &keptCaller{client: &http.Client{Transport: &http.Transport{}}, path: path, limit: limit}
		callers[i] = c
		tasks.Go(func() {
			defer c.client.CloseIdleConnections()
			n := 0
			repeatUntil(stop, callerPause, func() {
				n++
				if err := c.call(s.ctx, h.callerAddress, fmt.Sprintf("kept-%d-%d", i, n)); err != nil {
					// The host may have closed the connection, or be gone.
					time.Sleep(callerPause)
				}
			})
		})
	}
	return func() {
		t.Helper()
		tasks.Wait()
		ran := make(map[string]bool)
		for _, e := range s.plains {
			for _, run := range e.Runs() {
				ran[run.ID] = true
			}
		}
		answered := 0
		for _, c := range callers {
			answered += c.answered
			for _, id := range c.unanswered {
				if ran[id] {
					t.Errorf("request %s ran and was not answered", id)
				}
			}
		}
		t.Logf("%d requests answered", answered)
		if answered == 0 {
			t.Error("no request was answered")
		}
	}
}

// TestStopCutsOffAcceptedRequests stops a host under load from callers that keep their
// connections until it is gone.
func TestStopCutsOffAcceptedRequests(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	h := s.hosts[0]
	checkAnswered := s.keepCalling(t, h, h.ended())
	time.Sleep(time.Second)
	h.signal(syscall.SIGTERM)
	checkAnswered()
}

// TestStopCutsOffLateRequests stops a host whose callers send requests until late in its
// grace period that last longer than what is left of it.
func TestStopCutsOffLateRequests(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	for _, e := range s.plains {
		e.DelayAnswers(2700 * time.Millisecond)
	}
	h := s.hosts[0]
	checkAnswered := s.keepCallingPath(t, h, h.ended(), judgePath+"x", 3*time.Second)
	time.Sleep(time.Second)
	h.signal(syscall.SIGTERM)
	checkAnswered()
}

// TestStopCutsOffRequestsOfOtherHosts stops one host after the other under load from a
// host that reaches endpoints only through them.
func TestStopCutsOffRequestsOfOtherHosts(t *testing.T) {
	s := newLinkSite(t, 4, siteTimeout)
	s.breakLinks(s.hosts[0], links.Fault{New: links.NewHang, Open: links.OpenHang})
	s.firstTries("before", s.hosts[:1], 5)
	stop := make(chan struct{})
	checkAnswered := s.keepCalling(t, s.hosts[0], stop)
	for _, h := range s.hosts[1:] {
		time.Sleep(time.Second)
		h.signal(syscall.SIGTERM)
		<-h.ended()
		s.start(h)
		s.eventually(h.name+" is ready again", func() bool { return s.status(h, h.readyAddress, "/currantloft/readyz") == http.StatusOK })
	}
	close(stop)
	checkAnswered()
}
