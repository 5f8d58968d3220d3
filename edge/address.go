package edge

import (
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/roster"
)

// maxAddresses is the number of addresses that callers accept in one answer.
const maxAddresses = 64

// chooseAddresses returns the addresses to which callers may connect: those of all
// hosts of a small fleet, else those of the strong hosts and of some others, by the
// answering node's name. A caller picks one of them at random.
//
// It is designed for hundreds of hosts of which a few have several times the
// processor capacity of the others: all hosts get callers, and a strong one more of
// them, since it is named in every answer.
func chooseAddresses(self string, hosts []roster.Host, keepers []string) []string {
	isKeeper := make(map[string]bool, len(keepers))
	for _, name := range keepers {
		isKeeper[name] = true
	}
	byName := make(map[string]string, len(hosts))
	var strong, others []string
	for _, h := range hosts {
		if h.CallerAddress == "" {
			continue
		}
		byName[h.Name] = h.CallerAddress
		if isKeeper[h.Name] {
			strong = append(strong, h.Name)
		} else {
			others = append(others, h.Name)
		}
	}
	chosen := rendez.Top(self, strong, maxAddresses)
	chosen = append(chosen, rendez.Top(self, others, maxAddresses-len(chosen))...)
	addresses := make([]string, 0, len(chosen))
	for _, name := range chosen {
		addresses = append(addresses, byName[name])
	}
	return addresses
}
