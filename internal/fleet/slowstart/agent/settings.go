package agent

import (
	"cmp"
	"strconv"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

const (
	// allocatedShare is the part of a node's capacity that is allocated. The rest is for gateways that reach no
	// allocator: under the scheduler's own rules, they send at most half of the capacity, all of them together.
	allocatedShare = 0.5
	// allocationsPerWindow is how many consecutive allocations fit in a window. Allocations last for
	// maxAllocationTime if that is shorter.
	allocationsPerWindow = 6
	maxAllocationTime    = scheduler.Second / 2
)

// SettingsFrom derives the settings of budgets from the scheduler's. maxClockDrift is the maximum relative error of the
// rate of a clock.
func SettingsFrom(settings scheduler.Settings, maxClockDrift float64) budget.Settings {
	window := durationSetting(settings, "cold.window")
	return budget.Settings{
		InitialFraction:  floatSetting(settings, "cold.from"),
		WarmupTime:       durationSetting(settings, "cold.time"),
		OverloadMultiple: floatSetting(settings, "cold.multiple"),
		Window:           window,
		MinUnits:         floatSetting(settings, "cold.units"),
		AllocatedShare:   allocatedShare,
		AllocationTime:   min(cmp.Or(window/allocationsPerWindow, maxAllocationTime), maxAllocationTime),
		MaxClockDrift:    maxClockDrift,
	}
}

// floatSetting returns a number from the scheduler's settings, or 0 if it is not set.
func floatSetting(settings scheduler.Settings, name string) float64 {
	value, _ := strconv.ParseFloat(settings[name], 64) // the scheduler has validated its settings
	return value
}

// durationSetting returns a duration from the scheduler's settings, which are in milliseconds.
func durationSetting(settings scheduler.Settings, name string) scheduler.Time {
	return scheduler.Time(floatSetting(settings, name) * float64(scheduler.Millisecond))
}
