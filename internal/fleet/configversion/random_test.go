package configversion

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
)

// useFixedSeed gives rapid a fixed seed, so that each run draws the same values, and keeps it from writing files.
func useFixedSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "7"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func drawAmount(t *rapid.T, name string) float64 {
	return rapid.SampledFrom([]float64{0, 1, 2, 10}).Draw(t, name)
}

func drawDuration(t *rapid.T, name string) int64 {
	return rapid.SampledFrom([]int64{0, 5, 9}).Draw(t, name)
}

func drawBool(t *rapid.T, name string) bool { return rapid.Bool().Draw(t, name) }

// drawConfig draws each setting from few values, so that two configurations often agree in some and differ in others.
func drawConfig(t *rapid.T) *Config {
	return &Config{
		RequiredFormat:   1,
		Shards:           rapid.SampledFrom([]int{2, 2, 2, 3}).Draw(t, "shards"),
		MeanRequestUnits: drawAmount(t, "mean"),
		SlowStart: SlowStart{
			InitialShare:      drawAmount(t, "initial share"),
			Duration:          drawDuration(t, "duration"),
			FairShareMultiple: drawAmount(t, "multiple"),
			Window:            drawDuration(t, "window"),
			MinimumUnits:      drawAmount(t, "units"),
		},
		RetryBudget: RetryBudget{
			Window:       drawDuration(t, "window"),
			FreeRetries:  drawAmount(t, "free"),
			RequestShare: drawAmount(t, "share"),
		},
		Dispatch: DispatchPolicy{
			MaxAttempts:   rapid.IntRange(1, 3).Draw(t, "attempts"),
			Hedging:       drawBool(t, "hedging"),
			Cancellation:  drawBool(t, "cancellation"),
			RetryAfter:    drawBool(t, "retry after"),
			MaxRetryAfter: drawDuration(t, "retry after"),
			KeyCooldown:   drawDuration(t, "cooldown"),
		},
		FallbackPolicy: FallbackPolicy{
			Duration:      drawDuration(t, "fallback"),
			LimitFraction: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "fraction"),
			AllowWrites:   drawBool(t, "writes"),
		},
		ServiceLevels:  drawServiceLevels(t),
		RequestClasses: drawRequestClasses(t),
		Nodes:          drawNodes(t),
	}
}

func drawServiceLevels(t *rapid.T) map[string]ServiceLevel {
	levels := map[string]ServiceLevel{
		"gold": {
			Weight:    1,
			RateLimit: drawAmount(t, "limit"),
			Burst:     drawAmount(t, "burst"),
			Slack:     drawAmount(t, "slack"),
		},
	}
	for _, name := range []string{"silver", "iron"} {
		if drawBool(t, name) {
			levels[name] = ServiceLevel{
				Weight:      2,
				NominalRate: drawAmount(t, "rate"),
				Reserve:     drawAmount(t, "reserve"),
				RateLimit:   drawAmount(t, "limit"),
				Burst:       drawAmount(t, "burst"),
			}
		}
	}
	return levels
}

func drawRequestClasses(t *rapid.T) map[string]RequestClass {
	values := []Idempotency{Idempotent, KeyedAllNodes, KeyedSameZone, KeyedSameShard, NonIdempotent}
	classes := map[string]RequestClass{}
	for _, name := range []string{"read", "write"} {
		if rapid.IntRange(0, 4).Draw(t, name) > 0 {
			classes[name] = RequestClass{
				Idempotency:      rapid.SampledFrom(values).Draw(t, "idempotency"),
				LatencyObjective: 1 + drawDuration(t, "objective"),
				ClientTimeout:    20,
				DedupWindow:      drawDuration(t, "window"),
				Ordered:          drawBool(t, "ordered"),
			}
		}
	}
	return classes
}

// drawNodes draws nodes with at most one ready node for each shard.
func drawNodes(t *rapid.T) map[string]Node {
	healths := []endpoint.Health{
		endpoint.Ready, endpoint.Ready, endpoint.Ready,
		endpoint.Draining, endpoint.Removed, endpoint.Unhealthy,
	}
	nodes := map[string]Node{}
	owned := map[int]bool{}
	for _, addr := range []string{"a", "b", "c", "d"} {
		if !drawBool(t, addr) {
			continue
		}
		node := Node{
			Shard:     rapid.IntRange(0, 1).Draw(t, "shard"),
			StartedAt: drawDuration(t, "started"),
			Zone:      rapid.SampledFrom([]string{"", "z"}).Draw(t, "zone"),
			Health:    rapid.SampledFrom(healths).Draw(t, "health"),
		}
		if owned[node.Shard] && node.Health == endpoint.Ready {
			node.Health = endpoint.Draining
		}
		owned[node.Shard] = owned[node.Shard] || node.Health == endpoint.Ready
		nodes[addr] = node
	}
	return nodes
}

// attempt is an attempt that a gateway may make. Config.allows decides whether it is allowed without the use of
// Intersect and Exceeds, so that they can be checked against it.
type attempt struct {
	level, class, node  string
	shard               int
	rate                float64 // of the service level so far, in units per second
	retry               bool    // an earlier attempt may have run
	sameZone, sameShard bool    // the earlier attempt was sent to the same zone, or the same shard
	nodeStartedAt       int64   // according to the sending gateway
	number              int     // how many attempts the request has had before
}

func drawAttempt(t *rapid.T) attempt {
	return attempt{
		level:         rapid.SampledFrom([]string{"gold", "silver", "iron"}).Draw(t, "level"),
		class:         rapid.SampledFrom([]string{"read", "write"}).Draw(t, "class"),
		node:          rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "node"),
		shard:         rapid.IntRange(0, 1).Draw(t, "shard"),
		rate:          rapid.SampledFrom([]float64{0.5, 1.5, 5, 20}).Draw(t, "rate"),
		retry:         drawBool(t, "retry"),
		sameZone:      drawBool(t, "same zone"),
		sameShard:     drawBool(t, "same shard"),
		nodeStartedAt: drawDuration(t, "started"),
		number:        rapid.IntRange(0, 2).Draw(t, "number"),
	}
}

// allows reports whether a gateway that acts on the configuration may make an attempt.
func (c *Config) allows(a attempt) bool {
	level, hasLevel := c.ServiceLevels[a.level]
	class, hasClass := c.RequestClasses[a.class]
	node, hasNode := c.Nodes[a.node]
	switch {
	case !hasLevel || !hasClass || !hasNode:
		return false
	case node.Health != endpoint.Ready || node.Shard != a.shard || node.StartedAt > a.nodeStartedAt:
		return false
	case level.RateLimit > 0 && a.rate > level.RateLimit:
		return false
	case a.number >= c.Dispatch.MaxAttempts:
		return false
	case !a.retry:
		return true
	}
	switch class.Idempotency {
	case NonIdempotent:
		return false
	case KeyedSameZone:
		return a.sameZone
	case KeyedSameShard:
		return a.sameShard
	}
	return true
}

// contentOfNodes returns the canonical form of a configuration with the given number of nodes.
func contentOfNodes(nodes int) []byte {
	c := &Config{
		RequiredFormat:   1,
		Shards:           nodes,
		MeanRequestUnits: 1,
		ServiceLevels:    map[string]ServiceLevel{"gold": {Weight: 1}},
		Dispatch:         DispatchPolicy{MaxAttempts: 1},
		Nodes:            map[string]Node{},
	}
	for i := range nodes {
		c.Nodes[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = Node{
			Name:      fmt.Sprintf("node-%d", i),
			Zone:      fmt.Sprint("z", i%7),
			Shard:     i,
			StartedAt: 1764650723000000000 + int64(i),
		}
	}
	return c.Canonical()
}
