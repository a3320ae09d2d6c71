package configversion

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"irispost/internal/endpoint"
	"irispost/internal/testkit/golden"
)

// goldenConfig returns a configuration that sets every member to a non-zero value somewhere, and uses every value of
// Idempotency and Health.
func goldenConfig() *Config {
	return &Config{
		RequiredFormat:   1,
		Shards:           3,
		MeanRequestUnits: 1.5,
		ServiceLevels: map[string]ServiceLevel{
			"gold": {Weight: 2, NominalRate: 10, Reserve: 3, RateLimit: 100, Burst: 20, Slack: 4},
			"iron": {Weight: 1},
		},
		RequestClasses: map[string]RequestClass{
			"a": {Idempotency: Idempotent, LatencyObjective: 1e6, ClientTimeout: 2e6, DedupWindow: 3e6, Ordered: true},
			"b": {Idempotency: KeyedAllNodes, LatencyObjective: 1e6, ClientTimeout: 2e6, DedupWindow: 4e9},
			"c": {Idempotency: KeyedSameZone, LatencyObjective: 1e6, ClientTimeout: 2e6},
			"d": {Idempotency: KeyedSameShard, LatencyObjective: 1e6, ClientTimeout: 2e6},
			"e": {Idempotency: NonIdempotent, LatencyObjective: 1e6, ClientTimeout: 2e6},
		},
		SlowStart:   SlowStart{InitialShare: 0.25, Duration: 5e9, FairShareMultiple: 1.5, Window: 1e9, MinimumUnits: 7},
		RetryBudget: RetryBudget{Window: 2e9, FreeRetries: 3, RequestShare: 0.1},
		Dispatch: DispatchPolicy{
			MaxAttempts:   3,
			Hedging:       true,
			Cancellation:  true,
			RetryAfter:    true,
			MaxRetryAfter: 6e9,
			KeyCooldown:   7e6,
		},
		FallbackPolicy: FallbackPolicy{Duration: 8e9, LimitFraction: 0.5, AllowWrites: true},
		Nodes: map[string]Node{
			"10.0.0.1:7000": {
				Name:      "one",
				Zone:      "z1",
				Shard:     1,
				StartedAt: 1764650723000000000,
				Weight:    2,
				Health:    endpoint.Draining,
			},
			"10.0.0.2:7000": {},
			"10.0.0.3:7000": {Shard: 2, Health: endpoint.Removed},
			"10.0.0.4:7000": {Shard: 1, Health: endpoint.Unhealthy},
		},
	}
}

// The files under testdata/golden hold the encodings in which versions are stored, sent and digested. A build that
// encodes them differently would compute other digests than the rest of the fleet.
func TestGoldenForms(t *testing.T) {
	config := goldenConfig()
	other := goldenConfig()
	other.FallbackPolicy = FallbackPolicy{Duration: 1e9, LimitFraction: 0.25}
	other.RetryBudget.FreeRetries = 1
	other.Dispatch.Hedging = false
	other.ServiceLevels = map[string]ServiceLevel{"gold": {Weight: 1, RateLimit: 50}}
	other.Nodes["10.0.0.2:7000"] = Node{StartedAt: 9}
	delete(other.RequestClasses, "a")
	conflicting := goldenConfig()
	conflicting.SlowStart = SlowStart{InitialShare: 0.5, Duration: 4e9}
	conflicting.RetryBudget = RetryBudget{Window: 1e9, FreeRetries: 1.5, RequestShare: 0.25}
	original := &Version{
		Number:    7,
		Parent:    6,
		Digest:    config.Digest(),
		Author:    "ann",
		Reason:    "more room",
		CreatedAt: "2026-01-02T03:04:05Z",
		Content:   config.Canonical(),
	}
	asJSON := func(value any) []byte {
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	lines := func(list []string) []byte { return []byte(strings.Join(list, "\n") + "\n") }
	for name, got := range map[string][]byte{
		"canonical.json":       config.Canonical(),
		"canonical-empty.json": (&Config{}).Canonical(),
		"digest.txt":           lines([]string{config.Digest(), (&Config{}).Digest(), DigestOf(nil)}),
		"version.json":         asJSON(original),
		"version-header.json":  asJSON(original.Header()),
		"version-name.txt":     lines([]string{original.Name(), (*Version)(nil).Name()}),
		"fallback.json":        config.Fallback().Canonical(),
		"fallback-none.json":   (&Config{}).Fallback().Canonical(),
		"deny-all.json":        config.DenyAll().Canonical(),
		"intersection.json":    Intersect(config, other).Canonical(),
		"settings.json":        asJSON(config.Settings(map[string]string{"gateways": "7", "plans.9.name": "old"})),
		"diff.txt":             lines(Diff(config, other)),
		"conflicts.txt":        lines(Conflicts(config, conflicting)),
	} {
		t.Run(name, func(t *testing.T) { golden.Check(t, "golden/"+name, got) })
	}
	back, err := Parse(config.Canonical())
	if err != nil || !reflect.DeepEqual(back, config) {
		t.Errorf("parsing the canonical form: got %+v, %v, want goldenConfig()", back, err)
	}
	var version Version
	if err := json.Unmarshal(asJSON(original), &version); err != nil || !reflect.DeepEqual(&version, original) {
		t.Errorf("decoding the version: got %+v, %v, want the version that was encoded", version, err)
	}
}
