package scheduler

// Time is a point on the gateway's clock, or a span of it, in whole nanoseconds.
type Time = int64

// Spans of time.
const (
	Microsecond Time = 1_000
	Millisecond Time = 1_000 * Microsecond
	Second      Time = 1_000 * Millisecond
)
