// Package listing brings the list of storage nodes: what a list is, and the sources that it comes from.
package listing

import "context"

// Standing is what a list says of a node.
type Standing uint8

const (
	Ready Standing = iota
	Draining
	Gone
)

// Node is one entry of a list.
type Node struct {
	Addr     string
	Zone     string
	Shard    int
	Weight   float64
	Born     int64 // when it started, in nanoseconds since 1970; 0 for long ago
	Standing Standing
}

// List is a whole list. A node that it leaves out is gone.
type List struct {
	Version string
	Stale   bool // it may be old
	Nodes   []Node
}

// Source brings lists until its context ends: the first as soon as there is one, then one for each change. What it
// cannot use it reports, and the last good list stays in force.
type Source interface {
	Run(ctx context.Context, good func(List), bad func(error)) error
}
