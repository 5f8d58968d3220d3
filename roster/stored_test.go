package roster

import (
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestHostOfEarlierRelease guards against entries of hosts that the release before or this
// one can't read. The entry was written by ba64543.
func TestHostOfEarlierRelease(t *testing.T) {
	check.Stored(t, "host", `{"name":"edge-1","incarnation":1796434815500000001,"domain":"hall-a","callers":"10.1.0.10:8161",`+
		`"peers":"10.1.0.10:7300","power":400}`, Host{
		Name: "edge-1", Incarnation: 1796434815500000001, Domain: "hall-a", CallerAddress: "10.1.0.10:8161",
		PeerAddress: "10.1.0.10:7300", Power: 400,
	})
}
