package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	plainService = "tenant-portal"
	oncePath     = "/bill/"
	// plainSamplers is such that one of them is less than the share of 0.15 that fails.
	plainSamplers = 7
	plainSlots    = 6
	onceWork      = 25 * time.Millisecond
	// onceTime is how long requests are sent, oncePause the time between two of a requester.
	onceTime     = 15 * time.Second
	oncePause    = 15 * time.Millisecond
	onceDeadline = 2 * time.Second
	// failedShare is the share of its requests that a failing sampler fails.
	failedShare = 0.4
	// greyFrom and greyTo are when the sampler fails, from the first request.
	greyFrom, greyTo = 5 * time.Second, 10 * time.Second
)

// onceConfig is a desired state with one route whose requests may run once at most.
func onceConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "bill", "hostname": hostname, "path_prefix": oncePath, "route_type": "non_idempotent", "priority": 1,
			"timeout_ms": 2000, "target_latency_ms": 150, "max_attempts": 2, "service": plainService,
		}},
		"services": []map[string]any{{"name": plainService, "health_path": "/healthz", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	}
}

// greyState says whether the failing sampler fails now, and which of its requests.
type greyState struct {
	mu      sync.Mutex
	failing bool
	seen    float64
	failed  float64
}

func (g *greyState) set(failing bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failing = failing
}

// fails reports whether the next request fails, so that failedShare of them do.
func (g *greyState) fails() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failing {
		return false
	}
	g.seen++
	if g.failed+1 > failedShare*g.seen {
		return false
	}
	g.failed++
	return true
}

// runRefused sends requests that may run once. For some seconds one sampler fails a part of
// them after it has worked on them, with a 503 of its own. It does not say that it has not
// run them.
func runRefused(s *site, trouble bool) (verdict, error) {
	grey := &greyState{}
	for i := range plainSamplers {
		failing := i == 0
		err := s.addSampler(samplerOptions{
			id: fmt.Sprintf("i-%d", i), service: plainService, slots: plainSlots,
			serve: func(_ *sampler, w http.ResponseWriter, r *http.Request, body []byte) {
				time.Sleep(onceWork)
				answer := append([]byte("done: "), body...)
				if failing && grey.fails() {
					answer = []byte("failed")
					sign(w, r.Header.Get("Attempt-Id"), answer)
					w.WriteHeader(http.StatusServiceUnavailable)
				} else {
					sign(w, r.Header.Get("Attempt-Id"), answer)
				}
				_, _ = w.Write(answer)
			},
		})
		if err != nil {
			return verdict{}, err
		}
	}
	if err := s.start(onceConfig()); err != nil {
		return verdict{}, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	answers, operations := s.sendOperations(client, 1, func(at time.Duration) {
		grey.set(trouble && at >= greyFrom && at < greyTo)
	})
	return judgeRefused(s, answers, operations), nil
}

// sendOperations lets requesters send one operation after another, and calls before with
// the time since the first one. A requester sends an operation again only after a promise
// that it has not run. It returns the statuses of the attempts, and the attempts of each
// operation.
func (s *site) sendOperations(client *http.Client, requesters int, before func(at time.Duration)) (answers map[string]int, operations map[string][]string) {
	answers, operations = make(map[string]int), make(map[string][]string)
	var mu sync.Mutex
	var pending sync.WaitGroup
	start := time.Now()
	for n := range requesters {
		pending.Go(func() {
			for i := n; time.Since(start) < onceTime; i += requesters {
				before(time.Since(start))
				operation := fmt.Sprintf("operation-%d", i)
				for attempt := range 2 {
					id := fmt.Sprintf("%08x%08x", i+1, attempt+1)
					edge := s.edges[(i/requesters+attempt)%len(s.edges)]
					status, promised := s.sendOnce(client, edge, id, operation)
					mu.Lock()
					answers[id] = status
					operations[operation] = append(operations[operation], id)
					mu.Unlock()
					if !promised {
						break
					}
				}
				time.Sleep(oncePause)
			}
		})
	}
	pending.Wait()
	return answers, operations
}

// sendOnce sends one attempt. It reports whether its status promises that it has not run
// and never will.
func (s *site) sendOnce(client *http.Client, edge *process, id, operation string) (status int, promised bool) {
	ctx, cancel := context.WithTimeout(context.Background(), onceDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.frontend+oncePath+"x", bytes.NewReader([]byte(operation)))
	if err != nil {
		return 0, false
	}
	request.Host = hostname
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(onceDeadline.Milliseconds(), 10))
	s.record.printf("%s is sent to %s: %s", id, edge.name, operation)
	response, err := client.Do(request)
	if err != nil {
		s.record.printf("%s has no answer: %v", id, err)
		return 0, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.record.printf("%s has an incomplete answer: %v", id, err)
		return 0, false
	}
	s.record.printf("%s is answered with %d, signature %q, Not-Executed %q: %s", id, response.StatusCode,
		response.Header.Get("Response-Signature"), response.Header.Get("Not-Executed"), body)
	return response.StatusCode, isPromise(response.StatusCode)
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeRefused finds the attempts that were answered with a promise and have run.
func judgeRefused(s *site, answers map[string]int, operations map[string][]string) verdict {
	var v verdict
	ran := make(map[string]string)
	for _, run := range s.allRuns() {
		ran[run.id] = run.sampler
	}
	for id, status := range answers {
		if sampler, ok := ran[id]; ok && isPromise(status) {
			v.broken = append(v.broken, fmt.Sprintf("REFUSED: %s was answered with %d and has run at %s", id, status, sampler))
		}
	}
	twice := 0
	for _, ids := range operations {
		times := 0
		for _, id := range ids {
			if _, ok := ran[id]; ok {
				times++
			}
		}
		if times > 1 {
			twice++
		}
	}
	v.note = fmt.Sprintf("%d requests; %d of them ran twice, since their requester trusted the promise", len(operations), twice)
	return v
}
