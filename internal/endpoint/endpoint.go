// Package endpoint defines the lists of storage nodes that a gateway works with, the interface of the sources that
// bring them, and the gateway's own file form of a list.
//
// The sources are in the packages below it (filesource, xds, discovery); membership decides what a gateway makes of
// their lists, and manager runs them. The package does no I/O and keeps no state; the types may be copied.
package endpoint

import (
	"context"
	"strconv"
)

// Health is the state that a list reports of a node.
type Health uint8

// States that a list may report.
const (
	Ready     Health = iota // it takes requests
	Draining                // it finishes the requests that it has, and takes no new ones
	Removed                 // it is not in use; in a partial list, it is gone
	Unhealthy               // it is listed, and reported to be unhealthy
)

// healthNames are the words of the list file.
var healthNames = [...]string{Ready: "ready", Draining: "draining", Removed: "gone", Unhealthy: "unwell"}

// String returns the word of the list file.
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "Health(" + strconv.Itoa(int(h)) + ")"
}

// Node is one entry of a list. Reports of replays have it as JSON, under the names of its fields or those of their
// tags.
type Node struct {
	Addr   string // host:port, the node's identity
	Name   string // for people; empty: none
	Zone   string
	Shard  int     // from 0
	Weight float64 // relative capacity as the source puts it; 0: not given
	// StartedAt is when the node's process started, in nanoseconds since 1970; 0: long ago, or not given.
	StartedAt int64  `json:"Born"`
	Health    Health `json:"Standing"`
	Priority  int    // among nodes of one shard: 0 before 1
}

// List is a list of nodes. In a complete one, a node that it leaves out is removed.
type List struct {
	Version string
	Stale   bool // it may be out of date
	Partial bool // it has changes only: a node that it leaves out is as it was
	Nodes   []Node
}

// Source brings lists. Run reports the first as soon as there is one, and then one for each change, until its context
// ends. It returns an error if it ends before.
type Source interface {
	Run(ctx context.Context, to Subscriber) error
}

// Subscriber receives what a Source reports. Its methods are called by one goroutine at a time.
type Subscriber interface {
	// OnUpdate receives a complete list.
	OnUpdate(list List)
	// OnRejected reports an update that can't be used. The last list stays in force.
	OnRejected(err error)
	// OnLink reports that the source is connected, or that the connection is lost and why.
	OnLink(up bool, reason string)
}
