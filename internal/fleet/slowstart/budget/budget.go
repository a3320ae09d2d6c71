// Package budget deals out what a storage node that has started lately may be sent by all gateways together. One dealer has a node's
// whole budget and lends parts of it to gateways that have work there, the dearest work first. What is lent is out until it is given
// back or its time has passed, and never is more out and kept ready than the budget allows, whoever dies, stops or is cut off.
//
// It is pure: no I/O, no clock, no chance. Times are nanoseconds on one process's clock that never goes back; no two are compared.
// docs/fleet-cold.md has the argument.
package budget

// Time is nanoseconds on one process's clock.
type Time = int64

const second = Time(1e9)

// Settings say what a node bears, and how it is dealt out.
type Settings struct {
	InitialFraction  float64 // the part of what it can do that a node starts with, at least
	WarmupTime       Time    // after which it can do all
	OverloadMultiple float64 // it falls at this multiple of what it can do,
	Window           Time    // sent for so long
	MinUnits         float64 // and bears so many units in a window in any case
	AllocatedShare   float64 // the part of what it bears that is dealt out
	AllocationTime   Time    // a loan counts for so long, by its holder's clock, from when it asked
	MaxClockDrift    float64 // clocks run this part faster or slower than true time at most
}

// Capacity is how many units a node bears in a window that begins at this age, if a warm one answers so many units a second.
func (t Settings) Capacity(age Time, rate float64) float64 {
	part := 1.0
	if age < t.WarmupTime {
		part = t.InitialFraction + (1-t.InitialFraction)*float64(max(age, 0))/float64(t.WarmupTime)
	}
	return max(t.OverloadMultiple*part*rate*float64(t.Window)/float64(second), t.MinUnits)
}

// longer is a loan's time as the dealer counts it: past the end of the holder's, however the two clocks drift.
func (t Settings) longer() Time {
	return Time(float64(t.AllocationTime)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + 1
}

// burst is the part of what is dealt out that may be ready or out at one moment; the rest flows in over a window and a loan's time.
const burst = 0.25

// MaxOutstanding is the most that can be sent at once at an age, wherever it lies: ready, lent, or on its way; moved is for how long there may have been
// another dealer beside the loans of the one before, at most a loan's time.
func (t Settings) MaxOutstanding(age Time, rate float64, moved Time) float64 {
	apart := (1 + t.MaxClockDrift) / (1 - t.MaxClockDrift)
	whole := t.AllocatedShare * t.Capacity(age, rate)
	return burst*whole + (1-burst)*whole*float64(min(moved, Time(float64(t.longer())*apart)))/float64(t.Window+t.longer())
}

// dealt is the most that may be ready and out at a time, in units, and what flows in, in units a second. Whatever the window of true
// time, what is sent within it was out or ready a loan's time before its start, or has flowed in since; and all that is counted by what the
// node bore a window earlier, so that it is under the share of what it bore when that window began.
func (t Settings) dealt(age Time, rate float64) (most, flow float64) {
	apart := (1 + t.MaxClockDrift) / (1 - t.MaxClockDrift)
	whole := t.AllocatedShare * t.Capacity(age-Time(float64(t.Window)*apart), rate)
	return burst * whole, (1 - burst) * whole / (float64(t.Window+t.longer()) * apart) * float64(second)
}
