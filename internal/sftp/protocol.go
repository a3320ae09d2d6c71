// Package sftp encodes and decodes the packets of SFTP version 3 (draft-ietf-secsh-filexfer-02) and transfers them
// over connections of package packetconn. The front end (package front) serves clients with it; the node client
// (package backend/node) and the test servers use it with extensions. The package does not interpret requests and
// holds no state except that of a connection. It does not implement the secure channel of section 2 of the draft:
// packets are sent over an unencrypted connection.
package sftp

import (
	"errors"
	"fmt"
)

// ProtocolVersion is the SFTP version that this package implements.
const ProtocolVersion = 3

// Type is a packet type (section 3 of the draft).
type Type uint8

// Packet types of SFTP version 3.
const (
	Init          Type = 1
	Version       Type = 2
	Open          Type = 3
	Close         Type = 4
	Read          Type = 5
	Write         Type = 6
	Lstat         Type = 7
	Fstat         Type = 8
	Setstat       Type = 9
	Fsetstat      Type = 10
	Opendir       Type = 11
	Readdir       Type = 12
	Remove        Type = 13
	Mkdir         Type = 14
	Rmdir         Type = 15
	Realpath      Type = 16
	Stat          Type = 17
	Rename        Type = 18
	Readlink      Type = 19
	Symlink       Type = 20
	Status        Type = 101
	Handle        Type = 102
	Data          Type = 103
	Name          Type = 104
	Attributes    Type = 105
	Extended      Type = 200
	ExtendedReply Type = 201
)

// Code is a status code (section 7 of the draft).
type Code uint32

// Status codes of SFTP version 3.
const (
	OK            Code = 0
	EOF           Code = 1
	NoSuchFile    Code = 2
	Denied        Code = 3
	Failure       Code = 4
	BadMessage    Code = 5
	NoConnection  Code = 6
	ConnLost      Code = 7
	OpUnsupported Code = 8
)

var codeNames = [...]string{
	OK:            "OK",
	EOF:           "EOF",
	NoSuchFile:    "NO_SUCH_FILE",
	Denied:        "PERMISSION_DENIED",
	Failure:       "FAILURE",
	BadMessage:    "BAD_MESSAGE",
	NoConnection:  "NO_CONNECTION",
	ConnLost:      "CONNECTION_LOST",
	OpUnsupported: "OP_UNSUPPORTED",
}

// String returns the code's name in the draft without the SSH_FX_ prefix, or "status N" for an unknown code.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return fmt.Sprintf("status %d", uint32(c))
}

// Flags of OPEN (section 6.3 of the draft).
const (
	FlagRead   = 0x01
	FlagWrite  = 0x02
	FlagAppend = 0x04
	FlagCreate = 0x08
	FlagTrunc  = 0x10
	FlagExcl   = 0x20
)

// Flags for the attributes that are present (section 5 of the draft).
const (
	attrSize     = 0x00000001
	attrOwner    = 0x00000002
	attrMode     = 0x00000004
	attrTimes    = 0x00000008
	attrExtended = 0x80000000
)

// Bits of a POSIX file mode.
const (
	ModeDirectory = 0o040000 // file type: directory
	ModeFile      = 0o100000 // file type: regular file
	ModeBits      = 0o7777   // permissions, set-user-ID, set-group-ID and sticky bit
	modeTypeMask  = 0o170000
)

// Decoding errors. ErrLength closes the connection; the others are answered with status BadMessage.
var (
	ErrLength = errors.New("packet length out of bounds")
	ErrShort  = errors.New("packet ends inside a field")
	ErrExtra  = errors.New("packet goes on after its last field")
)

// Attrs are the attributes of a file. Owners and extended attributes are not represented.
type Attrs struct {
	HasSize, HasMode, HasTimes bool
	Size                       uint64 // bytes
	Mode                       uint32
	Accessed, Modified         uint32 // seconds since 1970
}
