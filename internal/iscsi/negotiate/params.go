// Package negotiate is the login of an iSCSI session (RFC 7143, 6 and 13) as a state machine: keys of each request in,
// keys of each answer out, and at the end the parameters of the session. The target's login is a Login (package
// iscsi/target calls it); the initiator uses the parameters and the functions of CHAP. It is pure: no I/O, no clock,
// and random challenges are an option.
package negotiate

import "fmt"

// Stage is a stage of a login (RFC 7143, 6.3), by its number on the wire.
type Stage uint8

// The stages of a login.
const (
	Security    Stage = 0
	Operational Stage = 1
	FullFeature Stage = 3
)

// Params are the parameters of a session.
type Params struct {
	HeaderDigest, DataDigest bool
	InitialR2T               bool
	ImmediateData            bool
	PeerMaxSegment           int // bytes of data that the peer takes in a PDU
	OwnMaxSegment            int // and that this end takes
	MaxBurst                 int // bytes of a Data-In sequence, or of an R2T
	FirstBurst               int // unsolicited bytes of a write
	MaxOutstandingR2T        int // of one command
	TimeToWait, TimeToRetain int // seconds
}

// defaultSegment is the longest data of a PDU where none is declared, in bytes.
const defaultSegment = 8192

// Defaults are the parameters of RFC 7143, 13, where a key is not negotiated.
var Defaults = Params{
	InitialR2T:        true,
	ImmediateData:     true,
	PeerMaxSegment:    defaultSegment,
	OwnMaxSegment:     defaultSegment,
	MaxBurst:          262144,
	FirstBurst:        65536,
	MaxOutstandingR2T: 1,
	TimeToWait:        2,
	TimeToRetain:      20,
}

// Preferred are the parameters that a target here asks for.
var Preferred = Params{
	InitialR2T:        false,
	ImmediateData:     true,
	OwnMaxSegment:     256 << 10,
	MaxBurst:          1 << 20,
	FirstBurst:        256 << 10,
	MaxOutstandingR2T: 16,
	TimeToWait:        0,
	TimeToRetain:      0,
}

// Account says who may log in. Without a secret, everybody may.
type Account struct {
	Name, Secret             string // of the initiator
	TargetName, TargetSecret string // of the target, where the initiator asks it to authenticate too
}

// Options are a target's side of a login.
type Options struct {
	Params         Params
	Digests        bool                   // digests are offered; they are used where the initiator wants them
	PortalGroupTag int                    // TargetPortalGroupTag
	TargetExists   func(name string) bool // whether there is a target of a name
	AccountFor     func(initiator, target string) Account
	NewChallenge   func() []byte // 16 random bytes
	SessionName    func() string // the session's name in logs and records, for initiators that ask; nil: it is not told
}

// Status classes and details of a login that is rejected (RFC 7143, 11.13.5).
const (
	ClassInitiatorError = 2
	ClassTargetError    = 3

	DetailInitiatorError     = 0
	DetailAuthentication     = 1
	DetailTargetNotFound     = 3
	DetailUnsupportedVersion = 5
	DetailTooManyConnections = 6
	DetailMissingParameter   = 7

	DetailServiceUnavailable = 1 // of ClassTargetError
)

// Rejection is why a login ends (RFC 7143, 11.13.5).
type Rejection struct {
	Class, Detail byte
	Reason        string
}

// Error returns class and detail in hexadecimal, and the reason.
func (r *Rejection) Error() string {
	return fmt.Sprintf("login refused, %02x%02x: %s", r.Class, r.Detail, r.Reason)
}

func initiatorError(format string, args ...any) *Rejection {
	return &Rejection{Class: ClassInitiatorError, Detail: DetailInitiatorError, Reason: fmt.Sprintf(format, args...)}
}

func authenticationFailure(format string, args ...any) *Rejection {
	return &Rejection{Class: ClassInitiatorError, Detail: DetailAuthentication, Reason: fmt.Sprintf(format, args...)}
}

func missingParameter(reason string) *Rejection {
	return &Rejection{Class: ClassInitiatorError, Detail: DetailMissingParameter, Reason: reason}
}
