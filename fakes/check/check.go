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

// Equal fails the test with a diff if the two values differ. The message begins
// with name.
func Equal[T any](t testing.TB, name string, got, want T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}
