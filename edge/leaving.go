package edge

import (
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/wirepb"
)

// originPeer is the origin of what another host has reported.
const originPeer = "host"

// endpointLeaves logs that an endpoint has said that it leaves, and tells the other hosts
// unless one of them has told this one.
func (e *Edge) endpointLeaves(target fleet.Target, origin string) {
	event.EndpointSaysLeaving.Log(e.logger, zap.String("endpoint", target.ID()), zap.Int64("started_ms", target.StartedMs()),
		zap.String("origin", origin))
	kind := "answer"
	if origin == originPeer {
		kind = originPeer
	}
	e.meter.Scope().Tagged(map[string]string{"origin": kind}).Counter("endpoints_leaving").Inc(1)
	if origin == originPeer {
		return
	}
	call := &wirepb.Frame{Body: &wirepb.Frame_EndpointLeaving{EndpointLeaving: &wirepb.EndpointLeaving{
		Endpoint: target.ID(), StartedMs: target.StartedMs(),
	}}}
	e.peers.send(e.peers.Hubs(), call)
	e.peers.passOn(call)
}
