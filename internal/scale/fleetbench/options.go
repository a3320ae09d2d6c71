package fleetbench

import (
	"fmt"
	"slices"
	"time"
)

// Options select what is measured.
type Options struct {
	Program   string        // path of the executable that runs as a replica
	Followers int           // number of gateways
	Nodes     int           // number of storage nodes in each version
	Changes   int           // number of changes; each is made once the one before is in force
	Idle      time.Duration // length of the measurement of the idle fleet
	Kill      bool          // kill the leader after half of the changes and restart it after another quarter
	// DirectConnections connects replicas to each other without relays in this process: the bytes between them are not
	// counted, and are not delayed by this process.
	DirectConnections bool
	Marks             []int             // if not empty: measure growth instead, after each of these numbers of changes
	ReportProgress    func(line string) // called with a human-readable line at each step
}

const (
	// maximumNodes is low enough that all nodes and as many replacements have distinct addresses.
	maximumNodes = 1 << 20

	// minimumChangesWithKill allows for changes before the kill, while the replica is down, and while it catches up.
	minimumChangesWithKill = 4
)

// OptionError is returned by Check for invalid options. Its text names the flag of the command.
type OptionError struct {
	Problem string
}

// Error returns the description of the problem.
func (e *OptionError) Error() string { return e.Problem }

func optionErrorf(format string, args ...any) error {
	return &OptionError{fmt.Sprintf(format, args...)}
}

// Check returns an OptionError for invalid options. If there are marks, it sets Changes to the last one.
func (o *Options) Check() error {
	withMarks := len(o.Marks) > 0
	minimumFollowers := 1
	if withMarks {
		minimumFollowers = 0
	}
	switch {
	case o.Followers < minimumFollowers:
		return optionErrorf("--followers %d: must be at least %d", o.Followers, minimumFollowers)
	case o.Nodes < 1 || o.Nodes > maximumNodes:
		return optionErrorf("--nodes %d: must be between 1 and %d", o.Nodes, maximumNodes)
	case !withMarks && o.Changes < 1:
		return optionErrorf("--changes %d: must be at least 1", o.Changes)
	case o.Idle <= 0:
		return optionErrorf("--idle %v: must be positive", o.Idle)
	case o.Kill && withMarks:
		return optionErrorf("--kill and --marks cannot be combined")
	case o.DirectConnections && withMarks:
		return optionErrorf("--straight and --marks cannot be combined: relays count the bytes of a joining replica")
	case o.Kill && o.Changes < minimumChangesWithKill:
		return optionErrorf("--kill with --changes %d: must be at least %d, for changes "+
			"before the kill, while the replica is down, and while it catches up", o.Changes, minimumChangesWithKill)
	}
	for i, mark := range o.Marks {
		if mark < 1 || i > 0 && mark <= o.Marks[i-1] {
			return optionErrorf("--marks %v: must be strictly ascending numbers of changes, each at least 1", o.Marks)
		}
	}
	if withMarks {
		o.Changes = slices.Max(o.Marks)
	}
	return nil
}
