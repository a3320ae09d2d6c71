package audit

import "strconv"

// TermsOf reads the rules' figures from a module's start values, by name. What those do not hold (slack, transit, grace,
// list delay, limits by volume) is the caller's.
func TermsOf(values map[string]string) Terms {
	number := func(name string) float64 {
		v, _ := strconv.ParseFloat(values[name], 64)
		return v
	}
	span := func(name string) int64 { return int64(number(name) * 1e6) }
	t := Terms{KeyRest: span("key.rest"), FurtherFree: number("further.free"), FurtherShare: number("further.share"),
		FurtherWindow: span("further.window"), ColdFrom: number("cold.from"), ColdTime: span("cold.time"),
		ColdMultiple: number("cold.multiple"), ColdWindow: span("cold.window"), ColdUnits: number("cold.units"),
		Limits: map[int64]Limit{}}
	for i := range int(number("products.count")) {
		t.Window = max(t.Window, span("products."+strconv.Itoa(i)+".window"))
	}
	return t
}
