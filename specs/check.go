package specs

import (
	"github.com/currantloft/currantloft/finds"
)

// checkReferences reports references to undeclared sections, pools and services
// without endpoints, and trainers that do not accept the version their pool
// serves.
func (s *Set) checkReferences(origins map[string]*sectionReader, list *finds.List) {
	at := func(id, key string) finds.Position {
		return origins[id].position(key)
	}
	counts := make(map[string]int)
	for name, e := range s.endpoints {
		counts[e.Backend()]++
		if _, ok := s.pools[e.pool]; e.pool != "" && !ok {
			list.Add(at("endpoint "+name, "pool"), "no [pool %s]", e.pool)
		}
		service, ok := s.services[e.service]
		if e.service != "" && (!ok || !service.Plain()) {
			list.Add(at("endpoint "+name, "service"), "no plain [service %s]", e.service)
		}
	}
	for name := range s.pools {
		if counts[PoolBackend(name)] == 0 {
			list.Add(at("pool "+name, ""), "no endpoint belongs to this pool")
		}
	}
	for name, service := range s.services {
		if service.Plain() {
			if counts[service.Backend()] == 0 {
				list.Add(at("service "+name, ""), "want a pool, or an endpoint with service = %s", name)
			}
			continue
		}
		if _, ok := s.pools[service.pool]; !ok {
			list.Add(at("service "+name, "pool"), "no [pool %s]", service.pool)
		}
	}
	for name, t := range s.trainers {
		s.checkTrainer(name, t, at, list)
	}
}

func (s *Set) checkTrainer(name string, t Trainer, at func(id, key string) finds.Position, list *finds.List) {
	pool, ok := s.pools[t.pool]
	if !ok {
		list.Add(at("trainer "+name, "pool"), "no [pool %s]", t.pool)
	}
	if _, found := s.scorers[t.scorer]; !found {
		list.Add(at("trainer "+name, "scorer"), "no [scorer %s]", t.scorer)
	}
	if ok && !t.Accepts(pool.servedVersion) {
		list.Add(at("trainer "+name, "accept"),
			"the pool serves version %d, which is not accepted: the trainer would wait for ever", pool.servedVersion)
	}
}
