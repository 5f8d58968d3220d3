package access

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/routes"
)

var policy = Policy{ConfirmLimit: 3 * time.Second, RevokeLimit: 5 * time.Second}

func tableOf(teams ...routes.Team) *routes.Table {
	return routes.NewTable(1, nil, nil, teams, routes.Limits{})
}

func team(name string, keys ...string) routes.Team {
	t := routes.Team{Name: name}
	for _, key := range keys {
		t.Keys = append(t.Keys, routes.DigestKey(key))
	}
	return t
}

func TestDecide(t *testing.T) {
	table := tableOf(team("red", "r1", "r2"), team("blue", "b 1"), team("empty", ""))
	closed := policy
	closed.FailClosed = true
	const old, tooOld = 4 * time.Second, 6 * time.Second
	unsure := func(cause Cause) Decision { return Unsure{Cause: cause, RetryAfter: unconfirmedRetry} }
	for _, test := range []struct {
		name   string
		header []string
		public bool
		age    time.Duration
		policy Policy
		want   Decision
	}{
		{"a key", []string{"Bearer r1"}, false, 0, policy, Allowed{"red"}},
		{"the team's other key", []string{"Bearer r2"}, false, 0, policy, Allowed{"red"}},
		{"the scheme in another case", []string{"bEARER r1"}, false, 0, policy, Allowed{"red"}},
		{"spaces around the key", []string{" Bearer  \t r1 "}, false, 0, policy, Allowed{"red"}},
		{"a key with a space", []string{"Bearer b 1"}, false, 0, policy, Allowed{"blue"}},
		{"no header", nil, false, 0, policy, Denied{Cause: NoKey}},
		{"two headers", []string{"Bearer r1", "Bearer r1"}, false, 0, policy, Denied{Cause: SeveralKeys}},
		{"another scheme", []string{"Basic r1"}, false, 0, policy, Denied{Cause: OtherScheme}},
		{"a key without a scheme", []string{"r1"}, false, 0, policy, Denied{Cause: OtherScheme}},
		{"an empty header", []string{""}, false, 0, policy, Denied{Cause: OtherScheme}},
		{"an empty key", []string{"Bearer  "}, false, 0, policy, Denied{Cause: EmptyKey}},
		{"an unknown key", []string{"Bearer R1"}, false, 0, policy, Denied{Cause: UnknownKey}},
		{"two keys in one header", []string{"Bearer r1, Bearer r2"}, false, 0, policy, Denied{Cause: UnknownKey}},
		{"an unknown key, an old copy", []string{"Bearer x"}, false, old, policy, unsure(UnknownUnconfirmed)},
		{"an unknown key, a copy that was never confirmed", []string{"Bearer x"}, false, math.MaxInt64, policy, unsure(UnknownUnconfirmed)},
		{"no key, an old copy", nil, false, old, policy, Denied{Cause: NoKey}},
		{"a key, an old copy", []string{"Bearer r1"}, false, time.Hour, policy, Allowed{"red"}},
		{"a key, an old copy, fail closed", []string{"Bearer r1"}, false, old, closed, Allowed{"red"}},
		{"a key, a copy that is too old", []string{"Bearer r1"}, false, tooOld, closed, unsure(TooOld)},
		{"no key, a copy that is too old", nil, false, tooOld, closed, unsure(TooOld)},
		{"public without a key", nil, true, tooOld, closed, Allowed{}},
		{"public with a key", []string{"Bearer r1"}, true, 0, policy, Allowed{"red"}},
		{"public with an unknown key", []string{"Bearer x"}, true, old, policy, Allowed{}},
		{"public with two headers", []string{"Bearer r1", "Bearer r1"}, true, 0, policy, Allowed{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := Decide(table, routes.Route{Public: test.public}, test.header, test.age, test.policy)
			check.Equal(t, "decision", got, test.want)
		})
	}
	check.Equal(t, "without teams", Decide(tableOf(), routes.Route{}, []string{"Basic x"}, tooOld, closed), Decision(Allowed{}))
	check.Equal(t, "without a configuration", Decide(nil, routes.Route{Public: true}, nil, 0, policy),
		Decision(Unsure{Cause: NoConfiguration, RetryAfter: startupRetry}))
}

func TestDecideBatch(t *testing.T) {
	table := tableOf(team("red", "r1", "r2"), team("blue", "b1"))
	for _, test := range []struct {
		name   string
		table  *routes.Table
		owner  string
		header []string
		want   Decision
	}{
		{"the team's other key", table, "red", []string{"Bearer r2"}, Allowed{"red"}},
		{"another team's key", table, "red", []string{"Bearer b1"}, Denied{Cause: OtherTeam, Team: "blue"}},
		{"an unknown key", table, "red", []string{"Bearer x"}, Denied{Cause: UnknownKey}},
		{"no key", table, "red", nil, Denied{Cause: NoKey}},
		{"a batch without a team", table, "", nil, Allowed{}},
		{"a batch without a team, another's key", table, "", []string{"Bearer b1"}, Allowed{}},
		{"the teams were removed", tableOf(), "red", nil, Allowed{}},
		{"no configuration", nil, "red", []string{"Bearer r1"}, Unsure{Cause: NoConfiguration, RetryAfter: startupRetry}},
		{"no configuration, a batch without a team", nil, "", nil, Allowed{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			check.Equal(t, "decision", DecideBatch(test.table, test.owner, test.header, 0, policy), test.want)
		})
	}
}

// BenchmarkDecide measures a decision on a known key. Its cost must not depend on the
// number of teams.
func BenchmarkDecide(b *testing.B) {
	for _, teams := range []int{80, 10_000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			list := make([]routes.Team, teams)
			for i := range list {
				list[i] = team(fmt.Sprint("team-", i), fmt.Sprintf("key-%032d", i))
			}
			table := tableOf(list...)
			header := []string{fmt.Sprintf("Bearer key-%032d", teams/2)}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := Decide(table, routes.Route{}, header, 0, policy).(Allowed); !ok {
					b.Fatal("a known key is denied")
				}
			}
		})
	}
}
