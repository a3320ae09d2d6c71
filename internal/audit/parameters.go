package audit

import "strconv"

// Parameters are the limits that the rules state. Times are nanoseconds.
type Parameters struct {
	Slack        int64 // an answer counts for so long after the client's deadline
	Transit      int64 // longest way of an attempt from a gateway to the node's record of it
	DrainGrace   int64 // attempts may go to a node for so long after a gateway knows that it drains
	ListDelay    int64 // longest way of an endpoint list from its publication to a gateway
	DedupWindow  int64 // the nodes of a shard deduplicate by idempotency key for so long
	KeyRest      int64 // pause of an ordering key after an attempt that may still run
	FreeRetries  float64
	RetryShare   float64 // retries per request, beside the free ones
	RetryWindow  int64   // of the retry budget; 0: there is none
	VolumeLimits map[int64]VolumeLimit

	SlowStartFrom      float64 // share of its capacity that a node has at its start
	SlowStartTime      int64   // until it has its full capacity
	SlowStartMultiple  float64 // multiple of its capacity that it tolerates in a window
	SlowStartWindow    int64
	SlowStartFreeUnits float64 // units in a window that it tolerates in any case
}

// VolumeLimit is the rate limit of a volume over all gateways.
type VolumeLimit struct {
	Rate  float64 // units a second
	Burst float64 // units
	Slack float64 // units by which the record may be off
}

// ParametersFromSettings reads the parameters from the scheduler's settings, by name. A missing or malformed number
// reads as 0. Slack, Transit, DrainGrace, ListDelay and VolumeLimits are not among the settings: the caller sets them.
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
