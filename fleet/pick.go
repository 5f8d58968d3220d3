package fleet

import "slices"

// Pick selects an endpoint for one request among those that are not excluded. It
// prefers endpoints that have not failed recently, then those that are not full,
// then the lowest ratio of requests to slots, then the node's own failure domain.
// Endpoints without a permit for another request are never selected.
// Offset is a random number that selects among equal endpoints.
//
// It is designed for many nodes that each send few requests to few endpoints, some
// of which are slow or dead.
func Pick(states []State, domain string, exclude []string, offset int) (State, bool) {
	best, found := -1, false
	var bestRank [4]float64
	for n := range states {
		i := (n + offset) % len(states)
		s := states[i]
		if s.Exhausted() || slices.Contains(exclude, s.Entry.ID) {
			continue
		}
		rank := rankOf(s, domain)
		if !found || less(rank, bestRank) {
			best, bestRank, found = i, rank, true
		}
	}
	if !found {
		return State{}, false
	}
	return states[best], true
}

func rankOf(s State, domain string) [4]float64 {
	var rank [4]float64
	if s.Paused {
		rank[0] = 1
	}
	if s.Full {
		rank[1] = 1
	}
	rank[2] = float64(s.Busy()) / float64(max(1, s.Entry.Slots))
	if s.Entry.Domain != domain {
		rank[3] = 1
	}
	return rank
}

func less(a, b [4]float64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}
