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
	// crashSamplers is the number of samplers, crashDown how long one is down after a crash.
	crashSamplers = 9
	crashDown     = 3 * time.Second
	// crashSends is how often the request comes again, crashPause the time between.
	crashSends = 12
	crashPause = 5 * time.Second
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// crashesCounted is the number of crashes from which retries are counted, mostRetries
	// how many may reach samplers.
	crashesCounted = 3
	mostRetries    = 3
	crashBody      = "the prompt that crashes samplers"
)

// crashLog records the crashes and the arrivals of the request at samplers.
type crashLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	starts   int
}

// runCrash sends a request that crashes each sampler that runs it, after its first event,
// again and again, beside harmless streams. Without the disruption the same request does
// no harm.
func runCrash(s *site, trouble bool) (verdict, error) {
	log := &crashLog{}
	for i := range crashSamplers {
		options := samplerOptions{id: fmt.Sprintf("i-%d", i), service: poolService, slots: poolSlots, model: poolModel}
		options.serve = func(e *sampler, w http.ResponseWriter, r *http.Request, body []byte) {
			if !bytes.Equal(body, []byte(crashBody)) {
				serveStream(w, r, 1)
				return
			}
			log.mu.Lock()
			log.arrivals = append(log.arrivals, time.Now())
			log.mu.Unlock()
			if !trouble {
				serveStream(w, r, 1)
				return
			}
			writeFirstEvent(w, r)
			log.mu.Lock()
			log.crashes = append(log.crashes, time.Now())
			log.starts++
			next := fmt.Sprintf("%s-%d", e.id(), log.starts)
			log.mu.Unlock()
			e.crash(crashDown, next)
			panic(http.ErrAbortHandler)
		}
		if err := s.addSampler(options); err != nil {
			return verdict{}, err
		}
	}
	if err := s.start(streamConfig()); err != nil {
		return verdict{}, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	ctx, cancel := context.WithCancel(context.Background())
	var innocents sync.WaitGroup
	innocents.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			s.sendStream(client, s.edges[i%len(s.edges)], fmt.Sprintf("%016x", 0xb0000+i), "harmless")
			time.Sleep(streamGap)
		}
	})
	for i := range crashSends {
		s.sendStream(client, s.edges[i%len(s.edges)], fmt.Sprintf("%016x", 0xc0000+i), crashBody)
		time.Sleep(crashPause)
	}
	cancel()
	innocents.Wait()
	return judgeCrash(s, log), nil
}

// writeFirstEvent sends the next event of a stream: a request begins to run with its first
// token.
func writeFirstEvent(w http.ResponseWriter, r *http.Request) {
	n := 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		n = after + 1
	}
	id := r.Header.Get("Attempt-Id")
	time.Sleep(firstEvent)
	sign(w, id, []byte(id))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	// A requester that has left does not matter.
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s:%d\n\n", n, id, n)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(eventPause)
}

// sendStream sends a request for a stream and reads the answer to its end.
func (s *site) sendStream(client *http.Client, edge *process, id, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.frontend+streamPath+"x", bytes.NewReader([]byte(prompt)))
	if err != nil {
		return
	}
	request.Host = hostname
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": strconv.FormatInt(streamDeadline.Milliseconds(), 10), "Model": poolModel,
		"Token-Usage": "16,2360", "Prefix-Hash": "9c2e41:16",
	} {
		request.Header.Set(name, value)
	}
	s.record.printf("%s is sent to %s: %s", id, edge.name, prompt)
	response, err := client.Do(request)
	if err != nil {
		s.record.printf("%s has no answer: %v", id, err)
		return
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	s.record.printf("%s is answered with %d, Retry-After %q, %d events, error %v", id, response.StatusCode,
		response.Header.Get("Retry-After"), bytes.Count(answer, []byte("data:")), err)
}

// judgeCrash counts the retries that reached samplers later than contact_ms after the third
// crash.
func judgeCrash(s *site, log *crashLog) verdict {
	log.mu.Lock()
	defer log.mu.Unlock()
	v := verdict{note: fmt.Sprintf("%d arrivals at samplers, %d crashes", len(log.arrivals), len(log.crashes))}
	if len(log.crashes) < crashesCounted {
		return v
	}
	from := log.crashes[crashesCounted-1].Add(contactTime)
	late := 0
	for _, at := range log.arrivals {
		if at.After(from) {
			late++
		}
	}
	v.note += fmt.Sprintf("; %d arrivals later than %v after the third crash at %.3f", late, contactTime, s.record.since(log.crashes[crashesCounted-1]))
	if late > mostRetries {
		v.broken = append(v.broken, fmt.Sprintf("BUDGET: the request that crashes samplers reached samplers %d times later than %v after its third crash, %d are allowed",
			late, contactTime, mostRetries))
	}
	return v
}
