package orders

import (
	"sort"

	"github.com/currantloft/currantloft/fleet"
)

// loadShare is the share of a service's endpoints that may load at once without
// slowing each other down.
const loadShare = 0.22

type (
	// Want is the version that a trainer has named for its model.
	Want struct {
		Model   string
		Version int
	}

	// Load is one endpoint that is to load a version.
	Load struct {
		State fleet.State
		Want  Want
	}

	// Progress tells which endpoints are loading, by id.
	Progress map[string]bool
)

// Plan says which endpoints load what next. Each model gets an equal share of
// the endpoints: those that are least behind on it, so that an endpoint keeps
// serving the model it serves. An endpoint that is at the newest version of
// more models serves them all. No more endpoints load at once than the site
// bears, and of one model's endpoints never all while it has more than one.
//
// Load pattern: each trainer names a version every few seconds and asks for the
// next step at once, which the version before may still serve.
func Plan(states []fleet.State, wants []Want, loading Progress) []Load {
	sort.Slice(wants, func(i, j int) bool { return wants[i].Model < wants[j].Model })
	most := max(1, int(loadShare*float64(len(states)))) - len(loading)
	homes := homesOf(states, wants)
	var loads []Load
	// Models take turns, so that none waits for all endpoints of another.
	for turn := 0; most > 0; turn++ {
		found := false
		for _, want := range wants {
			candidates := behind(states, homes[want.Model], want, loading)
			if turn >= len(candidates) || most <= 0 {
				continue
			}
			found = true
			most--
			loads = append(loads, Load{State: candidates[turn], Want: want})
		}
		if !found {
			break
		}
	}
	return loads
}

// homesOf assigns each endpoint to one model: the one on which it is least
// behind, no model more than its share rounded up. Endpoints that lose most by
// another assignment choose first, so that assignments last.
func homesOf(states []fleet.State, wants []Want) map[string]map[string]bool {
	homes := make(map[string]map[string]bool, len(wants))
	if len(wants) == 0 {
		return homes
	}
	for _, w := range wants {
		homes[w.Model] = make(map[string]bool)
	}
	order := append([]fleet.State(nil), states...)
	sort.SliceStable(order, func(i, j int) bool {
		return regret(order[i].Entry, wants) > regret(order[j].Entry, wants)
	})
	share := (len(states) + len(wants) - 1) / len(wants)
	for _, s := range order {
		best := -1
		for i, w := range wants {
			if len(homes[w.Model]) >= share {
				continue
			}
			if best < 0 || better(s.Entry, w, wants[best], homes) {
				best = i
			}
		}
		if best >= 0 {
			homes[wants[best].Model][s.Entry.ID] = true
		}
	}
	return homes
}

// regret is how much further behind an endpoint is on its worst model than on
// its best one.
func regret(entry fleet.Entry, wants []Want) int {
	least, most := lag(entry, wants[0]), lag(entry, wants[0])
	for _, w := range wants[1:] {
		least, most = min(least, lag(entry, w)), max(most, lag(entry, w))
	}
	return most - least
}

func better(entry fleet.Entry, a, b Want, homes map[string]map[string]bool) bool {
	if la, lb := lag(entry, a), lag(entry, b); la != lb {
		return la < lb
	}
	return len(homes[a.Model]) < len(homes[b.Model])
}

// lag is how many versions an endpoint is behind.
func lag(entry fleet.Entry, want Want) int { return max(0, want.Version-entry.Versions[want.Model]) }

// behind returns a model's endpoints that lack the version, the idle ones first.
func behind(states []fleet.State, home map[string]bool, want Want, loading Progress) []fleet.State {
	var list []fleet.State
	for _, s := range states {
		if home[s.Entry.ID] && !loading[s.Entry.ID] && s.Entry.Versions[want.Model] < want.Version {
			list = append(list, s)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Busy() < list[j].Busy() })
	return list
}
