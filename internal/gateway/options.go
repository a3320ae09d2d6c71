package gateway

import (
	"log/slog"
	"time"

	"irispost/decide"
	"irispost/internal/listing"
	"irispost/internal/node"
)

// Volume is what the module is told of a job's volume.
type Volume struct {
	ID    int64
	Plan  string
	Hosts float64 // gateways that its jobs come through
}

// Work is a job before the module has it.
type Work struct {
	Volume  *Volume
	Product string
	Units   float64
	Key     int64
	Keyed   bool
	StopBy  decide.Time // the client waits until then
	Told    func()      // called on the loop just before the result is there; it must not wait. nil: nobody
	Request uint32      // the client's request that it belongs to
	Kind    uint8       // as in node.Call
	Call    node.Call   // what to do at the node; the loop fills in whose it is and the time left
}

// Result is a job's one final answer.
type Result struct {
	State  decide.JobState // Completed, Dismissed, WrittenOff or Withdrawn
	Wait   time.Duration   // of a dismissal: when to come back
	Answer node.Answer     // of a completed job
	Why    string          // the last execution's trouble, of a job that was given up
	Ran    bool            // of one that was not completed: an execution of it may have run
}

// Session is a client's connection, as far as the loop is concerned: when it closes, its jobs are left.
type Session struct {
	Name string
	jobs map[*job]bool // the loop's
	gone bool          // the loop's
}

// NewSession names a session. The name has to be unique in the installation.
func NewSession(name string) *Session { return &Session{Name: name, jobs: map[*job]bool{}} }

// Nodes are the connections to the storage nodes, in whatever protocol those speak.
type Nodes interface {
	// Start sends an execution. done is called at most once, from elsewhere, and not after CallOff.
	Start(addr string, c *node.Call, done func(node.Answer)) node.Sending
	// Leave has nothing begin any more at nodes that are left, for which it has been handed in and waits. It does not wait.
	Leave(left func(addr string) bool)
	Keep(addrs map[string]bool) // connections to others may go
	Late() int64                // answers that came after their execution was given up
}

// Acts is what a gateway that follows versions acts on: the list of nodes, and the terms; nil: those that it has.
type Acts struct {
	List  listing.List
	Terms decide.Terms
}

// Rules tell what a gateway that follows versions acts on at the time that the loop has read, where it has changed, nil
// where not, and when to ask again at the latest, 0 for no need. What is decided by that reading is decided under it.
type Rules interface {
	At(now decide.Time) (*Acts, decide.Time)
}

// Options are what a loop is started with.
type Options struct {
	Name  string
	Seed  uint64
	Terms decide.Terms
	Queue int // events that may wait
	Clock Clock
	Nodes Nodes
	Known *listing.List // the list as it was last held, told before anything else; nil: none
	Rules Rules         // nil: lists come by List
	Watch func()        // the module wants the list watched; it must not wait. nil: lists come unasked
	Log   *slog.Logger
	Tap   Tap // nil: nobody listens
}
