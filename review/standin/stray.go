package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// straySamplers is the number of samplers, of which a share of a half garbles.
	straySamplers = 4
	// strayShare is the share of its answers after which such a sampler sends more bytes.
	strayShare = 0.02
	// strayBytes is what it sends where the next answer is expected: an error without an id.
	strayBytes = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nunavailable"
	// strayRequesters is the number of requesters.
	strayRequesters = 4
	// strayFrom and strayTo are when the samplers garble, from the first request.
	strayFrom, strayTo = 5 * time.Second, 10500 * time.Millisecond
)

// strayState says whether samplers garble now, and after which answers.
type strayState struct {
	mu      sync.Mutex
	now     bool
	answers float64
	garbled float64
}

func (g *strayState) set(now bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now = now
}

// garbles reports whether to send stray bytes after this answer, so that strayShare of them
// are followed by some.
func (g *strayState) garbles() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.now {
		return false
	}
	g.answers++
	if g.garbled+1 > strayShare*g.answers {
		return false
	}
	g.garbled++
	return true
}

// runStray sends requests that may run once. After some of their complete answers, two of
// four samplers send additional bytes late, where the next answer on the channel is expected.
func runStray(s *site, trouble bool) (verdict, error) {
	states := make([]*strayState, straySamplers)
	for i := range straySamplers {
		state := &strayState{}
		states[i] = state
		garbling := i%2 == 0
		err := s.addSampler(samplerOptions{
			id: fmt.Sprintf("i-%d", i), service: plainService, slots: plainSlots,
			serve: func(e *sampler, w http.ResponseWriter, r *http.Request, body []byte) {
				time.Sleep(onceWork)
				answer := append([]byte("done: "), body...)
				if garbling && state.garbles() {
					if err := e.answerWithStray(w, r, answer); err != nil {
						e.site.record.printf("%s could not garble: %v", e.id(), err)
					}
					return
				}
				sign(w, r.Header.Get("Attempt-Id"), answer)
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
	answers, operations := s.sendOperations(client, strayRequesters, func(at time.Duration) {
		for _, state := range states {
			state.set(trouble && at >= strayFrom && at < strayTo)
		}
	})
	return judgeRefused(s, answers, operations), nil
}

// answerWithStray answers a request and serves the rest of its channel itself: before the
// answer to the next request it sends bytes that belong to no request. Then it closes the
// channel.
func (e *sampler) answerWithStray(w http.ResponseWriter, r *http.Request, answer []byte) error {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return errors.New("the channel can't be taken over")
	}
	conn, buffered, err := hijacker.Hijack()
	if err != nil {
		return fmt.Errorf("taking the channel over: %w", err)
	}
	if err := writeAnswer(conn, w.Header(), r.Header.Get("Attempt-Id"), answer); err != nil {
		_ = conn.Close()
		return err
	}
	go e.serveStray(conn, buffered.Reader)
	return nil
}

// serveStray serves the next request on a channel after the stray bytes.
func (e *sampler) serveStray(conn net.Conn, reader *bufio.Reader) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return
	}
	next, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, err := io.ReadAll(next.Body)
	id := next.Header.Get("Attempt-Id")
	if err != nil || id == "" {
		return
	}
	if _, err := io.WriteString(conn, strayBytes); err != nil {
		return
	}
	e.site.record.printf("%s has sent stray bytes where the answer to %s is expected", e.id(), id)
	run := &samplerRun{sampler: e.id(), id: id, operation: string(body), began: time.Now()}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.site.record.printf("%s begins to run %s", run.sampler, id)
	time.Sleep(onceWork)
	e.mu.Lock()
	run.ended = time.Now()
	e.mu.Unlock()
	e.site.record.printf("%s has stopped working on %s", run.sampler, id)
	// The requester may have closed the channel.
	_ = writeAnswer(conn, http.Header{}, id, append([]byte("done: "), body...))
}

// writeAnswer writes a signed answer with its id and a length.
func writeAnswer(conn net.Conn, header http.Header, id string, answer []byte) error {
	head := "HTTP/1.1 200 OK\r\n"
	for name, values := range header {
		for _, value := range values {
			head += name + ": " + value + "\r\n"
		}
	}
	if header.Get("Attempt-Id") == "" {
		head += "Attempt-Id: " + id + "\r\n"
	}
	head += fmt.Sprintf("Response-Signature: %s\r\nContent-Length: %d\r\n\r\n", signature(id, answer), len(answer))
	_, err := conn.Write(append([]byte(head), answer...))
	return err
}
