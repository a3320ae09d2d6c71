// Package fleetbench measures on one machine what keepers and the gateways that follow them cost at a size: bytes at the sockets,
// processor time, memory, and how long a change takes until it is in force. Keepers are processes; followers are the real code of
// internal/fleet/follow over real sockets, all in this process. docs/fleet.md has the figures.
package fleetbench

import (
	"fmt"
	"slices"
	"time"
)

// Options tell what is measured.
type Options struct {
	Program   string // the program; keepers are started of it
	Followers int
	Nodes     int           // of storage, in each version
	Changes   int           // one after another, each in force before the next
	Idle      time.Duration // how long the fleet is watched at rest
	Kill      bool          // the leading keeper is killed in the midst of the changes, and started again
	Straight  bool          // keepers reach each other without relays: what passes between them is not counted, and waits for no follower of this process
	Marks     []int         // measured is what grows instead: at each of these numbers of changes
	Note      func(line string)
}

// most nodes have an address each, with as many again that take their places.
const mostNodes = 1 << 20

// Check refuses what cannot be measured.
func (o *Options) Check() error {
	least := 1
	if len(o.Marks) > 0 {
		least = 0
	}
	switch {
	case o.Followers < least:
		return fmt.Errorf("--followers %d: at least %d", o.Followers, least)
	case o.Nodes < 1 || o.Nodes > mostNodes:
		return fmt.Errorf("--nodes %d: 1 to %d", o.Nodes, mostNodes)
	case len(o.Marks) == 0 && o.Changes < 1:
		return fmt.Errorf("--changes %d: at least 1", o.Changes)
	case o.Idle <= 0:
		return fmt.Errorf("--idle %v: above 0", o.Idle)
	case o.Kill && len(o.Marks) > 0:
		return fmt.Errorf("--kill and --marks: one at a time")
	case o.Straight && len(o.Marks) > 0:
		return fmt.Errorf("--straight and --marks: what a keeper that joins takes is counted by relays")
	case o.Kill && o.Changes < 4:
		return fmt.Errorf("--kill with --changes %d: at least 4, for changes before, while it is down, and while it comes back", o.Changes)
	}
	for i, n := range o.Marks {
		if n < 1 || i > 0 && n <= o.Marks[i-1] {
			return fmt.Errorf("--marks %v: numbers of changes, each at least 1 and above the one before", o.Marks)
		}
	}
	if len(o.Marks) > 0 {
		o.Changes = slices.Max(o.Marks)
	}
	return nil
}
