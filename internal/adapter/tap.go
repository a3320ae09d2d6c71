package adapter

import (
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Tap observes the calls to the scheduler of one instance and its decisions, in the order in which they happen.
type Tap interface {
	Start(now scheduler.Time, seed uint64, settings scheduler.Settings)
	EndpointUpdate(now scheduler.Time, list endpoint.List, complete bool)
	EndpointListFailed(now scheduler.Time, unresponsive bool)
	SettingsChanged(now scheduler.Time, settings scheduler.Settings)
	Allocated(now scheduler.Time, addr string, startedAt scheduler.Time, units float64, expiresAt scheduler.Time)
	Submitted(now scheduler.Time, r *scheduler.Request, volume int64, serviceLevel, class string, gateways float64,
		hasKey bool)
	StreamStarted(now scheduler.Time, requestID string, number int)
	AttemptEnded(now scheduler.Time, requestID string, number int, outcome scheduler.Outcome, took scheduler.Time,
		final bool, unitsElsewhere float64, inFlight int, latency scheduler.Time)
	ClientCancelled(now scheduler.Time, requestID string)
	Decided(now scheduler.Time, d *scheduler.Decision)
}
