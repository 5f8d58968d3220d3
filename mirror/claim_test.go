package mirror

import (
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
)

func TestMergeKeepsGaps(t *testing.T) {
	for name, tc := range map[string]struct {
		earlier, later Update
		previous       uint64
	}{
		"in order":            {Update{Previous: 5, Revision: 7}, Update{Previous: 7, Revision: 9}, 5},
		"overlapping":         {Update{Previous: 5, Revision: 8}, Update{Previous: 7, Revision: 9}, 5},
		"overtaken":           {Update{Previous: 7, Revision: 9}, Update{Previous: 5, Revision: 7}, 5},
		"one between missing": {Update{Previous: 5, Revision: 7}, Update{Previous: 8, Revision: 9}, 8},
		"missing, overtaken":  {Update{Previous: 8, Revision: 9}, Update{Previous: 5, Revision: 7}, 8},
		"nothing changed":     {Update{Previous: 5, Revision: 7}, Update{Previous: 6, Revision: 30}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			merged := Merge([]Update{tc.earlier}, []Update{tc.later})
			check.Equal(t, "previous", merged[0].Previous, tc.previous)
			check.Equal(t, "revision", merged[0].Revision, max(tc.earlier.Revision, tc.later.Revision))
		})
	}
}
