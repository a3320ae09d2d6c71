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
	"strconv"
	"strings"

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

// limit is a plan's limit, where none is more than any.
func (p Plan) limit() float64 {
	if p.Limit == 0 {
		return math.Inf(1)
	}
	return p.Limit
}

// meetKind is the most that both kinds allow.
func meetKind(a, b Kind) Kind {
	switch {
	case a == b || ranks[a] > ranks[b]:
		return a
	case ranks[a] < ranks[b]:
		return b
	}
	return Once // a zone and a shard: no node is sure to know of a repeat under both
}

// Meet is the loosest that is looser than neither: what both allow. A shard whose owner differs is served by none, a plan or
// product that only one knows by none either, a node that one of them leaves out or drains is left alone.
func Meet(a, b *Rules) *Rules {
	m := &Rules{Needs: max(a.Needs, b.Needs), Shards: min(a.Shards, b.Shards), Mean: min(a.Mean, b.Mean),
		Plans: map[string]Plan{}, Products: map[string]Product{}, Nodes: map[string]Node{},
		Cold: Cold{From: min(a.Cold.From, b.Cold.From), Time: max(a.Cold.Time, b.Cold.Time),
			Multiple: min(a.Cold.Multiple, b.Cold.Multiple), Window: max(a.Cold.Window, b.Cold.Window), Units: min(a.Cold.Units, b.Cold.Units)},
		Further: Further{Window: max(a.Further.Window, b.Further.Window), Free: min(a.Further.Free, b.Further.Free),
			Share: min(a.Further.Share, b.Further.Share)},
		Sending: Sending{Most: min(a.Sending.Most, b.Sending.Most), SecondCopies: a.Sending.SecondCopies && b.Sending.SecondCopies,
			CallingOff: a.Sending.CallingOff && b.Sending.CallingOff, Advice: a.Sending.Advice && b.Sending.Advice,
			AdviceMost: min(a.Sending.AdviceMost, b.Sending.AdviceMost), KeyRest: max(a.Sending.KeyRest, b.Sending.KeyRest)},
		Floor: Floor{For: min(a.Floor.For, b.Floor.For), Limits: min(a.Floor.Limits, b.Floor.Limits), Writes: a.Floor.Writes && b.Floor.Writes}}
	if a.Cold.Window != b.Cold.Window { // what two windows allow together is under either with nothing beyond the first units
		m.Cold.Multiple, m.Cold.Units = 0, 0
	}
	if a.Further.Window != b.Further.Window {
		m.Further.Free, m.Further.Share = 0, 0
	}
	for name, p := range a.Plans {
		q, both := b.Plans[name]
		if !both {
			continue
		}
		least := min(p.limit(), q.limit())
		if math.IsInf(least, 1) {
			least = 0
		}
		m.Plans[name] = Plan{Weight: min(p.Weight, q.Weight), Rate: min(p.Rate, q.Rate), Reserve: min(p.Reserve, q.Reserve), Limit: least,
			Burst: min(p.Burst, q.Burst), Slack: min(p.Slack, q.Slack)}
	}
	for name, p := range a.Products {
		if q, both := b.Products[name]; both {
			m.Products[name] = Product{Kind: meetKind(p.Kind, q.Kind), Goal: min(p.Goal, q.Goal), Patience: min(p.Patience, q.Patience),
				Window: min(p.Window, q.Window), InTurn: p.InTurn || q.InTurn}
		}
	}
	for addr, n := range a.Nodes {
		if o, both := b.Nodes[addr]; both && a.Shards == b.Shards { // where data lies goes by the number of shards
			m.Nodes[addr] = meetNodes(n, o)
		}
	}
	return m
}

// meetNodes is a node as both have it.
func meetNodes(a, b Node) Node {
	m := Node{Name: min(a.Name, b.Name), Zone: min(a.Zone, b.Zone), Shard: min(a.Shard, b.Shard), Born: max(a.Born, b.Born),
		Standing: max(order(a.Standing), order(b.Standing)), Weight: min(a.Weight, b.Weight)}
	if a.Shard != b.Shard {
		m.Standing = listing.Gone // it holds the data of one shard only, and which is what they differ on
	}
	return m
}

// order has unwell and gone be the same, as both are left alone at once.
func order(s listing.Standing) listing.Standing {
	if s == listing.Unwell {
		return listing.Gone
	}
	return s
}

// Beyond tells what a allows that b does not, in words; nothing: a is within b, so whoever acts on a does not contradict b.
// What may differ without harm (weights, rates, reserves, goals, patience, names) is left out.
func Beyond(a, b *Rules) (list []string) {
	note := func(is bool, format string, args ...any) {
		if is {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	note(a.Needs < b.Needs, "form: %d knows less than %d", a.Needs, b.Needs)
	for _, name := range sorted(a.Plans) {
		p := a.Plans[name]
		q, there := b.Plans[name]
		note(!there, "plan %s: not in the other", name)
		if there {
			note(p.limit() > q.limit(), "plan %s: limit %s over %s", name, amount(p.limit()), amount(q.limit()))
			note(p.Burst > q.Burst, "plan %s: burst %v over %v", name, p.Burst, q.Burst)
			note(p.Slack > q.Slack, "plan %s: slack %v over %v", name, p.Slack, q.Slack)
		}
	}
	for _, name := range sorted(a.Products) {
		p := a.Products[name]
		q, there := b.Products[name]
		note(!there, "product %s: not in the other", name)
		if there {
			note(meetKind(p.Kind, q.Kind) != p.Kind, "product %s: %s, where it is %s", name, p.Kind, q.Kind)
			note(p.Window > q.Window, "product %s: repeats for %d, known for %d", name, p.Window, q.Window)
			note(q.InTurn && !p.InTurn, "product %s: out of turn", name)
		}
	}
	c, d := a.Cold, b.Cold
	note(c.From > d.From || c.Time < d.Time || c.Multiple > d.Multiple || c.Units > d.Units || c.Window != d.Window && (c.Multiple > 0 || c.Units > 0),
		"cold nodes: %+v over %+v", c, d)
	f, g := a.Further, b.Further
	note(f.Free > g.Free || f.Share > g.Share || f.Window != g.Window && (f.Free > 0 || f.Share > 0), "further executions: %+v over %+v", f, g)
	s, t := a.Sending, b.Sending
	note(s.Most > t.Most, "executions of a job: %d over %d", s.Most, t.Most)
	note(s.SecondCopies && !t.SecondCopies, "second copies")
	note(s.CallingOff && !t.CallingOff, "calling off")
	note(s.Advice && !t.Advice || s.AdviceMost > t.AdviceMost, "advice in dismissals")
	note(s.KeyRest < t.KeyRest, "rest of a key: %d under %d", s.KeyRest, t.KeyRest)
	for _, addr := range sorted(a.Nodes) {
		n := a.Nodes[addr]
		if n.Standing != listing.Ready {
			continue
		}
		note(a.Shards != b.Shards, "node %s: one of %d shards, where there are %d", addr, a.Shards, b.Shards)
		o, there := b.Nodes[addr]
		switch {
		case !there:
			note(true, "node %s: not in the other", addr)
		case n.Shard != o.Shard:
			note(true, "node %s: shard %d, where it is %d", addr, n.Shard, o.Shard)
		case o.Standing != listing.Ready:
			note(true, "node %s: served, where it drains or is gone", addr)
		default:
			note(n.Born < o.Born, "node %s: started anew since", addr)
		}
	}
	return list
}

func amount(n float64) string {
	if math.IsInf(n, 1) {
		return "none"
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// Contradict tells what two gateways that act on the one and on the other may do against each other: what either has beyond
// the other.
func Contradict(a, b *Rules) []string {
	list := append(Beyond(a, b), Beyond(b, a)...)
	slices.Sort(list)
	return slices.Compact(list)
}

// Lapsed is the floor of a version: what a gateway may act on whose lease has run out. Nothing that spends a common budget
// goes on, and cold nodes are left alone, as what the others send them is unknown. A floor without a time is nothing.
func (r *Rules) Lapsed() *Rules {
	if r.Floor.For == 0 {
		return r.Nothing()
	}
	f := Meet(r, r)
	f.Further.Free, f.Further.Share = 0, 0
	f.Cold.Multiple, f.Cold.Units = 0, 0
	f.Sending.Most, f.Sending.SecondCopies = 1, false
	for name, p := range f.Plans {
		p.Limit, p.Burst, p.Slack = p.Limit*r.Floor.Limits, p.Burst*r.Floor.Limits, p.Slack*r.Floor.Limits
		if r.Plans[name].Limit > 0 && p.Limit == 0 { // a limit of 0 would be none
			delete(f.Plans, name)
			continue
		}
		f.Plans[name] = p
	}
	for name, p := range f.Products {
		if !r.Floor.Writes && p.Kind != Anywhere {
			delete(f.Products, name)
			continue
		}
		p.InTurn = true
		f.Products[name] = p
	}
	return f
}

// Nothing is what a gateway may act on that knows nothing any more: no node is served.
func (r *Rules) Nothing() *Rules {
	f := Meet(r, r)
	clear(f.Plans)
	clear(f.Products)
	clear(f.Nodes)
	f.Further.Free, f.Further.Share, f.Cold.Multiple, f.Cold.Units = 0, 0, 0, 0
	f.Sending = Sending{Most: 1, KeyRest: math.MaxInt64}
	f.Cold.From, f.Cold.Time = 0, math.MaxInt64
	f.Needs = math.MaxInt32 // within any
	return f
}

// Diff tells what has changed from a to b, one line each.
func Diff(a, b *Rules) (list []string) {
	walk("", a.tree(), b.tree(), &list)
	return list
}

// tree is the rules as plain maps.
func (r *Rules) tree() (t map[string]any) {
	json.Unmarshal(r.Canonical(), &t)
	return t
}

func walk(at string, a, b any, list *[]string) {
	x, isMap := a.(map[string]any)
	y, also := b.(map[string]any)
	if !isMap || !also {
		p, q := text(a), text(b)
		if p != q {
			*list = append(*list, fmt.Sprintf("%s: %s -> %s", strings.TrimPrefix(at, "."), p, q))
		}
		return
	}
	names := append(slices.Collect(maps.Keys(x)), slices.Collect(maps.Keys(y))...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		walk(at+"."+name, x[name], y[name], list)
	}
}

func text(v any) string {
	if v == nil {
		return "none"
	}
	b, _ := json.Marshal(v)
	return string(b)
}

// Sum is the digest of rules as they are written.
func Sum(canonical []byte) string {
	sum := blake3.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}
