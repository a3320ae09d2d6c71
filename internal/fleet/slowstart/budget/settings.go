// Package budget allocates what a storage node in slow start may be sent by all gateways together. One allocator
// has a node's budget and allocates parts of it to gateways that have requests waiting there, the highest
// priority first. An allocation is outstanding until it is returned or has expired, and no more is ever
// outstanding and available than the budget allows, whichever process ends, stops or is cut off. Package agent
// calls it.
//
// It is pure: no I/O, clock, lock or chance; callers own its values. Times are nanoseconds on one process's
// clock that never goes back; times of two processes are never compared. docs/fleet-cold.md has the argument.
package budget

// Time is nanoseconds on one process's clock.
type Time = int64

const second = Time(1e9)

// burstShare is the part of what is allocated that may be available or outstanding at one moment; the rest flows
// in over a window and the time of an allocation.
const burstShare = 0.25

// Settings say how much a node can bear during its slow start, and how that is allocated.
type Settings struct {
	InitialFraction  float64 // the part of its full rate that a node starts with, at least
	WarmupTime       Time    // after which a node has its full rate
	OverloadMultiple float64 // a node fails at this multiple of its rate,
	Window           Time    // sent for this long
	MinUnits         float64 // units that a node bears in a window in any case

	AllocatedShare float64 // the part of what a node bears that is allocated
	AllocationTime Time    // how long an allocation is valid, by its holder's clock, from when it was requested
	MaxClockDrift  float64 // the part by which clocks run faster or slower than true time at most
}

// Capacity is how many units a node bears in a window that begins at an age, if a warmed up node serves rate
// units a second.
func (s Settings) Capacity(age Time, rate float64) float64 {
	fraction := 1.0
	if age < s.WarmupTime {
		fraction = s.InitialFraction + (1-s.InitialFraction)*float64(max(age, 0))/float64(s.WarmupTime)
	}
	return max(s.OverloadMultiple*fraction*rate*float64(s.Window)/float64(second), s.MinUnits)
}

// outstandingTime is how long an allocation counts as outstanding on the allocator's clock: past its end on the
// holder's, however the two drift.
func (s Settings) outstandingTime() Time {
	return Time(float64(s.AllocationTime)*(1+s.MaxClockDrift)/(1-s.MaxClockDrift)) + 1
}

// driftRatio is how much faster one clock may run than another.
func (s Settings) driftRatio() float64 { return (1 + s.MaxClockDrift) / (1 - s.MaxClockDrift) }

// MaxOutstanding is the most units that can be sent at once to a node of an age, whether they are available,
// allocated or on their way. sinceMove is for how long there may have been another allocator beside the allocations
// of the one before; more than the time of an allocation counts as that.
func (s Settings) MaxOutstanding(age Time, rate float64, sinceMove Time) float64 {
	allocated := s.AllocatedShare * s.Capacity(age, rate)
	longest := Time(float64(s.outstandingTime()) * s.driftRatio())
	overlap := float64(min(sinceMove, longest))
	return burstShare*allocated + (1-burstShare)*allocated*overlap/float64(s.Window+s.outstandingTime())
}

// limits are the most units that may be available and outstanding, and how many flow in a second, for a node of
// an age.
//
// Whatever the window of true time: what is sent within it was outstanding or available an allocation's time
// before it began, or has flowed in since. All of that is counted by what the node bore a window earlier, so
// that the sum is under the share of what it bore when that window began.
func (s Settings) limits(age Time, rate float64) (maxUnits, unitsPerSecond float64) {
	earlier := age - Time(float64(s.Window)*s.driftRatio())
	allocated := s.AllocatedShare * s.Capacity(earlier, rate)
	flowTime := float64(s.Window+s.outstandingTime()) * s.driftRatio()
	return burstShare * allocated, (1 - burstShare) * allocated / flowTime * float64(second)
}
