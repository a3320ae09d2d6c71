// Package target is an iSCSI target (RFC 7143) that exports files of volumes as disks. It supports error recovery level
// 0 and one connection per session. It turns SCSI commands into the same requests to the gateway's event loop as the
// file front end (package front). Package pace decides how many commands run and which session's command is next;
// package scheduler decides when and to which node a request is sent.
//
// Package serve starts a Server. The Server owns the sessions with their tasks, each session guarded by its own lock,
// and the pacer, guarded by pacerLock. One goroutine per connection reads PDUs, and each running command has a
// goroutine.
//
// Lock order: a session's lock, then the server's pacerLock. No other lock is held together with the server's lock.
package target

import (
	"log/slog"
	"sync/atomic"
	"time"

	"irispost/internal/front"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/iscsi/pace"
	"irispost/internal/packetconn"
	"irispost/internal/scsi"
)

// Unit is a logical unit: its SCSI properties and the disk that stores its data. It is not ready until SetDisk is
// called.
type Unit struct {
	scsi.Unit
	disk atomic.Pointer[front.Disk]
}

// SetDisk sets the unit's disk. Server.Close closes the disk.
func (u *Unit) SetDisk(disk *front.Disk) { u.disk.Store(disk) }

// Target is an iSCSI target: a named set of logical units.
type Target struct {
	Name    string
	Units   map[uint16]*Unit  // by logical unit number
	Account negotiate.Account // CHAP credentials; without a secret any initiator may log in
}

// maxLUNs is the number of logical unit numbers in flat space addressing.
const maxLUNs = 1 << 14

// luns returns the logical unit numbers of a target in ascending order.
func (t *Target) luns() []uint16 {
	var numbers []uint16
	for number := range uint16(maxLUNs) {
		if len(numbers) == len(t.Units) {
			break
		}
		if t.Units[number] != nil {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// Limits are the resource limits of a server.
type Limits struct {
	Connections int
	Login       time.Duration // time limit of a login, after which its connection is closed
	Unread      int           // bytes that an initiator may leave unread; above it commands end with TASK SET FULL
	Wire        packetconn.Limits
	Pace        pace.Limits
}

// DefaultLimits are the limits used unless others are configured.
var DefaultLimits = Limits{
	Connections: 1024,
	Login:       10 * time.Second,
	Unread:      16 << 20,
	Wire: packetconn.Limits{
		MaxPacket:    256 << 10,
		MaxReadAhead: 32 << 20,
		MaxUnsent:    64 << 20,
		WriteTimeout: 10 * time.Second,
	},
	Pace: pace.Limits{MinWindow: 2, MaxWindow: 256, InitialBound: 32, MaxBound: 512, MaxBytes: 32 << 20, Quantum: 64 << 10},
}

// Options configure a server.
type Options struct {
	Front   *front.Front
	Targets []*Target
	Params  negotiate.Params // zero: negotiate.Preferred
	Limits  Limits
	Log     *slog.Logger
}
