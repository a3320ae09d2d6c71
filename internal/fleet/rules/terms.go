package rules

import (
	"strconv"
)

// Agree takes plans, products and limits from values by name, the form in which the decision module is told them.
func (r *Rules) Agree(values map[string]string) {
	number := func(name string) float64 {
		n, _ := strconv.ParseFloat(values[name], 64)
		return n
	}
	span := func(name string) int64 { return int64(number(name)*1000+0.5) * 1000 }
	flag := func(name string) bool { return values[name] == "true" }
	if r.Nodes == nil {
		r.Nodes = map[string]Node{}
	}
	r.Plans, r.Products = map[string]Plan{}, map[string]Product{}
	for i := range int(number("plans.count")) {
		item := "plans." + strconv.Itoa(i) + "."
		r.Plans[values[item+"name"]] = Plan{Weight: number(item + "weight"), Rate: number(item + "rate"), Reserve: number(item + "reserve"),
			Limit: number(item + "limit"), Burst: number(item + "burst"), Slack: number(item + "slack")}
	}
	for i := range int(number("products.count")) {
		item := "products." + strconv.Itoa(i) + "."
		kind := Kind(values[item+"kind"])
		if kind == AtAll {
			kind = map[string]Kind{"zone": AtZone, "shard": AtShard}[values[item+"group"]]
			if kind == "" {
				kind = AtAll
			}
		}
		r.Products[values[item+"name"]] = Product{Kind: kind, Goal: span(item + "goal"), Patience: span(item + "patience"), Window: span(item + "window"),
			InTurn: flag(item + "in_turn")}
	}
	r.Cold = Cold{From: number("cold.from"), Time: span("cold.time"), Multiple: number("cold.multiple"), Window: span("cold.window"), Units: number("cold.units")}
	r.Further = Further{Window: span("further.window"), Free: number("further.free"), Share: number("further.share")}
	r.Sending = Sending{Most: int(number("executions.most")), SecondCopies: flag("second_copies"), CallingOff: flag("calling_off"),
		Advice: flag("retry_after"), AdviceMost: span("retry_after.most"), KeyRest: span("key.rest")}
}
