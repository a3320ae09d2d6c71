// Package target serves files of volumes as disks over iSCSI (RFC 7143): error recovery level 0, one connection a
// session. Its commands become the same requests to the gateway's event loop as those of the file front end (package
// front). How many commands run, and whose is next, is decided by package pace; which request goes to which node when,
// by package scheduler.
//
// Package serve starts a Server. It owns the sessions and their tasks, each session under its own lock, and the pacer
// under another. A connection's goroutine reads its PDUs; each running command has a goroutine.
//
// Locks are taken in this order: a session's, then the server's pacerLock. The server's lock is held alone.
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

// Unit is a logical unit: a disk, and what SCSI says of it. Until it has its disk it is not ready.
type Unit struct {
	scsi.Unit
	disk atomic.Pointer[front.Disk]
}

// SetDisk gives the unit its disk, which the server closes with itself.
func (u *Unit) SetDisk(disk *front.Disk) { u.disk.Store(disk) }

// Target is a named set of units.
type Target struct {
	Name    string
	Units   map[uint16]*Unit  // by logical unit number
	Account negotiate.Account // who may log in; without a secret everybody
}

// maxLUNs is how many numbers flat addressing has.
const maxLUNs = 1 << 14

// luns returns the numbers of a target's units, in order.
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

// Limits bound a server.
type Limits struct {
	Connections int
	Login       time.Duration // a login that takes longer is closed
	Unread      int           // bytes that an initiator may leave unread; past it commands are answered TASK SET FULL
	Wire        packetconn.Limits
	Pace        pace.Limits
}

// DefaultLimits are the limits where none are configured.
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

// Options are what a server is started with.
type Options struct {
	Front   *front.Front
	Targets []*Target
	Params  negotiate.Params // zero: negotiate.Preferred
	Limits  Limits
	Log     *slog.Logger
}
