package specs

import (
	"fmt"
	"sort"
)

// Change is one difference between two sets.
type Change struct {
	section string
	key     string
	before  string
	after   string
}

// String returns the change as one line: + added, - removed, ~ changed.
func (c Change) String() string {
	name := fmt.Sprintf("[%s] %s", c.section, c.key)
	switch {
	case c.before == "":
		return fmt.Sprintf("+ %s = %s", name, c.after)
	case c.after == "":
		return fmt.Sprintf("- %s = %s", name, c.before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", name, c.before, c.after)
	}
}

// Diff returns the differences between two sets, sorted by section and key. A
// nil set counts as empty.
func Diff(before, after *Set) []Change {
	old, next := rawValuesOf(before), rawValuesOf(after)
	var changes []Change
	for id := range allKeys(old, next) {
		for key := range allKeys(old[id], next[id]) {
			c := Change{section: id, key: key, before: old[id][key], after: next[id][key]}
			if c.before != c.after {
				changes = append(changes, c)
			}
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].section != changes[j].section {
			return changes[i].section < changes[j].section
		}
		return changes[i].key < changes[j].key
	})
	return changes
}

func rawValuesOf(s *Set) map[string]map[string]string {
	if s == nil {
		return nil
	}
	return s.rawValues
}

func allKeys[V any](a, b map[string]V) map[string]struct{} {
	keys := make(map[string]struct{}, len(a)+len(b))
	for key := range a {
		keys[key] = struct{}{}
	}
	for key := range b {
		keys[key] = struct{}{}
	}
	return keys
}
