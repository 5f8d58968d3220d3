package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// largeBodies sends one request at a time to each host, with a body at the limit of the desired
// state. The samplers answer with the same bytes. Without trouble the bodies have 1 MiB.
func largeBodies(l *lab) error {
	const (
		largest = 33554432
		length  = 60 * time.Second
		budget  = 12 * time.Second
	)
	l.oneCore, l.bodyBytes = true, largest
	size := 1 << 20
	if l.trouble {
		size = largest
	}
	body := strings.Repeat("b", size)
	behave := func(_ *sampler, w http.ResponseWriter, _ *http.Request, got []byte) {
		w.Header().Set("Content-Length", fmt.Sprint(len(got)))
		_, _ = w.Write(got)
	}
	for i := range 4 {
		if _, err := l.startSampler(fmt.Sprintf("s%d", i), portal, behave); err != nil {
			return err
		}
	}
	if err := l.desire(1, nil, route("upload", "idempotent", portal, budget, 2)); err != nil {
		return err
	}
	if err := l.startHosts(3); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	end := time.Now().Add(length)
	var tasks sync.WaitGroup
	var sent, complete atomic.Int64
	ended, most := make([]int, len(l.hosts)), make([]float64, len(l.hosts))
	for i, h := range l.hosts {
		tasks.Go(func() { ended[i], most[i] = h.limitMemory(end) })
		tasks.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				sent.Add(1)
				a := ask(h.frontend(), request{method: http.MethodPost, path: "/upload/file", id: fmt.Sprintf("large-%d-%d", i, n), deadline: budget, body: body})
				l.logf("request large-%d-%d at %s: %v", i, n, h.name, a)
				if a.status == http.StatusOK && a.err == nil {
					complete.Add(1)
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	tasks.Wait()
	l.logf("%d requests were sent, %d answered whole", sent.Load(), complete.Load())
	return l.judgeMemory(ended, most)
}
