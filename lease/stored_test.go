package lease

import (
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestLeaseOfEarlierRelease guards against leases that the release before or this one can't
// read; two hosts would hold them. The lease was written by ba64543.
func TestLeaseOfEarlierRelease(t *testing.T) {
	check.Equal(t, "kind", kindLeases, "leases")
	check.Stored(t, "lease", `{"holder":"edge-1","incarnation":1796434815500000001,"epoch":41,"renewals":3,"released":true,"idle_ms":900}`, record{
		Holder: "edge-1", Incarnation: 1796434815500000001, Epoch: 41, Renewals: 3, Released: true, IdleMs: 900,
	})
}
