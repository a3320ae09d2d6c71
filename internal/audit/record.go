// Package audit keeps a record of what passed over the sockets of a day, at the clients' ends and at the nodes' ends,
// and checks the seven rules from that record alone. It knows neither the gateway nor the module.
package audit

import (
	"strconv"
	"strings"
	"sync"
)

// EventType is what an event tells.
type EventType uint8

// The kinds of events.
const (
	RequestSent         EventType = iota // a client has sent a request
	ResponseReceived                     // a client has got its answer
	ClientConnected                      // a client's connection stands; Session is its name
	ClientDisconnected                   // a client has closed its connection, or it broke
	AttemptReceived                      // a node has got an execution
	AttemptAnswered                      // a node has answered one
	AttemptCancelled                     // a node is told that an execution is called off
	NodeConnectionEnded                  // a connection to a node has ended; Conn names it
	AttemptExecuted                      // a node has carried one out: its effect is there
	NodeStarted                          // a node has started
	NodeOverloaded                       // a node was pushed over
	NodeListed                           // a list that names a node so was handed out
	GatewayKilled                        // a gateway was killed
	GatewayPaused                        // a gateway was stopped (SIGSTOP)
	GatewayResumed                       // and goes on
)

// Outcome is the kind of a final answer.
type Outcome uint8

// The kinds of final answers.
const (
	Succeeded Outcome = iota
	Rejected
	Failed
)

// Event is one thing that passed. Times are nanoseconds on one clock.
type Event struct {
	At             int64
	Type           EventType
	Session        string // of a client
	ClientRequest  uint32 // of a client's request, or a connection's execution
	RequestClass   string // by the client's account
	ObjectiveBy    int64  // Asked: answered by then, it is in its goal; 0: no goal
	Deadline       int64  // Asked: the last time for an answer
	Try            int    // Asked: 0 for the first, then the client's own further tries
	First          uint32 // Asked: the ID of the first try
	Outcome        Outcome
	Gateway        string
	Node           string
	Zone           string
	Shard          int
	RequestID      string
	Attempt        int
	Volume         int64
	Units          float64
	Idempotency    uint8 // 0 replayable, 1 referenced, 2 single-use
	OrderingKey    int64
	Connection     int64 // of a gateway to a node
	Timeout        int64 // Got: the time-out that came with it
	IdempotencyKey string
	Writes         bool   // it changes something
	NotExecuted    bool   // Gave: the answer proves that it never ran
	State          string // Listed: ready, draining or gone
	Rate           float64
}

// Recorder collects events, from anywhere.
type Recorder struct {
	lock   sync.Mutex
	events []Event
	Clock  func() int64
}

// Add adds an event, with its time.
func (r *Recorder) Add(e Event) {
	if r == nil {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if e.At == 0 {
		e.At = r.Clock()
	}
	r.events = append(r.events, e)
}

// Events are what was recorded, in order.
func (r *Recorder) Events() []Event {
	r.lock.Lock()
	defer r.lock.Unlock()
	return append([]Event(nil), r.events...)
}

// partsOf reads a job's name: GATEWAY/BOOT/CONNECTION:REQUEST#NUMBER for a client's, GATEWAY#NUMBER for a duty.
func partsOf(job string) (session string, request uint32, number int) {
	rest, count, _ := strings.Cut(job, "#")
	number, _ = strconv.Atoi(count)
	session, id, _ := strings.Cut(rest, ":")
	n, _ := strconv.ParseUint(id, 10, 32)
	return session, uint32(n), number
}
