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
	// Addresses is the response to a caller that requests the nodes to use.
	Addresses struct {
		// LifetimeMs is how long the caller may cache the response, in milliseconds.
		LifetimeMs int64 `json:"lifetime_ms"`
		// Addresses are the nodes to use, those in the caller's domain or region first.
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
		// Weight is the node's relative share of requests.
		Weight int `json:"weight"`
	}
)

// addresses lists the nodes that a caller may use. The query may name the
// caller's domain and region; nodes in them get a higher weight.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	domain, region := r.URL.Query().Get("domain"), r.URL.Query().Get("region")
	response := Addresses{LifetimeMs: s.deps.AddressLifetime.Milliseconds()}
	var far []Address
	for _, n := range s.deps.Members.View().Alive() {
		a := addressOf(n, domain, region)
		if a.Weight == weightElsewhere {
			far = append(far, a)
			continue
		}
		response.Addresses = append(response.Addresses, a)
	}
	response.Addresses = append(response.Addresses, far...)
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(s.deps.AddressLifetime.Seconds())))
	writeJSON(w, response)
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
