package edge

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/orders"
)

// DefaultPolicy names the default policy.
const DefaultPolicy = "usual"

type (
	// Options are the options of the command line.
	Options struct {
		// AdminPort is the port of the operators' listener, 0 for none.
		AdminPort int
		// Policy determines how items are placed and weight versions loaded.
		Policy Policy
		// OrderEndpoints makes the node take part in ordering endpoints where the settings
		// name that duty.
		OrderEndpoints bool
		// DialEndpoint opens connections to endpoints, nil for a net.Dialer.
		DialEndpoint intact.DialFunc
	}

	// Policy combines a placement of items with a rollout of weight versions. Those
	// other than the default exist for comparison runs.
	Policy struct {
		items    batch.Policy
		versions orders.Policy
	}
)

var policies = map[string]Policy{
	DefaultPolicy: {batch.LongestFirst{}, orders.KeepHalf{}},
	"arrival":     {batch.ArrivalOrder{}, orders.KeepHalf{}},
	"least_busy":  {batch.LeastBusy{}, orders.KeepHalf{}},
	"needed":      {batch.LongestFirst{}, orders.Needed{}},
	"eager":       {batch.LongestFirst{}, orders.Eager{}},
	"baseline":    {batch.Random{}, orders.Eager{}},
}

// PolicyNames lists the names that PolicyByName accepts.
func PolicyNames() string { return strings.Join(slices.Sorted(maps.Keys(policies)), ", ") }

// PolicyByName returns the policy of a name.
func PolicyByName(name string) (Policy, error) {
	p, ok := policies[name]
	if !ok {
		return Policy{}, fmt.Errorf("unknown policy %q, known are %s", name, PolicyNames())
	}
	return p, nil
}
