package orders

import "fmt"

type (
	// Policy says which endpoints load a version when: Halves, or one of those that
	// it is compared with.
	Policy interface{ policy() }

	// Halves is the policy in use, see Plan.
	Halves struct{}

	// Needed loads only endpoints that can't serve the current step any more.
	Needed struct{}

	// Eager is the baseline: each endpoint loads each version as soon as it is
	// named, all at once.
	Eager struct{}
)

func (Halves) policy() {}
func (Needed) policy() {}
func (Eager) policy()  {}

// keepsBehind reports whether a policy leaves an endpoint that is one version
// behind as it is, with so many of a model's endpoints newest already.
func keepsBehind(policy Policy, newest, size int) bool {
	switch policy.(type) {
	case Halves:
		return newest >= (size+1)/2
	case Needed:
		return true
	case Eager:
		return false
	default:
		panic(fmt.Sprintf("unknown policy %T", policy))
	}
}

// atOnce returns how many of so many endpoints a policy lets load at once.
func atOnce(policy Policy, endpoints int) int {
	if _, eager := policy.(Eager); eager {
		return endpoints
	}
	return AtOnce(endpoints)
}
