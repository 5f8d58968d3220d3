package orders

import "fmt"

type (
	// Policy decides which endpoints load a version and when. KeepHalf is the
	// default, the others are for comparison.
	Policy interface{ policy() }

	// KeepHalf leaves half of a model's endpoints one version behind, see Plan.
	KeepHalf struct{}

	// Needed loads only on endpoints that can no longer serve the current step.
	Needed struct{}

	// Eager is the baseline: every endpoint loads each version as soon as a trainer
	// names it, all at the same time.
	Eager struct{}
)

func (KeepHalf) policy() {}
func (Needed) policy()   {}
func (Eager) policy()    {}

// allowsOneBehind reports whether a policy leaves an endpoint one version
// behind. Size is the number of the model's endpoints, upToDate how many of
// them have or are loading the newest version.
func allowsOneBehind(policy Policy, upToDate, size int) bool {
	switch policy.(type) {
	case KeepHalf:
		return upToDate >= (size+1)/2
	case Needed:
		return true
	case Eager:
		return false
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// concurrentLoadLimit returns how many of the given number of endpoints may load
// at the same time under a policy.
func concurrentLoadLimit(policy Policy, endpoints int) int {
	if _, eager := policy.(Eager); eager {
		return endpoints
	}
	return MaxConcurrentLoads(endpoints)
}
