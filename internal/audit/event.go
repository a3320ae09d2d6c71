// Package audit checks the rules of the service from a record of what passed over the sockets of a scenario, at the
// clients' ends and at the nodes' ends. It imports nothing of the gateway or the scheduler, so that it cannot share
// their mistakes.
//
// Scenarios (package day), the replay of captures (package relive) and the test servers record events by a Recorder,
// which is the only state of the package and has a lock. Check, Summarize and SummarizeSlowStart are pure functions of
// the recorded events.
package audit

// EventType says what an event is about, and with that which fields of the event are set.
type EventType uint8

// The types of events.
const (
	RequestSent         EventType = iota // a client has sent a request
	ResponseReceived                     // a client has got its answer
	ClientConnected                      // a client's connection is open; Session is its name
	ClientDisconnected                   // a client has closed its connection, or it broke: State
	AttemptReceived                      // a node has received an attempt
	AttemptAnswered                      // a node has answered an attempt
	AttemptCancelled                     // a node has received the cancellation of an attempt
	NodeConnectionEnded                  // a gateway's connection to a node has ended: Connection
	AttemptExecuted                      // a node has executed an attempt: its effect is there
	NodeStarted                          // a node has started; Rate is over 0 where it warms up
	NodeOverloaded                       // a node that warms up was sent too much and has stopped
	NodeListed                           // an endpoint list with this State of the node was published
	GatewayKilled                        // a gateway was killed
	GatewayPaused                        // a gateway was stopped by SIGSTOP
	GatewayResumed                       // and continues after SIGCONT
)

// Outcome is the kind of a final answer.
type Outcome uint8

// The kinds of final answers.
const (
	Succeeded Outcome = iota
	Rejected          // it promises that a retry is harmless
	Failed            // the request may have been executed or not
)

// Values of Event.State.
const (
	StateReady    = "ready"    // NodeListed
	StateDraining = "draining" // NodeListed
	StateRemoved  = "gone"     // NodeListed

	StateClosed = "closed" // ClientDisconnected: by the client
	StateBroken = "broke"  // ClientDisconnected: by the gateway or the network
)

// Values of Event.Idempotency.
const (
	Idempotent    uint8 = iota // any number of executions has the effect of one
	Keyed                      // the nodes of a shard deduplicate by the idempotency key for a time
	NonIdempotent              // a second execution would have a second effect
)

// Event is one thing that passed over a socket or happened to a process. Times are nanoseconds on one clock.
type Event struct {
	At             int64
	Type           EventType
	Session        string  // of a client: GATEWAY/BOOT/CONNECTION
	ClientRequest  uint32  // the client's number of the request, within its session
	RequestClass   string  // by the client's account
	ObjectiveBy    int64   // RequestSent: answered by then, it is within its latency objective; 0: it has none
	Deadline       int64   // RequestSent: the last time for an answer
	Outcome        Outcome // ResponseReceived
	Gateway        string
	Node           string // its address
	Zone           string
	Shard          int
	RequestID      string // the gateway's name of the request: see parseRequestID
	Attempt        int    // number of the attempt; 0 is the first, the others are retries
	Volume         int64
	Units          float64
	Idempotency    uint8
	OrderingKey    int64 // requests of one key run in their order; 0: none
	Connection     int64 // number of the connection between a gateway and a node
	Timeout        int64 // AttemptReceived: the time that the gateway gives it
	IdempotencyKey string
	Writes         bool    // it changes something
	NotExecuted    bool    // AttemptAnswered: the answer proves that it was not executed and will not be
	State          string  // NodeListed and ClientDisconnected
	Rate           float64 // NodeStarted: units a second when warmed up; 0 for a node that does not warm up
}
