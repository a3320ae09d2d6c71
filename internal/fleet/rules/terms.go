package rules

import (
	"strconv"
	"strings"
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

// Terms is the rules in the form in which the decision module is told them, beside what is a gateway's own and not agreed on: those
// of its values that no version has. Spans are whole microseconds there. Plans and products stand in order of their names.
func (r *Rules) Terms(own map[string]string) map[string]string {
	t := map[string]string{}
	for name, v := range own {
		if !strings.HasPrefix(name, "plans.") && !strings.HasPrefix(name, "products.") {
			t[name] = v
		}
	}
	number := func(name string, n float64) { t[name] = strconv.FormatFloat(n, 'f', -1, 64) }
	span := func(name string, ns int64) { number(name, float64(min(ns, 1<<60))/1e6) }
	flag := func(name string, is bool) { t[name] = strconv.FormatBool(is) }
	number("units.mean", r.Mean)
	t["plans.count"], t["products.count"] = strconv.Itoa(len(r.Plans)), strconv.Itoa(len(r.Products))
	for i, name := range sorted(r.Plans) {
		item, p := "plans."+strconv.Itoa(i)+".", r.Plans[name]
		t[item+"name"] = name
		number(item+"weight", p.Weight)
		number(item+"rate", p.Rate)
		number(item+"reserve", p.Reserve)
		number(item+"limit", p.Limit)
		number(item+"burst", p.Burst)
		number(item+"slack", p.Slack)
	}
	for i, name := range sorted(r.Products) {
		item, p := "products."+strconv.Itoa(i)+".", r.Products[name]
		kind, group, _ := strings.Cut(string(p.Kind), " ")
		t[item+"name"], t[item+"kind"], t[item+"group"] = name, kind, group
		if group == "" {
			t[item+"group"] = "all"
		}
		span(item+"goal", p.Goal)
		span(item+"patience", p.Patience)
		span(item+"window", p.Window)
		flag(item+"in_turn", p.InTurn)
	}
	number("cold.from", r.Cold.From)
	span("cold.time", r.Cold.Time)
	number("cold.multiple", r.Cold.Multiple)
	span("cold.window", r.Cold.Window)
	number("cold.units", r.Cold.Units)
	span("further.window", r.Further.Window)
	number("further.free", r.Further.Free)
	number("further.share", r.Further.Share)
	if r.Further.Window == 0 { // a budget over no time is none: it is not stated then
		delete(t, "further.window")
	}
	number("executions.most", float64(r.Sending.Most))
	flag("second_copies", r.Sending.SecondCopies)
	flag("calling_off", r.Sending.CallingOff)
	flag("retry_after", r.Sending.Advice)
	span("retry_after.most", r.Sending.AdviceMost)
	span("key.rest", r.Sending.KeyRest)
	return t
}
