// Package quota keeps the hosts together within the request rates that endpoints
// name.
//
// An endpoint in need names in its answers how many requests a second it takes from
// all hosts together. A Book holds what one host knows of these limits and the permits
// that it has: one permit is one request. One host, the allotter of an endpoint, hands
// out the permits of that endpoint (Allotter), so that the hosts keep the limit
// together and idle hosts leave their part to busy ones. A host that can't reach the
// allotter uses its own share of the limit.
//
// Permits expire soon after they were granted, so that no host saves them up for a
// burst. The package does no I/O; the caller passes needs to the allotter and grants
// back.
//
// # Usage
//
//	book := quota.NewBook(time.Now, onChange)
//	book.Observe(endpoint, sentAt, quota.PerSecond(2.5)) // for each answer
//	if book.Take(endpoint) {
//		// send one request
//	} else {
//		book.Want(endpoint, 1)
//	}
//	for _, need := range book.Needs() {
//		grant := allotter.Ask(host, need)
//		book.Apply(grant)
//	}
package quota

import (
	"fmt"
	"math"
	"strconv"
)

// Unlimited is the number of permits for an endpoint without a limit.
const Unlimited = math.MaxInt

// Limit is the request rate that an endpoint allows. The zero value is no limit.
type Limit struct {
	rate  float64
	named bool
}

// PerSecond returns a limit of so many requests a second.
func PerSecond(rate float64) Limit { return Limit{rate: rate, named: true} }

// Rate returns the requests a second, and false if there is no limit.
func (l Limit) Rate() (float64, bool) { return l.rate, l.named }

// StricterThan reports whether the limit allows less than another one.
func (l Limit) StricterThan(other Limit) bool {
	return l.named && (!other.named || l.rate < other.rate)
}

// String returns the limit for logs.
func (l Limit) String() string {
	if !l.named {
		return "none"
	}
	return strconv.FormatFloat(l.rate, 'g', -1, 64) + "/s"
}

// MarshalText encodes the limit for dumps.
func (l Limit) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// Parse parses the decimal number of requests a second that an endpoint names.
func Parse(text string) (Limit, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return Limit{}, fmt.Errorf("parsing a limit: %w", err)
	}
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Limit{}, fmt.Errorf("parsing a limit: want a finite number of 0 or more, got %q", text)
	}
	return PerSecond(rate), nil
}
