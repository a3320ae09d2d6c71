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
	ID     uint64            // of this replica, from 1; not to be used again once the replica's folder is lost
	Listen string            // address to listen on
	Peers  map[uint64]string // addresses at which this replica reaches all replicas, by ID; its own is not dialled
	Dir    string            // folder for this replica's data, used by no other process

	// Joining starts the replica without a group of its own: it votes once the members of a group have added it.
	Joining bool

	// LeaseSettings are proposed when the group is founded. An existing group keeps its own.
	LeaseSettings lease.Settings

	TickInterval      time.Duration // of Raft's clock; 0: 50 ms
	CompactionEntries uint64        // applied entries after which the log is compacted; 0: 1,000
	Logger            *slog.Logger

	entryFormat int // newest format of log entries to read and write; 0: the newest that this program knows
}

// withDefaults validates the options and returns them with defaults for those that are not set.
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

// voters returns the IDs of all replicas in the options, in ascending order.
func (o Options) voters() []uint64 {
	return slices.Sorted(maps.Keys(o.Peers))
}

// founders returns the voters of a new group; nil if the replica joins an existing one.
func (o Options) founders() []uint64 {
	if o.Joining {
		return nil
	}
	return o.voters()
}
