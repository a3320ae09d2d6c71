package scale

import (
	"fmt"
	"maps"

	"irispost/internal/fleet/configversion"
	"irispost/scheduler"
)

// first is the rules that a fleet begins with: nodes with names, zones and ages.
func first(s *Size) *configversion.Config {
	r := &configversion.Config{RequiredFormat: configversion.Format, Shards: s.Nodes, MeanRequestUnits: 1,
		ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 4, NominalRate: 20, Reserve: 40, RateLimit: 1000, Burst: 1000, Slack: 100},
			"basic": {Weight: 1, NominalRate: 10, Reserve: 40}},
		RequestClasses: map[string]configversion.RequestClass{"read": {Idempotency: configversion.Idempotent, LatencyObjective: 2e9, ClientTimeout: 20e9}, "write": {Idempotency: configversion.KeyedSameShard, LatencyObjective: 2e9, ClientTimeout: 20e9, DedupWindow: 30e9}},
		SlowStart:      configversion.SlowStart{InitialShare: 0.2, Duration: 8e9, FairShareMultiple: 2, Window: 1500e6, MinimumUnits: 6},
		RetryBudget:    configversion.RetryBudget{Window: 10e9, FreeRetries: 10, RequestShare: 0.1},
		Dispatch:       configversion.DispatchPolicy{MaxAttempts: 3, Hedging: true, Cancellation: true, RetryAfter: true, MaxRetryAfter: 5e9},
		FallbackPolicy: configversion.FallbackPolicy{Duration: int64(s.FallbackDuration), LimitFraction: 1, AllowWrites: true}, Nodes: map[string]configversion.Node{}}
	for i := range s.Nodes {
		r.Nodes[address(i, 0)] = entry(s, i, 0)
	}
	return r
}

// address is where a shard's node is, after so many were replaced.
func address(shard, replaced int) string {
	return fmt.Sprintf("10.%d.%d.%d:7000", 10+replaced, shard>>8, shard&255)
}

// entry is a shard's node. It has stood for long, so that what is seen of a replacement is not how cold it is.
func entry(s *Size, shard, replaced int) configversion.Node {
	return configversion.Node{Name: fmt.Sprintf("store-%04d-%d.zone%d.example.net", shard, replaced, s.zone(shard)), Zone: fmt.Sprintf("zone%d", s.zone(shard)),
		Shard: shard, StartedAt: 1_700_000_000_000_000_000 + int64(shard)*1_000_003, Weight: 1}
}

// copied is rules that can be changed without the others.
func copied(r *configversion.Config) *configversion.Config {
	c := *r
	c.ServiceLevels, c.RequestClasses, c.Nodes = maps.Clone(r.ServiceLevels), maps.Clone(r.RequestClasses), maps.Clone(r.Nodes)
	return &c
}

// tune is an ordinary change: nothing that was allowed before contradicts it.
func tune(r *configversion.Config) {
	p := r.ServiceLevels["gold"]
	p.RateLimit++
	r.ServiceLevels["gold"] = p
}

// replace has a shard served by another node, as the one before is lost. It returns both.
func replace(s *Size, shard, times int) (old, successor string, change func(*configversion.Config)) {
	old, successor = address(shard, times-1), address(shard, times)
	return old, successor, func(r *configversion.Config) {
		delete(r.Nodes, old)
		r.Nodes[successor] = entry(s, shard, times)
	}
}

// own is what each gateway has of its own, beside what is agreed on.
func own(s *Size) scheduler.Settings {
	return scheduler.Settings{"units.mean": "1", "units.largest": "16", "gateways": fmt.Sprint(s.Gateways)}
}
