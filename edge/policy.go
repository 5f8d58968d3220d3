package edge

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/orders"
)

// UsualPolicy names the policy in use.
const UsualPolicy = "usual"

type (
	// Options are what the command line sets.
	Options struct {
		// AdminPort is where operators connect, 0 for nowhere.
		AdminPort int
		// Policy says how items are placed and versions loaded.
		Policy Policy
	}

	// Policy is what a day can be played with, to compare.
	Policy struct {
		items    batch.Policy
		versions orders.Policy
	}
)

var policies = map[string]Policy{
	UsualPolicy:  {batch.Longest{}, orders.Halves{}},
	"arrival":    {batch.Arrival{}, orders.Halves{}},
	"least_busy": {batch.LeastBusy{}, orders.Halves{}},
	"needed":     {batch.Longest{}, orders.Needed{}},
	"eager":      {batch.Longest{}, orders.Eager{}},
	"baseline":   {batch.Random{}, orders.Eager{}},
}

// PolicyNames lists the names that PolicyOf knows.
func PolicyNames() string { return strings.Join(slices.Sorted(maps.Keys(policies)), ", ") }

// PolicyOf returns the policy of a name.
func PolicyOf(name string) (Policy, error) {
	p, ok := policies[name]
	if !ok {
		return Policy{}, fmt.Errorf("no policy %q, there are %s", name, PolicyNames())
	}
	return p, nil
}
