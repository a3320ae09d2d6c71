package gateway

import "irispost/scheduler"

// Allocate tells the module what has been lent to it for a node that started then, to be sent until a time, and returns what was left of the
// last loan; false when the loop has ended.
func (l *Loop) Allocate(addr string, born scheduler.Time, units float64, till scheduler.Time) (left float64, ok bool) {
	return ask(l, func(now scheduler.Time) float64 { return l.module.lend(now, addr, born, units, till) })
}

// SlowStartDemand is the work that waits at cold nodes, and the rate that the module knows of the others, in units a second.
type SlowStartDemand struct {
	Demands []scheduler.SlowStartDemand
	Rate    float64
}

// SlowStartDemand asks the module what waits at cold nodes; false when the loop has ended.
func (l *Loop) SlowStartDemand() (SlowStartDemand, bool) {
	return ask(l, func(now scheduler.Time) (w SlowStartDemand) {
		w.Demands, w.Rate = l.module.gateway.SlowStartDemands(now)
		return w
	})
}

// ask has something asked on the loop.
func ask[T any](l *Loop, what func(now scheduler.Time) T) (out T, ok bool) {
	answer := make(chan T, 1)
	if !l.post(func(now scheduler.Time) { answer <- what(now) }) {
		return out, false
	}
	select {
	case out = <-answer:
		return out, true
	case <-l.ended:
		return out, false
	}
}
