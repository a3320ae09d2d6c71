package configversion

import (
	"strconv"
	"strings"
)

// SetFromSettings takes plans, products and limits from values by name, the form in which the decision module is told them.
func (r *Config) SetFromSettings(values map[string]string) {
	number := func(name string) float64 {
		n, _ := strconv.ParseFloat(values[name], 64)
		return n
	}
	span := func(name string) int64 { return int64(number(name)*1000+0.5) * 1000 }
	flag := func(name string) bool { return values[name] == "true" }
	if r.Nodes == nil {
		r.Nodes = map[string]Node{}
	}
	r.ServiceLevels, r.RequestClasses = map[string]ServiceLevel{}, map[string]RequestClass{}
	for i := range int(number("plans.count")) {
		item := "plans." + strconv.Itoa(i) + "."
		r.ServiceLevels[values[item+"name"]] = ServiceLevel{Weight: number(item + "weight"), NominalRate: number(item + "rate"), Reserve: number(item + "reserve"),
			RateLimit: number(item + "limit"), Burst: number(item + "burst"), Slack: number(item + "slack")}
	}
	for i := range int(number("products.count")) {
		item := "products." + strconv.Itoa(i) + "."
		kind := Idempotency(values[item+"kind"])
		if kind == KeyedAllNodes {
			kind = map[string]Idempotency{"zone": KeyedSameZone, "shard": KeyedSameShard}[values[item+"group"]]
			if kind == "" {
				kind = KeyedAllNodes
			}
		}
		r.RequestClasses[values[item+"name"]] = RequestClass{Idempotency: kind, LatencyObjective: span(item + "goal"), ClientTimeout: span(item + "patience"), DedupWindow: span(item + "window"),
			Ordered: flag(item + "in_turn")}
	}
	r.SlowStart = SlowStart{InitialShare: number("cold.from"), Duration: span("cold.time"), FairShareMultiple: number("cold.multiple"), Window: span("cold.window"), MinimumUnits: number("cold.units")}
	r.RetryBudget = RetryBudget{Window: span("further.window"), FreeRetries: number("further.free"), RequestShare: number("further.share")}
	r.Dispatch = DispatchPolicy{MaxAttempts: int(number("executions.most")), Hedging: flag("second_copies"), Cancellation: flag("calling_off"),
		RetryAfter: flag("retry_after"), MaxRetryAfter: span("retry_after.most"), KeyCooldown: span("key.rest")}
}

// Settings is the rules in the form in which the decision module is told them, beside what is a gateway's own and not agreed on: those
// of its values that no version has. Spans are whole microseconds there. Plans and products stand in order of their names.
func (r *Config) Settings(own map[string]string) map[string]string {
	t := map[string]string{}
	for name, v := range own {
		if !strings.HasPrefix(name, "plans.") && !strings.HasPrefix(name, "products.") {
			t[name] = v
		}
	}
	number := func(name string, n float64) { t[name] = strconv.FormatFloat(n, 'f', -1, 64) }
	span := func(name string, ns int64) { number(name, float64(min(ns, 1<<60))/1e6) }
	flag := func(name string, is bool) { t[name] = strconv.FormatBool(is) }
	number("units.mean", r.MeanRequestUnits)
	t["plans.count"], t["products.count"] = strconv.Itoa(len(r.ServiceLevels)), strconv.Itoa(len(r.RequestClasses))
	for i, name := range sorted(r.ServiceLevels) {
		item, p := "plans."+strconv.Itoa(i)+".", r.ServiceLevels[name]
		t[item+"name"] = name
		number(item+"weight", p.Weight)
		number(item+"rate", p.NominalRate)
		number(item+"reserve", p.Reserve)
		number(item+"limit", p.RateLimit)
		number(item+"burst", p.Burst)
		number(item+"slack", p.Slack)
	}
	for i, name := range sorted(r.RequestClasses) {
		item, p := "products."+strconv.Itoa(i)+".", r.RequestClasses[name]
		kind, group, _ := strings.Cut(string(p.Idempotency), " ")
		t[item+"name"], t[item+"kind"], t[item+"group"] = name, kind, group
		if group == "" {
			t[item+"group"] = "all"
		}
		span(item+"goal", p.LatencyObjective)
		span(item+"patience", p.ClientTimeout)
		span(item+"window", p.DedupWindow)
		flag(item+"in_turn", p.Ordered)
	}
	number("cold.from", r.SlowStart.InitialShare)
	span("cold.time", r.SlowStart.Duration)
	number("cold.multiple", r.SlowStart.FairShareMultiple)
	span("cold.window", r.SlowStart.Window)
	number("cold.units", r.SlowStart.MinimumUnits)
	span("further.window", r.RetryBudget.Window)
	number("further.free", r.RetryBudget.FreeRetries)
	number("further.share", r.RetryBudget.RequestShare)
	if r.RetryBudget.Window == 0 { // a budget over no time is none: it is not stated then
		delete(t, "further.window")
	}
	number("executions.most", float64(r.Dispatch.MaxAttempts))
	flag("second_copies", r.Dispatch.Hedging)
	flag("calling_off", r.Dispatch.Cancellation)
	flag("retry_after", r.Dispatch.RetryAfter)
	span("retry_after.most", r.Dispatch.MaxRetryAfter)
	span("key.rest", r.Dispatch.KeyCooldown)
	return t
}
