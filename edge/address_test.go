package edge

import (
	"fmt"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/roster"
)

// TestAddressesReachAllHosts has each of 250 hosts answer as many callers, each of whom
// picks an address at random: every host must get callers, and a strong host several
// times as many as others.
func TestAddressesReachAllHosts(t *testing.T) {
	var hosts []roster.Host
	var keepers []string
	for i := range 250 {
		h := roster.Host{Name: fmt.Sprintf("h%03d", i), CallerAddress: fmt.Sprintf("a%03d", i)}
		hosts = append(hosts, h)
		if i < 18 {
			keepers = append(keepers, h.Name)
		}
	}
	named := make(map[string]int)
	for _, h := range hosts {
		addresses := chooseAddresses(h.Name, hosts, keepers)
		check.Equal(t, "addresses", len(addresses), maxAddresses)
		for _, a := range addresses {
			named[a]++
		}
	}
	mean := float64(len(hosts)*(maxAddresses-len(keepers))) / float64(len(hosts)-len(keepers))
	for i, h := range hosts {
		n := named[h.CallerAddress]
		if i < len(keepers) {
			check.Equal(t, "answers that name a strong host", n, len(hosts))
		} else if float64(n) < mean/2 || float64(n) > mean*2 {
			t.Errorf("%s is named in %d answers, the mean is %.0f", h.Name, n, mean)
		}
	}
}

func TestAddressesOfSmallFleet(t *testing.T) {
	hosts := []roster.Host{{Name: "a", CallerAddress: "1"}, {Name: "b", CallerAddress: "2"}, {Name: "c"}}
	check.Equal(t, "addresses", len(chooseAddresses("a", hosts, []string{"b"})), 2)
	check.Equal(t, "without hosts", len(chooseAddresses("a", nil, nil)), 0)
}
