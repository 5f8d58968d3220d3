// Package check holds assertions that tests share.
//
// # Usage
//
//	check.Equal(t, "results", got, want)
//	check.Stored(t, "chunk", `{"first":3}`, chunk{First: 3})
package check

import (
	"encoding/json"
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

// Stored fails the test unless an object that an earlier release has stored decodes to the
// value, and that release would read the value as this one stores it: new fields must be
// left out while they are empty.
func Stored[T any](t testing.TB, name, stored string, value T) {
	t.Helper()
	var got T
	if err := json.Unmarshal([]byte(stored), &got); err != nil {
		t.Errorf("%s: %v", name, err)
	}
	Equal(t, name+" as read", got, value)
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Equal(t, name+" as stored", string(raw), stored)
}
