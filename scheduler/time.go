package scheduler

// Time is a point in time on the gateway's clock, or a duration, in nanoseconds.
type Time = int64

// Durations.
const (
	Microsecond Time = 1_000
	Millisecond Time = 1_000 * Microsecond
	Second      Time = 1_000 * Millisecond
)
