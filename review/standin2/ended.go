package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantloft/currantloft/rendez"
)

const (
	endedMachines = 8
	endedItems    = 12
	endedBytes    = 400 << 10
	// endedRemoved is the number of machines that are removed after endedBefore.
	endedRemoved = 6
	endedBefore  = 5 * time.Second
	endedTime    = 78 * time.Second
	// endedStep is the time from one step of a trainer to the next: a batch each 4 s.
	endedStep = 4 * time.Second
)

// runEnded lets one trainer for each machine run one step after the other. Each reads all results
// of a step and ends its batch. Most machines are removed.
func runEnded(ctx context.Context, rec *record, root, dir string, trouble bool) error {
	models := spreadModels()
	s, err := newSite(ctx, rec, root, dir, endedMachines, poolConfig(models...), engineOptions(16, 20*time.Millisecond, models...))
	defer s.close()
	if err != nil {
		return err
	}
	var steps, complete atomic.Int64
	var trainers sync.WaitGroup
	end := time.Now().Add(endedTime)
	for i := range s.machines {
		trainers.Go(func() {
			for step := 0; time.Now().Before(end) && ctx.Err() == nil; step++ {
				next := time.Now().Add(endedStep)
				id := fmt.Sprintf("t%ds%d", i, step)
				steps.Add(1)
				if s.runStep(i, id, models[i], next) {
					complete.Add(1)
				}
				time.Sleep(time.Until(next))
			}
		})
	}
	time.Sleep(endedBefore)
	if trouble {
		var kills sync.WaitGroup
		for _, m := range s.machines[:endedRemoved] {
			kills.Go(func() { s.kill(m, true) })
		}
		kills.Wait()
	}
	trainers.Wait()
	rec.printf("%d steps, %d complete in time", steps.Load(), complete.Load())
	return s.checkFault()
}

// spreadModels returns a model for each machine, which keeps the batches of its trainer, so that
// without a disruption all machines keep equally many. The machines that stay share the others.
func spreadModels() []string {
	var names []string
	for i := range endedMachines {
		names = append(names, machineName(i))
	}
	stay := names[endedRemoved:]
	kept := make(map[string]int)
	var models []string
	for i, n := 0, 0; i < endedMachines; n++ {
		model := fmt.Sprintf("m%d", n)
		first, _ := rendez.First(hostname+model, names)
		next, _ := rendez.First(hostname+model, stay)
		if first == names[i] && (i >= endedRemoved || kept[next] < endedRemoved/len(stay)) {
			kept[next]++
			models = append(models, model)
			i++
		}
	}
	return models
}

// runStep submits a batch, reads its results until it is complete or the time is over, and ends
// it. It reports whether the batch was complete.
func (s *site) runStep(trainer int, id, model string, until time.Time) (complete bool) {
	raw := batchBody(id, model, endedItems, endedBytes)
	accepted := false
	for n := 0; time.Now().Before(until); n++ {
		m := s.inUse(trainer + n)
		if accepted = accepted || s.submit(m, id, raw); accepted {
			break
		}
		time.Sleep(callTimeout / 10)
	}
	for n := 0; accepted && !complete && time.Now().Before(until); n++ {
		complete = s.complete(s.inUse(trainer+n), id)
		time.Sleep(callTimeout / 10)
	}
	for n := 0; accepted && n < 4; n++ {
		m := s.inUse(trainer + n)
		status, _ := s.call(http.MethodDelete, m.address(callersPort), "/currantloft/lots/"+id, nil, nil)
		s.record.printf("end of batch %s at %s: status %d", id, m.name, status)
		if status == http.StatusOK {
			break
		}
	}
	return complete
}

// inUse returns one of the machines that the case has not removed.
func (s *site) inUse(n int) *machine {
	var list []*machine
	for _, m := range s.machines {
		m.mu.Lock()
		if !m.gone {
			list = append(list, m)
		}
		m.mu.Unlock()
	}
	return list[n%len(list)]
}
