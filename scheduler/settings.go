package scheduler

import "strconv"

// Settings are the named values that configure a Scheduler. Absent or malformed values read as zero. The values of a
// list's items are named "LIST.INDEX.NAME"; their number is "LIST.count".
type Settings map[string]string

// Names of settings, as in the operators' configuration.
const (
	settingGateways           = "gateways"         // number of gateways in the installation
	settingDiscovery          = "discovery"        // discoveryPull or any other value
	settingListInterval       = "list.every"       // configured interval between calls for the endpoint list, ms
	settingDrainGrace         = "drain.grace"      // how long a draining node still accepts requests, ms
	settingMeanUnits          = "units.mean"       // units of a mean request
	settingLargestUnits       = "units.largest"    // units of the largest request
	settingMaxAttempts        = "executions.most"  // maximum attempts of a request; the first is always allowed
	settingHedging            = "second_copies"    // whether a request may have two attempts in flight
	settingCancelling         = "calling_off"      // whether attempts may be cancelled
	settingRetryAfter         = "retry_after"      // whether rejections carry a Retry-After
	settingMaxRetryAfter      = "retry_after.most" // maximum Retry-After, ms
	settingRetryWindow        = "further.window"   // window of the retry budget, ms; absent if there is no budget
	settingFreeRetries        = "further.free"     // retries allowed in any window
	settingRetryShare         = "further.share"    // further retries allowed per request received in the window
	settingKeyRest            = "key.rest"         // pause of a key after an attempt that may still be running, ms
	settingReportsUsage       = "tells.others"     // whether answers report the units served through other gateways
	settingSlowStartTime      = "cold.time"        // duration of slow start, ms
	settingSlowStartFrom      = "cold.from"        // initial share of a node's capacity
	settingSlowStartMultiple  = "cold.multiple"    // multiple of its current capacity that a node tolerates in a window
	settingSlowStartWindow    = "cold.window"      // length of that window, ms
	settingSlowStartFreeUnits = "cold.units"       // units in a window that a node tolerates in any case
)

// discoveryPull is the value of settingDiscovery if the endpoint list is sent only on request.
const discoveryPull = "ask"

// Names of lists in the settings.
const (
	listServiceLevels  = "plans"
	listRequestClasses = "products"
)

// number returns a numeric value.
func (s Settings) number(name string) float64 {
	value, _ := strconv.ParseFloat(s[name], 64) // malformed values read as zero
	return value
}

// flag returns a boolean value.
func (s Settings) flag(name string) bool { return s[name] == "true" || s[name] == "1" }

// duration returns a duration, which is given in milliseconds, rounded to microseconds.
func (s Settings) duration(name string) Time {
	return Time(s.number(name)*1000+0.5) * Microsecond
}

// count returns the number of items of a list.
func (s Settings) count(list string) int {
	items, _ := strconv.Atoi(s[list+".count"]) // malformed values read as zero
	return items
}

// itemName returns the name of a value of a list item.
func itemName(list string, index int, name string) string {
	return list + "." + strconv.Itoa(index) + "." + name
}

// serviceLevel returns the service level with the given index.
func (s Settings) serviceLevel(index int) *ServiceLevel {
	number := func(name string) float64 { return s.number(itemName(listServiceLevels, index, name)) }
	return &ServiceLevel{
		Name:        s[itemName(listServiceLevels, index, "name")],
		Weight:      number("weight"),
		NominalRate: number("rate"),
		Reserve:     number("reserve"),
		RateLimit:   number("limit"),
		Burst:       number("burst"),
	}
}

// Values of a request class by their names in the settings. Any other name reads as the first constant of the type.
var (
	idempotencyByName = map[string]Idempotency{"referenced": IdempotencyKeyed, "single-use": NonIdempotent}
	dedupScopeByName  = map[string]DedupScope{"zone": DedupSameZone, "shard": DedupSameShard}
)

// requestClass returns the request class with the given index.
func (s Settings) requestClass(index int) *RequestClass {
	text := func(name string) string { return s[itemName(listRequestClasses, index, name)] }
	duration := func(name string) Time { return s.duration(itemName(listRequestClasses, index, name)) }
	return &RequestClass{
		Name:             text("name"),
		LatencyObjective: duration("goal"),
		ClientTimeout:    duration("patience"),
		DedupWindow:      duration("window"),
		Ordered:          s.flag(itemName(listRequestClasses, index, "in_turn")),
		Idempotency:      idempotencyByName[text("kind")],
		DedupScope:       dedupScopeByName[text("group")],
	}
}
