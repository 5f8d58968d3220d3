// Package access decides by the configuration whether a request may be served and for
// which team.
//
// Its decisions have no input or output. A host may have an older configuration than
// others, so a decision also depends on when the host's copy was last confirmed. See
// docs/design/teams.md.
//
// # Usage
//
//	switch d := access.Decide(table, route, r.Header["Authorization"], age, policy).(type) {
//	case access.Allowed: // serve the request for d.Team
//	case access.Denied: // the caller has no valid key
//	case access.Unsure: // the host can't tell now
//	}
package access

import (
	"strings"
	"time"

	"github.com/currantloft/currantloft/routes"
)

const (
	// scheme is the only authentication scheme, in any case.
	scheme = "Bearer"
	// unconfirmedRetry is the wait before a caller retries a request that a host with an
	// old configuration did not serve. Another host usually serves it at once.
	unconfirmedRetry = 500 * time.Millisecond
	// startupRetry is the same for a host that has no configuration yet.
	startupRetry = 200 * time.Millisecond
)

// Cause is why a request is not served.
type Cause int

// Causes.
const (
	// NoKey means that the request has no Authorization header.
	NoKey Cause = iota
	// SeveralKeys means that it has more than one.
	SeveralKeys
	// OtherScheme means that its scheme is not Bearer.
	OtherScheme
	// EmptyKey means that nothing follows the scheme.
	EmptyKey
	// UnknownKey means that no team holds the key.
	UnknownKey
	// OtherTeam means that the batch belongs to another team.
	OtherTeam
	// NoConfiguration means that the host has no configuration.
	NoConfiguration
	// UnknownUnconfirmed means that no team holds the key in a configuration that has
	// not been confirmed in time; a newer one may contain it.
	UnknownUnconfirmed
	// TooOld means that the configuration has not been confirmed for so long that it
	// does not decide on keys any more.
	TooOld
)

type (
	// Policy sets by how old a configuration keys are decided.
	Policy struct {
		// ConfirmLimit is the time in which a new version reaches every host.
		ConfirmLimit time.Duration
		// FailClosed makes decisions Unsure once the configuration has not been
		// confirmed for RevokeLimit.
		FailClosed  bool
		RevokeLimit time.Duration
	}

	// Decision is Allowed, Denied or Unsure.
	Decision interface{ isDecision() }

	// Allowed means that the request is served.
	Allowed struct {
		// Team is the team that the request is served for, empty for none.
		Team string
	}

	// Denied means that the request must not be served.
	Denied struct {
		Cause Cause
		// Team is the team of the key if the batch belongs to another one.
		Team string
	}

	// Unsure means that this host can't decide now.
	Unsure struct {
		Cause Cause
		// RetryAfter is how long the caller should wait before it retries.
		RetryAfter time.Duration
	}
)

func (Allowed) isDecision() {}
func (Denied) isDecision()  {}
func (Unsure) isDecision()  {}

// causeNames are the names of causes in logs and metrics.
var causeNames = [...]string{
	NoKey: "no_key", SeveralKeys: "several_keys", OtherScheme: "other_scheme", EmptyKey: "empty_key", UnknownKey: "unknown_key",
	OtherTeam: "other_team", NoConfiguration: "no_configuration", UnknownUnconfirmed: "unknown_key_unconfirmed", TooOld: "configuration_too_old",
}

// String returns the cause's name in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Decide decides on a request by the values of its Authorization headers. Table is the
// configuration in force, nil for none, and confirmedAge is how long ago it was last
// confirmed to be the newest one.
func Decide(table *routes.Table, route routes.Route, authorization []string, confirmedAge time.Duration, policy Policy) Decision {
	switch {
	case table == nil:
		return Unsure{Cause: NoConfiguration, RetryAfter: startupRetry}
	case !table.HasTeams():
		return Allowed{}
	case route.Public:
		team, _, _ := lookUp(table, authorization)
		return Allowed{Team: team}
	case policy.FailClosed && confirmedAge > policy.RevokeLimit:
		return Unsure{Cause: TooOld, RetryAfter: unconfirmedRetry}
	}
	team, cause, ok := lookUp(table, authorization)
	switch {
	case ok:
		return Allowed{Team: team}
	case cause == UnknownKey && confirmedAge > policy.ConfirmLimit:
		return Unsure{Cause: UnknownUnconfirmed, RetryAfter: unconfirmedRetry}
	default:
		return Denied{Cause: cause}
	}
}

// DecideBatch decides on a call for a batch that belongs to the team owner. A batch
// without a team is accessible to any caller.
func DecideBatch(table *routes.Table, owner string, authorization []string, confirmedAge time.Duration, policy Policy) Decision {
	if owner == "" {
		return Allowed{}
	}
	decision := Decide(table, routes.Route{}, authorization, confirmedAge, policy)
	if allowed, ok := decision.(Allowed); ok && table.HasTeams() && allowed.Team != owner {
		return Denied{Cause: OtherTeam, Team: allowed.Team}
	}
	return decision
}

// lookUp returns the team that holds the key in the headers, or why there is none.
func lookUp(table *routes.Table, authorization []string) (team string, cause Cause, ok bool) {
	if len(authorization) == 0 {
		return "", NoKey, false
	}
	if len(authorization) > 1 {
		return "", SeveralKeys, false
	}
	name, key, _ := strings.Cut(strings.Trim(authorization[0], " \t"), " ")
	if !strings.EqualFold(name, scheme) {
		return "", OtherScheme, false
	}
	key = strings.Trim(key, " \t")
	if key == "" {
		return "", EmptyKey, false
	}
	found, ok := table.TeamByKey(routes.DigestKey(key))
	if !ok {
		return "", UnknownKey, false
	}
	return found.Name, 0, true
}
