package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	takeoverMachines = 8
	takeoverItems    = 60
	takeoverBytes    = 380 << 10
	// takeoverRemoved is the number of machines that are removed.
	takeoverRemoved = 6
	takeoverTime    = 45 * time.Second
)

// runTakeover removes most machines while batches are open, so that the others take them over.
func runTakeover(ctx context.Context, rec *record, root, dir string, trouble bool) error {
	var models []string
	for i := range takeoverMachines {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	s, err := newSite(ctx, rec, root, dir, takeoverMachines, poolConfig(models...), engineOptions(8, 130*time.Millisecond, models...))
	defer s.close()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var open []string
	var trainers sync.WaitGroup
	for i, m := range s.machines {
		trainers.Go(func() {
			id := fmt.Sprintf("b%d", i)
			if s.submit(m, id, batchBody(id, models[i], takeoverItems, takeoverBytes)) {
				mu.Lock()
				defer mu.Unlock()
				open = append(open, id)
			}
		})
	}
	trainers.Wait()
	if trouble {
		var kills sync.WaitGroup
		for _, m := range s.machines[:takeoverRemoved] {
			kills.Go(func() { s.kill(m, true) })
		}
		kills.Wait()
	}
	accepted := len(open)
	last := s.machines[takeoverMachines-1]
	for end := time.Now().Add(takeoverTime); time.Now().Before(end) && len(open) > 0 && ctx.Err() == nil; time.Sleep(time.Second) {
		open = slices.DeleteFunc(open, func(id string) bool { return s.complete(last, id) })
	}
	rec.printf("%d of %d accepted batches are complete", accepted-len(open), accepted)
	return s.checkFault()
}

// complete reports whether a machine lists all results of a batch.
func (s *site) complete(m *machine, id string) bool {
	status, body := s.call(http.MethodGet, m.address(callersPort), "/currantloft/lots/"+id+"?after=0", nil, nil)
	var page struct {
		Total, Next int
	}
	complete := status == http.StatusOK && json.Unmarshal(body, &page) == nil && page.Next == page.Total
	s.record.printf("results of %s at %s: status %d, %d of %d", id, m.name, status, page.Next, page.Total)
	return complete
}
