package lease

import (
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

const leaseDuration = Time(1e9)

var testSettings = Settings{LeaseDuration: leaseDuration, MaxClockDrift: 0.1}

// configPool holds configurations that agree with or contradict each other in different ways. The last one has a
// format that no build can read.
var configPool = makeConfigPool()

// configPoolWithoutFallbacks holds the same configurations, except the last, with a fallback duration of 0.
var configPoolWithoutFallbacks = withoutFallbacks(configPool[:len(configPool)-1])

func makeConfigPool() [][]byte {
	readClass := func(idempotency configversion.Idempotency) configversion.RequestClass {
		return configversion.RequestClass{Idempotency: idempotency, LatencyObjective: 1, ClientTimeout: 2}
	}
	var pool [][]byte
	for n := range 24 {
		config := &configversion.Config{
			RequiredFormat:   1,
			Shards:           2,
			MeanRequestUnits: 1,
			ServiceLevels: map[string]configversion.ServiceLevel{
				"gold": {Weight: 1, RateLimit: float64(1 + n%3)},
			},
			RequestClasses: map[string]configversion.RequestClass{
				"read": readClass(configversion.Idempotent),
			},
			Nodes: map[string]configversion.Node{
				"a": {},
				"b": {Shard: 1},
				"c": {Health: endpoint.Draining},
			},
			Dispatch: configversion.DispatchPolicy{MaxAttempts: 3},
			FallbackPolicy: configversion.FallbackPolicy{
				Duration:      Time(n%4) * 2 * leaseDuration,
				LimitFraction: []float64{0.3, 1}[n%2],
			},
		}
		switch n % 5 {
		case 1:
			config.Nodes["a"] = configversion.Node{Health: endpoint.Draining}
			config.Nodes["c"] = configversion.Node{}
		case 2:
			delete(config.Nodes, "b")
		case 3:
			config.RequestClasses["read"] = readClass(configversion.NonIdempotent)
		}
		pool = append(pool, config.Canonical())
	}
	return append(pool, []byte(`{"needs": 9}`))
}

func withoutFallbacks(contents [][]byte) [][]byte {
	var pool [][]byte
	for _, content := range contents {
		config, err := configversion.Parse(content)
		if err != nil {
			panic(err)
		}
		config.FallbackPolicy.Duration = 0
		pool = append(pool, config.Canonical())
	}
	return pool
}
