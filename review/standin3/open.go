package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// statusLimit is status_s of the settings of a case that has to end within two minutes.
	statusLimit = 10 * time.Second
	// openLength is how long the batch submissions stay open.
	openLength = 100 * time.Second
)

// openBatches lets trainers keep their batch submissions open for longer than status_s, and reads
// their results again at every host. Without trouble they end them, and read for status_s only.
func openBatches(l *lab) error {
	l.bounds = append(l.bounds, "bounds.status_s="+strconv.Itoa(int(statusLimit.Seconds())))
	models := []string{"m0", "m1", "m2"}
	for i := range 4 {
		if _, err := l.startEngine(fmt.Sprintf("e%d", i), pool, models, generate); err != nil {
			return err
		}
	}
	var trainers []*trainer
	var routes []map[string]any
	for i, name := range []string{"library", "clinic", "lab"} {
		trainers = append(trainers, &trainer{lab: l, name: name, model: models[i], path: "/" + name + "/"})
		r := route(name, "rollout", pool, 10*time.Second, 3)
		r["result_deadline_ms"], r["max_queue_s"] = 7500, 40
		routes = append(routes, r)
	}
	if err := l.desire(1, nil, routes...); err != nil {
		return err
	}
	if err := l.startHosts(3); err != nil {
		return err
	}
	time.Sleep(contact)
	submitted := time.Now()
	before := make(map[*trainer][]result)
	for i, t := range trainers {
		results, err := t.step(l.hosts[i%len(l.hosts)], !l.trouble)
		if err != nil {
			return err
		}
		before[t] = results
	}
	until := submitted.Add(openLength)
	if !l.trouble {
		until = submitted.Add(statusLimit)
	}
	lost := 0
	for ; time.Now().Before(until); time.Sleep(2 * time.Second) {
		for _, t := range trainers {
			for _, h := range l.hosts {
				lost += t.readAgain(h, before[t])
			}
		}
	}
	l.logf("%d reads of batch submissions found them lost; the store holds the heads %q and the results %q", lost,
		l.store.Memory.Names("batch-heads"), l.store.Memory.Names("batch-chunks"))
	if lost > 0 {
		return errBroken
	}
	return nil
}

// readAgain reads the results of a batch submission from the start. It returns 1 if the host says
// that there is none, or gives others than were read before.
func (t *trainer) readAgain(h *host, before []result) int {
	a := t.call(h, http.MethodGet, "/currantloft/lots/"+t.batch()+"?after=0", nil, "")
	var p page
	switch {
	case a.status == http.StatusNotFound || a.status == http.StatusGone:
		t.lab.logf("trainer %s: %s answers %v", t.name, h.name, a)
		return 1
	case a.status != http.StatusOK || json.Unmarshal(a.body, &p) != nil:
		t.lab.logf("trainer %s: %s answers %v", t.name, h.name, a)
		return 0
	case !slices.Equal(p.Results[:min(len(p.Results), len(before))], before):
		t.lab.logf("trainer %s: %s answers %v, %d results that differ from the %d read before", t.name, h.name, a, len(p.Results), len(before))
		return 1
	}
	return 0
}
