package replica

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"irispost/internal/fleet/lease"
)

// Defaults of Options.
const (
	defaultTickInterval      = 50 * time.Millisecond
	defaultCompactionEntries = 1000
)

// Options are the settings of a replica.
type Options struct {
	ID     uint64            // of this replica, from 1; never used again once its folder is lost
	Listen string            // address to serve at
	Peers  map[uint64]string // addresses of all replicas by ID, as this one reaches them; its own is not dialled
	Dir    string            // folder that nobody else uses

	// Joining has the replica start without a membership of its own: it votes once the others have added it.
	Joining bool

	// LeaseSettings are proposed when the group is founded. A group that exists keeps its own.
	LeaseSettings lease.Settings

	TickInterval      time.Duration // of Raft's clock; 0: 50 ms
	CompactionEntries uint64        // applied entries after which the log is compacted; 0: 1,000
	Logger            *slog.Logger

	entryFormat int // newest format of log entries that is read and written; 0: the newest there is
}

// withDefaults checks the options and fills in what is not set.
func (o Options) withDefaults() (Options, error) {
	if _, listed := o.Peers[o.ID]; !listed || o.ID == 0 {
		return o, fmt.Errorf("replica %d is not among its peers %v", o.ID, o.voters())
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.CompactionEntries == 0 {
		o.CompactionEntries = defaultCompactionEntries
	}
	if o.entryFormat == 0 {
		o.entryFormat = lease.Format
	}
	return o, nil
}

// voters are the IDs of all replicas in the options, in order.
func (o Options) voters() []uint64 {
	return slices.Sorted(maps.Keys(o.Peers))
}

// founders are the voters of a new group; nil where the replica joins one.
func (o Options) founders() []uint64 {
	if o.Joining {
		return nil
	}
	return o.voters()
}
