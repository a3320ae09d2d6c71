package configversion

import (
	"math"

	"irispost/internal/endpoint"
)

// limit is a plan's limit, where none is more than any.
func (p ServiceLevel) limit() float64 {
	if p.RateLimit == 0 {
		return math.Inf(1)
	}
	return p.RateLimit
}

// meetKind is the most that both kinds allow.
func meetKind(a, b Idempotency) Idempotency {
	switch {
	case a == b || ranks[a] > ranks[b]:
		return a
	case ranks[a] < ranks[b]:
		return b
	}
	return NonIdempotent // a zone and a shard: no node is sure to know of a repeat under both
}

// Intersect is the loosest that is looser than neither: what both allow. A shard whose owner differs is served by none, a plan or
// product that only one knows by none either, a node that one of them leaves out or drains is left alone.
func Intersect(a, b *Config) *Config {
	m := &Config{RequiredFormat: max(a.RequiredFormat, b.RequiredFormat), Shards: min(a.Shards, b.Shards), MeanRequestUnits: min(a.MeanRequestUnits, b.MeanRequestUnits),
		ServiceLevels: map[string]ServiceLevel{}, RequestClasses: map[string]RequestClass{}, Nodes: map[string]Node{},
		SlowStart: SlowStart{InitialShare: min(a.SlowStart.InitialShare, b.SlowStart.InitialShare), Duration: max(a.SlowStart.Duration, b.SlowStart.Duration),
			FairShareMultiple: min(a.SlowStart.FairShareMultiple, b.SlowStart.FairShareMultiple), Window: max(a.SlowStart.Window, b.SlowStart.Window), MinimumUnits: min(a.SlowStart.MinimumUnits, b.SlowStart.MinimumUnits)},
		RetryBudget: RetryBudget{Window: max(a.RetryBudget.Window, b.RetryBudget.Window), FreeRetries: min(a.RetryBudget.FreeRetries, b.RetryBudget.FreeRetries),
			RequestShare: min(a.RetryBudget.RequestShare, b.RetryBudget.RequestShare)},
		Dispatch: DispatchPolicy{MaxAttempts: min(a.Dispatch.MaxAttempts, b.Dispatch.MaxAttempts), Hedging: a.Dispatch.Hedging && b.Dispatch.Hedging,
			Cancellation: a.Dispatch.Cancellation && b.Dispatch.Cancellation, RetryAfter: a.Dispatch.RetryAfter && b.Dispatch.RetryAfter,
			MaxRetryAfter: min(a.Dispatch.MaxRetryAfter, b.Dispatch.MaxRetryAfter), KeyCooldown: max(a.Dispatch.KeyCooldown, b.Dispatch.KeyCooldown)},
		FallbackPolicy: FallbackPolicy{Duration: min(a.FallbackPolicy.Duration, b.FallbackPolicy.Duration), LimitFraction: min(a.FallbackPolicy.LimitFraction, b.FallbackPolicy.LimitFraction), AllowWrites: a.FallbackPolicy.AllowWrites && b.FallbackPolicy.AllowWrites}}
	if a.SlowStart.Window != b.SlowStart.Window { // what two windows allow together is under either with nothing beyond the first units
		m.SlowStart.FairShareMultiple, m.SlowStart.MinimumUnits = 0, 0
	}
	if a.RetryBudget.Window != b.RetryBudget.Window {
		m.RetryBudget.FreeRetries, m.RetryBudget.RequestShare = 0, 0
	}
	for name, p := range a.ServiceLevels {
		q, both := b.ServiceLevels[name]
		if !both {
			continue
		}
		least := min(p.limit(), q.limit())
		if math.IsInf(least, 1) {
			least = 0
		}
		m.ServiceLevels[name] = ServiceLevel{Weight: min(p.Weight, q.Weight), NominalRate: min(p.NominalRate, q.NominalRate), Reserve: min(p.Reserve, q.Reserve), RateLimit: least,
			Burst: min(p.Burst, q.Burst), Slack: min(p.Slack, q.Slack)}
	}
	for name, p := range a.RequestClasses {
		if q, both := b.RequestClasses[name]; both {
			m.RequestClasses[name] = RequestClass{Idempotency: meetKind(p.Idempotency, q.Idempotency), LatencyObjective: min(p.LatencyObjective, q.LatencyObjective), ClientTimeout: min(p.ClientTimeout, q.ClientTimeout),
				DedupWindow: min(p.DedupWindow, q.DedupWindow), Ordered: p.Ordered || q.Ordered}
		}
	}
	for addr, n := range a.Nodes {
		if o, both := b.Nodes[addr]; both && a.Shards == b.Shards { // where data lies goes by the number of shards
			m.Nodes[addr] = meetNodes(n, o)
		}
	}
	return m
}

// meetNodes is a node as both have it.
func meetNodes(a, b Node) Node {
	m := Node{Name: min(a.Name, b.Name), Zone: min(a.Zone, b.Zone), Shard: min(a.Shard, b.Shard), StartedAt: max(a.StartedAt, b.StartedAt),
		Health: max(order(a.Health), order(b.Health)), Weight: min(a.Weight, b.Weight)}
	if a.Shard != b.Shard {
		m.Health = endpoint.Removed // it holds the data of one shard only, and which is what they differ on
	}
	return m
}

// order has unwell and gone be the same, as both are left alone at once.
func order(s endpoint.Health) endpoint.Health {
	if s == endpoint.Unhealthy {
		return endpoint.Removed
	}
	return s
}
