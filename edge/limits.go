package edge

import (
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/quota"
)

// limitChanged logs that an endpoint's answer to this host has changed its limit.
func (e *Edge) limitChanged(endpoint string, from, to quota.Limit) {
	event.EndpointLimitChanged.Log(e.logger, zap.String("endpoint", endpoint), zap.Stringer("from", from), zap.Stringer("to", to))
}
