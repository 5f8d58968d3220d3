package orders

import (
	"math"
	"sort"

	"github.com/currantloft/currantloft/fleet"
)

// maxLoadingShare is the largest share of a service's endpoints that load at the
// same time, so that they don't slow each other down: 2 of 9 and of 11, 10 of 48 on
// the users' sites.
const maxLoadingShare = 0.2

const (
	// minShare and maxShare limit a model's share of the endpoints, relative to an
	// equal share: a trainer's demand changes from step to step.
	minShare = 0.65
	maxShare = 1.5
)

// tooFarBehind is the version lag from which an endpoint can't serve the current
// step.
const tooFarBehind = 2

type (
	// DesiredVersion is the version that a trainer has named for its model.
	DesiredVersion struct {
		Model   string
		Version int
		// Weight is the model's share of the load, in tokens that its trainer
		// requested recently. If all weights are 0, models get equal shares.
		Weight float64
	}

	// PlannedLoad is a planned load: one endpoint that is to load a version.
	PlannedLoad struct {
		State   fleet.State
		Desired DesiredVersion
		// Behind is how many versions the endpoint is behind.
		Behind int
	}

	// Loading is the set of endpoints that are loading, by ID.
	Loading map[string]bool
)

// Plan returns which endpoints load which version next. Each model gets a share of
// the endpoints by its weight: those that are least behind on it, so that an
// endpoint continues to serve the same model. The version before the newest may
// serve a step, so endpoints that are two versions behind load first, and half of
// a model's endpoints stay one version behind and serve while the others load. The
// number of endpoints that load at the same time is limited.
//
// It is designed for trainers that each name a version every few seconds and
// immediately request the next step, which the previous version may still serve.
func Plan(states []fleet.State, desiredVersions []DesiredVersion, loading Loading) []PlannedLoad {
	return PlanWithPolicy(KeepHalf{}, states, desiredVersions, loading)
}

// PlanWithPolicy is Plan with the given policy.
func PlanWithPolicy(policy Policy, states []fleet.State, desiredVersions []DesiredVersion, loading Loading) []PlannedLoad {
	limit := concurrentLoadLimit(policy, len(states)) - len(loading)
	assigned := assignModels(states, desiredVersions)
	var due []PlannedLoad
	for _, desired := range desiredVersions {
		due = append(due, dueForModel(policy, states, assigned[desired.Model], desired, loading)...)
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].before(due[j]) })
	return due[:max(0, min(limit, len(due)))]
}

// MaxConcurrentLoads returns how many of the given number of endpoints may load
// at the same time.
func MaxConcurrentLoads(endpoints int) int {
	return max(1, int(math.Round(maxLoadingShare*float64(endpoints))))
}

// dueForModel returns the loads that are due on the endpoints assigned to a model.
func dueForModel(policy Policy, states []fleet.State, assigned map[string]bool, desired DesiredVersion, loading Loading) []PlannedLoad {
	var due []PlannedLoad
	upToDate, size := 0, 0
	for _, s := range states {
		if !assigned[s.Entry.ID] {
			continue
		}
		size++
		switch behind := lag(s.Entry, desired); {
		case behind == 0, loading[s.Entry.ID]:
			upToDate++
		default:
			due = append(due, PlannedLoad{State: s, Desired: desired, Behind: behind})
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].before(due[j]) })
	selected := due[:0]
	for _, load := range due {
		if load.Behind >= tooFarBehind || !allowsOneBehind(policy, upToDate, size) {
			selected = append(selected, load)
			upToDate++
		}
	}
	return selected
}

// before reports whether a load comes before another one: endpoints that can't
// serve the current step first, then the least busy ones.
func (l PlannedLoad) before(other PlannedLoad) bool {
	if (l.Behind >= tooFarBehind) != (other.Behind >= tooFarBehind) {
		return l.Behind >= tooFarBehind
	}
	return l.State.Busy() < other.State.Busy()
}

// assignModels assigns each endpoint to one model, within the models' shares: the
// model on which it is least behind. Endpoints with the largest difference between
// models are assigned first, so that assignments stay stable.
func assignModels(states []fleet.State, desiredVersions []DesiredVersion) map[string]map[string]bool {
	assigned := make(map[string]map[string]bool, len(desiredVersions))
	if len(desiredVersions) == 0 {
		return assigned
	}
	for _, desired := range desiredVersions {
		assigned[desired.Model] = make(map[string]bool)
	}
	order := append([]fleet.State(nil), states...)
	sort.SliceStable(order, func(i, j int) bool {
		return lagSpread(order[i].Entry, desiredVersions) > lagSpread(order[j].Entry, desiredVersions)
	})
	shares := endpointShares(len(states), desiredVersions)
	for _, s := range order {
		best := -1
		for i, desired := range desiredVersions {
			if len(assigned[desired.Model]) >= shares[i] {
				continue
			}
			if best < 0 || prefers(s.Entry, desired, desiredVersions[best], assigned) {
				best = i
			}
		}
		if best >= 0 {
			assigned[desiredVersions[best].Model][s.Entry.ID] = true
		}
	}
	return assigned
}

// endpointShares divides the endpoints among the models by their weights and
// assigns the remaining ones by the largest remainders. No model gets less than
// about two thirds of an equal share, nor more than one and a half.
func endpointShares(endpoints int, desiredVersions []DesiredVersion) []int {
	if endpoints == 0 {
		return make([]int, len(desiredVersions))
	}
	total := 0.0
	for _, desired := range desiredVersions {
		total += desired.Weight
	}
	equal := float64(endpoints) / float64(len(desiredVersions))
	exact := make([]float64, len(desiredVersions))
	sum := 0.0
	for i, desired := range desiredVersions {
		exact[i] = equal
		if total > 0 {
			exact[i] = min(maxShare*equal, max(minShare*equal, desired.Weight/total*float64(endpoints)))
		}
		sum += exact[i]
	}
	shares, remaining := make([]int, len(desiredVersions)), endpoints
	byRemainder := make([]int, len(desiredVersions))
	for i := range desiredVersions {
		exact[i] *= float64(endpoints) / sum
		shares[i] = int(exact[i])
		remaining -= shares[i]
		byRemainder[i] = i
	}
	sort.SliceStable(byRemainder, func(a, b int) bool {
		return exact[byRemainder[a]]-float64(shares[byRemainder[a]]) > exact[byRemainder[b]]-float64(shares[byRemainder[b]])
	})
	for _, i := range byRemainder[:min(remaining, len(byRemainder))] {
		shares[i]++
	}
	return shares
}

// lagSpread returns how many more versions an endpoint is behind on its most
// outdated model than on its least outdated one.
func lagSpread(entry fleet.Entry, desiredVersions []DesiredVersion) int {
	smallest, largest := lag(entry, desiredVersions[0]), lag(entry, desiredVersions[0])
	for _, desired := range desiredVersions[1:] {
		smallest, largest = min(smallest, lag(entry, desired)), max(largest, lag(entry, desired))
	}
	return largest - smallest
}

func prefers(entry fleet.Entry, a, b DesiredVersion, assigned map[string]map[string]bool) bool {
	if lagA, lagB := lag(entry, a), lag(entry, b); lagA != lagB {
		return lagA < lagB
	}
	return len(assigned[a.Model]) < len(assigned[b.Model])
}

// lag returns how many versions an endpoint is behind the desired one.
func lag(entry fleet.Entry, desired DesiredVersion) int {
	return max(0, desired.Version-entry.Versions[desired.Model])
}
