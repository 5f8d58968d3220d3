// Package check holds assertions that tests share.
//
// # Usage
//
//	check.Equal(t, "results", got, want)
package check

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Equal fails the test with a diff if the two values differ; what names them in the
// message.
func Equal[T any](t testing.TB, what string, got, want T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}
