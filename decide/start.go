package decide

import "strconv"

// Terms is what a gateway is told at start: values by name. A value that is absent or unreadable reads as zero.
type Terms map[string]string

func (t Terms) number(name string) float64 {
	v, _ := strconv.ParseFloat(t[name], 64)
	return v
}

func (t Terms) flag(name string) bool { return t[name] == "true" || t[name] == "1" }

// span reads a number of milliseconds.
func (t Terms) span(name string) Time { return Time(t.number(name)*1000+0.5) * Microsecond }

// count reads how many items a list has.
func (t Terms) count(list string) int {
	n, _ := strconv.Atoi(t[list+".count"])
	return n
}

// item names a value of a list's item.
func item(list string, n int, name string) string { return list + "." + strconv.Itoa(n) + "." + name }

// plan reads a plan.
func (t Terms) plan(i int) *Plan {
	number := func(name string) float64 { return t.number(item("plans", i, name)) }
	return &Plan{Name: t[item("plans", i, "name")], Weight: number("weight"), Rate: number("rate"),
		Reserve: number("reserve"), Limit: number("limit"), Burst: number("burst")}
}

// product reads a product.
func (t Terms) product(i int) *Product {
	text := func(name string) string { return t[item("products", i, name)] }
	span := func(name string) Time { return t.span(item("products", i, name)) }
	return &Product{Name: text("name"), Goal: span("goal"), Patience: span("patience"), Window: span("window"),
		InTurn: t.flag(item("products", i, "in_turn")),
		Kind:   map[string]Kind{"referenced": Referenced, "single-use": SingleUse}[text("kind")],
		Group:  map[string]Group{"zone": SameZone, "shard": SameShard}[text("group")]}
}
