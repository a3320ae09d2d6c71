// Package capture writes down all that a gateway's module was told and what it decided, and reads it back. It decides
// nothing. docs/capture.md describes the format.
package capture

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Kind is what a record tells.
type Kind uint8

// The kinds of records, by their numbers in the file.
const (
	Header     Kind = iota + 1 // what is captured: always the first record
	Start                      // the module was started
	Listed                     // a list was told
	Take                       // a job was handed in
	Ended                      // an execution has ended
	Left                       // a client has gone
	Decided                    // the module was asked, and decided
	Gap                        // records were dropped here
	End                        // the capture was closed; without it, it was cut off
	State                      // the module's full state: a replay may begin here
	ListedPart                 // a list was told that leaves out what has not changed
	ListFailed                 // a list could not be had
	Begun                      // an execution's answer has begun to flow
	ListSilent                 // a call for the list ended without a word
	Agreed                     // the module acts on other terms from here on
	Lent                       // units were lent to it for a cold node
)

func (k Kind) String() string {
	names := [...]string{"", "header", "start", "list", "take", "ended", "left", "decided", "gap", "end", "state", "part of a list", "no list", "begun", "silent list", "terms", "loan"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", k)
}

// Record is one thing that was told or decided. Which fields count hangs on its kind.
type Record struct {
	Kind Kind
	At   scheduler.Time

	Name   string // Header: of the gateway; End: why
	Build  string // Header
	Digest uint64 // Header: of the module's text

	Seed  uint64 // Start
	Terms scheduler.Settings

	Stale bool // Listed
	Nodes []endpoint.Node

	Job     string // Take, Ended, Left
	Volume  int64  // Take
	Plan    string
	Product string
	Hosts   float64
	Keyed   bool
	Units   float64
	Shard   int
	Key     int64
	Write   bool
	StopBy  scheduler.Time

	Number   int // Ended
	Outcome  scheduler.Outcome
	Took     scheduler.Time
	Final    bool
	Others   float64
	Inflight int            // the node's load report, for people: the module is not told
	Latency  scheduler.Time // likewise

	Decision Decision // Decided

	Dropped int // Gap: records

	State string // State: a snapshot of the module

	Node string         // Lent; with Units
	Born scheduler.Time // the start of it that is meant
	Till scheduler.Time
}

// Decision is what the module decided, by names.
type Decision struct {
	Ended    []Answer
	CallOff  []Execution
	Sent     []Execution
	Log      []string
	Watch    bool
	NextWake scheduler.Time
}

// Answer is a job that ended.
type Answer struct {
	Job   string
	State scheduler.RequestState
	Wait  scheduler.Time
}

// Execution is one that is sent or called off. Node and Limit are of a sent one.
type Execution struct {
	Job    string
	Number int
	Node   string
	Limit  scheduler.Time
}

// DecisionOf names what the module decided.
func DecisionOf(d *scheduler.Decision) (out Decision) {
	out.name(d)
	out.Log = slices.Clone(out.Log)
	return out
}

// name fills in what the module decided. The log lines are the module's own until its next decision.
func (d *Decision) name(from *scheduler.Decision) {
	d.Ended, d.CallOff, d.Sent = d.Ended[:0], d.CallOff[:0], d.Sent[:0]
	for _, j := range from.Finished {
		d.Ended = append(d.Ended, Answer{j.ID, j.State, j.RetryAfter})
	}
	for _, e := range from.Cancel {
		d.CallOff = append(d.CallOff, Execution{Job: e.Request.ID, Number: e.Number})
	}
	for _, e := range from.Dispatch {
		d.Sent = append(d.Sent, Execution{e.Request.ID, e.Number, e.Node.Addr, e.Timeout})
	}
	d.Log, d.Watch, d.NextWake = from.Log, from.WatchEndpoints, from.NextWake
}

// Equal tells whether two decisions are the same.
func (d Decision) Equal(o Decision) bool {
	return slices.Equal(d.Ended, o.Ended) && slices.Equal(d.CallOff, o.CallOff) && slices.Equal(d.Sent, o.Sent) &&
		slices.Equal(d.Log, o.Log) && d.Watch == o.Watch && d.NextWake == o.NextWake
}

// ErrDamaged tells that bytes are not as they were written.
var ErrDamaged = errors.New("the capture is damaged")

// coder writes or reads: it walks over a record's fields in one order, so that what is written and what is read cannot part.
type coder struct {
	out     []byte
	in      []byte
	reading bool
	bad     bool
}

func (c *coder) number(v *uint64) {
	if !c.reading {
		c.out = binary.AppendUvarint(c.out, *v)
		return
	}
	n, used := binary.Uvarint(c.in)
	if used <= 0 {
		c.bad, n, used = true, 0, len(c.in)
	}
	*v, c.in = n, c.in[used:]
}

func (c *coder) signed(v *int64) {
	n := uint64(*v)<<1 ^ uint64(*v>>63)
	c.number(&n)
	*v = int64(n>>1) ^ -int64(n&1)
}

func (c *coder) count(v *int) {
	n := int64(*v)
	c.signed(&n)
	*v = int(n)
}

func (c *coder) flag(v *bool) {
	n := uint64(0)
	if *v {
		n = 1
	}
	c.number(&n)
	*v = n == 1
}

func (c *coder) float(v *float64) {
	n := math.Float64bits(*v)
	c.number(&n)
	*v = math.Float64frombits(n)
}

func (c *coder) text(v *string) {
	n := uint64(len(*v))
	c.number(&n)
	if !c.reading {
		c.out = append(c.out, *v...)
		return
	}
	if n > uint64(len(c.in)) {
		c.bad, n = true, uint64(len(c.in))
	}
	*v, c.in = string(c.in[:n]), c.in[n:]
}

// list walks over a list's items.
func list[T any](c *coder, v *[]T, item func(*T)) {
	n := uint64(len(*v))
	c.number(&n)
	if c.reading {
		if n > uint64(len(c.in)) { // an item has a byte at least
			c.bad, n = true, 0
		}
		if *v = nil; n > 0 {
			*v = make([]T, n)
		}
	}
	for i := range *v {
		item(&(*v)[i])
	}
}

func (c *coder) record(r *Record) {
	c.signed(&r.At)
	switch r.Kind {
	case Header:
		c.text(&r.Name)
		c.text(&r.Build)
		c.number(&r.Digest)
	case Start:
		c.number(&r.Seed)
		c.terms(&r.Terms)
	case Lent:
		c.text(&r.Node)
		c.signed(&r.Born)
		c.float(&r.Units)
		c.signed(&r.Till)
	case Agreed:
		c.terms(&r.Terms)
	case Listed, ListedPart:
		c.flag(&r.Stale)
		list(c, &r.Nodes, func(n *endpoint.Node) {
			c.text(&n.Addr)
			c.text(&n.Zone)
			c.count(&n.Shard)
			c.float(&n.Weight)
			c.signed(&n.StartedAt)
			s := int(n.Health)
			c.count(&s)
			n.Health = endpoint.Health(s)
		})
	case Take:
		c.text(&r.Job)
		c.signed(&r.Volume)
		c.text(&r.Plan)
		c.text(&r.Product)
		c.float(&r.Hosts)
		c.flag(&r.Keyed)
		c.float(&r.Units)
		c.count(&r.Shard)
		c.signed(&r.Key)
		c.flag(&r.Write)
		c.signed(&r.StopBy)
	case Ended:
		c.text(&r.Job)
		c.count(&r.Number)
		o := int(r.Outcome)
		c.count(&o)
		r.Outcome = scheduler.Outcome(o)
		c.signed(&r.Took)
		c.flag(&r.Final)
		c.float(&r.Others)
		c.count(&r.Inflight)
		c.signed(&r.Latency)
	case Left:
		c.text(&r.Job)
	case Decided:
		c.decision(&r.Decision)
	case Gap:
		c.count(&r.Dropped)
	case End:
		c.text(&r.Name)
	case State:
		c.text(&r.State)
	case ListFailed, ListSilent:
	case Begun:
		c.text(&r.Job)
		c.count(&r.Number)
	default:
		c.bad = true
	}
}

func (c *coder) decision(d *Decision) {
	list(c, &d.Ended, func(a *Answer) {
		c.text(&a.Job)
		s := int(a.State)
		c.count(&s)
		a.State = scheduler.RequestState(s)
		c.signed(&a.Wait)
	})
	for _, l := range []*[]Execution{&d.CallOff, &d.Sent} {
		list(c, l, func(e *Execution) {
			c.text(&e.Job)
			c.count(&e.Number)
			c.text(&e.Node)
			c.signed(&e.Limit)
		})
	}
	list(c, &d.Log, func(s *string) { c.text(s) })
	c.flag(&d.Watch)
	c.signed(&d.NextWake)
}

// terms are written in order of their names, so that equal captures are equal files.
func (c *coder) terms(t *scheduler.Settings) {
	var names []string
	for name := range *t {
		names = append(names, name)
	}
	slices.Sort(names)
	values := scheduler.Settings{}
	list(c, &names, func(name *string) {
		c.text(name)
		v := (*t)[*name]
		c.text(&v)
		values[*name] = v
	})
	if c.reading {
		*t = values
	}
}

// A record stands in a capture as its length, a checksum of the rest, its kind and its fields.
const frameHead = 8

// appendRecord adds a record.
func appendRecord(out []byte, r *Record) []byte {
	at := len(out)
	c := coder{out: append(out, 0, 0, 0, 0, 0, 0, 0, 0, byte(r.Kind))}
	c.record(r) // it only reads
	body := c.out[at+frameHead:]
	binary.BigEndian.PutUint32(c.out[at:], uint32(len(body)))
	binary.BigEndian.PutUint32(c.out[at+4:], uint32(xxhash.Sum64(body)))
	return c.out
}

// nextRecord reads a record and returns the bytes after it.
func nextRecord(in []byte) (*Record, []byte, error) {
	if len(in) < frameHead+1 {
		return nil, in, fmt.Errorf("%w: a record ends after %d bytes", ErrDamaged, len(in))
	}
	n := int(binary.BigEndian.Uint32(in))
	if n < 1 || n > len(in)-frameHead {
		return nil, in, fmt.Errorf("%w: a record of %d bytes, %d are there", ErrDamaged, n, len(in)-frameHead)
	}
	body := in[frameHead : frameHead+n]
	if uint32(xxhash.Sum64(body)) != binary.BigEndian.Uint32(in[4:]) {
		return nil, in, fmt.Errorf("%w: a record's checksum does not fit", ErrDamaged)
	}
	r := &Record{Kind: Kind(body[0])}
	c := coder{in: body[1:], reading: true}
	if c.record(r); c.bad || len(c.in) > 0 {
		return nil, in, fmt.Errorf("%w: a record of kind %d does not hold what it should", ErrDamaged, body[0])
	}
	return r, in[frameHead+n:], nil
}
