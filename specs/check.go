package specs

import (
	"github.com/currantloft/currantloft/finds"
)

// checkReferences reports references to sections that are not declared, pools
// without an endpoint, plain services without an endpoint, and trainers that do
// not accept the version that their pool serves.
func (s *Set) checkReferences(readers map[string]*sectionReader, list *finds.List) {
	position := func(id, key string) finds.Position {
		return readers[id].position(key)
	}
	counts := make(map[string]int)
	for name, e := range s.endpoints {
		counts[e.Backend()]++
		if _, ok := s.pools[e.pool]; e.pool != "" && !ok {
			list.Add(position("endpoint "+name, "pool"), "no [pool %s]", e.pool)
		}
		service, ok := s.services[e.service]
		if e.service != "" && (!ok || !service.Plain()) {
			list.Add(position("endpoint "+name, "service"), "no plain [service %s]", e.service)
		}
	}
	for name := range s.pools {
		if counts[PoolBackend(name)] == 0 {
			list.Add(position("pool "+name, ""), "no endpoint belongs to this pool")
		}
	}
	for name, service := range s.services {
		if service.Plain() {
			if counts[service.Backend()] == 0 {
				list.Add(position("service "+name, ""), "want a pool, or an endpoint with service = %s", name)
			}
			continue
		}
		if _, ok := s.pools[service.pool]; !ok {
			list.Add(position("service "+name, "pool"), "no [pool %s]", service.pool)
		}
	}
	for name, t := range s.trainers {
		s.checkTrainer(name, t, position, list)
	}
}

func (s *Set) checkTrainer(name string, t Trainer, position func(id, key string) finds.Position, list *finds.List) {
	pool, ok := s.pools[t.pool]
	if !ok {
		list.Add(position("trainer "+name, "pool"), "no [pool %s]", t.pool)
	}
	if _, found := s.scorers[t.scorer]; !found {
		list.Add(position("trainer "+name, "scorer"), "no [scorer %s]", t.scorer)
	}
	if ok && !t.Accepts(pool.servedVersion) {
		list.Add(position("trainer "+name, "accept"),
			"the pool serves version %d, which is not accepted: the trainer would wait for ever", pool.servedVersion)
	}
}
