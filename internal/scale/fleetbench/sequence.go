package fleetbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// ChangeKind identifies which part of the configuration a change modifies.
type ChangeKind string

// The kinds of changes.
const (
	NodeReplacement ChangeKind = "node"  // a node drains and is replaced; the node that drained before is removed
	LimitChange     ChangeKind = "limit" // a service level gets another rate limit
)

// ConfigSequence is the configuration of a fleet with a reproducible sequence of changes: node replacements and limit
// changes alternate. The same seed gives the same sequence.
type ConfigSequence struct {
	config       *configversion.Config
	random       *rand.Rand
	nodeByShard  []string // address of the shard's node that is not draining
	draining     string   // address of the draining node; "": none
	nodesCreated int
	newestStart  int64 // start time of the most recently started node, nanoseconds since 1970
	steps        int
}

var (
	zones         = []string{"west-a", "west-b", "west-c", "west-d", "east-a", "east-b", "east-c"}
	serviceLevels = []string{"gold", "silver", "bronze"}
)

const (
	// changesPerDay is the number of changes that operators make per day.
	changesPerDay = 950

	sequenceStart      = 1_760_000_000_000_000_000 // nanoseconds since 1970
	randomStream       = 17
	maximumNodeAge     = 400 * 24 * time.Hour // at sequenceStart
	minimumLimit       = 500
	limitRange         = 1000
	maximumStartJitter = time.Second // upper bound of the random part of the time between the starts of two nodes
)

// NewConfigSequence returns a sequence that begins with one ready node per shard, with name, zone and start time.
func NewConfigSequence(nodes int, seed uint64) *ConfigSequence {
	sequence := &ConfigSequence{
		config:      initialConfig(nodes),
		random:      rand.New(rand.NewPCG(seed, randomStream)),
		newestStart: sequenceStart,
		nodeByShard: make([]string, nodes),
	}
	for shard := range nodes {
		sequence.newestStart = sequenceStart - sequence.random.Int64N(int64(maximumNodeAge))
		sequence.addNode(shard, zones[shard%len(zones)])
	}
	sequence.newestStart = sequenceStart
	return sequence
}

// initialConfig returns a configuration without nodes.
func initialConfig(shards int) *configversion.Config {
	const ms = int64(time.Millisecond)
	config := &configversion.Config{
		RequiredFormat:   configversion.Format,
		Shards:           shards,
		MeanRequestUnits: 1,
		ServiceLevels:    map[string]configversion.ServiceLevel{},
		Nodes:            map[string]configversion.Node{},
		RequestClasses: map[string]configversion.RequestClass{
			"read": {Idempotency: configversion.Idempotent, LatencyObjective: 50 * ms, ClientTimeout: 2000 * ms},
			"write": {Idempotency: configversion.KeyedSameShard, LatencyObjective: 100 * ms, ClientTimeout: 5000 * ms,
				DedupWindow: 60_000 * ms, Ordered: true},
			"report": {Idempotency: configversion.Idempotent, LatencyObjective: 1000 * ms, ClientTimeout: 30_000 * ms},
			"order":  {Idempotency: configversion.NonIdempotent, LatencyObjective: 200 * ms, ClientTimeout: 5000 * ms},
		},
		SlowStart: configversion.SlowStart{InitialShare: 0.1, Duration: 60_000 * ms, FairShareMultiple: 1.2,
			Window: 1000 * ms, MinimumUnits: 20},
		RetryBudget: configversion.RetryBudget{Window: 10_000 * ms, FreeRetries: 10, RequestShare: 0.05},
		Dispatch: configversion.DispatchPolicy{MaxAttempts: 2, Hedging: true, Cancellation: true, RetryAfter: true,
			MaxRetryAfter: 10_000 * ms, KeyCooldown: 10 * ms},
	}
	for i, name := range serviceLevels {
		weight := float64(len(serviceLevels) - i)
		config.ServiceLevels[name] = configversion.ServiceLevel{Weight: weight, NominalRate: 200, Reserve: 20,
			RateLimit: 1000, Burst: 100, Slack: 50}
	}
	return config
}

// addNode adds a new node for a shard.
func (s *ConfigSequence) addNode(shard int, zone string) {
	number := s.nodesCreated
	s.nodesCreated++
	addr := fmt.Sprintf("10.%d.%d.%d:7000", number>>16&255, number>>8&255, number&255)
	s.config.Nodes[addr] = configversion.Node{
		Name:      fmt.Sprintf("db-%s-%05d", zone, number),
		Zone:      zone,
		Shard:     shard,
		StartedAt: s.newestStart,
	}
	s.nodeByShard[shard] = addr
}

// Config returns the current configuration. It is not a copy: Next modifies it.
func (s *ConfigSequence) Config() *configversion.Config { return s.config }

// Next makes the next change and returns its kind.
func (s *ConfigSequence) Next() ChangeKind {
	s.steps++
	if s.steps%2 == 0 {
		s.changeLimit()
		return LimitChange
	}
	s.replaceNode()
	return NodeReplacement
}

// changeLimit gives the next service level, in rotation, a different rate limit.
func (s *ConfigSequence) changeLimit() {
	name := serviceLevels[s.steps/2%len(serviceLevels)]
	level := s.config.ServiceLevels[name]
	for before := level.RateLimit; level.RateLimit == before; {
		level.RateLimit = float64(minimumLimit + s.random.IntN(limitRange))
	}
	s.config.ServiceLevels[name] = level
}

// replaceNode removes the draining node, if any, starts draining another node, and adds a node that replaces it.
func (s *ConfigSequence) replaceNode() {
	delete(s.config.Nodes, s.draining)
	shard := s.random.IntN(len(s.nodeByShard))
	s.draining = s.nodeByShard[shard]
	node := s.config.Nodes[s.draining]
	node.Health = endpoint.Draining
	s.config.Nodes[s.draining] = node
	s.newestStart += int64(24*time.Hour)/changesPerDay + s.random.Int64N(int64(maximumStartJitter))
	s.addNode(shard, node.Zone)
}
