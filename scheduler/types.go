package scheduler

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

// RequestState is where a job stands. Only Gateway.move changes it.
type RequestState uint8

const (
	RequestReceived        RequestState = iota // just taken
	RequestUnplaced                            // waits for a node, for credit or for its key
	RequestQueued                              // waits in its volume's queue at a node
	RequestInFlight                            // has an execution out
	RequestStreaming                           // its answer has begun to flow to the client
	RequestSucceeded                           // answered
	RequestRejected                            // given up; trying again is harmless
	RequestFailed                              // given up; nothing is promised
	RequestClientCancelled                     // the client left
)

// Terminal tells whether the job has had its final answer or needs none.
func (s RequestState) Terminal() bool { return s >= RequestSucceeded }

// Outcome is how an execution or a probe ended. Out means that it has not.
type Outcome uint8

const (
	OutcomePending Outcome = iota
	OutcomeServed
	OutcomeError
	OutcomeOverloaded
	OutcomeTimeout
	OutcomeConnectFailed
	OutcomeReset
	OutcomeCancelled
	OutcomeMisdirected
)

// NeverExecuted tells whether the outcome proves that the work was not begun.
func (o Outcome) NeverExecuted() bool {
	return o == OutcomeOverloaded || o == OutcomeConnectFailed || o == OutcomeMisdirected
}

// Idempotency says what a repeat of a product's job may do.
type Idempotency uint8

const (
	Idempotent       Idempotency = iota // may run again
	IdempotencyKeyed                    // a group of nodes drops its repeats for a while
	NonIdempotent                       // must never run twice
)

// DedupScope is the set of nodes that knows a referenced job's repeats.
type DedupScope uint8

const (
	DedupAllNodes DedupScope = iota
	DedupSameZone
	DedupSameShard
)

// EndpointState is what the list says of a node.
type EndpointState uint8

const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// ServiceLevel is a service level. Its rates are units a second for one volume, over all gateways and nodes.
type ServiceLevel struct {
	Name              string
	Weight            float64
	NominalRate       float64
	Reserve           float64
	RateLimit, Burst  float64
	EarlyLeaveShare   float64 // share of its clients that leave before the goal, lately
	EarlyLeaveAfter   float64 // and after what part of the goal time they do
	ClientsLeaveEarly bool    // the mode last logged
	Removed           bool    // left out of the terms that count now
}

// RequestClass is a kind of job.
type RequestClass struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope
	LatencyObjective Time    // from the client's first try
	ClientTimeout    Time    // how long a client waits over all its tries
	DedupWindow      Time    // how long repeats of a referenced job are known
	Ordered          bool    // jobs of one key run one at a time
	LongestTimeLeft  float64 // longest time to the hard stop yet seen, as a part of Patience
	Removed          bool    // left out of the terms that count now
}

// Volume is what a customer reads and writes. Its dues count over all gateways and nodes.
type Volume struct {
	ServiceLevel                *ServiceLevel
	GatewayCount                float64     // gateways that its jobs come through
	Reserve                     TokenBucket // this gateway's part of what is due to it in full
	Share                       float64     // this gateway's part of what is due to it
	ServedHere, ServedElsewhere float64     // units served through this gateway and through others, fading
	ServedUpdatedAt             Time        // when they were last counted
	RateLimit                   TokenBucket // this gateway's part of its limit
}

// AdmissionDraw is what became of a job at a store that is too small for it.
type AdmissionDraw uint8

const (
	NotDrawn AdmissionDraw = iota
	DrawAdmitted
	DrawDenied
)

// TokenBucket holds units: it fills at a rate up to a most, and may be overdrawn by who uses it.
type TokenBucket struct {
	Level, Rate, Capacity float64
	UpdatedAt             Time
}

// Refill brings the level up to now.
func (s *TokenBucket) Refill(now Time) float64 {
	if now > s.UpdatedAt {
		s.Level = min(s.Capacity, s.Level+s.Rate*float64(now-s.UpdatedAt)/float64(Second))
		s.UpdatedAt = now
	}
	return s.Level
}

// resize changes the rate and the most, and keeps what fits of the level.
func (s *TokenBucket) resize(now Time, rate, most float64) {
	s.Level = min(s.Refill(now), most)
	s.Rate, s.Capacity = rate, most
}

// take takes units that fit into the store.
func (s *TokenBucket) take(units float64) {
	if s.Capacity >= units {
		s.Level -= units
	}
}

// Request is one thing asked by a client. It gets exactly one final answer.
type Request struct {
	ID                                     string
	Volume                                 *Volume
	Class                                  *RequestClass
	Units                                  float64
	Shard                                  int // the shard that holds its data; below 0 for a new object
	Key                                    int64
	Write                                  bool
	ReceivedAt                             Time
	ObjectiveDeadline                      Time
	Deadline                               Time
	State                                  RequestState
	RetryAfter                             Time // how long the client is asked to wait, when dismissed
	Attempts                               []*Attempt
	Node                                   *Node         // where it is queued
	NotBefore                              Time          // rests until then between executions
	CreditNode                             *Node         // the node that lent it a credit for a new object
	LimitCharged                           bool          // its units were taken from its volume's limit
	KeyQueue                               *KeyQueue     // the jobs of its key, where the product keeps order
	ReserveDraw, ExcessDraw, SlowStartDraw AdmissionDraw // at its volume's reserve, at the node's fair rate, at a cold node's store
	SlowStartShareDraw                     AdmissionDraw // at a cold node, by the share that it bears
	CoveredByAnswers                       bool          // covered by what a cold node has answered, with no draw
	due                                    Time
	place                                  int // in the due heap, counted from 1
}

// out counts the executions without an outcome.
func (j *Request) out() (n int) {
	for _, e := range j.Attempts {
		if e.Outcome == OutcomePending {
			n++
		}
	}
	return n
}

// Attempt is one sending of a job to a node.
type Attempt struct {
	Request        *Request
	Number         int
	Node           *Node
	SentAt         Time
	Timeout        Time // time-out; 0 for none before the client gives up
	SendBefore     Time // it is not to be sent after this; 0: no such time
	Outcome        Outcome
	Cancelled      bool
	SilenceCounted bool // out for over an aim, and noted
	Overdue        bool // out for several times what it should take, while later ones were answered
	PresumedLost   bool // overdue, and not counted as out any more
}

// KeyQueue is the jobs of one key, in the order in which they were taken.
type KeyQueue struct {
	Requests     []*Request
	BlockedUntil Time
}

// Flow is a volume at a node: its queue, its virtual time and its budget.
type Flow struct {
	Volume                     *Volume
	Queue                      []*Request
	VirtualStart               float64 // virtual start of its next job
	Budget                     float64 // units left of its turn
	AverageSendGap             Time    // its average send gap
	LastSentAt, LastAnsweredAt Time    // the last of each
	InFlight                   int
	Excess                     TokenBucket // this gateway's part of the fair rate beyond the reserve
}

// drop takes a job out of the queue.
func (f *Flow) drop(j *Request) {
	if i := slices.Index(f.Queue, j); i >= 0 {
		f.Queue = slices.Delete(f.Queue, i, i+1)
	}
}

// Node is a storage node as this gateway sees it.
type Node struct {
	Addr      string
	Zone      string
	Shard     int
	StartedAt Time
	State     EndpointState

	Flows          []*Flow
	VirtualTime    float64 // virtual time
	InService      *Flow
	InServiceSince Time

	UnitsInFlight          float64 // units out
	AttemptsInFlight       int     // executions out
	PlacementCredits       int
	AnsweredUnits          float64 // units answered, fading with busy time
	BusySeconds            float64 // busy time that they took, in seconds, fading with itself
	BusyUpdatedAt          Time
	LastAnswerAt           Time    // last answer, or when the node last became busy
	InFlightShare          float64 // part of the aim whose answers are the bound
	Measured               bool    // has answered since its start
	LatestAnsweredSend     Time    // when the latest of what it answered was sent
	MeanLatency            float64 // usual time of an execution; Size, Spread and Slope tell how it goes with units
	MeanUnits              float64
	UnitsVariance          float64
	UnitsLatencyCovariance float64
	FailureRate            float64     // share of executions that failed, lately
	SlowStart              TokenBucket // this gateway's part of what the node bears while cold
	FairRate               float64     // the rate beyond reserves, as a part of its start
	BaseLatency            float64     // time of a mean job at its best
	LastOutcomeAt          Time        // and when that was last seen
	Suspected              bool
	FairRateReduced        bool // the modes last logged
	FailureRateHigh        bool
	EjectedUntil           Time
	CreditReturnedAt       Time
	SlowStartSent          UnitWindow // what was sent to it while cold
	SlowStartAnswered      UnitWindow // and what it answered
	AllocatedUnits         float64    // units that its dealer has lent this gateway
	AllocationExpiresAt    Time       // and until when what is lent, be it nothing, is all that goes there while it is cold
	touched                bool
	seen                   int // the listing that named it last
	flowIndex              map[*Volume]*Flow
}

// UnitSample is an amount of units at a time.
type UnitSample struct {
	At    Time
	Units float64
}

// UnitWindow is amounts in order of time.
type UnitWindow []UnitSample

// since drops what is not later than a time and sums up the rest.
func (t *UnitWindow) since(at Time) (units float64) {
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
	Finished       []*Request // their State is the answer
	Cancel         []*Attempt
	Dispatch       []*Attempt
	HealthChecks   []*Node
	WatchEndpoints bool // ask the list for its changes
	Log            []string
	NextWake       Time // call again at this time at the latest; 0 for no need
}

// Scheduler decides for one gateway. It knows the clock, what it is told, and its seed.
type Scheduler struct {
	now      Time
	began    Time
	terms    Settings
	agreed   bool // the terms are not those of the start
	chance   chance
	plans    map[string]*ServiceLevel
	products map[string]*RequestClass
	volumes  map[int64]*Volume
	jobs     map[string]*Request
	lines    map[int64]*KeyQueue
	byAddr   map[string]*Node
	nodes    []*Node
	held     []*Request
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

// HealthChecked tells how a probe ended.
func (g *Scheduler) HealthChecked(now Time, addr string, o Outcome, took Time) { g.now = now }

// barred tells whether a job's plan or product has been left out.
func (j *Request) barred() bool { return j.Class.Removed || j.Volume.ServiceLevel.Removed }

// SlowStartDemand is work that waits at a node that has started lately, for who deals out what it bears.
type SlowStartDemand struct {
	Addr            string
	StartedAt       Time
	Units           float64
	SmallestRequest float64 // units of the smallest job
	PriorityWeight  float64 // of the plan with the highest weight
}

// SlowStartDemands lists what waits at cold nodes that may be sent to, and the rate that is known of the others, in units a second.
func (g *Scheduler) SlowStartDemands(now Time) (list []SlowStartDemand, rate float64) {
	g.now = now
	for _, n := range g.nodes {
		w := SlowStartDemand{Addr: n.Addr, StartedAt: n.StartedAt, SmallestRequest: math.Inf(1)}
		if n.State != EndpointReady || !g.cold(n) {
			continue
		}
		for _, f := range n.Flows {
			for _, j := range f.Queue {
				w.Units, w.SmallestRequest, w.PriorityWeight = w.Units+j.Units, min(w.SmallestRequest, j.Units), max(w.PriorityWeight, f.Volume.ServiceLevel.Weight)
			}
		}
		list = append(list, w)
	}
	rate = g.meanRate() // of busy time that others share; a node does one job at a time at least, in its best time
	if base := g.over(func(n *Node) float64 { return n.BaseLatency }); base > 0 {
		rate = max(rate, g.mean/base*float64(Second))
	}
	return list, rate
}

// mode logs a change of mode, with what caused it.
func (g *Scheduler) mode(was *bool, is bool, format string, args ...any) {
	if *was != is {
		*was = is
		g.log(fmt.Sprintf(format, args...), is)
	}
}

func (g *Scheduler) log(format string, args ...any) {
	g.next.Log = append(g.next.Log, fmt.Sprintf(format, args...))
}
