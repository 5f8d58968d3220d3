package main

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	bodiesMachines = 3
	bodiesItems    = 60
	bodiesBytes    = 380 << 10
	// bodiesReaders is the number of callers that request bodies at each of the machines that
	// stay, and bodiesPause the pause of each after an answer: two calls a second.
	bodiesReaders = 5
	bodiesPause   = 500 * time.Millisecond
	bodiesBefore  = 3 * time.Second
	bodiesAfter   = 30 * time.Second
)

var errNotAccepted = errors.New("the batch was not accepted")

// runBodies removes the machine that has accepted a batch, while callers request the bodies of
// its items at the others.
func runBodies(ctx context.Context, rec *record, root, dir string, trouble bool) error {
	s, err := newSite(ctx, rec, root, dir, bodiesMachines, poolConfig("m0"), engineOptions(2, 200*time.Millisecond, "m0"))
	defer s.close()
	if err != nil {
		return err
	}
	if !s.submit(s.machines[0], "b0", batchBody("b0", "m0", bodiesItems, bodiesBytes)) {
		return errNotAccepted
	}
	var readers sync.WaitGroup
	end := time.Now().Add(bodiesBefore + bodiesAfter)
	for _, m := range s.machines[1:] {
		for r := range bodiesReaders {
			readers.Go(func() { s.readBodies(ctx, m, r, end) })
		}
	}
	time.Sleep(bodiesBefore)
	if trouble {
		s.kill(s.machines[0], true)
	}
	readers.Wait()
	return s.checkFault()
}

// readBodies requests the bodies of the items of a batch one after the other.
func (s *site) readBodies(ctx context.Context, m *machine, first int, end time.Time) {
	for n := first; time.Now().Before(end) && ctx.Err() == nil; n += bodiesReaders {
		item := itemID("b0", n%bodiesItems)
		status, body := s.call(http.MethodGet, m.address(callersPort), "/currantloft/items/b0?id="+item, nil, nil)
		s.record.printf("body of %s at %s: status %s, %d bytes", item, m.name, strconv.Itoa(status), len(body))
		time.Sleep(bodiesPause)
	}
}
