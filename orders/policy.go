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

// allowsOneBehind reports whether a policy leaves an endpoint one version behind if
// newest of the model's size endpoints have or are loading the newest version.
func allowsOneBehind(policy Policy, newest, size int) bool {
	switch policy.(type) {
	case KeepHalf:
		return newest >= (size+1)/2
	case Needed:
		return true
	case Eager:
		return false
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// maxLoadsAtOnce returns how many of the given number of endpoints may load at the
// same time under a policy.
func maxLoadsAtOnce(policy Policy, endpoints int) int {
	if _, eager := policy.(Eager); eager {
		return endpoints
	}
	return MaxConcurrentLoads(endpoints)
}
