package gateway

import (
	"time"

	"irispost/scheduler"
)

// Clock tells the gateway's time.
type Clock interface {
	Now() scheduler.Time // nanoseconds since 1970; it never goes back
}

// steady counts on from the wall clock at its start by the monotonic clock, so that a step of the wall clock is none
// of the gateway's.
type steady struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return steady{time.Now()} }

func (s steady) Now() scheduler.Time { return s.start.UnixNano() + int64(time.Since(s.start)) }
