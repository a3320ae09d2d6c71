package audit

import "strconv"

// ParametersFromSettings reads the rules' figures from a module's start values, by name. What those do not hold (slack, transit, grace,
// list delay, limits by volume) is the caller's.
func ParametersFromSettings(values map[string]string) Parameters {
	number := func(name string) float64 {
		v, _ := strconv.ParseFloat(values[name], 64)
		return v
	}
	span := func(name string) int64 { return int64(number(name) * 1e6) }
	t := Parameters{KeyRest: span("key.rest"), FreeRetries: number("further.free"), RetryShare: number("further.share"),
		RetryWindow: span("further.window"), SlowStartFrom: number("cold.from"), SlowStartTime: span("cold.time"),
		SlowStartMultiple: number("cold.multiple"), SlowStartWindow: span("cold.window"), SlowStartFreeUnits: number("cold.units"),
		VolumeLimits: map[int64]VolumeLimit{}}
	for i := range int(number("products.count")) {
		t.DedupWindow = max(t.DedupWindow, span("products."+strconv.Itoa(i)+".window"))
	}
	return t
}
