// Package initiator is an iSCSI initiator (RFC 7143). A Session sends SCSI commands to a target, many at a time. A
// Disk reads and writes blocks of a logical unit; it reconnects, and retries a command if the target's reply allows
// it. The command line (irispost disk), scripted days and tests use the package.
//
// A Session owns a connection and its outstanding requests, which are guarded by a lock, and one goroutine that reads
// from the connection. A Disk owns the session that it uses.
package initiator

import (
	"errors"
	"time"

	"irispost/internal/iscsi/negotiate"
	"irispost/internal/scsi"
)

// Defaults of Options.
const (
	defaultDialTimeout    = 10 * time.Second
	defaultMaxRecvSegment = 256 << 10
)

// Options configure a session.
type Options struct {
	Address        string  // address of the portal
	Name           string  // name of the initiator: iqn....
	Target         string  // name of the target; empty: discovery session
	ISID           [6]byte // identifies a session of the initiator; a login with the same ISID reinstates it
	Account        negotiate.Account
	Digests        bool
	Timeout        time.Duration // for connection and login; 0: 10 s
	MaxRecvSegment int           // MaxRecvDataSegmentLength, in bytes; 0: 256 KiB
	SolicitedOnly  bool          // send data only in answer to R2Ts: InitialR2T=Yes, ImmediateData=No
	OnEvent        func(Event)   // called for each event, in order; must not block; may be nil
}

// Event is a command that was sent, a reply to one, or the loss of a session.
type Event struct {
	Session string // see Session.Name
	Tag     uint32
	Op      byte // opcode of the command
	Sent    bool
	Status  scsi.Status // of a reply
	Lost    error       // cause of the loss; no events follow
}

// Errors returned by the methods of Session.
var (
	ErrSessionLost = errors.New("iscsi: the session is lost")
	ErrLoggedOut   = errors.New("iscsi: logged out")
)

// Causes of a lost session or a failed login.
var (
	errDataDigest              = errors.New("data digest mismatch")
	errSecurityStageIncomplete = errors.New("iscsi: target did not end the security stage")
	errLoginIncomplete         = errors.New("iscsi: target did not end the login phase")
	errTargetNotAuthenticated  = errors.New("iscsi: target does not prove its identity")
)

// Reply is the result of a SCSI command.
type Reply struct {
	Status   scsi.Status
	Sense    *scsi.Sense // if Status is CheckCondition
	Data     []byte
	Residual int // bytes expected but not transferred; negative: bytes beyond those expected
}
