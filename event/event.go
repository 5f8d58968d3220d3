// Package event defines the numbered log events of currantloft.
//
// Each event has a number that never changes, a name and a level.
// docs/EVENTS.md lists all events with causes and remedies; a test checks that
// it matches the code.
//
// # Usage
//
//	event.NodeServing.Log(logger, zap.String("node", name))
package event

import (
	"unicode/utf8"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxFieldBytes limits a text in a log line.
	maxFieldBytes = 2 << 10
	// cutMark ends a text that was cut.
	cutMark = "..."
)

type (
	// Event is one kind of log entry.
	Event struct {
		number int
		name   string
		level  zapcore.Level
	}
)

// Events, grouped by the part of the system that logs them.
var (
	NodeStarting     = define(100, "node_starting", zapcore.InfoLevel)
	NodeServing      = define(101, "node_serving", zapcore.InfoLevel)
	NodeLeaving      = define(102, "node_leaving", zapcore.InfoLevel)
	NodeStopped      = define(103, "node_stopped", zapcore.InfoLevel)
	NodeLoopFailed   = define(104, "node_loop_failed", zapcore.ErrorLevel)
	NodeDrainTimeout = define(105, "node_drain_timeout", zapcore.WarnLevel)
	NodeWasPaused    = define(106, "node_was_paused", zapcore.WarnLevel)
	SignalReceived   = define(107, "signal_received", zapcore.InfoLevel)

	MemberJoined          = define(200, "member_joined", zapcore.InfoLevel)
	MemberDead            = define(201, "member_dead", zapcore.WarnLevel)
	MemberLeaving         = define(202, "member_leaving", zapcore.InfoLevel)
	MemberRefutedOwnDeath = define(203, "member_refuted_own_death", zapcore.WarnLevel)
	MemberSilentLink      = define(204, "member_silent_link", zapcore.WarnLevel)

	ConfigInForce     = define(300, "config_in_force", zapcore.InfoLevel)
	ConfigRefused     = define(301, "config_refused", zapcore.ErrorLevel)
	ConfigWatchFailed = define(302, "config_watch_failed", zapcore.WarnLevel)

	RequestNotRun         = define(400, "request_not_run", zapcore.DebugLevel)
	RequestOutcomeUnknown = define(401, "request_outcome_unknown", zapcore.WarnLevel)
	StreamResumed         = define(403, "stream_resumed", zapcore.InfoLevel)
	RequestSuspect        = define(404, "request_suspect", zapcore.WarnLevel)
	RequestQuarantined    = define(405, "request_quarantined", zapcore.ErrorLevel)
	CellKeeperUnreachable = define(406, "cell_keeper_unreachable", zapcore.WarnLevel)
	SuspectsSpread        = define(407, "suspects_spread", zapcore.InfoLevel)
	SuspectLearned        = define(408, "suspect_learned", zapcore.InfoLevel)
	RequestCleared        = define(409, "request_cleared", zapcore.InfoLevel)
	StreamOriginUnknown   = define(410, "stream_origin_unknown", zapcore.WarnLevel)
	StreamOriginNotSent   = define(411, "stream_origin_not_sent", zapcore.InfoLevel)
	StreamBroken          = define(412, "stream_broken", zapcore.WarnLevel)

	EndpointReady   = define(500, "endpoint_ready", zapcore.InfoLevel)
	EndpointDown    = define(501, "endpoint_down", zapcore.WarnLevel)
	EndpointLeaving = define(502, "endpoint_leaving", zapcore.InfoLevel)
	OrderSent       = define(503, "order_given", zapcore.InfoLevel)
	OrderFailed     = define(504, "order_failed", zapcore.WarnLevel)
	OrderFenced     = define(505, "order_fenced", zapcore.WarnLevel)
	FenceTaken      = define(506, "fence_taken", zapcore.InfoLevel)

	EndpointLimitChanged  = define(507, "endpoint_limit_changed", zapcore.WarnLevel)
	EndpointLimitRejected = define(508, "endpoint_limit_rejected", zapcore.WarnLevel)
	PermitsNotGranted     = define(509, "permits_not_granted", zapcore.InfoLevel)

	EndpointPathBroken   = define(510, "endpoint_path_broken", zapcore.WarnLevel)
	EndpointPathRestored = define(511, "endpoint_path_restored", zapcore.InfoLevel)
	DetourDataTooOld     = define(512, "detour_data_too_old", zapcore.InfoLevel)
	EndpointSaysLeaving  = define(513, "endpoint_says_leaving", zapcore.InfoLevel)

	StepOpened       = define(600, "step_opened", zapcore.InfoLevel)
	StepSealed       = define(601, "step_sealed", zapcore.InfoLevel)
	StepDelivered    = define(602, "step_delivered", zapcore.InfoLevel)
	StepSuperseded   = define(603, "step_superseded", zapcore.WarnLevel)
	StepKeeperFenced = define(604, "step_keeper_fenced", zapcore.WarnLevel)
	StepTakenOver    = define(605, "step_taken_over", zapcore.WarnLevel)
	StepSealRetry    = define(606, "step_seal_retry", zapcore.WarnLevel)
	SampleRejected   = define(607, "sample_rejected", zapcore.InfoLevel)
	StepAbandoned    = define(608, "step_abandoned", zapcore.WarnLevel)

	ClaimFailed = define(700, "claim_failed", zapcore.WarnLevel)

	StoreLost             = define(800, "store_lost", zapcore.WarnLevel)
	StoreRegained         = define(801, "store_regained", zapcore.InfoLevel)
	UpdateMissed          = define(812, "update_missed", zapcore.InfoLevel)
	ObjectUnreadable      = define(813, "object_unreadable", zapcore.WarnLevel)
	UpdateOutdated        = define(814, "update_outdated", zapcore.InfoLevel)
	WatchFailed           = define(802, "watch_failed", zapcore.WarnLevel)
	EndpointEntryRejected = define(803, "endpoint_entry_rejected", zapcore.WarnLevel)
	EndpointEntryChanged  = define(804, "endpoint_entry_changed", zapcore.InfoLevel)
	EndpointEntryRemoved  = define(805, "endpoint_entry_removed", zapcore.InfoLevel)
	RoutesInForce         = define(806, "routes_in_force", zapcore.InfoLevel)
	RoutesRefused         = define(807, "routes_refused", zapcore.ErrorLevel)
	SettingsReloaded      = define(808, "settings_reloaded", zapcore.InfoLevel)
	StorageHostEmptied    = define(809, "storage_host_emptied", zapcore.InfoLevel)
	SettingsRefused       = define(811, "settings_refused", zapcore.ErrorLevel)
	LogLinesDropped       = define(810, "log_lines_dropped", zapcore.WarnLevel)

	HostJoined       = define(820, "host_joined", zapcore.InfoLevel)
	HostLeaving      = define(821, "host_leaving", zapcore.InfoLevel)
	HostDead         = define(822, "host_dead", zapcore.WarnLevel)
	HostListFailed   = define(823, "host_list_failed", zapcore.WarnLevel)
	HostNotNotified  = define(824, "host_not_told", zapcore.InfoLevel)
	PeersNotAccepted = define(825, "peers_not_accepted", zapcore.WarnLevel)

	AttemptFailed      = define(840, "attempt_failed", zapcore.InfoLevel)
	RequestNotAnswered = define(841, "request_not_answered", zapcore.WarnLevel)
	RequestRejected    = define(842, "request_rejected", zapcore.InfoLevel)
	KeyRefused         = define(843, "key_refused", zapcore.InfoLevel)
	AnswerUnproven     = define(844, "answer_unproven", zapcore.InfoLevel)
	ClientRefused      = define(845, "client_refused", zapcore.InfoLevel)

	BatchAccepted           = define(860, "batch_accepted", zapcore.InfoLevel)
	BatchAcceptedBefore     = define(861, "batch_accepted_before", zapcore.InfoLevel)
	BatchNotAccepted        = define(862, "batch_not_accepted", zapcore.WarnLevel)
	BatchEnded              = define(863, "batch_ended", zapcore.InfoLevel)
	BatchComplete           = define(864, "batch_whole", zapcore.InfoLevel)
	BatchTakenOver          = define(865, "batch_taken_over", zapcore.WarnLevel)
	BatchTakeoverFailed     = define(866, "batch_takeover_failed", zapcore.WarnLevel)
	BatchReleased           = define(867, "batch_released", zapcore.InfoLevel)
	BatchHandedOver         = define(868, "batch_handed_on", zapcore.InfoLevel)
	BatchListFailed         = define(869, "batch_list_failed", zapcore.WarnLevel)
	BatchUnreadable         = define(870, "batch_unreadable", zapcore.ErrorLevel)
	BatchChunkOfOtherKeeper = define(871, "batch_chunk_of_another_keeper", zapcore.WarnLevel)
	BatchChunkRetried       = define(872, "batch_chunk_retried", zapcore.WarnLevel)
	BatchKeeperUnreachable  = define(873, "batch_keeper_unreachable", zapcore.WarnLevel)
	BatchNotOwned           = define(893, "batch_not_kept_there", zapcore.InfoLevel)
	BatchWorkEnded          = define(894, "batch_work_over", zapcore.InfoLevel)
	ItemRunFailed           = define(874, "item_run_failed", zapcore.InfoLevel)
	ItemAbandoned           = define(875, "item_given_up", zapcore.WarnLevel)
	BatchResumed            = define(878, "batch_goes_on_from_before", zapcore.InfoLevel)
	BatchRemoved            = define(890, "batch_removed", zapcore.InfoLevel)
	BatchProgressNotSaved   = define(892, "batch_progress_not_saved", zapcore.WarnLevel)
	BatchNotRemoved         = define(891, "batch_not_removed", zapcore.WarnLevel)
	ItemMoved               = define(877, "item_moved", zapcore.DebugLevel)
	ItemDone                = define(876, "item_done", zapcore.DebugLevel)
	RewardCallFailed        = define(895, "reward_call_failed", zapcore.InfoLevel)
	ItemScored              = define(896, "item_scored", zapcore.DebugLevel)
	RewardRouteMissing      = define(897, "reward_route_missing", zapcore.WarnLevel)
	ItemRestarted           = define(898, "item_restarted", zapcore.InfoLevel)
	BatchEndFound           = define(899, "batch_end_found", zapcore.InfoLevel)
	BatchStartsHeld         = define(900, "batch_starts_held", zapcore.WarnLevel)
	ItemNotPermitted        = define(901, "item_not_permitted", zapcore.InfoLevel)
	BatchPageEmpty          = define(902, "batch_page_empty", zapcore.InfoLevel)
	BatchTailNotChecked     = define(903, "batch_tail_not_checked", zapcore.DebugLevel)
	BatchOwed               = define(904, "batch_owed", zapcore.WarnLevel)
	ItemNotLoaded           = define(905, "item_not_loaded", zapcore.InfoLevel)

	VersionNamed       = define(880, "version_named", zapcore.InfoLevel)
	VersionUnreadable  = define(881, "version_unreadable", zapcore.ErrorLevel)
	OrderSenderStarted = define(882, "orders_begun", zapcore.InfoLevel)
	OrderSenderStopped = define(883, "orders_left", zapcore.InfoLevel)
	LeaseTaken         = define(884, "lease_taken", zapcore.InfoLevel)
	LeaseFailed        = define(885, "lease_failed", zapcore.WarnLevel)

	UsageWindowDecided   = define(920, "usage_window_decided", zapcore.InfoLevel)
	UsageReported        = define(921, "usage_reported", zapcore.InfoLevel)
	UsageReportFailed    = define(922, "usage_report_failed", zapcore.WarnLevel)
	UsageReportAbandoned = define(923, "usage_report_abandoned", zapcore.ErrorLevel)
	UsageWindowFailed    = define(924, "usage_window_failed", zapcore.WarnLevel)
	UsageNotSent         = define(925, "usage_not_sent", zapcore.InfoLevel)

	EndpointsDesired     = define(940, "endpoints_desired", zapcore.InfoLevel)
	EndpointsOrdered     = define(941, "endpoints_ordered", zapcore.InfoLevel)
	EndpointsNotOrdered  = define(942, "endpoints_not_ordered", zapcore.WarnLevel)
	EndpointsUnavailable = define(943, "endpoints_unavailable", zapcore.InfoLevel)
	ScalingStarted       = define(944, "scaling_begun", zapcore.InfoLevel)
	ScalingStopped       = define(945, "scaling_left", zapcore.InfoLevel)
	ScalingUnable        = define(946, "scaling_unable", zapcore.WarnLevel)
	DemandNotSent        = define(947, "demand_not_sent", zapcore.InfoLevel)
)

// Team returns the log field that names a team, none for an empty one.
func Team(team string) zap.Field {
	if team == "" {
		return zap.Skip()
	}
	return zap.String("team", team)
}

var allEvents []Event

func define(number int, name string, level zapcore.Level) Event {
	e := Event{number: number, name: name, level: level}
	allEvents = append(allEvents, e)
	return e
}

// All returns every defined event in order of definition.
func All() []Event { return append([]Event(nil), allEvents...) }

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's name.
func (e Event) Name() string { return e.name }

// Level returns the event's log level.
func (e Event) Level() zapcore.Level { return e.level }

// Log writes the event with its fields. Texts and errors longer than maxFieldBytes are
// cut: they may repeat what another program has sent.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	entry := logger.Check(e.level, e.name)
	if entry == nil {
		return
	}
	written := make([]zap.Field, 0, len(fields)+1)
	written = append(written, zap.Int("event", e.number))
	for _, field := range fields {
		written = append(written, cut(field))
	}
	entry.Write(written...)
}

// cut returns a field without what exceeds maxFieldBytes.
func cut(field zap.Field) zap.Field {
	text := field.String
	if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
		text = err.Error()
	} else if field.Type != zapcore.StringType {
		return field
	}
	if len(text) <= maxFieldBytes {
		return field
	}
	end := maxFieldBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return zap.String(field.Key, text[:end]+cutMark)
}
