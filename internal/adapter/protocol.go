package adapter

// Lines that frame a batch, and the entry lines that follow an endpoint list.
const (
	lineBatchStart = "MARK"
	lineBatchEnd   = "EOF_BATCH"
	lineEntry      = "ENTRY"
)

// Events of the bench.
const (
	eventInit             = "INIT"
	eventDown             = "DOWN"
	eventBackendsChanged  = "BACKENDS_CHANGED"
	eventRequest          = "REQ"
	eventStreamStarted    = "ACCEPTED"
	eventAttemptEnded     = "ANSWER"
	eventClientCancelled  = "WITHDRAWN"
	eventTimer            = "RING"
	eventHealthCheckEnded = "ECHO"
	eventPeerMessage      = "PEER"
)

// Events that the bench does not send. They carry what an installation that follows configuration versions tells a
// gateway.
const (
	eventSettingsChanged = "AGREED"
	eventAllocated       = "LENT"
)

// Actions of the adapter.
const (
	actionDispatch      = "ROUTE"
	actionCancel        = "CANCEL"
	actionReject        = "BOUNCE"
	actionFail          = "FINISH_ERROR"
	actionHealthCheck   = "TEST"
	actionWatch         = "SUBSCRIBE"
	actionLog           = "TRACE"
	actionSetTimer      = "SET_ALARM"
	actionInternalError = "INTERNAL_ERROR"
)

// Modes of an endpoint list event.
const (
	modeUpdate      = "update"      // the entries that changed
	modeReplace     = "replace"     // the complete list
	modeRestored    = "restored"    // the complete list as the instance last held it, possibly stale
	modeUnavailable = "unavailable" // the list could not be had; there are no entries
)

// wakeTimerID is the number of the one timer that an instance sets.
const wakeTimerID = 1

// isEvent tells whether a line's name is that of an event.
func isEvent(name string) bool {
	switch name {
	case eventInit, eventDown, eventBackendsChanged, eventRequest, eventStreamStarted, eventAttemptEnded,
		eventClientCancelled, eventTimer, eventHealthCheckEnded, eventPeerMessage, eventSettingsChanged, eventAllocated:
		return true
	}
	return false
}
