// Package epoch tells a gateway which nodes' slow start budgets are its own to allocate. Each member that the
// replicas know owns nodes by rendezvous hashing, so that a member that comes or goes moves only what is its
// own. Each change of the members begins an epoch, and a new owner waits until the one before has certainly
// ceased. Package agent calls it; the replicas send a Membership with leases.
//
// It is pure: no I/O, clock, lock or chance; callers own its values and pass the time.
package epoch

// Time is nanoseconds on one process's clock.
type Time = int64

// Membership is the members of an epoch, as the leading replica has them. It travels with leases as JSON.
type Membership struct {
	Epoch      uint64 `json:"number"` // counts the changes of the members
	Departures uint64 `json:"parts"`  // counts the members that have left
	// Age is for how long, by its clock, the leader has known of no later epoch: since the log's last change of
	// the members, or since it leads, if that is later.
	Age     Time     `json:"age"`
	Members []string `json:"members,omitempty"`

	LeaseDuration Time    `json:"lease"` // as replicas grant leases
	MaxClockDrift float64 `json:"drift"` // part by which clocks run faster or slower than true time at most
}

// maxOnOtherClock is a span as another process's clock may count it at most.
func (m *Membership) maxOnOtherClock(span Time) Time {
	return Time(float64(span)*(1+m.MaxClockDrift)/(1-m.MaxClockDrift)) + 1
}

// untilEarlierLeasesExpire is how long it takes at most until all leases that were granted in earlier epochs have run
// out.
func (m *Membership) untilEarlierLeasesExpire() Time {
	return max(m.maxOnOtherClock(m.maxOnOtherClock(m.LeaseDuration)-m.Age), 0)
}
