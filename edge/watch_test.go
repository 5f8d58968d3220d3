package edge

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fakes/check"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/object"
)

// An entry that can't be read must be logged once, and not at each of its changes.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	e := &Edge{logger: zap.New(core), fleet: fleet.New(time.Now), rejected: make(map[string]bool)}
	revision := uint64(0)
	write := func(spec string, removed bool) {
		revision++
		e.applyEndpoint(object.Change{Entry: object.Entry{Name: "i-1", Revision: revision, Spec: []byte(spec)}, Removed: removed}, false)
	}
	assertUse := func(what string, serving, rejections int) {
		t.Helper()
		check.Equal(t, "serving "+what, len(e.fleet.Serving("s")), serving)
		check.Equal(t, "rejections "+what, logs.FilterMessage(event.EndpointEntryRejected.Name()).Len(), rejections)
	}
	good, odd := `{"service":"s","address":"10.1.1.1:80","slots":4,"state":"ready"}`, `{"service":"s","address":"10.1.1.1:70000","slots":4,"sequence":%d}`
	for n := range 20 {
		write(fmt.Sprintf(odd, n), false)
	}
	assertUse("of an odd entry", 0, 1)
	write(good, false)
	assertUse("of a good entry in its place", 1, 1)
	for n := range 20 {
		write(fmt.Sprintf(odd, n), false)
	}
	assertUse("of a good entry that became odd", 0, 2)
	write("", true)
	write(odd, false)
	assertUse("of a new odd entry", 0, 3)
}
