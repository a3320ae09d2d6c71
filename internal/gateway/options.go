package gateway

import (
	"log/slog"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Options are what a loop is started with.
type Options struct {
	Name       string // of the gateway; it begins the IDs of the gateway's own requests
	Seed       uint64 // of the scheduler's random draws
	Settings   scheduler.Settings
	QueueSize  int // events that may wait for the loop; at least 1
	Clock      Clock
	Nodes      NodeClient
	CachedList *endpoint.List // the endpoint list as it was last held, applied before anything else; nil: none
	Config     ConfigSource   // nil: endpoint lists come by UpdateEndpoints
	Watch      func()         // the scheduler wants the endpoint list watched; it must not block. nil: lists come unasked
	Log        *slog.Logger
	Tap        Tap // nil: no observer
}

// NodeClient holds the connections to the storage nodes, in whatever protocol those speak.
type NodeClient interface {
	// Start sends an attempt to the node at an address. done is called at most once, from another goroutine, and not after
	// Cancel.
	Start(addr string, c *node.Call, done func(node.Reply)) node.Attempt
	// AbortQueued fails the attempts that still wait for a connection to a node for which unavailable is true. It does
	// not block.
	AbortQueued(unavailable func(addr string) bool)
	// Retain allows the client to close its connections to all nodes but these.
	Retain(addrs map[string]bool)
	// LateReplies counts the replies that came after their attempt was given up.
	LateReplies() int64
}

// ActiveConfig is what a gateway acts on that follows configuration versions.
type ActiveConfig struct {
	List     endpoint.List
	Settings scheduler.Settings // nil: the present ones stay in force
}

// ConfigSource tells a gateway that follows configuration versions what is in force.
type ConfigSource interface {
	// At returns what is in force at the time that the loop has read, nil if it has not changed, and when to ask again
	// at the latest (0: no need). Everything the scheduler decides by that reading is decided under it.
	At(now scheduler.Time) (*ActiveConfig, scheduler.Time)
}
