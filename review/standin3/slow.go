package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// slowReaders asks for answers of a quarter of a megabyte and reads them slowly. It ends a host
// whose process takes more memory than its limit, as the platform does.
func slowReaders(l *lab) error {
	const (
		answerBytes = 256 << 10
		clients     = 600
		length      = 60 * time.Second
		// period is how often a requester asks, and budget how long it waits. All begin within
		// startTime.
		period    = 16 * time.Second
		budget    = 15 * time.Second
		startTime = 12 * time.Second
	)
	l.oneCore = true
	big := bytes.Repeat([]byte("x"), answerBytes)
	behave := func(_ *sampler, w http.ResponseWriter, _ *http.Request, _ []byte) {
		w.Header().Set("Content-Length", strconv.Itoa(len(big)))
		_, _ = w.Write(big)
	}
	for i := range 4 {
		if _, err := l.startSampler(fmt.Sprintf("s%d", i), portal, behave); err != nil {
			return err
		}
	}
	if err := l.desire(1, nil, route("export", "idempotent", portal, 20*time.Second, 2)); err != nil {
		return err
	}
	if err := l.startHosts(3); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	began := time.Now()
	end := began.Add(length)
	var tasks sync.WaitGroup
	var sent, complete atomic.Int64
	ended, most := make([]int, len(l.hosts)), make([]float64, len(l.hosts))
	for i, h := range l.hosts {
		tasks.Go(func() { ended[i], most[i] = h.limitMemory(end) })
		for c := range clients {
			tasks.Go(func() {
				time.Sleep(time.Duration(c) * startTime / clients)
				for n := 0; time.Now().Before(end); n++ {
					next := time.Now().Add(period)
					for left := budget; left > time.Second && time.Now().Before(end); left = time.Until(next) - (period - budget) {
						id := fmt.Sprintf("slow-%d-%d-%d-%d", i, c, n, left.Milliseconds())
						sent.Add(1)
						if l.readSlowly(h.frontend(), request{method: "GET", path: "/export/all", id: id, deadline: left}, end) {
							complete.Add(1)
							break
						}
						// The channel broke, or the time is over.
						time.Sleep(500 * time.Millisecond)
					}
					time.Sleep(min(time.Until(next), time.Until(end)))
				}
			})
		}
	}
	tasks.Wait()
	l.logf("%d requests were sent, %d answers read to the end", sent.Load(), complete.Load())
	return l.judgeMemory(ended, most)
}

// readSlowly sends a request and reads its answer, slowly if there is trouble, until its time
// budget ends. It reports whether the answer was read to its end.
func (l *lab) readSlowly(address string, q request, end time.Time) bool {
	if !l.trouble {
		a := ask(address, q)
		return a.status == http.StatusOK && a.err == nil
	}
	c, err := openSlow(address)
	if err != nil {
		return false
	}
	defer c.close()
	budget := time.Now().Add(q.deadline)
	_ = c.conn.SetDeadline(budget)
	if _, err := c.conn.Write([]byte(q.text())); err != nil {
		return false
	}
	buffer := make([]byte, 512)
	for time.Now().Before(budget) && time.Now().Before(end) {
		if _, err := c.reader.Read(buffer); err != nil {
			return false
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}
