package orders

import (
	"math"
	"sort"

	"github.com/currantloft/currantloft/fleet"
)

// loadShare is the share of a service's endpoints that load at once without
// slowing each other down: 2 of 9 and of 11, 10 of 48 on the users' sites.
const loadShare = 0.2

const (
	// leastShare and mostShare bound a model's part of the endpoints, in equal
	// parts: what a trainer asks for changes from step to step.
	leastShare = 0.65
	mostShare  = 1.5
)

// tooOld is how many versions behind an endpoint can't serve the current step.
const tooOld = 2

type (
	// Want is the version that a trainer has named for its model.
	Want struct {
		Model   string
		Version int
		// Weight is the model's part of the work, by the tokens that its trainer
		// asked for lately; all are alike if none is known.
		Weight float64
	}

	// Load is one endpoint that is to load a version.
	Load struct {
		State fleet.State
		Want  Want
		// Behind is how many versions the endpoint lacks.
		Behind int
	}

	// Progress tells which endpoints are loading, by id.
	Progress map[string]bool
)

// Plan says which endpoints load what next. Each model gets an equal share of
// the endpoints: those that are least behind on it, so that an endpoint keeps
// serving the model it serves. A step may be served by the version before the
// newest, so endpoints that are two behind load first, and half of a model's
// endpoints stay one behind: they serve while the others load. No more load at
// once than the site bears.
//
// Load pattern: each trainer names a version every few seconds and asks for the
// next step at once, which the version before may still serve.
func Plan(states []fleet.State, wants []Want, loading Progress) []Load {
	return PlanBy(Halves{}, states, wants, loading)
}

// PlanBy is Plan by another policy.
func PlanBy(policy Policy, states []fleet.State, wants []Want, loading Progress) []Load {
	most := atOnce(policy, len(states)) - len(loading)
	homes := homesOf(states, wants)
	var due []Load
	for _, want := range wants {
		due = append(due, dueOf(policy, states, homes[want.Model], want, loading)...)
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].before(due[j]) })
	return due[:max(0, min(most, len(due)))]
}

// AtOnce returns how many of so many endpoints may load at once.
func AtOnce(endpoints int) int { return max(1, int(math.Round(loadShare*float64(endpoints)))) }

// dueOf returns a model's endpoints that are to load.
func dueOf(policy Policy, states []fleet.State, home map[string]bool, want Want, loading Progress) []Load {
	var due []Load
	newest, size := 0, 0
	for _, s := range states {
		if !home[s.Entry.ID] {
			continue
		}
		size++
		switch behind := lag(s.Entry, want); {
		case behind == 0, loading[s.Entry.ID]:
			newest++
		default:
			due = append(due, Load{State: s, Want: want, Behind: behind})
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].before(due[j]) })
	kept := due[:0]
	for _, load := range due {
		if load.Behind >= tooOld || !keepsBehind(policy, newest, size) {
			kept = append(kept, load)
			newest++
		}
	}
	return kept
}

// before orders loads: those furthest behind first, then those with least work.
func (l Load) before(other Load) bool {
	if (l.Behind >= tooOld) != (other.Behind >= tooOld) {
		return l.Behind >= tooOld
	}
	return l.State.Busy() < other.State.Busy()
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
	shares := sharesOf(len(states), wants)
	for _, s := range order {
		best := -1
		for i, w := range wants {
			if len(homes[w.Model]) >= shares[i] {
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

// sharesOf divides endpoints among the models by their weights, the rest of the
// division by the largest remainders. No model gets less than two thirds of an
// equal share, nor more than one and a half.
func sharesOf(endpoints int, wants []Want) []int {
	if endpoints == 0 {
		return make([]int, len(wants))
	}
	total := 0.0
	for _, w := range wants {
		total += w.Weight
	}
	equal := float64(endpoints) / float64(len(wants))
	exact := make([]float64, len(wants))
	sum := 0.0
	for i, w := range wants {
		exact[i] = equal
		if total > 0 {
			exact[i] = min(mostShare*equal, max(leastShare*equal, w.Weight/total*float64(endpoints)))
		}
		sum += exact[i]
	}
	shares, left := make([]int, len(wants)), endpoints
	byRest := make([]int, len(wants))
	for i := range wants {
		exact[i] *= float64(endpoints) / sum
		shares[i] = int(exact[i])
		left -= shares[i]
		byRest[i] = i
	}
	sort.SliceStable(byRest, func(a, b int) bool {
		return exact[byRest[a]]-float64(shares[byRest[a]]) > exact[byRest[b]]-float64(shares[byRest[b]])
	})
	for _, i := range byRest[:min(left, len(byRest))] {
		shares[i]++
	}
	return shares
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
