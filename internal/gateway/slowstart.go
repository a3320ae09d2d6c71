package gateway

import "irispost/scheduler"

// AllocateSlowStart hands the scheduler the units that were allocated to it for a warming node, which started at startedAt, to
// be sent until expiresAt. It returns what remained of the last allocation; false when the loop has ended.
func (l *Loop) AllocateSlowStart(addr string, startedAt scheduler.Time, units float64, expiresAt scheduler.Time) (
	remaining float64, ok bool) {
	return callLoop(l, func(now scheduler.Time) float64 {
		return l.scheduler.allocateSlowStart(now, addr, startedAt, units, expiresAt)
	})
}

// SlowStartDemand is the work that waits at warming nodes, and the rate of the others that the scheduler knows of, in
// units a second.
type SlowStartDemand struct {
	Demands []scheduler.SlowStartDemand
	Rate    float64
}

// SlowStartDemand returns what waits at warming nodes; false when the loop has ended.
func (l *Loop) SlowStartDemand() (SlowStartDemand, bool) {
	return callLoop(l, func(now scheduler.Time) (demand SlowStartDemand) {
		demand.Demands, demand.Rate = l.scheduler.inner.SlowStartDemands(now)
		return demand
	})
}
