package gateway

import "irispost/scheduler"

// AllocateSlowStart sets the units of a node's slow-start budget that are allocated to this gateway until expiresAt.
// The node is the one at addr that started at startedAt. remaining is what was left of the previous allocation, in
// units. ok is false if the loop has ended.
func (l *Loop) AllocateSlowStart(addr string, startedAt scheduler.Time, units float64, expiresAt scheduler.Time) (
	remaining float64, ok bool) {
	return callLoop(l, func(now scheduler.Time) float64 {
		return l.scheduler.allocateSlowStart(now, addr, startedAt, units, expiresAt)
	})
}

// SlowStartDemand is the queued work for nodes in slow start.
type SlowStartDemand struct {
	Demands []scheduler.SlowStartDemand
	Rate    float64 // of a warm node as known to the scheduler, in units per second; 0 if unknown
}

// SlowStartDemand returns the queued work for nodes in slow start. The second result is false if the loop has ended.
func (l *Loop) SlowStartDemand() (SlowStartDemand, bool) {
	return callLoop(l, func(now scheduler.Time) (demand SlowStartDemand) {
		demand.Demands, demand.Rate = l.scheduler.inner.SlowStartDemands(now)
		return demand
	})
}
