// Package configversion holds what gateways have to agree on, as versions: the settings of the service and the list of storage
// nodes. It is pure: no I/O, no clock, no chance. It tells of two versions what contradicts and what may differ, and makes
// their meet, under which a gateway contradicts neither. docs/fleet.md gives the reasons.
package configversion

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/blake3"

	"irispost/internal/endpoint"
)

// Idempotency is what a repeat of a product's job may do, and at which nodes: each allows what the later ones do, but for
// AtZone and AtShard, of which neither allows all of the other.
type Idempotency string

const (
	Idempotent     Idempotency = "replayable"       // may run again
	KeyedAllNodes  Idempotency = "referenced"       // may be sent again, all nodes drop repeats
	KeyedSameZone  Idempotency = "referenced zone"  // the nodes of a zone do
	KeyedSameShard Idempotency = "referenced shard" // the nodes of a shard do
	NonIdempotent  Idempotency = "single-use"       // is never sent again once it may have run
)

var ranks = map[Idempotency]int{Idempotent: 0, KeyedAllNodes: 1, KeyedSameZone: 2, KeyedSameShard: 2, NonIdempotent: 3}

// ServiceLevel is a service level. Rates are units a second for a volume, over all gateways and nodes; Burst and Slack are units.
type ServiceLevel struct {
	Weight      float64 `json:"weight"`
	NominalRate float64 `json:"rate"`
	Reserve     float64 `json:"reserve"`
	RateLimit   float64 `json:"limit"` // 0: none
	Burst       float64 `json:"burst"`
	Slack       float64 `json:"slack"`
}

// RequestClass is a kind of job. Spans are nanoseconds.
type RequestClass struct {
	Idempotency      Idempotency `json:"kind"`
	LatencyObjective int64       `json:"goal"`
	ClientTimeout    int64       `json:"patience"`
	DedupWindow      int64       `json:"window"` // how long nodes know repeats
	Ordered          bool        `json:"in_turn"`
}

// SlowStart is what all gateways together may send to a node that has started lately. Spans are nanoseconds.
type SlowStart struct {
	InitialShare      float64 `json:"from"`
	Duration          int64   `json:"time"`
	FairShareMultiple float64 `json:"multiple"`
	Window            int64   `json:"window"`
	MinimumUnits      float64 `json:"units"`
}

// RetryBudget is the budget of further executions: so many free in a window, and a share of the jobs taken in it.
type RetryBudget struct {
	Window       int64   `json:"window"`
	FreeRetries  float64 `json:"free"`
	RequestShare float64 `json:"share"`
}

// DispatchPolicy is what a gateway may do with executions and answers. Spans are nanoseconds.
type DispatchPolicy struct {
	MaxAttempts   int   `json:"most"` // executions of a job
	Hedging       bool  `json:"second_copies"`
	Cancellation  bool  `json:"calling_off"`
	RetryAfter    bool  `json:"advice"`      // dismissals carry a time to come back
	MaxRetryAfter int64 `json:"advice_most"` // the longest
	KeyCooldown   int64 `json:"key_rest"`    // between jobs of one key
}

// Node is a storage node. Born is nanoseconds since 1970, 0 for long ago.
type Node struct {
	Name      string          `json:"name,omitempty"`
	Zone      string          `json:"zone,omitempty"`
	Shard     int             `json:"shard"`
	StartedAt int64           `json:"born,omitempty"`
	Health    endpoint.Health `json:"standing"`
	Weight    float64         `json:"weight,omitempty"`
}

// FallbackPolicy is what a gateway whose lease has run out may still do for a while: its version with these bounds.
type FallbackPolicy struct {
	Duration      int64   `json:"for"`    // nanoseconds from its last word with the keepers; 0: nothing at all
	LimitFraction float64 `json:"limits"` // part of each limit, 0 to 1
	AllowWrites   bool    `json:"writes"` // products that are not replayable, too
}

// Config are the content of a version.
type Config struct {
	RequiredFormat   int                     `json:"needs"` // the form that a program has to know to act on it
	Shards           int                     `json:"shards"`
	MeanRequestUnits float64                 `json:"mean"` // units of a mean job
	ServiceLevels    map[string]ServiceLevel `json:"plans"`
	RequestClasses   map[string]RequestClass `json:"products"`
	SlowStart        SlowStart               `json:"cold"`
	RetryBudget      RetryBudget             `json:"further"`
	Dispatch         DispatchPolicy          `json:"sending"`
	FallbackPolicy   FallbackPolicy          `json:"floor"`
	Nodes            map[string]Node         `json:"nodes"` // by address
}

// Format is the newest form of rules that this program knows. A version that needs a newer one is not acted on.
const Format = 1

// Canonical is the one way in which rules are written: JSON with members in a fixed order and names sorted.
func (r *Config) Canonical() []byte {
	c := *r
	if c.ServiceLevels == nil {
		c.ServiceLevels = map[string]ServiceLevel{}
	}
	if c.RequestClasses == nil {
		c.RequestClasses = map[string]RequestClass{}
	}
	if c.Nodes == nil {
		c.Nodes = map[string]Node{}
	}
	b, err := json.Marshal(&c)
	if err != nil {
		panic("rules that were checked cannot be written: " + err.Error()) // numbers are finite, there is nothing else to fail
	}
	return b
}

// Digest is the BLAKE3 sum of the canonical form, in hexadecimal.
func (r *Config) Digest() string { return DigestOf(r.Canonical()) }

// Parse reads the canonical form. What is not in it is refused, so that nothing is agreed on that this program would not see.
func Parse(b []byte) (*Config, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	r := &Config{}
	err := d.Decode(r)
	if err == nil {
		if _, more := d.Token(); more != io.EOF {
			err = errors.New("something follows after them")
		}
	}
	if err != nil || r.RequiredFormat > Format {
		var form struct{ Needs int } // a newer form may have what this one does not know
		if json.Unmarshal(b, &form) == nil && form.Needs > Format {
			return nil, &UnsupportedFormatError{RequiredFormat: form.Needs}
		}
	}
	if err != nil {
		return nil, fmt.Errorf("rules cannot be read: %w", err)
	}
	return r, r.Validate()
}

// UnsupportedFormatError tells of rules in a form that this program does not know.
type UnsupportedFormatError struct{ RequiredFormat int }

func (e *UnsupportedFormatError) Error() string {
	return fmt.Sprintf("these rules need form %d, this program knows form %d: a newer program is needed", e.RequiredFormat, Format)
}

// Validate refuses rules that cannot be acted on.
func (r *Config) Validate() error {
	bad := func(format string, args ...any) error { return fmt.Errorf(format, args...) }
	if r.RequiredFormat < 1 || r.Shards < 1 {
		return bad("form %d and %d shards: both are at least 1", r.RequiredFormat, r.Shards)
	}
	if len(r.ServiceLevels) == 0 {
		return bad("there is no plan")
	}
	numbers := []float64{r.MeanRequestUnits, r.SlowStart.InitialShare, r.SlowStart.FairShareMultiple, r.SlowStart.MinimumUnits, r.RetryBudget.FreeRetries, r.RetryBudget.RequestShare, r.FallbackPolicy.LimitFraction}
	for _, name := range sorted(r.ServiceLevels) {
		p := r.ServiceLevels[name]
		numbers = append(numbers, p.Weight, p.NominalRate, p.Reserve, p.RateLimit, p.Burst, p.Slack)
		if p.Weight <= 0 {
			return bad("plan %q: weight %v is not above 0", name, p.Weight)
		}
	}
	for _, name := range sorted(r.RequestClasses) {
		p := r.RequestClasses[name]
		if _, known := ranks[p.Idempotency]; !known {
			return bad("product %q: there is no kind %q", name, p.Idempotency)
		}
		if p.LatencyObjective <= 0 || p.ClientTimeout < p.LatencyObjective || p.DedupWindow < 0 {
			return bad("product %q: goal %d, patience %d, window %d", name, p.LatencyObjective, p.ClientTimeout, p.DedupWindow)
		}
	}
	for _, n := range numbers {
		if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			return bad("%v is no amount", n)
		}
	}
	if r.FallbackPolicy.LimitFraction > 1 || r.FallbackPolicy.Duration < 0 || r.Dispatch.MaxAttempts < 1 {
		return bad("floor for %d with %v of the limits, executions %d", r.FallbackPolicy.Duration, r.FallbackPolicy.LimitFraction, r.Dispatch.MaxAttempts)
	}
	owners := map[int]string{}
	for _, addr := range sorted(r.Nodes) {
		n := r.Nodes[addr]
		if n.Shard < 0 || n.Shard >= r.Shards {
			return bad("node %q: there is no shard %d of %d", addr, n.Shard, r.Shards)
		}
		if n.Health > endpoint.Unhealthy {
			return bad("node %q: there is no standing %d", addr, n.Health)
		}
		if n.Health != endpoint.Ready {
			continue
		}
		if other := owners[n.Shard]; other != "" {
			return bad("nodes %q and %q are both ready for shard %d: one has to drain", other, addr, n.Shard)
		}
		owners[n.Shard] = addr
	}
	return nil
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// ShardOwner is the node that serves a shard: its address, "" for none.
func (r *Config) ShardOwner(shard int) string {
	for _, addr := range sorted(r.Nodes) {
		if n := r.Nodes[addr]; n.Shard == shard && n.Health == endpoint.Ready {
			return addr
		}
	}
	return ""
}

// EndpointList is the list of nodes, by address.
func (r *Config) EndpointList(version string) endpoint.List {
	l := endpoint.List{Version: version}
	for _, addr := range sorted(r.Nodes) {
		n := r.Nodes[addr]
		l.Nodes = append(l.Nodes, endpoint.Node{Addr: addr, Name: n.Name, Zone: n.Zone, Shard: n.Shard, StartedAt: n.StartedAt, Health: n.Health,
			Weight: n.Weight})
	}
	return l
}

// DigestOf is the digest of rules as they are written.
func DigestOf(canonical []byte) string {
	sum := blake3.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}
