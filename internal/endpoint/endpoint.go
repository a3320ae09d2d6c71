// Package endpoint defines the lists of storage nodes that a gateway uses, the interface of the sources that provide
// them, and the gateway's native file format (HCL) for a list.
//
// The sources are implemented in its subpackages (filesource, xds, discovery). Package membership derives the nodes
// in use from their lists, and package manager runs the sources. This package does no I/O and keeps no state; its
// types may be copied.
package endpoint

import (
	"context"
	"strconv"
)

// Health is the health status that a list reports for a node.
type Health uint8

// Health statuses that a list may report.
const (
	Ready     Health = iota // it accepts requests
	Draining                // it finishes the requests in flight and accepts no new ones
	Removed                 // it is not in use; in a partial list, it has been removed
	Unhealthy               // it is listed, but reported as unhealthy
)

// healthNames are the names of the statuses in list files.
var healthNames = [...]string{Ready: "ready", Draining: "draining", Removed: "gone", Unhealthy: "unwell"}

// String returns the status as it is written in list files.
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "Health(" + strconv.Itoa(int(h)) + ")"
}

// Node is one entry of a list. Replay reports encode it as JSON, so field names without a tag are part of that
// format.
type Node struct {
	Addr   string // host:port, which identifies the node
	Name   string // display name; empty if there is none
	Zone   string
	Shard  int     // counted from 0
	Weight float64 // relative capacity according to the source; 0 if not given
	// StartedAt is when the node's process started, in Unix nanoseconds; 0 if that was long ago or is not given.
	StartedAt int64  `json:"Born"`
	Health    Health `json:"Standing"`
	Priority  int    // among the nodes of one shard; 0 is the highest
}

// List is a list of nodes. A node that is missing from a complete list is removed.
type List struct {
	Version string
	Stale   bool // the list may be out of date
	Partial bool // the list holds changes only; a node missing from it is unchanged
	Nodes   []Node
}

// Source provides lists. Run reports the first list as soon as it is available and another one after each change,
// until its context ends. It returns an error if it stops before that.
type Source interface {
	Run(ctx context.Context, to Subscriber) error
}

// Subscriber receives the reports of a Source. Its methods are called by one goroutine at a time.
type Subscriber interface {
	// OnUpdate receives a complete list.
	OnUpdate(list List)
	// OnRejected reports an update that cannot be used. The last list stays in force.
	OnRejected(err error)
	// OnLink reports that the source is connected, or that the connection was lost and why.
	OnLink(up bool, reason string)
}
