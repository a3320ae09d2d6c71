// Package audit keeps a record of what passed over the sockets of a day, at the clients' ends and at the nodes' ends,
// and checks the seven rules from that record alone. It knows neither the gateway nor the module.
package audit

import (
	"strconv"
	"strings"
	"sync"
)

// What is what an event tells.
type What uint8

// The kinds of events.
const (
	Asked    What = iota // a client has sent a request
	Told                 // a client has got its answer
	ClientUp             // a client's connection stands; Session is its name
	ClientGo             // a client has closed its connection, or it broke
	Got                  // a node has got an execution
	Gave                 // a node has answered one
	Called               // a node is told that an execution is called off
	Broke                // a connection to a node has ended; Conn names it
	Ran                  // a node has carried one out: its effect is there
	Born                 // a node has started
	Fell                 // a node was pushed over
	Listed               // a list that names a node so was handed out
	Killed               // a gateway was killed
	Stood                // a gateway was stopped (SIGSTOP)
	WentOn               // and goes on
)

// Answer is the kind of a final answer.
type Answer uint8

// The kinds of final answers.
const (
	Completed Answer = iota
	Dismissed
	WrittenOff
)

// Event is one thing that passed. Times are nanoseconds on one clock.
type Event struct {
	At      int64
	What    What
	Session string // of a client
	ID      uint32 // of a client's request, or a connection's execution
	Product string // by the client's account
	Goal    int64  // Asked: answered by then, it is in its goal; 0: no goal
	Limit   int64  // Asked: the last time for an answer
	Try     int    // Asked: 0 for the first, then the client's own further tries
	First   uint32 // Asked: the ID of the first try
	Answer  Answer
	Gateway string
	Node    string
	Zone    string
	Shard   int
	Job     string
	Number  int
	Volume  int64
	Units   float64
	Kind    uint8 // 0 replayable, 1 referenced, 2 single-use
	Key     int64
	Conn    int64 // of a gateway to a node
	Left    int64 // Got: the time-out that came with it
	Mark    string
	Change  bool   // it changes something
	Never   bool   // Gave: the answer proves that it never ran
	Word    string // Listed: ready, draining or gone
	Rate    float64
}

// Record collects events, from anywhere.
type Record struct {
	lock   sync.Mutex
	events []Event
	Clock  func() int64
}

// Add adds an event, with its time.
func (r *Record) Add(e Event) {
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
func (r *Record) Events() []Event {
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
