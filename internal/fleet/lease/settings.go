package lease

// Time is a reading of one process's monotonic clock, or a duration measured by it, in nanoseconds.
type Time = int64

// Settings are fixed when a fleet is bootstrapped. They cannot change later, because outstanding leases were granted
// under them.
type Settings struct {
	LeaseDuration Time    `json:"lease"` // how long a lease lasts, counted from when its request was sent
	MaxClockDrift float64 `json:"drift"` // maximum rate error of any clock, as a fraction of true time
}

// withDrift returns the longest that a span measured by another process's clock can take by this process's clock.
func (s Settings) withDrift(span Time) Time {
	return Time(float64(span)*(1+s.MaxClockDrift)/(1-s.MaxClockDrift)) + 1
}
