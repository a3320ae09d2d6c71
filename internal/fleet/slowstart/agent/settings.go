package agent

import (
	"cmp"
	"strconv"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

const (
	// allocatedShare is the part of what a node bears that is allocated. The rest is for gateways that reach no
	// allocator: by the scheduler's own rules they send half of what it bears at most, all together.
	allocatedShare = 0.5
	// allocationsPerWindow is how many allocations follow each other in a window, unless maxAllocationTime is
	// shorter.
	allocationsPerWindow = 6
	maxAllocationTime    = scheduler.Second / 2
)

// SettingsFrom are a budget's settings, as the scheduler's say, for clocks that drift by a part at most.
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

// floatSetting is a value of the scheduler's settings; 0: there is none.
func floatSetting(settings scheduler.Settings, name string) float64 {
	value, _ := strconv.ParseFloat(settings[name], 64) // the scheduler checked what there is
	return value
}

// durationSetting is a value of the scheduler's settings, which state milliseconds.
func durationSetting(settings scheduler.Settings, name string) scheduler.Time {
	return scheduler.Time(floatSetting(settings, name) * float64(scheduler.Millisecond))
}
