package configversion

import "math"

// Fallback returns the configuration that a gateway may act on for a bounded time after its lease on c has expired.
// As the gateway no longer knows what the others do, it may not use the retry budget that gateways share, nor send to
// nodes in slow start. With a fallback duration of 0 it may do nothing.
func (c *Config) Fallback() *Config {
	if c.FallbackPolicy.Duration == 0 {
		return c.DenyAll()
	}
	f := Intersect(c, c)
	f.RetryBudget.FreeRetries = 0
	f.RetryBudget.RequestShare = 0
	f.SlowStart.FairShareMultiple = 0
	f.SlowStart.MinimumUnits = 0
	f.Dispatch.MaxAttempts = 1
	f.Dispatch.Hedging = false
	for name, level := range f.ServiceLevels {
		level.RateLimit *= c.FallbackPolicy.LimitFraction
		level.Burst *= c.FallbackPolicy.LimitFraction
		level.Slack *= c.FallbackPolicy.LimitFraction
		if c.ServiceLevels[name].RateLimit > 0 && level.RateLimit == 0 { // 0 would mean unlimited
			delete(f.ServiceLevels, name)
			continue
		}
		f.ServiceLevels[name] = level
	}
	for name, class := range f.RequestClasses {
		if !c.FallbackPolicy.AllowWrites && class.Idempotency != Idempotent {
			delete(f.RequestClasses, name)
			continue
		}
		class.Ordered = true
		f.RequestClasses[name] = class
	}
	return f
}

// DenyAll returns a configuration that allows nothing and therefore exceeds no other. It has no nodes to send to.
func (c *Config) DenyAll() *Config {
	denied := Intersect(c, c)
	clear(denied.ServiceLevels)
	clear(denied.RequestClasses)
	clear(denied.Nodes)
	denied.RequiredFormat = math.MaxInt32
	denied.RetryBudget.FreeRetries = 0
	denied.RetryBudget.RequestShare = 0
	denied.SlowStart.InitialShare = 0
	denied.SlowStart.Duration = math.MaxInt64
	denied.SlowStart.FairShareMultiple = 0
	denied.SlowStart.MinimumUnits = 0
	denied.Dispatch = DispatchPolicy{MaxAttempts: 1, KeyCooldown: math.MaxInt64}
	return denied
}
