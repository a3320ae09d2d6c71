// Package endpoint brings the list of storage nodes: what a list is, and the sources that it comes from.
package endpoint

import "context"

// Health is what a list says of a node.
type Health uint8

const (
	Ready Health = iota
	Draining
	Removed
	Unhealthy // listed, and said not to be healthy
)

// Node is one entry of a list.
type Node struct {
	Addr      string
	Name      string // for people; empty: none
	Zone      string
	Shard     int
	Weight    float64
	StartedAt int64  `json:"Born"` // when it started, in nanoseconds since 1970; 0 for long ago
	Health    Health `json:"Standing"`
	Priority  int    // among nodes of one shard: 0 before 1
}

// List is a whole list, in which a node that it leaves out is gone, or a part.
type List struct {
	Version string
	Stale   bool // it may be old
	Partial bool // only what has changed; a node that it leaves out is as it was
	Nodes   []Node
}

// Source brings lists until its context ends: the first as soon as there is one, then one for each change.
type Source interface {
	Run(ctx context.Context, to Subscriber) error
}

// Subscriber is told what a source brings. Its calls come from one goroutine at a time.
type Subscriber interface {
	OnUpdate(List)              // a whole list
	OnRejected(why error)       // an update that cannot be used; the last good list stays in force
	OnLink(up bool, why string) // the source is reached, or no longer
}
