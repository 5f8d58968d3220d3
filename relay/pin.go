package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/routes"
)

const (
	// unknownOriginRetryAfter is the retry delay if it is not known which software began
	// the stream that a caller resumes: another host may know it, and be reached by then.
	unknownOriginRetryAfter = 200 * time.Millisecond
	// resumeTimeouts is how many timeouts of its route a stream may have begun before its
	// caller resumes it. An attempt lasts one at most, and callers try a few times within
	// their deadline.
	resumeTimeouts = 3
)

var errUnknownOrigin = errors.New("it is not known which software version began the stream")

// pinResumed limits a stream that the caller resumes to the software that began it. It
// returns the outcome if that is not known, since no other software may continue it.
func (active *activeRequest) pinResumed(ctx context.Context) Outcome {
	request := active.request
	if active.route.Kind != routes.Streaming || request.Resumes == "" && request.LastEventID < 0 {
		return nil
	}
	software, ok := active.resumedSoftware(ctx)
	if !ok {
		return Refused{RetryAfter: unknownOriginRetryAfter, Cause: errUnknownOrigin}
	}
	active.software = software
	service := software.Service()
	if slices.ContainsFunc(active.route.Shares, func(s routes.Share) bool { return s.Service == service && s.Weight > 0 }) {
		active.service = service
	}
	return nil
}

// resumedSoftware returns the software that began the stream. A caller that does not say
// which attempt that was is served only if the stream can't have begun at another one.
func (active *activeRequest) resumedSoftware(ctx context.Context) (fleet.Software, bool) {
	if active.request.Resumes != "" {
		return active.origins.Lookup(ctx, active.request.Resumes)
	}
	if active.route.Timeout == 0 || len(active.route.Shares) != 1 {
		return "", false
	}
	return active.origins.Sole(ctx, active.service, resumeTimeouts*active.route.Timeout)
}

// pinStarted limits a stream that can be resumed to the software that has sent its first
// event.
func (active *activeRequest) pinStarted(target fleet.Target) {
	if active.software != "" || !active.route.Resumable {
		return
	}
	active.software = target.Software()
	active.origins.Record(active.request.ID, active.software)
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
