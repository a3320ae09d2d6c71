package decide

import (
	"fmt"
	"math"
	"slices"
)

// Time is a point on the gateway's clock, or a span of it, in whole nanoseconds.
type Time = int64

const (
	Microsecond Time = 1_000
	Millisecond Time = 1_000 * Microsecond
	Second      Time = 1_000 * Millisecond
)

// JobState is where a job stands. Only Gateway.move changes it.
type JobState uint8

const (
	Fresh      JobState = iota // just taken
	Held                       // waits for a node, for credit or for its key
	Queued                     // waits in its volume's queue at a node
	Running                    // has an execution out
	Streaming                  // its answer has begun to flow to the client
	Completed                  // answered
	Dismissed                  // given up; trying again is harmless
	WrittenOff                 // given up; nothing is promised
	Withdrawn                  // the client left
)

// Over tells whether the job has had its final answer or needs none.
func (s JobState) Over() bool { return s >= Completed }

// Outcome is how an execution or a probe ended. Out means that it has not.
type Outcome uint8

const (
	Out Outcome = iota
	Served
	Erred
	Full
	TimedOut
	Unconnected
	Reset
	CalledOff
	Moot
)

// NeverRan tells whether the outcome proves that the work was not begun.
func (o Outcome) NeverRan() bool { return o == Full || o == Unconnected || o == Moot }

// Kind says what a repeat of a product's job may do.
type Kind uint8

const (
	Replayable Kind = iota // may run again
	Referenced             // a group of nodes drops its repeats for a while
	SingleUse              // must never run twice
)

// Group is the set of nodes that knows a referenced job's repeats.
type Group uint8

const (
	AllNodes Group = iota
	SameZone
	SameShard
)

// Standing is what the list says of a node.
type Standing uint8

const (
	Ready Standing = iota
	Draining
	Gone
)

// Plan is a service level. Its rates are units a second for one volume, over all gateways and nodes.
type Plan struct {
	Name         string
	Weight       float64
	Rate         float64
	Reserve      float64
	Limit, Burst float64
	Leaving      float64 // share of its clients that leave before the goal, lately
	Leaves       float64 // and after what part of the goal time they do
	Hurried      bool    // the mode last logged
	Out          bool    // left out of the terms that count now
}

// Product is a kind of job.
type Product struct {
	Name     string
	Kind     Kind
	Group    Group
	Goal     Time    // from the client's first try
	Patience Time    // how long a client waits over all its tries
	Window   Time    // how long repeats of a referenced job are known
	InTurn   bool    // jobs of one key run one at a time
	Share    float64 // longest time to the hard stop yet seen, as a part of Patience
	Out      bool    // left out of the terms that count now
}

// Volume is what a customer reads and writes. Its dues count over all gateways and nodes.
type Volume struct {
	Plan        *Plan
	Hosts       float64 // gateways that its jobs come through
	Reserve     Store   // this gateway's part of what is due to it in full
	Part        float64 // this gateway's part of what is due to it
	Own, Others float64 // units served through this gateway and through others, fading
	ServedAt    Time    // when they were last counted
	Limit       Store   // this gateway's part of its limit
}

// Draw is what became of a job at a store that is too small for it.
type Draw uint8

const (
	Undrawn Draw = iota
	Passed
	Missed
)

// Store holds units: it fills at a rate up to a most, and may be overdrawn by who uses it.
type Store struct {
	Level, Rate, Most float64
	At                Time
}

// Fill brings the level up to now.
func (s *Store) Fill(now Time) float64 {
	if now > s.At {
		s.Level = min(s.Most, s.Level+s.Rate*float64(now-s.At)/float64(Second))
		s.At = now
	}
	return s.Level
}

// resize changes the rate and the most, and keeps what fits of the level.
func (s *Store) resize(now Time, rate, most float64) {
	s.Level = min(s.Fill(now), most)
	s.Rate, s.Most = rate, most
}

// take takes units that fit into the store.
func (s *Store) take(units float64) {
	if s.Most >= units {
		s.Level -= units
	}
}

// Job is one thing asked by a client. It gets exactly one final answer.
type Job struct {
	ID                    string
	Volume                *Volume
	Product               *Product
	Units                 float64
	Shard                 int // the shard that holds its data; below 0 for a new object
	Key                   int64
	Write                 bool
	Taken                 Time
	GoalBy                Time
	StopBy                Time
	State                 JobState
	Wait                  Time // how long the client is asked to wait, when dismissed
	Execs                 []*Execution
	Node                  *Node // where it is queued
	NotTill               Time  // rests until then between executions
	Credit                *Node // the node that lent it a credit for a new object
	Paid                  bool  // its units were taken from its volume's limit
	Line                  *Line // the jobs of its key, where the product keeps order
	Reserved, Spare, Cold Draw  // at its volume's reserve, at the node's fair rate, at a cold node's store
	Borne                 Draw  // at a cold node, by the share that it bears
	Answered              bool  // covered by what a cold node has answered, with no draw
	due                   Time
	place                 int // in the due heap, counted from 1
}

// out counts the executions without an outcome.
func (j *Job) out() (n int) {
	for _, e := range j.Execs {
		if e.Outcome == Out {
			n++
		}
	}
	return n
}

// Execution is one sending of a job to a node.
type Execution struct {
	Job       *Job
	Number    int
	Node      *Node
	Sent      Time
	Limit     Time // time-out; 0 for none before the client gives up
	Till      Time // it is not to be sent after this; 0: no such time
	Outcome   Outcome
	CalledOff bool
	Late      bool // out for over an aim, and noted
	Overdue   bool // out for several times what it should take, while later ones were answered
	Lost      bool // overdue, and not counted as out any more
}

// Line is the jobs of one key, in the order in which they were taken.
type Line struct {
	Jobs      []*Job
	RestUntil Time
}

// Flow is a volume at a node: its queue, its virtual time and its budget.
type Flow struct {
	Volume         *Volume
	Queue          []*Job
	Start          float64 // virtual start of its next job
	Budget         float64 // units left of its turn
	Gap            Time    // its average send gap
	Sent, Answered Time    // the last of each
	Out            int
	Due            Store // this gateway's part of the fair rate beyond the reserve
}

// drop takes a job out of the queue.
func (f *Flow) drop(j *Job) {
	if i := slices.Index(f.Queue, j); i >= 0 {
		f.Queue = slices.Delete(f.Queue, i, i+1)
	}
}

// Node is a storage node as this gateway sees it.
type Node struct {
	Addr     string
	Zone     string
	Shard    int
	Born     Time
	Standing Standing

	Flows     []*Flow
	Virtual   float64 // virtual time
	Turn      *Flow
	TurnSince Time

	Out       float64 // units out
	Execs     int     // executions out
	Credits   int
	Units     float64 // units answered, fading with busy time
	Busy      float64 // busy time that they took, in seconds, fading with itself
	BusyAt    Time
	Heard     Time    // last answer, or when the node last became busy
	Part      float64 // part of the aim whose answers are the bound
	Known     bool    // has answered since its start
	HeardOf   Time    // when the latest of what it answered was sent
	Latency   float64 // usual time of an execution; Size, Spread and Slope tell how it goes with units
	Size      float64
	Spread    float64
	Slope     float64
	Failing   float64 // share of executions that failed, lately
	Warm      Store   // this gateway's part of what the node bears while cold
	Fair      float64 // the rate beyond reserves, as a part of its start
	Base      float64 // time of a mean job at its best
	Judged    Time    // and when that was last seen
	Suspect   bool
	Strained  bool // the modes last logged
	Fails     bool
	TryAt     Time
	CreditAt  Time
	Sends     Tally   // what was sent to it while cold
	Answers   Tally   // and what it answered
	Lent      float64 // units that its dealer has lent this gateway
	LentTill  Time    // and until when what is lent, be it nothing, is all that goes there while it is cold
	touched   bool
	seen      int // the listing that named it last
	flowIndex map[*Volume]*Flow
}

// Spent is an amount of units at a time.
type Spent struct {
	At    Time
	Units float64
}

// Tally is amounts in order of time.
type Tally []Spent

// since drops what is not later than a time and sums up the rest.
func (t *Tally) since(at Time) (units float64) {
	for len(*t) > 0 && (*t)[0].At <= at {
		*t = (*t)[1:]
	}
	for _, s := range *t {
		units += s.Units
	}
	return units
}

// Decision is what is to be done now. Its lists are good until the next call of Decide.
type Decision struct {
	Ended    []*Job // their State is the answer
	CallOff  []*Execution
	Start    []*Execution
	Probe    []*Node
	Watch    bool // ask the list for its changes
	Log      []string
	NextWake Time // call again at this time at the latest; 0 for no need
}

// Gateway decides for one gateway. It knows the clock, what it is told, and its seed.
type Gateway struct {
	now      Time
	began    Time
	terms    Terms
	agreed   bool // the terms are not those of the start
	chance   chance
	plans    map[string]*Plan
	products map[string]*Product
	volumes  map[int64]*Volume
	jobs     map[string]*Job
	lines    map[int64]*Line
	byAddr   map[string]*Node
	nodes    []*Node
	held     []*Job
	due      dueJobs
	takes    []Time // when jobs were taken, within the budget's window
	further  []Time // when further executions were sent, within it
	aim      Time   // the tightest goal time
	mean     float64
	fairRate float64
	whole    bool // the list being told is whole
	stale    bool // and may be old
	epoch    int
	vain     float64 // share of overdue executions that had no answer, lately
	loses    bool    // the mode last logged
	heardAt  Time    // the list's last word, or the start
	silent   bool    // the list has fallen silent since, the mode last logged
	listAt   Time    // when to ask the list again; 0 for no need
	listWait Time
	roundAt  Time
	next     *Decision
	last     *Decision
}

// Probed tells how a probe ended.
func (g *Gateway) Probed(now Time, addr string, o Outcome, took Time) { g.now = now }

// barred tells whether a job's plan or product has been left out.
func (j *Job) barred() bool { return j.Product.Out || j.Volume.Plan.Out }

// Want is work that waits at a node that has started lately, for who deals out what it bears.
type Want struct {
	Addr  string
	Born  Time
	Units float64
	Least float64 // units of the smallest job
	Worth float64 // of the plan with the highest weight
}

// Wants lists what waits at cold nodes that may be sent to, and the rate that is known of the others, in units a second.
func (g *Gateway) Wants(now Time) (list []Want, rate float64) {
	g.now = now
	for _, n := range g.nodes {
		w := Want{Addr: n.Addr, Born: n.Born, Least: math.Inf(1)}
		if n.Standing != Ready || !g.cold(n) {
			continue
		}
		for _, f := range n.Flows {
			for _, j := range f.Queue {
				w.Units, w.Least, w.Worth = w.Units+j.Units, min(w.Least, j.Units), max(w.Worth, f.Volume.Plan.Weight)
			}
		}
		list = append(list, w)
	}
	rate = g.meanRate() // of busy time that others share; a node does one job at a time at least, in its best time
	if base := g.over(func(n *Node) float64 { return n.Base }); base > 0 {
		rate = max(rate, g.mean/base*float64(Second))
	}
	return list, rate
}

// mode logs a change of mode, with what caused it.
func (g *Gateway) mode(was *bool, is bool, format string, args ...any) {
	if *was != is {
		*was = is
		g.log(fmt.Sprintf(format, args...), is)
	}
}

func (g *Gateway) log(format string, args ...any) {
	g.next.Log = append(g.next.Log, fmt.Sprintf(format, args...))
}
