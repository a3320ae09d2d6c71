package adapter

// Names of the lines that frame a batch, and of the entry lines that follow an endpoint list event.
const (
	lineBatchStart = "MARK"
	lineBatchEnd   = "EOF_BATCH"
	lineEntry      = "ENTRY"
)

// Names of the events of the simulator.
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

// Names of the events that the simulator does not send. They carry what a gateway gets in an installation with
// versions of the configuration: settings that have come into force, and slow-start allocations.
const (
	eventSettingsChanged = "AGREED"
	eventAllocated       = "LENT"
)

// Names of the actions that the adapter writes.
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
	modeUpdate      = "update"      // only the entries that changed
	modeReplace     = "replace"     // the complete list
	modeRestored    = "restored"    // the instance's last complete list, possibly stale
	modeUnavailable = "unavailable" // the list could not be fetched; no entries follow
)

// wakeTimerID is the number of the only timer that an instance uses.
const wakeTimerID = 1

// isEvent reports whether name is the name of an event.
func isEvent(name string) bool {
	switch name {
	case eventInit, eventDown, eventBackendsChanged, eventRequest, eventStreamStarted, eventAttemptEnded,
		eventClientCancelled, eventTimer, eventHealthCheckEnded, eventPeerMessage, eventSettingsChanged, eventAllocated:
		return true
	}
	return false
}
