// Package capture records the inputs and decisions of a gateway's scheduler, and reads them back. The event loop
// writes a capture with a Recorder, tools read it with a Reader, and Redact copies it with its names replaced by
// hashes. A recorder owns its file and the goroutines that write it. It does not influence decisions, and its calls
// never wait for the disk. docs/capture.md describes the format.
package capture

import (
	"fmt"
	"slices"

	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Kind is the kind of a record, as numbered in the file.
type Kind uint8

// The kinds of records. Their numbers are stored and their names are printed by tools, so both must not change.
const (
	KindHeader             Kind = iota + 1 // the captured gateway; always the first record
	KindStart                              // the scheduler was started
	KindEndpointList                       // a complete endpoint list
	KindSubmitted                          // a request was submitted
	KindAttemptEnded                       // an attempt ended
	KindClientCancelled                    // a client cancelled a request
	KindDecided                            // the scheduler made a decision
	KindGap                                // records were dropped here
	KindEnd                                // the capture was closed; a capture without it is truncated
	KindSnapshot                           // a snapshot of the scheduler: a replay can start here
	KindEndpointUpdate                     // an endpoint list that omits unchanged nodes
	KindEndpointListFailed                 // fetching an endpoint list failed
	KindStreamStarted                      // an attempt's response started
	KindEndpointListSilent                 // a call for the endpoint list got no answer
	KindSettingsChanged                    // the scheduler was given new settings
	KindAllocated                          // slow-start budget was allocated for a node
)

var kindNames = [...]string{"", "header", "start", "list", "take", "ended", "left", "decided", "gap", "end", "state",
	"part of a list", "no list", "begun", "silent list", "terms", "loan"}

// String returns the name of the kind, as tools print it.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", k)
}

// Record is one call of the scheduler or one decision. The comments name the kinds, without their prefix, for which a
// field is valid. Tools print records as JSON under the names of the fields, so these must not change.
type Record struct {
	Kind Kind
	At   scheduler.Time

	Name   string // Header: the gateway; End: why the capture ended
	Build  string // Header: version of the gateway's program
	Digest uint64 // Header: digest of the scheduler's source text

	Seed  uint64             // Start
	Terms scheduler.Settings // Start, SettingsChanged

	Stale bool            // EndpointList, EndpointUpdate
	Nodes []endpoint.Node // EndpointList, EndpointUpdate

	Job     string         // Submitted, AttemptEnded, ClientCancelled, StreamStarted: the request
	Volume  int64          // Submitted
	Plan    string         // Submitted: the service level
	Product string         // Submitted: the request class
	Hosts   float64        // Submitted: gateways that serve the volume
	Keyed   bool           // Submitted
	Units   float64        // Submitted, Allocated
	Shard   int            // Submitted
	Key     int64          // Submitted
	Write   bool           // Submitted
	StopBy  scheduler.Time // Submitted: the deadline

	Number   int               // AttemptEnded, StreamStarted: the attempt
	Outcome  scheduler.Outcome // AttemptEnded
	Took     scheduler.Time    // AttemptEnded: duration of the attempt
	Final    bool              // AttemptEnded: the request has its final answer
	Others   float64           // AttemptEnded: units that the node served for other gateways
	Inflight int               // AttemptEnded: from the node's load report; for display, not an input of the scheduler
	Latency  scheduler.Time    // AttemptEnded: likewise

	Decision Decision // Decided

	Dropped int // Gap: number of dropped records

	State string // Snapshot: the encoded scheduler

	Node string         // Allocated
	Born scheduler.Time // Allocated: the start of the node for which the allocation is valid
	Till scheduler.Time // Allocated: when the allocation expires
}

// Decision is a decision of the scheduler, with requests identified by ID and nodes by address.
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
	Wait  scheduler.Time // that the client is told to wait before a retry
}

// Attempt is an attempt that is dispatched or cancelled. Node and Limit are set only for a dispatched one.
type Attempt struct {
	Job    string
	Number int
	Node   string
	Limit  scheduler.Time
}

// DecisionOf converts a decision of the scheduler. The result shares no memory with the scheduler.
func DecisionOf(decision *scheduler.Decision) (named Decision) {
	named.fill(decision)
	named.Log = slices.Clone(named.Log)
	return named
}

// fill converts a decision of the scheduler, reusing the slices of d. The log lines are not copied and stay valid only
// until the scheduler's next decision.
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

// Equal reports whether two decisions are the same.
func (d Decision) Equal(other Decision) bool {
	return slices.Equal(d.Ended, other.Ended) &&
		slices.Equal(d.CallOff, other.CallOff) &&
		slices.Equal(d.Sent, other.Sent) &&
		slices.Equal(d.Log, other.Log) &&
		d.Watch == other.Watch &&
		d.NextWake == other.NextWake
}
