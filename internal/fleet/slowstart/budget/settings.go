// Package budget allocates the units that all gateways together may send to a storage node in slow start. One
// allocator holds a node's budget and allocates parts of it to the gateways that have requests waiting for the node,
// highest priority first. An allocation is outstanding until it is returned or has expired. The units that are
// available or outstanding never exceed the budget, even if processes exit, stall or are partitioned. Package agent
// calls this package.
//
// The package has no I/O, clocks, locks or randomness; callers own its values. Times are nanoseconds on one process's
// monotonic clock; times of two processes are never compared. docs/fleet-cold.md explains why the limits hold.
package budget

// Time is nanoseconds on one process's clock.
type Time = int64

const second = Time(1e9)

// burstShare is the part of the allocated units that may be available or outstanding at any moment. The rest becomes
// available over the length of a window and of an allocation.
const burstShare = 0.25

// Settings describe the capacity of a node during its slow start and how that is allocated.
type Settings struct {
	InitialFraction  float64 // minimum part of its full rate that a node starts with
	WarmupTime       Time    // time after its start at which a node has its full rate
	OverloadMultiple float64 // a node fails if it is sent this multiple of its rate for a Window
	Window           Time    // duration over which the units sent to a node are counted
	MinUnits         float64 // units that a node can take in a window, whatever its rate

	AllocatedShare float64 // part of a node's capacity that is allocated
	AllocationTime Time    // how long an allocation is valid on its holder's clock, from its request on
	MaxClockDrift  float64 // maximum relative error of the rate of a clock, such as 0.01
}

// Capacity returns how many units a node can be sent in a window without failing. The window begins when the node has
// the given age, the time since its start; rate is what a warmed-up node serves, in units per second.
func (s Settings) Capacity(age Time, rate float64) float64 {
	fraction := 1.0
	if age < s.WarmupTime {
		fraction = s.InitialFraction + (1-s.InitialFraction)*float64(max(age, 0))/float64(s.WarmupTime)
	}
	return max(s.OverloadMultiple*fraction*rate*float64(s.Window)/float64(second), s.MinUnits)
}

// outstandingTime returns how long an allocation counts as outstanding on the allocator's clock. It ends after the
// allocation has expired on the holder's clock, however far the two clocks drift.
func (s Settings) outstandingTime() Time {
	return Time(float64(s.AllocationTime)*(1+s.MaxClockDrift)/(1-s.MaxClockDrift)) + 1
}

// driftRatio returns the maximum ratio between the rates of two clocks.
func (s Settings) driftRatio() float64 { return (1 + s.MaxClockDrift) / (1 - s.MaxClockDrift) }

// MaxOutstanding returns the maximum number of units that can be sent at once to a node of the given age, whether they
// are available, allocated or in a message. sinceMove is how long a new allocator may have been at work while
// allocations of its predecessor were still valid; a value above the lifetime of an allocation counts as that lifetime.
func (s Settings) MaxOutstanding(age Time, rate float64, sinceMove Time) float64 {
	allocated := s.AllocatedShare * s.Capacity(age, rate)
	longest := Time(float64(s.outstandingTime()) * s.driftRatio())
	overlap := float64(min(sinceMove, longest))
	return burstShare*allocated + (1-burstShare)*allocated*overlap/float64(s.Window+s.outstandingTime())
}

// limits returns, for a node of the given age, the maximum number of units that may be available or outstanding, and
// the rate at which units become available.
//
// The limits hold in any window of true time: units sent within it were available or outstanding one allocation time
// before it began, or have become available since then. Both amounts are computed from the node's capacity one window
// earlier, so their sum stays within the allocated share of its capacity at the beginning of the window.
func (s Settings) limits(age Time, rate float64) (maxUnits, unitsPerSecond float64) {
	earlier := age - Time(float64(s.Window)*s.driftRatio())
	allocated := s.AllocatedShare * s.Capacity(earlier, rate)
	flowTime := float64(s.Window+s.outstandingTime()) * s.driftRatio()
	return burstShare * allocated, (1 - burstShare) * allocated / flowTime * float64(second)
}
