package relay

import (
	"slices"

	"github.com/currantloft/currantloft/fleet"
)

// pinStarted limits a stream to the software that has sent its first event.
func (active *activeRequest) pinStarted(target fleet.Target) {
	if active.software != "" {
		return
	}
	active.software = target.Software()
}

// serving returns the endpoints that may get the request: those of its service, with the
// software that began the stream once there is one.
func (active *activeRequest) serving() []fleet.State {
	states := active.fleet.Serving(active.service)
	if active.software == "" {
		return states
	}
	return slices.DeleteFunc(states, func(s fleet.State) bool { return !s.Entry.Software().Continues(active.software) })
}
