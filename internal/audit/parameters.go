package audit

import "strconv"

// Parameters are the limits that the rules check. Durations are in nanoseconds.
type Parameters struct {
	Slack        int64 // how long after the client's deadline an answer still counts
	Transit      int64 // longest time from the sending of an attempt to the event recorded at the node
	DrainGrace   int64 // how long attempts may be sent to a node after a gateway knows that it drains
	ListDelay    int64 // longest time from the publication of an endpoint list to its arrival at a gateway
	DedupWindow  int64 // how long the nodes of a shard deduplicate by idempotency key
	KeyRest      int64 // pause of an ordering key after an attempt that may still run
	FreeRetries  float64
	RetryShare   float64 // retries per request, in addition to the free ones
	RetryWindow  int64   // of the retry budget; 0: no retry budget
	VolumeLimits map[int64]VolumeLimit

	SlowStartFrom      float64 // share of its capacity that a node has when it starts
	SlowStartTime      int64   // time until a node has its full capacity
	SlowStartMultiple  float64 // multiple of its current capacity that a node tolerates in a window
	SlowStartWindow    int64
	SlowStartFreeUnits float64 // units that a node tolerates in a window in any case
}

// VolumeLimit is the rate limit of a volume over all gateways.
type VolumeLimit struct {
	Rate  float64 // units per second
	Burst float64 // units
	Slack float64 // units by which the recorded events may be inaccurate
}

// ParametersFromSettings reads parameters from the scheduler's settings. Missing or malformed numbers are 0. It does
// not set Slack, Transit, DrainGrace, ListDelay and the volume limits, which the caller has to provide.
func ParametersFromSettings(settings map[string]string) Parameters {
	number := func(name string) float64 {
		value, _ := strconv.ParseFloat(settings[name], 64)
		return value
	}
	const nanosecondsPerMillisecond = 1e6
	duration := func(name string) int64 { return int64(number(name) * nanosecondsPerMillisecond) }
	parameters := Parameters{
		KeyRest:            duration("key.rest"),
		FreeRetries:        number("further.free"),
		RetryShare:         number("further.share"),
		RetryWindow:        duration("further.window"),
		SlowStartFrom:      number("cold.from"),
		SlowStartTime:      duration("cold.time"),
		SlowStartMultiple:  number("cold.multiple"),
		SlowStartWindow:    duration("cold.window"),
		SlowStartFreeUnits: number("cold.units"),
		VolumeLimits:       map[int64]VolumeLimit{},
	}
	for i := range int(number("products.count")) {
		window := duration("products." + strconv.Itoa(i) + ".window")
		parameters.DedupWindow = max(parameters.DedupWindow, window)
	}
	return parameters
}
