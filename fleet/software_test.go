package fleet

import (
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestSoleSoftware checks when a service counts as one of a single software.
func TestSoleSoftware(t *testing.T) {
	const within = time.Minute
	now := time.Now()
	f := New(func() time.Time { return now })
	entry := func(id, version string) Entry {
		return Entry{ID: id, Service: "s", SoftwareVersion: version, Address: "a:1", Slots: 1}
	}
	for _, step := range []struct {
		name string
		do   func()
		want Software
	}{
		{"no endpoint", func() {}, ""},
		{"an endpoint", func() { f.Put(entry("a", "v1")) }, ""},
		{"known for long", func() { now = now.Add(within) }, "s/v1"},
		{"another software", func() { f.Put(entry("b", "v2")) }, ""},
		{"the old one is to be removed", func() { f.Remove("a", time.Second) }, ""},
		{"the old one is gone", func() { now = now.Add(time.Second); f.Serving("s") }, ""},
		{"for almost long", func() { now = now.Add(within - time.Second) }, ""},
		{"for long", func() { now = now.Add(2 * time.Second) }, "s/v2"},
		{"restarted with another software", func() { f.Put(entry("b", "v3")) }, ""},
		{"for long after the restart", func() { now = now.Add(within + time.Second) }, "s/v3"},
		{"gone", func() { f.Remove("b", 0); now = now.Add(within + time.Second); f.Serving("s") }, ""},
		{"back with another software", func() { f.Put(entry("c", "v4")) }, "s/v4"},
	} {
		step.do()
		got, ok := f.SoleSoftware("s", within)
		check.Equal(t, step.name, got, step.want)
		check.Equal(t, step.name+", certain", ok, step.want != "")
	}
	_, ok := f.SoleSoftware("s", softwareMemory+1)
	check.Equal(t, "for longer than is remembered", ok, false)
}
