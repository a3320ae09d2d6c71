package gateway

import (
	"time"

	"irispost/scheduler"
)

// Clock is the gateway's time source.
type Clock interface {
	// Now returns nanoseconds since 1970. Successive calls never go back.
	Now() scheduler.Time
}

// monotonicClock counts on from the wall clock at its start by the monotonic clock, so that a later step of the wall
// clock does not reach the gateway.
type monotonicClock struct{ start time.Time }

// NewClock returns a clock that starts at the wall clock's present time and then follows the monotonic clock.
func NewClock() Clock { return monotonicClock{time.Now()} }

// Now implements Clock.
func (c monotonicClock) Now() scheduler.Time { return c.start.UnixNano() + int64(time.Since(c.start)) }
