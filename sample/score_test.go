package sample

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestScoringOutlastsItsFailures checks that a text is scored once the scorer answers
// again, however often it has failed before, and is given up only for a reason that
// will not pass.
func TestScoringOutlastsItsFailures(t *testing.T) {
	for name, tc := range map[string]struct {
		err       error
		failures  int
		wantCalls int
		wantErr   error
	}{
		"answered at once":    {nil, 0, 1, nil},
		"many failures":       {errors.New("connection refused"), 9, 10, nil},
		"no scorer":           {fmt.Errorf("%w: s", errNoScorer), 99, 1, errNoScorer},
		"outdated meanwhile":  {fmt.Errorf("%w: s", errTextOutdated), 99, 1, errTextOutdated},
		"the step is over":    {context.Canceled, 99, 3, context.Canceled},
		"one failure, scored": {errors.New("busy"), 1, 2, nil},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			calls, failed := 0, 0
			score, err := scoreUntilAnswered(ctx, func() (float64, error) {
				calls++
				if tc.wantErr == context.Canceled && calls == tc.wantCalls {
					cancel()
				}
				if calls <= tc.failures {
					return 0, tc.err
				}
				return 0.5, nil
			}, func() { failed++ })
			check.Equal(t, "calls", calls, tc.wantCalls)
			if !errors.Is(err, tc.wantErr) {
				t.Errorf("error %v, want %v", err, tc.wantErr)
			}
			if tc.wantErr == nil {
				check.Equal(t, "score", score, 0.5)
				check.Equal(t, "failures reported", failed, tc.failures)
			}
		})
	}
}
