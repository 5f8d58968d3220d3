package node

import (
	"runtime"
	"time"

	"github.com/currantloft/currantloft/entry"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/steps"
	"github.com/currantloft/currantloft/weight"
)

type (
	// State is the dump of a node.
	State struct {
		// State is the state of the node chart.
		State string `json:"state"`
		// Status is the node's summary for operators.
		Status entry.Status `json:"status"`
		// Suspended is true after a pause of the process, until a peer has answered:
		// meanwhile the peers may consider this node dead.
		Suspended bool `json:"suspended"`
		// Cells are the cells that this node owns.
		Cells []CellState `json:"cells"`
		// Endpoints are the endpoints that this node supervises.
		Endpoints []weight.EndpointState `json:"endpoints"`
		// Steps are the trainers whose steps this node owns.
		Steps []steps.JobState `json:"steps"`
		// Suspects counts requests that are suspected of crashing endpoints.
		Suspects int `json:"suspects"`
		// Quarantined counts requests that are no longer run.
		Quarantined int `json:"quarantined"`
		// Platform counts calls to the platform.
		Platform PlatformState `json:"platform"`
		// Control counts the traffic of membership and facts.
		Control ControlState `json:"control"`
		// Process describes the process.
		Process ProcessState `json:"process"`
	}

	// CellState is the state of one cell.
	CellState struct {
		// Cell is the cell's name.
		Cell string `json:"cell"`
		// Load is the state of its queue and of its endpoints' windows.
		Load permit.Load `json:"load"`
		// Endpoints are the states of its endpoints.
		Endpoints []permit.EndpointState `json:"places"`
	}

	// PlatformState counts calls to the platform since the start.
	PlatformState struct {
		// Reads counts reads of objects.
		Reads int64 `json:"reads"`
		// Writes counts conditional updates and deletes.
		Writes int64 `json:"writes"`
		// Watches counts watches; one waits at a time.
		Watches int64 `json:"watches"`
		// SilentMs is the time since the platform's last answer, -1 if there was none.
		SilentMs int64 `json:"silent_ms"`
	}

	// ControlState counts the traffic of membership, and the facts.
	ControlState struct {
		// SentBytes counts the bytes of sent frames without transport overhead.
		SentBytes int64 `json:"sent_bytes"`
		// ReceivedBytes counts the bytes of the answers, also without overhead.
		ReceivedBytes int64 `json:"received_bytes"`
		// Facts counts the facts that have not expired.
		Facts int `json:"facts"`
	}

	// ProcessState describes the process.
	ProcessState struct {
		// Goroutines counts goroutines.
		Goroutines int `json:"goroutines"`
		// HeapBytes is the memory of heap objects, those not yet collected included.
		HeapBytes uint64 `json:"heap_bytes"`
		// SystemBytes is the memory obtained from the operating system.
		SystemBytes uint64 `json:"system_bytes"`
	}
)

// Dump returns the state of the node.
func (n *Node) Dump() any {
	suspects, quarantined := n.quarantine.Counts()
	sent, received := n.members.Traffic()
	state := State{
		State:       string(n.machine.State()),
		Status:      n.entry.Status(),
		Suspended:   n.members.Suspended(),
		Endpoints:   n.weights.States(),
		Steps:       n.steps.States(),
		Suspects:    suspects,
		Quarantined: quarantined,
		Platform:    n.platformState(),
		Control:     ControlState{SentBytes: sent, ReceivedBytes: received, Facts: n.facts.Expire()},
		Process:     processState(),
	}
	for _, cell := range n.dispatcher.Cells() {
		state.Cells = append(state.Cells, CellState{Cell: cell.Name(), Load: cell.Load(), Endpoints: cell.EndpointStates()})
	}
	return state
}

func (n *Node) platformState() PlatformState {
	reads, writes, watches := n.platform.Calls()
	state := PlatformState{Reads: reads, Writes: writes, Watches: watches, SilentMs: -1}
	if at := n.platform.LastAnswer(); !at.IsZero() {
		state.SilentMs = time.Since(at).Milliseconds()
	}
	return state
}

func processState() ProcessState {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return ProcessState{
		Goroutines:  runtime.NumGoroutine(),
		HeapBytes:   memory.HeapAlloc,
		SystemBytes: memory.Sys,
	}
}
