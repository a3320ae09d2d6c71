package gateway

import (
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Tap observes all calls to a scheduler and its decisions, in the order in which they happen. It is called on the
// loop.
type Tap interface {
	Start(now scheduler.Time, seed uint64, settings scheduler.Settings)
	EndpointList(now scheduler.Time, list endpoint.List)
	EndpointUpdate(now scheduler.Time, list endpoint.List, complete bool)
	EndpointListFailed(now scheduler.Time, unresponsive bool)
	SettingsChanged(now scheduler.Time, settings scheduler.Settings)
	Allocated(now scheduler.Time, addr string, startedAt scheduler.Time, units float64, expiresAt scheduler.Time)
	Submitted(now scheduler.Time, r *scheduler.Request, volume int64, serviceLevel, class string, gateways float64,
		hasKey bool)
	AttemptEnded(now scheduler.Time, requestID string, number int, outcome scheduler.Outcome, took scheduler.Time,
		final bool, unitsElsewhere float64, inFlight int, latency scheduler.Time)
	ClientCancelled(now scheduler.Time, requestID string)
	Decided(now scheduler.Time, d *scheduler.Decision)
	// Snapshot is called by SetTap, and after a decision if NeedsSnapshot returns true.
	Snapshot(now scheduler.Time, s *scheduler.Scheduler)
	NeedsSnapshot() bool
}

// SetTap replaces the tap; nil removes it. It returns true once the new tap is in effect, or false if the loop has
// ended.
func (l *Loop) SetTap(t Tap) bool {
	_, ok := callLoop(l, func(now scheduler.Time) struct{} {
		l.scheduler.setTap(now, t)
		return struct{}{}
	})
	return ok
}
