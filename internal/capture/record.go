// Package capture writes down all that a gateway's scheduler is told and what it decides, and reads it back. The event
// loop writes by a Recorder, tools read by a Reader, and Redact copies a capture without its names. A recorder owns its
// file and the goroutines that write it; it decides nothing, and its calls never wait for the disk.
// docs/capture.md describes the format.
package capture

import (
	"fmt"
	"slices"

	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Kind is what a record is of, by its number in the file.
type Kind uint8

// The kinds of records. Their numbers and names are stored and shown; they stay.
const (
	KindHeader             Kind = iota + 1 // what is captured: always the first record
	KindStart                              // the scheduler was started
	KindEndpointList                       // a complete endpoint list
	KindSubmitted                          // a request was submitted
	KindAttemptEnded                       // an attempt has ended
	KindClientCancelled                    // a client has cancelled
	KindDecided                            // the scheduler was asked, and decided
	KindGap                                // records were dropped here
	KindEnd                                // the capture was closed; without it, it was cut off
	KindSnapshot                           // a snapshot of the scheduler: a replay may begin here
	KindEndpointUpdate                     // an endpoint list that leaves out what has not changed
	KindEndpointListFailed                 // an endpoint list could not be had
	KindStreamStarted                      // an attempt's response has started
	KindEndpointListSilent                 // a call for the endpoint list ended without an answer
	KindSettingsChanged                    // the scheduler acts on other settings from here on
	KindAllocated                          // slow-start budget was allocated for a node
)

var kindNames = [...]string{"", "header", "start", "list", "take", "ended", "left", "decided", "gap", "end", "state",
	"part of a list", "no list", "begun", "silent list", "terms", "loan"}

// String is the name of a kind, as tools show it.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", k)
}

// Record is one call of the scheduler or one decision. Which fields count depends on its kind. Tools show records as
// JSON by the names of the fields, which therefore stay.
type Record struct {
	Kind Kind
	At   scheduler.Time

	Name   string // Header: the gateway; End: the reason
	Build  string // Header: of the gateway
	Digest uint64 // Header: of the scheduler's source text

	Seed  uint64             // Start
	Terms scheduler.Settings // Start, Agreed

	Stale bool            // Listed, ListedPart
	Nodes []endpoint.Node // Listed, ListedPart

	Job     string  // Take, Ended, Left, Begun: the request
	Volume  int64   // Take
	Plan    string  // Take: the service level
	Product string  // Take: the request class
	Hosts   float64 // Take: gateways that serve the volume
	Keyed   bool    // Take
	Units   float64 // Take, Lent
	Shard   int     // Take
	Key     int64   // Take
	Write   bool    // Take
	StopBy  scheduler.Time

	Number   int               // Ended, Begun: the attempt
	Outcome  scheduler.Outcome // Ended
	Took     scheduler.Time    // Ended
	Final    bool              // Ended: the request has its answer
	Others   float64           // Ended: served units of other gateways
	Inflight int               // Ended: the node's load report, for people: the scheduler is not told
	Latency  scheduler.Time    // Ended: likewise

	Decision Decision // Decided

	Dropped int // Gap: records

	State string // State: a snapshot of the scheduler

	Node string         // Lent
	Born scheduler.Time // Lent: the start of the node that is meant
	Till scheduler.Time // Lent: when the allocation expires
}

// Decision is what the scheduler decided, with requests and nodes by their names.
type Decision struct {
	Ended    []FinishedRequest
	CallOff  []Attempt
	Sent     []Attempt
	Log      []string
	Watch    bool
	NextWake scheduler.Time
}

// FinishedRequest is a request that the scheduler has ended, with its final state.
type FinishedRequest struct {
	Job   string
	State scheduler.RequestState
	Wait  scheduler.Time // before a retry
}

// Attempt is an attempt that is dispatched or cancelled. Node and Limit are set only for a dispatched one.
type Attempt struct {
	Job    string
	Number int
	Node   string
	Limit  scheduler.Time
}

// DecisionOf names what the scheduler decided. It keeps nothing of the scheduler's.
func DecisionOf(decision *scheduler.Decision) (named Decision) {
	named.fill(decision)
	named.Log = slices.Clone(named.Log)
	return named
}

// fill names what the scheduler decided, in the slices that d has. The log lines are the scheduler's own, until its
// next decision.
func (d *Decision) fill(decision *scheduler.Decision) {
	d.Ended = d.Ended[:0]
	for _, request := range decision.Finished {
		d.Ended = append(d.Ended, FinishedRequest{request.ID, request.State, request.RetryAfter})
	}
	d.CallOff = d.CallOff[:0]
	for _, attempt := range decision.Cancel {
		d.CallOff = append(d.CallOff, Attempt{Job: attempt.Request.ID, Number: attempt.Number})
	}
	d.Sent = d.Sent[:0]
	for _, attempt := range decision.Dispatch {
		d.Sent = append(d.Sent, Attempt{attempt.Request.ID, attempt.Number, attempt.Node.Addr, attempt.Timeout})
	}
	d.Log = decision.Log
	d.Watch = decision.WatchEndpoints
	d.NextWake = decision.NextWake
}

// Equal tells whether two decisions are the same.
func (d Decision) Equal(other Decision) bool {
	return slices.Equal(d.Ended, other.Ended) &&
		slices.Equal(d.CallOff, other.CallOff) &&
		slices.Equal(d.Sent, other.Sent) &&
		slices.Equal(d.Log, other.Log) &&
		d.Watch == other.Watch &&
		d.NextWake == other.NextWake
}
