// Package epoch determines which nodes' slow start budgets a gateway owns and may allocate. The members known to
// the replicas share the nodes by rendezvous hashing, so that a member that joins or leaves moves only the nodes
// that it owns. Each change of the members begins an epoch. A new owner waits until the previous owner has
// certainly stopped allocating. Package agent calls this package; the replicas send a Membership with each lease.
//
// The package has no I/O, clocks, locks or randomness; callers own its values and pass the time.
package epoch

// Time is nanoseconds on one process's clock.
type Time = int64

// Membership holds the members of an epoch, as known to the leader of the replicas. It is sent with leases as JSON.
type Membership struct {
	Epoch      uint64 `json:"number"` // number of membership changes so far
	Departures uint64 `json:"parts"`  // number of members that have left so far
	// Age is how long, on its own clock, the leader has known that there is no later epoch: the time since the last
	// membership change in the log, or since it became leader, if that is later.
	Age     Time     `json:"age"`
	Members []string `json:"members,omitempty"`

	LeaseDuration Time    `json:"lease"` // duration of the leases that the replicas grant
	MaxClockDrift float64 `json:"drift"` // maximum relative error of the rate of a clock, such as 0.01
}

// maxOnOtherClock returns the longest time that another process's clock can measure during a span of this one's.
func (m *Membership) maxOnOtherClock(span Time) Time {
	return Time(float64(span)*(1+m.MaxClockDrift)/(1-m.MaxClockDrift)) + 1
}

// untilEarlierLeasesExpire returns the longest time that it can take until all leases granted in earlier epochs have
// expired, measured on any process's clock.
func (m *Membership) untilEarlierLeasesExpire() Time {
	return max(m.maxOnOtherClock(m.maxOnOtherClock(m.LeaseDuration)-m.Age), 0)
}
