// Package rendez ranks candidates for a key by rendezvous hashing.
//
// Every process that ranks the same candidates gets the same order. A candidate
// that is added or removed moves only the keys for which it ranks first.
//
// # Usage
//
//	owner, ok := rendez.First("forecast/a/0", names)
//	three := rendez.Top("forecast/a/0", names, 3)
package rendez

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const keySeparator = "\x00"

type scoredName struct {
	name  string
	score uint64
}

// Top returns up to n candidates in descending order of their score for the key.
func Top(key string, candidates []string, n int) []string {
	all := make([]scoredName, 0, len(candidates))
	for _, name := range candidates {
		all = append(all, scoredName{name: name, score: xxhash.Sum64String(key + keySeparator + name)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	if n > len(all) {
		n = len(all)
	}
	top := make([]string, 0, n)
	for _, s := range all[:n] {
		top = append(top, s.name)
	}
	return top
}

// First returns the candidate that ranks first for the key, or false if there are
// no candidates.
func First(key string, candidates []string) (string, bool) {
	best := scoredName{}
	found := false
	for _, name := range candidates {
		score := xxhash.Sum64String(key + keySeparator + name)
		if !found || score > best.score || (score == best.score && name < best.name) {
			best = scoredName{name: name, score: score}
			found = true
		}
	}
	return best.name, found
}
