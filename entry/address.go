package entry

import (
	"fmt"
	"net/http"

	"github.com/currantloft/currantloft/member"
)

const (
	weightSameDomain = 4
	weightSameRegion = 2
	weightElsewhere  = 1
)

type (
	// Addresses is the answer to a caller that asks which nodes to use.
	Addresses struct {
		// LifetimeMs is how long the answer may be kept, in milliseconds.
		LifetimeMs int64 `json:"lifetime_ms"`
		// Addresses are the nodes to use, the nearest first.
		Addresses []Address `json:"addresses"`
	}

	// Address is one node that a caller may use.
	Address struct {
		// URL is the node's base address.
		URL string `json:"url"`
		// Domain is the node's failure domain.
		Domain string `json:"domain"`
		// Region is the node's region.
		Region string `json:"region"`
		// Weight is the share of requests that the node should get.
		Weight int `json:"weight"`
	}
)

// addresses tells a caller which nodes to use. The query may name the caller's
// domain and region; nodes that are near get a higher weight.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	domain, region := r.URL.Query().Get("domain"), r.URL.Query().Get("region")
	answer := Addresses{LifetimeMs: s.parts.AddressLifetime.Milliseconds()}
	var far []Address
	for _, n := range s.parts.Members.View().Alive() {
		a := addressOf(n, domain, region)
		if a.Weight == weightElsewhere {
			far = append(far, a)
			continue
		}
		answer.Addresses = append(answer.Addresses, a)
	}
	answer.Addresses = append(answer.Addresses, far...)
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(s.parts.AddressLifetime.Seconds())))
	writeJSON(w, answer)
}

func addressOf(n member.Node, domain, region string) Address {
	a := Address{URL: "http://" + n.HTTPAddress(), Domain: n.Domain(), Region: n.Region(), Weight: weightElsewhere}
	switch {
	case domain != "" && n.Domain() == domain:
		a.Weight = weightSameDomain
	case region == "" || n.Region() == region:
		a.Weight = weightSameRegion
	}
	return a
}
