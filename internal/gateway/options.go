package gateway

import (
	"log/slog"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Volume is what the module is told of a job's volume.
type Volume struct {
	ID           int64
	ServiceLevel string
	Gateways     float64 // gateways that its jobs come through
}

// RequestSpec is a job before the module has it.
type RequestSpec struct {
	Volume        *Volume
	Class         string
	Units         float64
	Key           int64
	HasKey        bool
	Deadline      scheduler.Time // the client waits until then
	OnResult      func()         // called on the loop just before the result is there; it must not wait. nil: nobody
	ClientRequest uint32         // the client's request that it belongs to
	Idempotency   uint8          // as in node.Call
	Call          node.Call      // what to do at the node; the loop fills in whose it is and the time left
}

// Result is a job's one final answer.
type Result struct {
	State      scheduler.RequestState // Completed, Dismissed, WrittenOff or Withdrawn
	RetryAfter time.Duration          // of a dismissal: when to come back
	Reply      node.Reply             // of a completed job
	Reason     string                 // the last execution's trouble, of a job that was given up
	MayHaveRun bool                   // of one that was not completed: an execution of it may have run
}

// Session is a client's connection, as far as the loop is concerned: when it closes, its jobs are left.
type Session struct {
	Name string
	jobs map[*job]bool // the loop's
	gone bool          // the loop's
}

// NewSession names a session. The name has to be unique in the installation.
func NewSession(name string) *Session { return &Session{Name: name, jobs: map[*job]bool{}} }

// NodeClient are the connections to the storage nodes, in whatever protocol those speak.
type NodeClient interface {
	// Start sends an execution. done is called at most once, from elsewhere, and not after CallOff.
	Start(addr string, c *node.Call, done func(node.Reply)) node.Attempt
	// AbortQueued has nothing begin any more at nodes that are left, for which it has been handed in and waits. It does not wait.
	AbortQueued(left func(addr string) bool)
	Retain(addrs map[string]bool) // connections to others may go
	LateReplies() int64           // answers that came after their execution was given up
}

// ActiveConfig is what a gateway that follows versions acts on: the list of nodes, and the terms; nil: those that it has.
type ActiveConfig struct {
	List     endpoint.List
	Settings scheduler.Settings
}

// ConfigSource tell what a gateway that follows versions acts on at the time that the loop has read, where it has changed, nil
// where not, and when to ask again at the latest, 0 for no need. What is decided by that reading is decided under it.
type ConfigSource interface {
	At(now scheduler.Time) (*ActiveConfig, scheduler.Time)
}

// Options are what a loop is started with.
type Options struct {
	Name       string
	Seed       uint64
	Settings   scheduler.Settings
	QueueSize  int // events that may wait
	Clock      Clock
	Nodes      NodeClient
	CachedList *endpoint.List // the list as it was last held, told before anything else; nil: none
	Config     ConfigSource   // nil: lists come by List
	Watch      func()         // the module wants the list watched; it must not wait. nil: lists come unasked
	Log        *slog.Logger
	Tap        Tap // nil: nobody listens
}
