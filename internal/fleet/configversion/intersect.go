package configversion

import (
	"math"

	"irispost/internal/endpoint"
)

// Intersect returns the loosest configuration that exceeds neither a nor b: it allows only what both allow. It is
// commutative, associative and idempotent. Service levels and request classes that only one side has are left out.
// A shard that a and b assign to different nodes has no owner, and a node that one side omits or drains gets no
// requests.
func Intersect(a, b *Config) *Config {
	return &Config{
		RequiredFormat:   max(a.RequiredFormat, b.RequiredFormat),
		Shards:           min(a.Shards, b.Shards),
		MeanRequestUnits: min(a.MeanRequestUnits, b.MeanRequestUnits),
		ServiceLevels:    intersectMaps(a.ServiceLevels, b.ServiceLevels, intersectServiceLevels),
		RequestClasses:   intersectMaps(a.RequestClasses, b.RequestClasses, intersectRequestClasses),
		SlowStart:        intersectSlowStart(a.SlowStart, b.SlowStart),
		RetryBudget:      intersectRetryBudgets(a.RetryBudget, b.RetryBudget),
		Dispatch:         intersectDispatch(a.Dispatch, b.Dispatch),
		FallbackPolicy:   intersectFallbackPolicies(a.FallbackPolicy, b.FallbackPolicy),
		Nodes:            intersectNodeLists(a, b),
	}
}

// intersectMaps keeps the names that both maps have, and intersects their values.
func intersectMaps[V any](a, b map[string]V, intersect func(a, b V) V) map[string]V {
	both := map[string]V{}
	for name, inA := range a {
		if inB, ok := b[name]; ok {
			both[name] = intersect(inA, inB)
		}
	}
	return both
}

func intersectServiceLevels(a, b ServiceLevel) ServiceLevel {
	limit := min(a.effectiveLimit(), b.effectiveLimit())
	if math.IsInf(limit, 1) {
		limit = 0
	}
	return ServiceLevel{
		Weight:      min(a.Weight, b.Weight),
		NominalRate: min(a.NominalRate, b.NominalRate),
		Reserve:     min(a.Reserve, b.Reserve),
		RateLimit:   limit,
		Burst:       min(a.Burst, b.Burst),
		Slack:       min(a.Slack, b.Slack),
	}
}

// effectiveLimit returns the rate limit, or infinity if the level is unlimited.
func (l ServiceLevel) effectiveLimit() float64 {
	if l.RateLimit == 0 {
		return math.Inf(1)
	}
	return l.RateLimit
}

func intersectRequestClasses(a, b RequestClass) RequestClass {
	return RequestClass{
		Idempotency:      stricter(a.Idempotency, b.Idempotency),
		LatencyObjective: min(a.LatencyObjective, b.LatencyObjective),
		ClientTimeout:    min(a.ClientTimeout, b.ClientTimeout),
		DedupWindow:      min(a.DedupWindow, b.DedupWindow),
		Ordered:          a.Ordered || b.Ordered,
	}
}

// stricter returns the loosest value that allows no retry which a or b forbids.
func stricter(a, b Idempotency) Idempotency {
	switch {
	case a == b || strictness[a] > strictness[b]:
		return a
	case strictness[a] < strictness[b]:
		return b
	}
	return NonIdempotent // KeyedSameZone and KeyedSameShard: no node is sure to recognize the key under both
}

func intersectSlowStart(a, b SlowStart) SlowStart {
	both := SlowStart{
		InitialShare:      min(a.InitialShare, b.InitialShare),
		Duration:          max(a.Duration, b.Duration),
		FairShareMultiple: min(a.FairShareMultiple, b.FairShareMultiple),
		Window:            max(a.Window, b.Window),
		MinimumUnits:      min(a.MinimumUnits, b.MinimumUnits),
	}
	if a.Window != b.Window { // amounts over different windows are not comparable, so allow none
		both.FairShareMultiple = 0
		both.MinimumUnits = 0
	}
	return both
}

func intersectRetryBudgets(a, b RetryBudget) RetryBudget {
	both := RetryBudget{
		Window:       max(a.Window, b.Window),
		FreeRetries:  min(a.FreeRetries, b.FreeRetries),
		RequestShare: min(a.RequestShare, b.RequestShare),
	}
	if a.Window != b.Window { // not comparable, as in intersectSlowStart
		both.FreeRetries = 0
		both.RequestShare = 0
	}
	return both
}

func intersectDispatch(a, b DispatchPolicy) DispatchPolicy {
	return DispatchPolicy{
		MaxAttempts:   min(a.MaxAttempts, b.MaxAttempts),
		Hedging:       a.Hedging && b.Hedging,
		Cancellation:  a.Cancellation && b.Cancellation,
		RetryAfter:    a.RetryAfter && b.RetryAfter,
		MaxRetryAfter: min(a.MaxRetryAfter, b.MaxRetryAfter),
		KeyCooldown:   max(a.KeyCooldown, b.KeyCooldown),
	}
}

func intersectFallbackPolicies(a, b FallbackPolicy) FallbackPolicy {
	return FallbackPolicy{
		Duration:      min(a.Duration, b.Duration),
		LimitFraction: min(a.LimitFraction, b.LimitFraction),
		AllowWrites:   a.AllowWrites && b.AllowWrites,
	}
}

// intersectNodeLists returns no nodes if the shard counts differ, as the shard count decides where data is stored.
func intersectNodeLists(a, b *Config) map[string]Node {
	if a.Shards != b.Shards {
		return map[string]Node{}
	}
	return intersectMaps(a.Nodes, b.Nodes, intersectNodes)
}

func intersectNodes(a, b Node) Node {
	both := Node{
		Name:      min(a.Name, b.Name),
		Zone:      min(a.Zone, b.Zone),
		Shard:     min(a.Shard, b.Shard),
		StartedAt: max(a.StartedAt, b.StartedAt),
		Health:    max(comparableHealth(a.Health), comparableHealth(b.Health)),
		Weight:    min(a.Weight, b.Weight),
	}
	if a.Shard != b.Shard {
		both.Health = endpoint.Removed // a node stores the data of one shard only, and the sides disagree on which
	}
	return both
}

// comparableHealth treats an unhealthy node as removed, as neither gets any requests.
func comparableHealth(health endpoint.Health) endpoint.Health {
	if health == endpoint.Unhealthy {
		return endpoint.Removed
	}
	return health
}
