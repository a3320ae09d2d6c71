package configversion

import (
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/zeebo/blake3"

	"irispost/internal/endpoint"
)

// Format is the newest format of configurations that this build knows. A version that requires a newer one is not
// acted on.
const Format = 1

// Config is the content of a version. Durations are in nanoseconds.
type Config struct {
	RequiredFormat   int                     `json:"needs"` // a build has to know this format to act on it
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

// ServiceLevel is what a volume is entitled to, over all gateways and nodes. Rates are in units a second; Burst and
// Slack are in units.
type ServiceLevel struct {
	Weight      float64 `json:"weight"`
	NominalRate float64 `json:"rate"`
	Reserve     float64 `json:"reserve"`
	RateLimit   float64 `json:"limit"` // 0: none
	Burst       float64 `json:"burst"`
	Slack       float64 `json:"slack"`
}

// RequestClass is a kind of request. Durations are in nanoseconds.
type RequestClass struct {
	Idempotency      Idempotency `json:"kind"`
	LatencyObjective int64       `json:"goal"`
	ClientTimeout    int64       `json:"patience"`
	DedupWindow      int64       `json:"window"` // how long nodes recognise a retry by its idempotency key
	Ordered          bool        `json:"in_turn"`
}

// Idempotency says whether a request may be sent again once it may have run, and to which nodes. Each value allows
// what the later ones allow, but for KeyedSameZone and KeyedSameShard, which allow different things.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent     Idempotency = "replayable"       // to any node
	KeyedAllNodes  Idempotency = "referenced"       // to any node, as all recognise its idempotency key
	KeyedSameZone  Idempotency = "referenced zone"  // to the nodes of the same zone, which recognise its key
	KeyedSameShard Idempotency = "referenced shard" // to the nodes of the same shard, which recognise its key
	NonIdempotent  Idempotency = "single-use"       // to none
)

// strictness orders the values of Idempotency. Two of the same rank are not comparable.
var strictness = map[Idempotency]int{
	Idempotent:     0,
	KeyedAllNodes:  1,
	KeyedSameZone:  2,
	KeyedSameShard: 2,
	NonIdempotent:  3,
}

// SlowStart bounds what all gateways together may send to a node that has started lately. Durations are in
// nanoseconds.
type SlowStart struct {
	InitialShare      float64 `json:"from"`
	Duration          int64   `json:"time"`
	FairShareMultiple float64 `json:"multiple"`
	Window            int64   `json:"window"`
	MinimumUnits      float64 `json:"units"`
}

// RetryBudget bounds the attempts after the first: in each window some are free, and a share of the requests that
// were received in it. The window is in nanoseconds.
type RetryBudget struct {
	Window       int64   `json:"window"`
	FreeRetries  float64 `json:"free"`
	RequestShare float64 `json:"share"`
}

// DispatchPolicy says what a gateway may do with attempts and answers. Durations are in nanoseconds.
type DispatchPolicy struct {
	MaxAttempts   int   `json:"most"` // of a request
	Hedging       bool  `json:"second_copies"`
	Cancellation  bool  `json:"calling_off"`
	RetryAfter    bool  `json:"advice"` // rejections say when to come back
	MaxRetryAfter int64 `json:"advice_most"`
	KeyCooldown   int64 `json:"key_rest"` // between requests of one key
}

// FallbackPolicy bounds what a gateway may do for a while after its lease has expired.
type FallbackPolicy struct {
	Duration      int64   `json:"for"`    // nanoseconds from the request of its last lease; 0: it may do nothing
	LimitFraction float64 `json:"limits"` // part of each rate limit, 0 to 1
	AllowWrites   bool    `json:"writes"` // request classes that are not idempotent, too
}

// Node is a storage node.
type Node struct {
	Name      string          `json:"name,omitempty"`
	Zone      string          `json:"zone,omitempty"`
	Shard     int             `json:"shard"`
	StartedAt int64           `json:"born,omitempty"` // nanoseconds since 1970; 0: long ago
	Health    endpoint.Health `json:"standing"`
	Weight    float64         `json:"weight,omitempty"`
}

// Canonical writes the configuration in the one form that counts: JSON with members in a fixed order and names
// sorted.
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
		panic("encode a configuration: " + err.Error()) // only a number that is not finite, which Validate refuses
	}
	return b
}

// Digest returns the digest of the canonical form.
func (c *Config) Digest() string { return DigestOf(c.Canonical()) }

// DigestOf returns the BLAKE3 digest of a content, in hexadecimal.
func DigestOf(content []byte) string {
	sum := blake3.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ShardOwner returns the address of the node that serves a shard, or "" if there is none.
func (c *Config) ShardOwner(shard int) string {
	for _, addr := range sortedNames(c.Nodes) {
		if node := c.Nodes[addr]; node.Shard == shard && node.Health == endpoint.Ready {
			return addr
		}
	}
	return ""
}

// EndpointList returns the nodes by address, as a list with a version.
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

// sortedNames returns the keys of a map in order.
func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
