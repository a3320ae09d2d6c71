// Package audit checks the guarantees of the service, its rules, against a trace of events on the sockets of the
// clients and the nodes. It imports nothing of the gateway or the scheduler, so that it cannot share their bugs.
//
// Scenarios (package day), live replays of captures (package relive) and the test nodes record events with a Recorder,
// the only state of the package, which is safe for concurrent use. Check, Summarize and SummarizeSlowStart are pure
// functions of the recorded events.
package audit

// EventType is the type of an event. It determines which fields of the event are set.
type EventType uint8

// The types of events.
const (
	RequestSent         EventType = iota // a client sent a request
	ResponseReceived                     // a client received the answer
	ClientConnected                      // a client opened a connection, whose name is Session
	ClientDisconnected                   // a client's connection was closed or broke, see State
	AttemptReceived                      // a node received an attempt
	AttemptAnswered                      // a node answered an attempt
	AttemptCancelled                     // a node received the cancellation of an attempt
	NodeConnectionEnded                  // a gateway's connection to a node ended, see Connection
	AttemptExecuted                      // a node executed an attempt, so that its effect is visible
	NodeStarted                          // a node started; Rate is positive if it warms up
	NodeOverloaded                       // a node that warms up was sent too much and stopped
	NodeListed                           // an endpoint list with the node in this State was published
	GatewayKilled                        // a gateway was killed
	GatewayPaused                        // a gateway was paused by SIGSTOP
	GatewayResumed                       // a gateway continued after SIGCONT
)

// Outcome is the outcome of a request as reported by its final answer.
type Outcome uint8

// The outcomes of requests.
const (
	Succeeded Outcome = iota
	Rejected          // the answer promises that a retry is safe
	Failed            // the request may or may not have been executed
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
	Idempotent    uint8 = iota // several executions have the effect of one
	Keyed                      // the nodes of a shard deduplicate by idempotency key within a window
	NonIdempotent              // each execution has its own effect
)

// Event is an event on a socket or of a process. All times are in nanoseconds on the same clock.
type Event struct {
	At             int64
	Type           EventType
	Session        string  // a client's session: GATEWAY/BOOT/CONNECTION
	ClientRequest  uint32  // number of the request within its session, assigned by the client
	RequestClass   string  // according to the client
	ObjectiveBy    int64   // RequestSent: latest answer within the latency objective; 0: it has none
	Deadline       int64   // RequestSent: latest time of an answer
	Outcome        Outcome // ResponseReceived
	Gateway        string
	Node           string // its address
	Zone           string
	Shard          int
	RequestID      string // assigned by the gateway; see parseRequestID
	Attempt        int    // 0 is the first attempt, higher numbers are retries
	Volume         int64
	Units          float64
	Idempotency    uint8
	OrderingKey    int64 // requests with the same key are executed in order; 0: none
	Connection     int64 // number of the connection between a gateway and a node
	Timeout        int64 // AttemptReceived: how long the gateway waits for the answer
	IdempotencyKey string
	Writes         bool    // the request modifies data
	NotExecuted    bool    // AttemptAnswered: the answer proves that the attempt was not and will not be executed
	State          string  // NodeListed and ClientDisconnected
	Rate           float64 // NodeStarted: units per second once warm; 0 for a node that does not warm up
}
