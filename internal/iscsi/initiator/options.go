// Package initiator is a client of iSCSI targets (RFC 7143): sessions with many commands in flight, and disks with
// blocks that are read and written, with reconnects and retries by what each answer promises. The command line
// (irispost disk), scripted days and tests use it. A Session owns a connection and its outstanding requests, under a
// lock, and has one goroutine that reads; a Disk owns the session that it uses.
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

// Options are what a session is opened with.
type Options struct {
	Address        string  // of the portal
	Name           string  // the initiator's: iqn....
	Target         string  // empty: a discovery session
	ISID           [6]byte // tells sessions of one initiator apart; the same reinstates a session
	Account        negotiate.Account
	Digests        bool
	Timeout        time.Duration // for connecting and logging in; 0: 10 s
	MaxRecvSegment int           // bytes of data taken in a PDU; 0: 256 KiB
	SolicitedOnly  bool          // no data is sent before it is asked for
	OnEvent        func(Event)   // called with commands and their answers, in their order; it must not wait. nil: nobody
}

// Event is a command that was sent or answered, or the loss of a session.
type Event struct {
	Session string // the gateway's name of it, or the connection's address
	Tag     uint32
	Op      byte // the command's first byte
	Sent    bool
	Status  scsi.Status // of an answer
	Lost    error       // why the session is lost; no more events follow
}

// Errors of sessions.
var (
	ErrSessionLost = errors.New("iscsi: the session is lost")
	ErrLoggedOut   = errors.New("iscsi: logged out")
)

// Reasons why a session is lost or a login fails.
var (
	errDataDigest              = errors.New("a data digest does not fit")
	errSecurityStageIncomplete = errors.New("iscsi: the target does not end the security stage")
	errLoginIncomplete         = errors.New("iscsi: the target does not end the login")
	errTargetNotAuthenticated  = errors.New("iscsi: the target does not prove who it is")
)

// Reply is a command's answer.
type Reply struct {
	Status   scsi.Status
	Sense    *scsi.Sense // of CheckCondition
	Data     []byte
	Residual int // bytes that were expected and not transferred; below 0: that would have been transferred beyond
}
