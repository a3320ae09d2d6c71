package fleetbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
)

// Kind is what a change changes.
type Kind string

// The kinds of changes.
const (
	Node  Kind = "node"  // a shard's node drains, another takes its place; the one that was drained before is left out
	Limit Kind = "limit" // a plan's limit
)

// Course is a fleet's rules as they change, in turn by a node and a limit. The same seed gives the same course.
type Course struct {
	rules   *configversion.Config
	chance  *rand.Rand
	owners  []string // addresses, by shard
	drained string
	made    int   // nodes so far
	last    int64 // when the youngest was born, nanoseconds since 1970
	steps   int
}

var (
	zones = []string{"west-a", "west-b", "west-c", "west-d", "east-a", "east-b", "east-c"}
	plans = []string{"gold", "silver", "bronze"}
)

// daily is the letter's number of changes a day.
const daily = 950

// NewCourse begins with one ready node a shard, each with name, zone and age.
func NewCourse(nodes int, seed uint64) *Course {
	ms := int64(time.Millisecond)
	c := &Course{chance: rand.New(rand.NewPCG(seed, 17)), last: 1_760_000_000_000_000_000, owners: make([]string, nodes)}
	c.rules = &configversion.Config{RequiredFormat: configversion.Format, Shards: nodes, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{}, Nodes: map[string]configversion.Node{},
		RequestClasses: map[string]configversion.RequestClass{
			"read":   {Idempotency: configversion.Idempotent, LatencyObjective: 50 * ms, ClientTimeout: 2000 * ms},
			"write":  {Idempotency: configversion.KeyedSameShard, LatencyObjective: 100 * ms, ClientTimeout: 5000 * ms, DedupWindow: 60_000 * ms, Ordered: true},
			"report": {Idempotency: configversion.Idempotent, LatencyObjective: 1000 * ms, ClientTimeout: 30_000 * ms},
			"order":  {Idempotency: configversion.NonIdempotent, LatencyObjective: 200 * ms, ClientTimeout: 5000 * ms},
		},
		SlowStart:   configversion.SlowStart{InitialShare: 0.1, Duration: 60_000 * ms, FairShareMultiple: 1.2, Window: 1000 * ms, MinimumUnits: 20},
		RetryBudget: configversion.RetryBudget{Window: 10_000 * ms, FreeRetries: 10, RequestShare: 0.05},
		Dispatch:    configversion.DispatchPolicy{MaxAttempts: 2, Hedging: true, Cancellation: true, RetryAfter: true, MaxRetryAfter: 10_000 * ms, KeyCooldown: 10 * ms},
	}
	for i, name := range plans {
		c.rules.ServiceLevels[name] = configversion.ServiceLevel{Weight: float64(len(plans) - i), NominalRate: 200, Reserve: 20, RateLimit: 1000, Burst: 100, Slack: 50}
	}
	start := c.last
	for shard := range nodes {
		c.last = start - c.chance.Int64N(int64(400*24*time.Hour))
		c.node(shard, zones[shard%len(zones)])
	}
	c.last = start
	return c
}

// node makes the next node, for a shard.
func (c *Course) node(shard int, zone string) {
	n := c.made
	c.made++
	addr := fmt.Sprintf("10.%d.%d.%d:7000", n>>16&255, n>>8&255, n&255)
	c.rules.Nodes[addr] = configversion.Node{Name: fmt.Sprintf("db-%s-%05d", zone, n), Zone: zone, Shard: shard, StartedAt: c.last}
	c.owners[shard] = addr
}

// Rules are the rules as they are now; they are the course's own.
func (c *Course) Rules() *configversion.Config { return c.rules }

// Step makes the next change.
func (c *Course) Step() Kind {
	c.steps++
	if c.steps%2 == 0 {
		name := plans[c.steps/2%len(plans)]
		p := c.rules.ServiceLevels[name]
		for was := p.RateLimit; p.RateLimit == was; {
			p.RateLimit = float64(500 + c.chance.IntN(1000))
		}
		c.rules.ServiceLevels[name] = p
		return Limit
	}
	delete(c.rules.Nodes, c.drained)
	shard := c.chance.IntN(len(c.owners))
	c.drained = c.owners[shard]
	old := c.rules.Nodes[c.drained]
	old.Health = endpoint.Draining
	c.rules.Nodes[c.drained] = old
	c.last += int64(24*time.Hour)/daily + c.chance.Int64N(int64(time.Second))
	c.node(shard, old.Zone)
	return Node
}
