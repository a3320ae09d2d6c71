// Package rules holds what gateways have to agree on, as versions: the settings of the service and the list of storage
// nodes. It is pure: no I/O, no clock, no chance. It tells of two versions what contradicts and what may differ, and makes
// their meet, under which a gateway contradicts neither. docs/fleet.md gives the reasons.
package rules

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

	"irispost/internal/listing"
)

// Kind is what a repeat of a product's job may do, and at which nodes: each allows what the later ones do, but for
// AtZone and AtShard, of which neither allows all of the other.
type Kind string

const (
	Anywhere Kind = "replayable"       // may run again
	AtAll    Kind = "referenced"       // may be sent again, all nodes drop repeats
	AtZone   Kind = "referenced zone"  // the nodes of a zone do
	AtShard  Kind = "referenced shard" // the nodes of a shard do
	Once     Kind = "single-use"       // is never sent again once it may have run
)

var ranks = map[Kind]int{Anywhere: 0, AtAll: 1, AtZone: 2, AtShard: 2, Once: 3}

// Plan is a service level. Rates are units a second for a volume, over all gateways and nodes; Burst and Slack are units.
type Plan struct {
	Weight  float64 `json:"weight"`
	Rate    float64 `json:"rate"`
	Reserve float64 `json:"reserve"`
	Limit   float64 `json:"limit"` // 0: none
	Burst   float64 `json:"burst"`
	Slack   float64 `json:"slack"`
}

// Product is a kind of job. Spans are nanoseconds.
type Product struct {
	Kind     Kind  `json:"kind"`
	Goal     int64 `json:"goal"`
	Patience int64 `json:"patience"`
	Window   int64 `json:"window"` // how long nodes know repeats
	InTurn   bool  `json:"in_turn"`
}

// Cold is what all gateways together may send to a node that has started lately. Spans are nanoseconds.
type Cold struct {
	From     float64 `json:"from"`
	Time     int64   `json:"time"`
	Multiple float64 `json:"multiple"`
	Window   int64   `json:"window"`
	Units    float64 `json:"units"`
}

// Further is the budget of further executions: so many free in a window, and a share of the jobs taken in it.
type Further struct {
	Window int64   `json:"window"`
	Free   float64 `json:"free"`
	Share  float64 `json:"share"`
}

// Sending is what a gateway may do with executions and answers. Spans are nanoseconds.
type Sending struct {
	Most         int   `json:"most"` // executions of a job
	SecondCopies bool  `json:"second_copies"`
	CallingOff   bool  `json:"calling_off"`
	Advice       bool  `json:"advice"`      // dismissals carry a time to come back
	AdviceMost   int64 `json:"advice_most"` // the longest
	KeyRest      int64 `json:"key_rest"`    // between jobs of one key
}

// Node is a storage node. Born is nanoseconds since 1970, 0 for long ago.
type Node struct {
	Name     string           `json:"name,omitempty"`
	Zone     string           `json:"zone,omitempty"`
	Shard    int              `json:"shard"`
	Born     int64            `json:"born,omitempty"`
	Standing listing.Standing `json:"standing"`
	Weight   float64          `json:"weight,omitempty"`
}

// Floor is what a gateway whose lease has run out may still do for a while: its version with these bounds.
type Floor struct {
	For    int64   `json:"for"`    // nanoseconds from its last word with the keepers; 0: nothing at all
	Limits float64 `json:"limits"` // part of each limit, 0 to 1
	Writes bool    `json:"writes"` // products that are not replayable, too
}

// Rules are the content of a version.
type Rules struct {
	Needs    int                `json:"needs"` // the form that a program has to know to act on it
	Shards   int                `json:"shards"`
	Mean     float64            `json:"mean"` // units of a mean job
	Plans    map[string]Plan    `json:"plans"`
	Products map[string]Product `json:"products"`
	Cold     Cold               `json:"cold"`
	Further  Further            `json:"further"`
	Sending  Sending            `json:"sending"`
	Floor    Floor              `json:"floor"`
	Nodes    map[string]Node    `json:"nodes"` // by address
}

// Form is the newest form of rules that this program knows. A version that needs a newer one is not acted on.
const Form = 1

// Canonical is the one way in which rules are written: JSON with members in a fixed order and names sorted.
func (r *Rules) Canonical() []byte {
	c := *r
	if c.Plans == nil {
		c.Plans = map[string]Plan{}
	}
	if c.Products == nil {
		c.Products = map[string]Product{}
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
func (r *Rules) Digest() string { return Sum(r.Canonical()) }

// Read reads the canonical form. What is not in it is refused, so that nothing is agreed on that this program would not see.
func Read(b []byte) (*Rules, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	r := &Rules{}
	err := d.Decode(r)
	if err == nil {
		if _, more := d.Token(); more != io.EOF {
			err = errors.New("something follows after them")
		}
	}
	if err != nil || r.Needs > Form {
		var form struct{ Needs int } // a newer form may have what this one does not know
		if json.Unmarshal(b, &form) == nil && form.Needs > Form {
			return nil, &NewerError{Needs: form.Needs}
		}
	}
	if err != nil {
		return nil, fmt.Errorf("rules cannot be read: %w", err)
	}
	return r, r.Check()
}

// NewerError tells of rules in a form that this program does not know.
type NewerError struct{ Needs int }

func (e *NewerError) Error() string {
	return fmt.Sprintf("these rules need form %d, this program knows form %d: a newer program is needed", e.Needs, Form)
}

// Check refuses rules that cannot be acted on.
func (r *Rules) Check() error {
	bad := func(format string, args ...any) error { return fmt.Errorf(format, args...) }
	if r.Needs < 1 || r.Shards < 1 {
		return bad("form %d and %d shards: both are at least 1", r.Needs, r.Shards)
	}
	if len(r.Plans) == 0 {
		return bad("there is no plan")
	}
	numbers := []float64{r.Mean, r.Cold.From, r.Cold.Multiple, r.Cold.Units, r.Further.Free, r.Further.Share, r.Floor.Limits}
	for _, name := range sorted(r.Plans) {
		p := r.Plans[name]
		numbers = append(numbers, p.Weight, p.Rate, p.Reserve, p.Limit, p.Burst, p.Slack)
		if p.Weight <= 0 {
			return bad("plan %q: weight %v is not above 0", name, p.Weight)
		}
	}
	for _, name := range sorted(r.Products) {
		p := r.Products[name]
		if _, known := ranks[p.Kind]; !known {
			return bad("product %q: there is no kind %q", name, p.Kind)
		}
		if p.Goal <= 0 || p.Patience < p.Goal || p.Window < 0 {
			return bad("product %q: goal %d, patience %d, window %d", name, p.Goal, p.Patience, p.Window)
		}
	}
	for _, n := range numbers {
		if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			return bad("%v is no amount", n)
		}
	}
	if r.Floor.Limits > 1 || r.Floor.For < 0 || r.Sending.Most < 1 {
		return bad("floor for %d with %v of the limits, executions %d", r.Floor.For, r.Floor.Limits, r.Sending.Most)
	}
	owners := map[int]string{}
	for _, addr := range sorted(r.Nodes) {
		n := r.Nodes[addr]
		if n.Shard < 0 || n.Shard >= r.Shards {
			return bad("node %q: there is no shard %d of %d", addr, n.Shard, r.Shards)
		}
		if n.Standing > listing.Unwell {
			return bad("node %q: there is no standing %d", addr, n.Standing)
		}
		if n.Standing != listing.Ready {
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

// Owner is the node that serves a shard: its address, "" for none.
func (r *Rules) Owner(shard int) string {
	for _, addr := range sorted(r.Nodes) {
		if n := r.Nodes[addr]; n.Shard == shard && n.Standing == listing.Ready {
			return addr
		}
	}
	return ""
}

// List is the list of nodes, by address.
func (r *Rules) List(version string) listing.List {
	l := listing.List{Version: version}
	for _, addr := range sorted(r.Nodes) {
		n := r.Nodes[addr]
		l.Nodes = append(l.Nodes, listing.Node{Addr: addr, Name: n.Name, Zone: n.Zone, Shard: n.Shard, Born: n.Born, Standing: n.Standing,
			Weight: n.Weight})
	}
	return l
}

// Sum is the digest of rules as they are written.
func Sum(canonical []byte) string {
	sum := blake3.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}
