package edge

import (
	"time"

	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/setup"
)

const (
	// bodyTimeout limits how long a caller may take for a body.
	bodyTimeout = 2 * time.Minute
	// intakeShare is the share of the process's memory for requests that are received or
	// served.
	intakeShare = 0.25
	// decodeShare is the share of the memory for submissions while they are decoded, and
	// batchShare that for the batches that the host works on.
	decodeShare = 0.125
	batchShare  = 0.16
	// indexShare is the part of batchShare that the items of one batch may take without their bodies,
	// so that a host can own several of the largest ones.
	indexShare = 0.5
	// loadShare, sendShare and readShare are the shares of the memory for what is being read of batches
	// from the store, for bodies that were read to be sent, and for each of the results and bodies that
	// callers get, and those that other hosts get.
	loadShare = 0.06
	sendShare = 0.06
	readShare = 0.03
	// textShare is the share of the memory for the texts of items that are not finished.
	textShare = 0.15
	// answerShare is the share of the memory for answers of endpoints and of the platform's API
	// while they are read, and storeShare that for replies of the store.
	answerShare = 0.1
	storeShare  = 0.1
	// detourShare is the share of the memory for connections that are kept for other hosts,
	// detourBytes what one takes besides unread data, and detourLimit their largest number.
	detourShare = 0.2
	detourBytes = 30 << 10
	detourLimit = 400
	// connectionShare is the share of the memory for callers' connections, and
	// connectionBytes what one of them takes: its buffers and the stacks of its goroutines.
	connectionShare = 0.25
	connectionBytes = 32 << 10
	// descriptorShare is the share of the descriptors for callers' connections. The rest is
	// for endpoints, other hosts and the store.
	descriptorShare = 0.5
	// otherListeners is the part of callers' connections that each other listener may have.
	otherListeners = 8
	// headBytesAtStart is the largest head while there is no configuration yet.
	headBytesAtStart = 64 << 10
)

// share returns a share of the process's memory, in bytes.
func share(settings *setup.Host, part float64) int64 {
	return int64(part * float64(settings.MemoryBytes()))
}

// callerConnections returns the largest number of callers' connections.
func callerConnections(settings *setup.Host) int {
	byMemory := float64(share(settings, connectionShare) / connectionBytes)
	byDescriptors := descriptorShare * float64(settings.Descriptors())
	return max(otherListeners, int(min(byMemory, byDescriptors)))
}

// maxDetours returns the largest number of connections to endpoints that are kept for other hosts.
func maxDetours(settings *setup.Host) int {
	byMemory := share(settings, detourShare) / (peers.StreamWindowBytes + detourBytes)
	return int(min(detourLimit, byMemory))
}

// headBytes returns the largest size of a request's head, 0 for no limit.
func (e *Edge) headBytes() int {
	if table := e.table.Load(); table != nil {
		return table.Limits().HeaderBytes
	}
	return headBytesAtStart
}
