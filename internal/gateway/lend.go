package gateway

import "irispost/decide"

// Lend tells the module what has been lent to it for a node that started then, to be sent until a time, and returns what was left of the
// last loan; false when the loop has ended.
func (l *Loop) Lend(addr string, born decide.Time, units float64, till decide.Time) (left float64, ok bool) {
	return ask(l, func(now decide.Time) float64 { return l.module.lend(now, addr, born, units, till) })
}

// Waiting is the work that waits at cold nodes, and the rate that the module knows of the others, in units a second.
type Waiting struct {
	List []decide.Want
	Rate float64
}

// Waiting asks the module what waits at cold nodes; false when the loop has ended.
func (l *Loop) Waiting() (Waiting, bool) {
	return ask(l, func(now decide.Time) (w Waiting) {
		w.List, w.Rate = l.module.gateway.Wants(now)
		return w
	})
}

// ask has something asked on the loop.
func ask[T any](l *Loop, what func(now decide.Time) T) (out T, ok bool) {
	answer := make(chan T, 1)
	if !l.post(func(now decide.Time) { answer <- what(now) }) {
		return out, false
	}
	select {
	case out = <-answer:
		return out, true
	case <-l.ended:
		return out, false
	}
}
