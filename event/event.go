// Package event defines the numbered log events of currantloft.
//
// Each event has a number that never changes, a name and a level. The
// catalogue with causes and remedies is docs/EVENTS.md; a test holds the two
// together.
//
// # Usage
//
//	event.NodeServing.Log(logger, zap.String("node", name))
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

type (
	// Event is one kind of log entry.
	Event struct {
		number int
		name   string
		level  zapcore.Level
	}
)

// Events, by the part of the system that logs them.
var (
	NodeStarting     = define(100, "node_starting", zapcore.InfoLevel)
	NodeServing      = define(101, "node_serving", zapcore.InfoLevel)
	NodeLeaving      = define(102, "node_leaving", zapcore.InfoLevel)
	NodeStopped      = define(103, "node_stopped", zapcore.InfoLevel)
	NodeLoopFailed   = define(104, "node_loop_failed", zapcore.ErrorLevel)
	NodeDrainTimeout = define(105, "node_drain_timeout", zapcore.WarnLevel)

	MemberJoined     = define(200, "member_joined", zapcore.InfoLevel)
	MemberDead       = define(201, "member_dead", zapcore.WarnLevel)
	MemberLeaving    = define(202, "member_leaving", zapcore.InfoLevel)
	MemberRefuted    = define(203, "member_refuted_own_death", zapcore.WarnLevel)
	MemberSilentLink = define(204, "member_silent_link", zapcore.WarnLevel)

	ConfigInForce     = define(300, "config_in_force", zapcore.InfoLevel)
	ConfigRefused     = define(301, "config_refused", zapcore.ErrorLevel)
	ConfigWatchFailed = define(302, "config_watch_failed", zapcore.WarnLevel)

	RequestNotRun   = define(400, "request_not_run", zapcore.DebugLevel)
	RequestUnknown  = define(401, "request_outcome_unknown", zapcore.WarnLevel)
	StreamResumed   = define(403, "stream_resumed", zapcore.InfoLevel)
	RequestSuspect  = define(404, "request_suspect", zapcore.WarnLevel)
	RequestBarred   = define(405, "request_quarantined", zapcore.ErrorLevel)
	CellUnreachable = define(406, "cell_keeper_unreachable", zapcore.WarnLevel)

	EndpointReady   = define(500, "endpoint_ready", zapcore.InfoLevel)
	EndpointDown    = define(501, "endpoint_down", zapcore.WarnLevel)
	EndpointLeaving = define(502, "endpoint_leaving", zapcore.InfoLevel)
	OrderGiven      = define(503, "order_given", zapcore.InfoLevel)
	OrderFailed     = define(504, "order_failed", zapcore.WarnLevel)
	OrderFenced     = define(505, "order_fenced", zapcore.WarnLevel)
	FenceTaken      = define(506, "fence_taken", zapcore.InfoLevel)

	StepOpened     = define(600, "step_opened", zapcore.InfoLevel)
	StepSealed     = define(601, "step_sealed", zapcore.InfoLevel)
	StepDelivered  = define(602, "step_delivered", zapcore.InfoLevel)
	StepSuperseded = define(603, "step_superseded", zapcore.WarnLevel)
	StepFenced     = define(604, "step_keeper_fenced", zapcore.WarnLevel)
	StepTakenOver  = define(605, "step_taken_over", zapcore.WarnLevel)
	StepSealRetry  = define(606, "step_seal_retry", zapcore.WarnLevel)
	SampleRejected = define(607, "sample_rejected", zapcore.InfoLevel)
	StepAbandoned  = define(608, "step_abandoned", zapcore.WarnLevel)

	ClaimFailed = define(700, "claim_failed", zapcore.WarnLevel)
)

var all []Event

func define(number int, name string, level zapcore.Level) Event {
	e := Event{number: number, name: name, level: level}
	all = append(all, e)
	return e
}

// All returns every defined event in order of definition.
func All() []Event { return append([]Event(nil), all...) }

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's name.
func (e Event) Name() string { return e.name }

// Level returns the event's log level.
func (e Event) Level() zapcore.Level { return e.level }

// Log writes the event with its fields.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	entry := logger.Check(e.level, e.name)
	if entry == nil {
		return
	}
	entry.Write(append([]zap.Field{zap.Int("event", e.number)}, fields...)...)
}
