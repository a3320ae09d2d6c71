package scheduler

import "strconv"

// Settings are named values from which a Scheduler works. A value that is absent or unreadable reads as zero. Names
// of lists' items are "LIST.INDEX.NAME", beside "LIST.count".
type Settings map[string]string

// Names of settings. Their text is that of the operators' configuration.
const (
	settingGateways           = "gateways"         // gateways of the installation
	settingDiscovery          = "discovery"        // discoveryPull, or anything else
	settingListInterval       = "list.every"       // stated time between calls for the endpoint list, ms
	settingDrainGrace         = "drain.grace"      // how long a draining node still takes requests, ms
	settingMeanUnits          = "units.mean"       // units of a mean request
	settingLargestUnits       = "units.largest"    // units of the largest request
	settingMaxAttempts        = "executions.most"  // attempts of one request; the first is always allowed
	settingHedging            = "second_copies"    // whether a request may have two attempts in flight
	settingCancelling         = "calling_off"      // whether attempts may be cancelled
	settingRetryAfter         = "retry_after"      // whether rejections tell clients when to come back
	settingMaxRetryAfter      = "retry_after.most" // the longest such wait, ms
	settingRetryWindow        = "further.window"   // window of the retry budget, ms; absent where there is no budget
	settingFreeRetries        = "further.free"     // retries in any window
	settingRetryShare         = "further.share"    // and per request that came in it
	settingKeyRest            = "key.rest"         // pause of a key after an attempt that may still run, ms
	settingSharesUsage        = "tells.others"     // whether answers report what other gateways were served
	settingSlowStartTime      = "cold.time"        // how long a node warms up, ms
	settingSlowStartFrom      = "cold.from"        // share of its capacity that it has at its start
	settingSlowStartMultiple  = "cold.multiple"    // multiple of its capacity that it tolerates in a window
	settingSlowStartWindow    = "cold.window"      // that window, ms
	settingSlowStartFreeUnits = "cold.units"       // units in a window that it tolerates in any case
)

// discoveryPull is the value of settingDiscovery where the endpoint list is sent only to those who ask for it.
const discoveryPull = "ask"

// Lists of settings.
const (
	listServiceLevels  = "plans"
	listRequestClasses = "products"
)

// number reads a number.
func (s Settings) number(name string) float64 {
	value, _ := strconv.ParseFloat(s[name], 64) // what is unreadable reads as zero
	return value
}

// flag reads a truth value.
func (s Settings) flag(name string) bool { return s[name] == "true" || s[name] == "1" }

// duration reads a span of time, which is stated in milliseconds, to the microsecond.
func (s Settings) duration(name string) Time {
	return Time(s.number(name)*1000+0.5) * Microsecond
}

// count reads how many items a list has.
func (s Settings) count(list string) int {
	items, _ := strconv.Atoi(s[list+".count"]) // what is unreadable reads as zero
	return items
}

// itemName is the name of a value of a list's item.
func itemName(list string, index int, name string) string {
	return list + "." + strconv.Itoa(index) + "." + name
}

// serviceLevel reads a service level.
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

// Values of a request class, by the words of the settings. Any other word reads as the first constant of the type.
var (
	idempotencyWords = map[string]Idempotency{"referenced": IdempotencyKeyed, "single-use": NonIdempotent}
	dedupScopeWords  = map[string]DedupScope{"zone": DedupSameZone, "shard": DedupSameShard}
)

// requestClass reads a request class.
func (s Settings) requestClass(index int) *RequestClass {
	text := func(name string) string { return s[itemName(listRequestClasses, index, name)] }
	duration := func(name string) Time { return s.duration(itemName(listRequestClasses, index, name)) }
	return &RequestClass{
		Name:             text("name"),
		LatencyObjective: duration("goal"),
		ClientTimeout:    duration("patience"),
		DedupWindow:      duration("window"),
		Ordered:          s.flag(itemName(listRequestClasses, index, "in_turn")),
		Idempotency:      idempotencyWords[text("kind")],
		DedupScope:       dedupScopeWords[text("group")],
	}
}
