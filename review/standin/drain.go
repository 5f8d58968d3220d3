package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// drainStreams is the number of streams, drainGap the time between two of them. One
	// stream takes about two seconds.
	drainStreams = 60
	drainGap     = 100 * time.Millisecond
	// stopAt and changeAt are when the first edge machine is stopped and when its settings
	// change, counted in streams.
	stopAt, changeAt = 30, 40
	// onlyStop and onlyChange are values of TROUBLE for one half of the disruption.
	onlyStop, onlyChange = "term", "hup"
)

// drained is what a requester has seen of a stream.
type drained struct {
	id, edge string
	sentAt   time.Time
	endedAt  time.Time
	complete bool
	err      error
}

// runDrain sends streams to both edge machines. One of them is stopped with SIGTERM. One
// second later its settings change, with SIGHUP.
func runDrain(s *site, trouble bool) (verdict, error) {
	for i := range poolSamplers {
		err := s.addSampler(samplerOptions{
			id: fmt.Sprintf("i-%d", i), service: poolService, slots: poolSlots, model: poolModel,
			serve: func(_ *sampler, w http.ResponseWriter, r *http.Request, _ []byte) { serveStream(w, r, 1) },
		})
		if err != nil {
			return verdict{}, err
		}
	}
	config := onceStreamConfig()
	if err := s.start(config); err != nil {
		return verdict{}, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	kind := os.Getenv("TROUBLE")
	var all []*drained
	var pending sync.WaitGroup
	for i := range drainStreams {
		if trouble && i == stopAt && kind != onlyChange {
			s.record.printf("SIGTERM to %s", s.edges[0].name)
			s.edges[0].signal(syscall.SIGTERM)
		}
		if trouble && i == changeAt && kind != onlyStop {
			if err := s.changeSettings(s.edges[0]); err != nil {
				return verdict{}, err
			}
		}
		edge := s.edges[i%len(s.edges)]
		if trouble && i >= changeAt {
			// Requesters have the addresses anew by now.
			edge = s.edges[1]
		}
		d := &drained{id: fmt.Sprintf("%016x", 0xd000+i), edge: edge.name}
		all = append(all, d)
		pending.Go(func() { s.readStream(client, edge, d) })
		time.Sleep(drainGap)
	}
	pending.Wait()
	return judgeDrain(s, all), nil
}

// onceStreamConfig is streamConfig without resumption, so that a stream runs once at most.
func onceStreamConfig() map[string]any {
	config := streamConfig()
	if list, ok := config["routes"].([]map[string]any); ok {
		list[0]["resumable"] = false
	}
	return config
}

// changeSettings rewrites a machine's settings with another limit and sends it SIGHUP.
func (s *site) changeSettings(p *process) error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	text = bytes.Replace(text, []byte("limits.max_fds=4100"), []byte("limits.max_fds=4000"), 1)
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return fmt.Errorf("changing settings: %w", err)
	}
	s.record.printf("the settings of %s have changed, SIGHUP", p.name)
	p.signal(syscall.SIGHUP)
	return nil
}

// readStream sends one request for a stream and reads it. It is complete if its last event
// and its proper end have come.
func (s *site) readStream(client *http.Client, edge *process, d *drained) {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	defer func() {
		d.endedAt = time.Now()
		s.record.printf("%s of %s has ended, complete: %t, error %v", d.id, d.edge, d.complete, d.err)
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.frontend+streamPath+"x", strings.NewReader("prompt"))
	if err != nil {
		d.err = err
		return
	}
	request.Host = hostname
	for name, value := range map[string]string{
		"Attempt-Id": d.id, "Deadline-Ms": strconv.FormatInt(streamDeadline.Milliseconds(), 10), "Model": poolModel,
		"Token-Usage": "16,2360", "Prefix-Hash": d.id + ":16",
	} {
		request.Header.Set(name, value)
	}
	d.sentAt = time.Now()
	s.record.printf("%s is sent to %s", d.id, d.edge)
	response, err := client.Do(request)
	if err != nil {
		d.err = err
		return
	}
	defer response.Body.Close()
	events := 0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data:") {
			events++
		}
	}
	d.err = scanner.Err()
	d.complete = d.err == nil && response.StatusCode == http.StatusOK && events == streamEvents
	// A refusal is a complete answer, too.
	d.complete = d.complete || d.err == nil && response.StatusCode != http.StatusOK
}

// judgeDrain finds the requests that were passed on to a sampler and whose channel ended
// without a complete answer.
func judgeDrain(s *site, all []*drained) verdict {
	var v verdict
	ran := make(map[string]samplerRun)
	for _, run := range s.allRuns() {
		ran[run.id] = run
	}
	for _, d := range all {
		if run, ok := ran[d.id]; ok && !d.complete {
			v.broken = append(v.broken, fmt.Sprintf("LOST: %s, sent to %s at %.3f and passed on to %s, ended at %.3f without a complete answer: %v",
				d.id, d.edge, s.record.since(d.sentAt), run.sampler, s.record.since(d.endedAt), d.err))
		}
	}
	v.note = fmt.Sprintf("%d streams", len(all))
	return v
}
