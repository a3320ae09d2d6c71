package scheduler

import "strconv"

// Settings is what a gateway is told at start: values by name. A value that is absent or unreadable reads as zero.
type Settings map[string]string

func (t Settings) number(name string) float64 {
	v, _ := strconv.ParseFloat(t[name], 64)
	return v
}

func (t Settings) flag(name string) bool { return t[name] == "true" || t[name] == "1" }

// span reads a number of milliseconds.
func (t Settings) span(name string) Time { return Time(t.number(name)*1000+0.5) * Microsecond }

// count reads how many items a list has.
func (t Settings) count(list string) int {
	n, _ := strconv.Atoi(t[list+".count"])
	return n
}

// item names a value of a list's item.
func item(list string, n int, name string) string { return list + "." + strconv.Itoa(n) + "." + name }

// plan reads a plan.
func (t Settings) plan(i int) *ServiceLevel {
	number := func(name string) float64 { return t.number(item("plans", i, name)) }
	return &ServiceLevel{Name: t[item("plans", i, "name")], Weight: number("weight"), NominalRate: number("rate"),
		Reserve: number("reserve"), RateLimit: number("limit"), Burst: number("burst")}
}

// product reads a product.
func (t Settings) product(i int) *RequestClass {
	text := func(name string) string { return t[item("products", i, name)] }
	span := func(name string) Time { return t.span(item("products", i, name)) }
	return &RequestClass{Name: text("name"), LatencyObjective: span("goal"), ClientTimeout: span("patience"), DedupWindow: span("window"),
		Ordered:     t.flag(item("products", i, "in_turn")),
		Idempotency: map[string]Idempotency{"referenced": IdempotencyKeyed, "single-use": NonIdempotent}[text("kind")],
		DedupScope:  map[string]DedupScope{"zone": DedupSameZone, "shard": DedupSameShard}[text("group")]}
}
