package configversion

import (
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/zeebo/blake3"

	"irispost/internal/endpoint"
)

// Format is the newest configuration format that this build supports. A gateway does not act on a version that
// requires a newer one.
const Format = 1

// Config is the configuration that a version carries. Durations are in nanoseconds.
type Config struct {
	RequiredFormat   int                     `json:"needs"` // format that a build must support to act on it
	Shards           int                     `json:"shards"`
	MeanRequestUnits float64                 `json:"mean"`
	ServiceLevels    map[string]ServiceLevel `json:"plans"`    // by name
	RequestClasses   map[string]RequestClass `json:"products"` // by name
	SlowStart        SlowStart               `json:"cold"`
	RetryBudget      RetryBudget             `json:"further"`
	Dispatch         DispatchPolicy          `json:"sending"`
	FallbackPolicy   FallbackPolicy          `json:"floor"`
	Nodes            map[string]Node         `json:"nodes"` // by address
}

// ServiceLevel is what a volume is entitled to, summed over all gateways and nodes. Rates are in units per second;
// Burst and Slack are in units.
type ServiceLevel struct {
	Weight      float64 `json:"weight"`
	NominalRate float64 `json:"rate"`
	Reserve     float64 `json:"reserve"`
	RateLimit   float64 `json:"limit"` // 0: unlimited
	Burst       float64 `json:"burst"`
	Slack       float64 `json:"slack"`
}

// RequestClass holds the settings that all requests of one kind share. Durations are in nanoseconds.
type RequestClass struct {
	Idempotency      Idempotency `json:"kind"`
	LatencyObjective int64       `json:"goal"`
	ClientTimeout    int64       `json:"patience"`
	DedupWindow      int64       `json:"window"` // how long nodes recognize a retry by its idempotency key
	Ordered          bool        `json:"in_turn"`
}

// Idempotency says whether a request that may already have run may be retried, and on which nodes. The values are
// ordered from loose to strict: each allows everything that the later ones allow, except that KeyedSameZone and
// KeyedSameShard are not comparable.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent     Idempotency = "replayable"       // on any node
	KeyedAllNodes  Idempotency = "referenced"       // on any node, as all nodes recognize its idempotency key
	KeyedSameZone  Idempotency = "referenced zone"  // on nodes of the same zone, which recognize its idempotency key
	KeyedSameShard Idempotency = "referenced shard" // on nodes of the same shard, which recognize its idempotency key
	NonIdempotent  Idempotency = "single-use"       // never
)

// strictness ranks the values of Idempotency. Two different values of the same rank are not comparable.
var strictness = map[Idempotency]int{
	Idempotent:     0,
	KeyedAllNodes:  1,
	KeyedSameZone:  2,
	KeyedSameShard: 2,
	NonIdempotent:  3,
}

// SlowStart limits what all gateways together may send to a node that has started recently. Durations are in
// nanoseconds.
type SlowStart struct {
	InitialShare      float64 `json:"from"`
	Duration          int64   `json:"time"`
	FairShareMultiple float64 `json:"multiple"`
	Window            int64   `json:"window"`
	MinimumUnits      float64 `json:"units"`
}

// RetryBudget limits retries. In each window it allows a fixed number of free retries, plus a share of the number of
// requests received in the window. The window is in nanoseconds.
type RetryBudget struct {
	Window       int64   `json:"window"`
	FreeRetries  float64 `json:"free"`
	RequestShare float64 `json:"share"`
}

// DispatchPolicy says which ways of sending and answering requests a gateway may use. Durations are in nanoseconds.
type DispatchPolicy struct {
	MaxAttempts   int   `json:"most"` // per request
	Hedging       bool  `json:"second_copies"`
	Cancellation  bool  `json:"calling_off"`
	RetryAfter    bool  `json:"advice"` // rejections tell the client when to retry
	MaxRetryAfter int64 `json:"advice_most"`
	KeyCooldown   int64 `json:"key_rest"` // minimum time between requests with the same key
}

// FallbackPolicy limits what a gateway may do for a bounded time after its lease has expired.
type FallbackPolicy struct {
	Duration      int64   `json:"for"`    // nanoseconds since its last lease was requested; 0: it may do nothing
	LimitFraction float64 `json:"limits"` // share of each rate limit that may be used, from 0 to 1
	AllowWrites   bool    `json:"writes"` // serve request classes that are not idempotent, too
}

// Node is a storage node.
type Node struct {
	Name      string          `json:"name,omitempty"`
	Zone      string          `json:"zone,omitempty"`
	Shard     int             `json:"shard"`
	StartedAt int64           `json:"born,omitempty"` // Unix time in nanoseconds; 0: long ago
	Health    endpoint.Health `json:"standing"`
	Weight    float64         `json:"weight,omitempty"`
}

// Canonical encodes the configuration in its canonical form, from which the digest is computed: JSON with struct
// members in a fixed order and map keys sorted.
func (c *Config) Canonical() []byte {
	canonical := *c
	if canonical.ServiceLevels == nil {
		canonical.ServiceLevels = map[string]ServiceLevel{}
	}
	if canonical.RequestClasses == nil {
		canonical.RequestClasses = map[string]RequestClass{}
	}
	if canonical.Nodes == nil {
		canonical.Nodes = map[string]Node{}
	}
	b, err := json.Marshal(&canonical)
	if err != nil {
		panic("encode a configuration: " + err.Error()) // only possible for NaN or an infinity, which Validate rejects
	}
	return b
}

// Digest returns the digest of the canonical form.
func (c *Config) Digest() string { return DigestOf(c.Canonical()) }

// DigestOf returns the BLAKE3 digest of an encoded configuration, in hexadecimal.
func DigestOf(content []byte) string {
	sum := blake3.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ShardOwner returns the address of the ready node that serves a shard, or "" if there is none.
func (c *Config) ShardOwner(shard int) string {
	for _, addr := range sortedNames(c.Nodes) {
		if node := c.Nodes[addr]; node.Shard == shard && node.Health == endpoint.Ready {
			return addr
		}
	}
	return ""
}

// EndpointList returns the nodes, sorted by address, as an endpoint list of the given version.
func (c *Config) EndpointList(version string) endpoint.List {
	list := endpoint.List{Version: version}
	for _, addr := range sortedNames(c.Nodes) {
		node := c.Nodes[addr]
		list.Nodes = append(list.Nodes, endpoint.Node{
			Addr:      addr,
			Name:      node.Name,
			Zone:      node.Zone,
			Shard:     node.Shard,
			StartedAt: node.StartedAt,
			Health:    node.Health,
			Weight:    node.Weight,
		})
	}
	return list
}

// sortedNames returns the keys of a map in ascending order.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
