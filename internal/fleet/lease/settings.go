package lease

// Time is a reading of one process's monotonic clock, or a span on it, in nanoseconds.
type Time = int64

// Settings are fixed when a fleet is bootstrapped. They cannot change later, as leases that are out were
// granted by them.
type Settings struct {
	LeaseDuration Time    `json:"lease"` // how long a gateway acts on a response, counted from when it sent the request
	MaxClockDrift float64 `json:"drift"` // largest rate error of any clock, as a fraction of true time
}

// withDrift returns how long a span that another process measures may last by this process's clock, at most.
func (s Settings) withDrift(span Time) Time {
	return Time(float64(span)*(1+s.MaxClockDrift)/(1-s.MaxClockDrift)) + 1
}
