package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateFirstEvent sends streaming requests on kept channels. One of five samplers works four times
// as long for some seconds, so that its first events come later than the route's timeout.
func lateFirstEvent(l *lab) error {
	const (
		samplers = 5
		slowdown = 4
		slowTime = 8 * time.Second
		first    = 550 * time.Millisecond
		timeout  = 2 * time.Second
		channels = 50
	)
	var slowUntil atomic.Int64
	behave := func(s *sampler, w http.ResponseWriter, r *http.Request, body []byte) {
		if r.URL.Path == "/lookup/rack" {
			plain(s, w, r, body)
			return
		}
		delay := first
		if s.name == "s0" && time.Now().UnixNano() < slowUntil.Load() {
			delay *= slowdown
		}
		stream(w, r, 8, delay, 30*time.Millisecond, nil)
	}
	for i := range samplers {
		if _, err := l.startSampler(fmt.Sprintf("s%d", i), pool, behave); err != nil {
			return err
		}
	}
	if err := l.desire(1, nil, route("talk", "streaming", pool, timeout, 1), route("lookup", "idempotent", pool, timeout, 2)); err != nil {
		return err
	}
	if err := l.startHosts(2); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	if l.trouble {
		slowUntil.Store(time.Now().Add(slowTime).UnixNano())
		l.logf("sampler s0 works %d times as long for %v", slowdown, slowTime)
	}
	var tasks sync.WaitGroup
	var closed, failed atomic.Int64
	for n := range channels {
		h := l.hosts[n%len(l.hosts)]
		tasks.Go(func() {
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			c, err := open(h.frontend())
			if err != nil {
				failed.Add(1)
				return
			}
			defer c.close()
			if kept := c.do(request{method: "POST", path: "/lookup/rack", id: fmt.Sprintf("kept-%d", n), deadline: timeout, body: "x"}); kept.status != http.StatusOK || kept.err != nil {
				failed.Add(1)
				return
			}
			a := c.do(request{method: "POST", path: "/talk/hello", id: fmt.Sprintf("talk-%d", n), deadline: 4 * timeout, body: "hello"})
			l.logf("request talk-%d on a kept channel to %s: %v", n, h.name, a)
			if a.status == 0 {
				closed.Add(1)
			}
		})
	}
	tasks.Wait()
	if failed.Load() > 0 {
		return fmt.Errorf("the first requests of %d channels were not answered", failed.Load())
	}
	l.logf("%d of %d kept channels were closed without an answer, at most 3 may", closed.Load(), channels)
	if closed.Load() > 3 {
		return errBroken
	}
	return nil
}
