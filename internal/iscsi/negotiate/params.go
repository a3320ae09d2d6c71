// Package negotiate implements the target's side of an iSCSI login (RFC 7143, 6 and 13) as a state machine, Login. It
// takes the keys of each login request, returns the keys of the response, and ends with the parameters of the session.
// Package iscsi/target drives a Login; the initiator uses the parameter types and the CHAP functions. The package is
// pure: no I/O and no clock, and Options supplies the random challenges.
package negotiate

import "fmt"

// Stage is a login stage (RFC 7143, 6.3), with its value on the wire.
type Stage uint8

// Login stages.
const (
	Security    Stage = 0
	Operational Stage = 1
	FullFeature Stage = 3
)

// Params are the negotiated parameters of a session.
type Params struct {
	HeaderDigest, DataDigest bool
	InitialR2T               bool
	ImmediateData            bool
	PeerMaxSegment           int // maximum bytes of data in a PDU to the peer
	OwnMaxSegment            int // maximum bytes of data in a PDU from the peer
	MaxBurst                 int // maximum bytes of a Data-In sequence, or of the data for one R2T
	FirstBurst               int // maximum unsolicited bytes of a write
	MaxOutstandingR2T        int // maximum outstanding R2Ts of one command
	TimeToWait, TimeToRetain int // DefaultTime2Wait and DefaultTime2Retain, in seconds
}

// defaultSegment is the MaxRecvDataSegmentLength of a side that declares none, in bytes.
const defaultSegment = 8192

// Defaults are the values of keys that are not negotiated (RFC 7143, 13).
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

// Preferred are the values that irispost's target prefers in negotiations.
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

// Account holds CHAP credentials. Without a Secret any initiator may log in.
type Account struct {
	Name, Secret             string // of the initiator
	TargetName, TargetSecret string // of the target, for mutual CHAP
}

// Options configure the target's side of a login.
type Options struct {
	Params         Params
	Digests        bool                   // whether CRC32C digests are accepted if the initiator proposes them
	PortalGroupTag int                    // value of the TargetPortalGroupTag key
	TargetExists   func(name string) bool // whether a target with this name exists
	AccountFor     func(initiator, target string) Account
	NewChallenge   func() []byte // returns 16 random bytes
	SessionName    func() string // the session's name in logs and records, for SessionNameKey; nil: key unsupported
}

// Status classes and details of rejected logins (RFC 7143, 11.13.5).
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

// Rejection is the reason for a rejected login, with its status class and detail (RFC 7143, 11.13.5).
type Rejection struct {
	Class, Detail byte
	Reason        string
}

// Error returns the class and the detail in hexadecimal, followed by the reason.
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
