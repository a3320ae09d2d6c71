// Package listing brings the list of storage nodes: what a list is, and the sources that it comes from.
package listing

import "context"

// Standing is what a list says of a node.
type Standing uint8

const (
	Ready Standing = iota
	Draining
	Gone
	Unwell // listed, and said not to be healthy
)

// Node is one entry of a list.
type Node struct {
	Addr     string
	Name     string // for people; empty: none
	Zone     string
	Shard    int
	Weight   float64
	Born     int64 // when it started, in nanoseconds since 1970; 0 for long ago
	Standing Standing
	Priority int // among nodes of one shard: 0 before 1
}

// List is a whole list, in which a node that it leaves out is gone, or a part.
type List struct {
	Version string
	Stale   bool // it may be old
	Part    bool // only what has changed; a node that it leaves out is as it was
	Nodes   []Node
}

// Source brings lists until its context ends: the first as soon as there is one, then one for each change.
type Source interface {
	Run(ctx context.Context, to Listener) error
}

// Listener is told what a source brings. Its calls come from one goroutine at a time.
type Listener interface {
	List(List)                // a whole list
	Refused(why error)        // an update that cannot be used; the last good list stays in force
	Link(up bool, why string) // the source is reached, or no longer
}
