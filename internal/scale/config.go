package scale

import (
	"fmt"
	"maps"

	"irispost/internal/fleet/configversion"
	"irispost/scheduler"
)

// nodeStart is when the node of shard 0 started, in nanoseconds since 1970. The node of each further shard started
// nodeStartStep later. All of them, replacements included, started long ago, so that slow start delays no replacement.
const (
	nodeStart     = 1_700_000_000_000_000_000
	nodeStartStep = 1_000_003
)

// initialConfig returns the first configuration of a fleet, with one node for each shard.
func initialConfig(size *Size) *configversion.Config {
	config := &configversion.Config{
		RequiredFormat:   configversion.Format,
		Shards:           size.Nodes,
		MeanRequestUnits: 1,
		ServiceLevels: map[string]configversion.ServiceLevel{
			"gold":  {Weight: 4, NominalRate: 20, Reserve: 40, RateLimit: 1000, Burst: 1000, Slack: 100},
			"basic": {Weight: 1, NominalRate: 10, Reserve: 40},
		},
		RequestClasses: map[string]configversion.RequestClass{
			"read": {Idempotency: configversion.Idempotent, LatencyObjective: 2e9, ClientTimeout: 20e9},
			"write": {Idempotency: configversion.KeyedSameShard, LatencyObjective: 2e9, ClientTimeout: 20e9,
				DedupWindow: 30e9},
		},
		SlowStart: configversion.SlowStart{InitialShare: 0.2, Duration: 8e9, FairShareMultiple: 2,
			Window: 1500e6, MinimumUnits: 6},
		RetryBudget: configversion.RetryBudget{Window: 10e9, FreeRetries: 10, RequestShare: 0.1},
		Dispatch: configversion.DispatchPolicy{MaxAttempts: 3, Hedging: true, Cancellation: true, RetryAfter: true,
			MaxRetryAfter: 5e9},
		FallbackPolicy: configversion.FallbackPolicy{Duration: int64(size.FallbackDuration), LimitFraction: 1,
			AllowWrites: true},
		Nodes: map[string]configversion.Node{},
	}
	for shard := range size.Nodes {
		config.Nodes[nodeAddress(shard, 0)] = nodeEntry(size, shard, 0)
	}
	return config
}

// nodeAddress returns the address of a shard's node after a number of replacements.
func nodeAddress(shard, replacements int) string {
	return fmt.Sprintf("10.%d.%d.%d:7000", 10+replacements, shard>>8, shard&255)
}

// nodeEntry returns the configuration entry of a shard's node after a number of replacements.
func nodeEntry(size *Size, shard, replacements int) configversion.Node {
	zone := size.zone(shard)
	return configversion.Node{
		Name:      fmt.Sprintf("store-%04d-%d.zone%d.example.net", shard, replacements, zone),
		Zone:      fmt.Sprintf("zone%d", zone),
		Shard:     shard,
		StartedAt: nodeStart + int64(shard)*nodeStartStep,
		Weight:    1,
	}
}

// cloneConfig returns a copy whose service levels, request classes and nodes can be changed independently.
func cloneConfig(config *configversion.Config) *configversion.Config {
	clone := *config
	clone.ServiceLevels = maps.Clone(config.ServiceLevels)
	clone.RequestClasses = maps.Clone(config.RequestClasses)
	clone.Nodes = maps.Clone(config.Nodes)
	return &clone
}

// raiseRateLimit raises the rate limit of a service level. This change conflicts with no earlier version, so that it
// need not wait for fallbacks to end.
func raiseRateLimit(config *configversion.Config) {
	level := config.ServiceLevels["gold"]
	level.RateLimit++
	config.ServiceLevels["gold"] = level
}

// replaceNode returns the change that replaces a shard's node, and the addresses of the old node and its successor.
// times counts the replacements of the shard's nodes, this one included.
func replaceNode(size *Size, shard, times int) (old, successor string, change func(*configversion.Config)) {
	old = nodeAddress(shard, times-1)
	successor = nodeAddress(shard, times)
	return old, successor, func(config *configversion.Config) {
		delete(config.Nodes, old)
		config.Nodes[successor] = nodeEntry(size, shard, times)
	}
}

// newLocalSettings returns the settings that each gateway has in addition to the configuration from the replicas.
func newLocalSettings(size *Size) scheduler.Settings {
	return scheduler.Settings{"units.mean": "1", "units.largest": "16", "gateways": fmt.Sprint(size.Gateways)}
}
