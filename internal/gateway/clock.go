package gateway

import (
	"time"

	"irispost/scheduler"
)

// Clock is the gateway's time source.
type Clock interface {
	// Now returns the time in nanoseconds since the Unix epoch. Its result never decreases.
	Now() scheduler.Time
}

// monotonicClock reads the wall clock once and adds the elapsed monotonic time to it, so that a later step of the wall
// clock does not affect the gateway.
type monotonicClock struct{ start time.Time }

// NewClock returns a clock that starts at the current wall clock time and then advances with the monotonic clock.
func NewClock() Clock { return monotonicClock{time.Now()} }

// Now implements Clock.
func (c monotonicClock) Now() scheduler.Time { return c.start.UnixNano() + int64(time.Since(c.start)) }
