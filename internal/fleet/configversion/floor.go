package configversion

import "math"

// Fallback is the floor of a version: what a gateway may act on whose lease has run out. Nothing that spends a common budget
// goes on, and cold nodes are left alone, as what the others send them is unknown. A floor without a time is nothing.
func (r *Config) Fallback() *Config {
	if r.FallbackPolicy.Duration == 0 {
		return r.DenyAll()
	}
	f := Intersect(r, r)
	f.RetryBudget.FreeRetries, f.RetryBudget.RequestShare = 0, 0
	f.SlowStart.FairShareMultiple, f.SlowStart.MinimumUnits = 0, 0
	f.Dispatch.MaxAttempts, f.Dispatch.Hedging = 1, false
	for name, p := range f.ServiceLevels {
		p.RateLimit, p.Burst, p.Slack = p.RateLimit*r.FallbackPolicy.LimitFraction, p.Burst*r.FallbackPolicy.LimitFraction, p.Slack*r.FallbackPolicy.LimitFraction
		if r.ServiceLevels[name].RateLimit > 0 && p.RateLimit == 0 { // a limit of 0 would be none
			delete(f.ServiceLevels, name)
			continue
		}
		f.ServiceLevels[name] = p
	}
	for name, p := range f.RequestClasses {
		if !r.FallbackPolicy.AllowWrites && p.Idempotency != Idempotent {
			delete(f.RequestClasses, name)
			continue
		}
		p.Ordered = true
		f.RequestClasses[name] = p
	}
	return f
}

// DenyAll is what a gateway may act on that knows nothing any more: no node is served.
func (r *Config) DenyAll() *Config {
	f := Intersect(r, r)
	clear(f.ServiceLevels)
	clear(f.RequestClasses)
	clear(f.Nodes)
	f.RetryBudget.FreeRetries, f.RetryBudget.RequestShare, f.SlowStart.FairShareMultiple, f.SlowStart.MinimumUnits = 0, 0, 0, 0
	f.Dispatch = DispatchPolicy{MaxAttempts: 1, KeyCooldown: math.MaxInt64}
	f.SlowStart.InitialShare, f.SlowStart.Duration = 0, math.MaxInt64
	f.RequiredFormat = math.MaxInt32 // within any
	return f
}
