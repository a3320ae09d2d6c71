package configversion

import (
	"maps"
	"strconv"
	"strings"
)

// The scheduler takes its settings as a map of strings with keys such as "plans.0.weight". Its durations are in
// milliseconds, with a resolution of one microsecond.

const (
	nanosPerMilli = 1e6
	nanosPerMicro = 1000

	// maxDuration caps the durations handed to the scheduler, so that it can add them without overflow.
	maxDuration = 1 << 60
)

// settingsReader reads typed settings by name. A missing or malformed setting reads as zero.
type settingsReader map[string]string

func (r settingsReader) number(name string) float64 {
	n, _ := strconv.ParseFloat(r[name], 64) // the scheduler has validated its settings before
	return n
}

func (r settingsReader) count(name string) int { return int(r.number(name)) }

func (r settingsReader) duration(name string) int64 {
	return int64(r.number(name)*1000+0.5) * nanosPerMicro
}

func (r settingsReader) flag(name string) bool { return r[name] == "true" }

// SetFromSettings sets c from the scheduler's settings, except for the required format, the shard count, the mean
// request size, the fallback policy and the nodes.
func (c *Config) SetFromSettings(settings map[string]string) {
	r := settingsReader(settings)
	if c.Nodes == nil {
		c.Nodes = map[string]Node{}
	}
	c.ServiceLevels = map[string]ServiceLevel{}
	for i := range r.count("plans.count") {
		prefix := itemPrefix("plans", i)
		c.ServiceLevels[r[prefix+"name"]] = r.serviceLevel(prefix)
	}
	c.RequestClasses = map[string]RequestClass{}
	for i := range r.count("products.count") {
		prefix := itemPrefix("products", i)
		c.RequestClasses[r[prefix+"name"]] = r.requestClass(prefix)
	}
	c.SlowStart = SlowStart{
		InitialShare:      r.number("cold.from"),
		Duration:          r.duration("cold.time"),
		FairShareMultiple: r.number("cold.multiple"),
		Window:            r.duration("cold.window"),
		MinimumUnits:      r.number("cold.units"),
	}
	c.RetryBudget = RetryBudget{
		Window:       r.duration("further.window"),
		FreeRetries:  r.number("further.free"),
		RequestShare: r.number("further.share"),
	}
	c.Dispatch = DispatchPolicy{
		MaxAttempts:   r.count("executions.most"),
		Hedging:       r.flag("second_copies"),
		Cancellation:  r.flag("calling_off"),
		RetryAfter:    r.flag("retry_after"),
		MaxRetryAfter: r.duration("retry_after.most"),
		KeyCooldown:   r.duration("key.rest"),
	}
}

func (r settingsReader) serviceLevel(prefix string) ServiceLevel {
	return ServiceLevel{
		Weight:      r.number(prefix + "weight"),
		NominalRate: r.number(prefix + "rate"),
		Reserve:     r.number(prefix + "reserve"),
		RateLimit:   r.number(prefix + "limit"),
		Burst:       r.number(prefix + "burst"),
		Slack:       r.number(prefix + "slack"),
	}
}

func (r settingsReader) requestClass(prefix string) RequestClass {
	return RequestClass{
		Idempotency:      r.idempotency(prefix),
		LatencyObjective: r.duration(prefix + "goal"),
		ClientTimeout:    r.duration(prefix + "patience"),
		DedupWindow:      r.duration(prefix + "window"),
		Ordered:          r.flag(prefix + "in_turn"),
	}
}

// idempotency combines two settings: the kind, and the group of nodes that recognize an idempotency key.
func (r settingsReader) idempotency(prefix string) Idempotency {
	kind := Idempotency(r[prefix+"kind"])
	if kind != KeyedAllNodes {
		return kind
	}
	switch r[prefix+"group"] {
	case "zone":
		return KeyedSameZone
	case "shard":
		return KeyedSameShard
	}
	return KeyedAllNodes
}

// settingsWriter writes typed settings by name.
type settingsWriter map[string]string

func (w settingsWriter) number(name string, n float64) { w[name] = strconv.FormatFloat(n, 'f', -1, 64) }

func (w settingsWriter) duration(name string, nanos int64) {
	w.number(name, float64(min(nanos, maxDuration))/nanosPerMilli)
}

func (w settingsWriter) flag(name string, on bool) { w[name] = strconv.FormatBool(on) }

// Settings returns the configuration as the scheduler's settings, on top of the gateway's local settings, which apply
// where the configuration sets nothing. Service levels and request classes are numbered in the order of their names.
func (c *Config) Settings(local map[string]string) map[string]string {
	w := settingsWriter{}
	maps.Copy(w, local)
	maps.DeleteFunc(w, func(name, _ string) bool {
		return strings.HasPrefix(name, "plans.") || strings.HasPrefix(name, "products.")
	})
	w.number("units.mean", c.MeanRequestUnits)
	w["plans.count"] = strconv.Itoa(len(c.ServiceLevels))
	for i, name := range sortedNames(c.ServiceLevels) {
		w.serviceLevel(itemPrefix("plans", i), name, c.ServiceLevels[name])
	}
	w["products.count"] = strconv.Itoa(len(c.RequestClasses))
	for i, name := range sortedNames(c.RequestClasses) {
		w.requestClass(itemPrefix("products", i), name, c.RequestClasses[name])
	}
	w.number("cold.from", c.SlowStart.InitialShare)
	w.duration("cold.time", c.SlowStart.Duration)
	w.number("cold.multiple", c.SlowStart.FairShareMultiple)
	w.duration("cold.window", c.SlowStart.Window)
	w.number("cold.units", c.SlowStart.MinimumUnits)
	w.duration("further.window", c.RetryBudget.Window)
	w.number("further.free", c.RetryBudget.FreeRetries)
	w.number("further.share", c.RetryBudget.RequestShare)
	if c.RetryBudget.Window == 0 { // no window means no budget, so the scheduler is not given one
		delete(w, "further.window")
	}
	w.number("executions.most", float64(c.Dispatch.MaxAttempts))
	w.flag("second_copies", c.Dispatch.Hedging)
	w.flag("calling_off", c.Dispatch.Cancellation)
	w.flag("retry_after", c.Dispatch.RetryAfter)
	w.duration("retry_after.most", c.Dispatch.MaxRetryAfter)
	w.duration("key.rest", c.Dispatch.KeyCooldown)
	return w
}

func (w settingsWriter) serviceLevel(prefix, name string, level ServiceLevel) {
	w[prefix+"name"] = name
	w.number(prefix+"weight", level.Weight)
	w.number(prefix+"rate", level.NominalRate)
	w.number(prefix+"reserve", level.Reserve)
	w.number(prefix+"limit", level.RateLimit)
	w.number(prefix+"burst", level.Burst)
	w.number(prefix+"slack", level.Slack)
}

func (w settingsWriter) requestClass(prefix, name string, class RequestClass) {
	kind, group, _ := strings.Cut(string(class.Idempotency), " ")
	if group == "" {
		group = "all"
	}
	w[prefix+"name"] = name
	w[prefix+"kind"] = kind
	w[prefix+"group"] = group
	w.duration(prefix+"goal", class.LatencyObjective)
	w.duration(prefix+"patience", class.ClientTimeout)
	w.duration(prefix+"window", class.DedupWindow)
	w.flag(prefix+"in_turn", class.Ordered)
}

// itemPrefix returns the prefix of the settings of item i of a list, such as "plans.0.".
func itemPrefix(list string, i int) string { return list + "." + strconv.Itoa(i) + "." }
