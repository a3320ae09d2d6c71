package gateway

import (
	"log/slog"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Options configure a gateway.
type Options struct {
	Name       string // of the gateway; prefix of the IDs of the gateway's own requests
	Seed       uint64 // of the scheduler's random number generator
	Settings   scheduler.Settings
	QueueSize  int // capacity of the event queue; at least 1
	Clock      Clock
	Nodes      NodeClient
	CachedList *endpoint.List // last known endpoint list, applied at the start; nil: none
	Config     ConfigSource   // nil: endpoint lists are set with UpdateEndpoints
	Watch      func()         // called when the scheduler wants endpoint lists; must not block; nil if lists are pushed
	Log        *slog.Logger
	Tap        Tap // nil: none
}

// NodeClient manages the connections to the storage nodes, whichever protocol the nodes use.
type NodeClient interface {
	// Start sends an attempt to the node at addr. done is called at most once, from another goroutine, and not after
	// Cancel.
	Start(addr string, c *node.Call, done func(node.Reply)) node.Attempt
	// AbortQueued fails the attempts that are still waiting for a connection to a node for which unavailable returns
	// true. It does not block.
	AbortQueued(unavailable func(addr string) bool)
	// Retain allows the client to close its connections to all nodes except those for which addrs is true.
	Retain(addrs map[string]bool)
	// LateReplies returns the number of replies that arrived after their attempt was cancelled.
	LateReplies() int64
}

// ActiveConfig is the configuration in force at a gateway that gets its configuration in versions.
type ActiveConfig struct {
	List     endpoint.List
	Settings scheduler.Settings // nil: unchanged
}

// ConfigSource provides the configuration in force at a gateway that gets its configuration in versions.
type ConfigSource interface {
	// At returns the configuration in force at now, which is the loop's latest reading of its clock, or nil if it has
	// not changed since the last call. The second result is the latest time of the next call, 0 if none is needed. All
	// decisions that the scheduler makes with this clock reading are made under this configuration.
	At(now scheduler.Time) (*ActiveConfig, scheduler.Time)
}
