// Package iscsi has what both ends of iSCSI (RFC 7143) share: PDUs, their digests and their texts. The target and the
// initiator (packages iscsi/target and iscsi/initiator) and the login (iscsi/negotiate) use it. It is pure: bytes come
// from a Source, and encoded PDUs are sent by the caller.
package iscsi

import "encoding/binary"

// Opcode is the kind of a PDU (RFC 7143, 11.2.1.2).
type Opcode byte

// Opcodes: the initiator's, then the target's.
const (
	NopOut                 Opcode = 0x00
	Command                Opcode = 0x01
	TaskManagementRequest  Opcode = 0x02
	LoginRequest           Opcode = 0x03
	TextRequest            Opcode = 0x04
	DataOut                Opcode = 0x05
	LogoutRequest          Opcode = 0x06
	SNACK                  Opcode = 0x10
	NopIn                  Opcode = 0x20
	Response               Opcode = 0x21
	TaskManagementResponse Opcode = 0x22
	LoginResponse          Opcode = 0x23
	TextResponse           Opcode = 0x24
	DataIn                 Opcode = 0x25
	LogoutResponse         Opcode = 0x26
	ReadyToTransfer        Opcode = 0x31 // R2T
	AsyncMessage           Opcode = 0x32
	Reject                 Opcode = 0x3f
)

// Flags of a PDU's second byte.
const (
	Final     = 0x80
	Continue  = 0x40 // of texts
	Reads     = 0x40 // of a command
	Writes    = 0x20 // of a command
	HasStatus = 0x01 // of Data-In
	Underflow = 0x02
	Overflow  = 0x04
)

// immediateBit marks a PDU for immediate delivery, in the byte of the opcode.
const immediateBit = 0x40

// Offsets of fields in a header. Some bytes have another meaning in other kinds of PDUs (RFC 7143, 11).
const (
	OffsetFlags          = 1
	OffsetResponse       = 2 // of answers to logouts and task management, and the reason of a Reject
	OffsetStatus         = 3 // of Response and Data-In; the least version of a login
	OffsetISID           = 8 // 6 bytes
	OffsetLUN            = 8 // 8 bytes
	OffsetTSIH           = 14
	OffsetTag            = 16 // the initiator task tag
	OffsetTransferTag    = 20 // the target transfer tag
	OffsetReferencedTag  = 20 // of task management: the task that is meant
	OffsetExpectedLength = 20 // of a command: bytes of data, either way
	OffsetCmdSN          = 24 // from initiators
	OffsetStatSN         = 24 // from targets
	OffsetExpStatSN      = 28 // from initiators
	OffsetExpCmdSN       = 28 // from targets
	OffsetMaxCmdSN       = 32 // from targets
	OffsetCDB            = 32 // 16 bytes
	OffsetStatusClass    = 36 // of a login's answer
	OffsetStatusDetail   = 37
	OffsetAsyncEvent     = 36
	OffsetDataSN         = 36
	OffsetR2TSN          = 36
	OffsetTime2Wait      = 40 // of a logout's answer
	OffsetTime2Retain    = 42
	OffsetAsyncParameter = 42 // the third of an async message: seconds
	OffsetBufferOffset   = 40
	OffsetResidual       = 44
	OffsetDesiredLength  = 44 // of an R2T
)

// NoTag stands where there is no tag (RFC 7143, 11.2.1.8).
const NoTag = 0xffffffff

// Sizes in bytes.
const (
	headerSize = 48
	lunSize    = 8
	isidSize   = 6
	cdbSize    = 16
	digestSize = 4
)

// PDU is a protocol data unit: its basic header, additional headers and data. Fields are read and written in place.
type PDU struct {
	Header            [headerSize]byte
	AdditionalHeaders []byte
	Data              []byte
	BadDataDigest     bool // of a PDU that was read: its data has another digest
}

// New returns a PDU with an opcode and flags.
func New(opcode Opcode, flags byte) *PDU {
	p := &PDU{}
	p.Header[0] = byte(opcode)
	p.Header[OffsetFlags] = flags
	return p
}

// Opcode returns the opcode, without the bit for immediate delivery.
func (p *PDU) Opcode() Opcode { return Opcode(p.Header[0] & (immediateBit - 1)) }

// Immediate tells whether the PDU is marked for immediate delivery.
func (p *PDU) Immediate() bool { return p.Header[0]&immediateBit != 0 }

// SetImmediate marks the PDU for immediate delivery.
func (p *PDU) SetImmediate() *PDU {
	p.Header[0] |= immediateBit
	return p
}

// Flags returns the PDU's second byte.
func (p *PDU) Flags() byte { return p.Header[OffsetFlags] }

// Final tells whether it is the last PDU of its sequence.
func (p *PDU) Final() bool { return p.Flags()&Final != 0 }

// Tag returns the initiator task tag.
func (p *PDU) Tag() uint32 { return p.Uint32(OffsetTag) }

// LUN returns the 8 bytes of the logical unit number. They are not copied.
func (p *PDU) LUN() []byte { return p.Header[OffsetLUN : OffsetLUN+lunSize] }

// SetLUN sets the 8 bytes of the logical unit number.
func (p *PDU) SetLUN(lun []byte) *PDU {
	copy(p.LUN(), lun)
	return p
}

// ISID returns the 6 bytes of the initiator's part of the session ID, in a login. They are not copied.
func (p *PDU) ISID() []byte { return p.Header[OffsetISID : OffsetISID+isidSize] }

// CDB returns the 16 bytes of the command descriptor block, in a command. They are not copied.
func (p *PDU) CDB() []byte { return p.Header[OffsetCDB : OffsetCDB+cdbSize] }

// Uint32 returns the field of 32 bits at an offset of the header.
func (p *PDU) Uint32(offset int) uint32 { return binary.BigEndian.Uint32(p.Header[offset:]) }

// Uint16 returns the field of 16 bits at an offset of the header.
func (p *PDU) Uint16(offset int) uint16 { return binary.BigEndian.Uint16(p.Header[offset:]) }

// SetUint32 sets a field of 32 bits.
func (p *PDU) SetUint32(offset int, value uint32) *PDU {
	binary.BigEndian.PutUint32(p.Header[offset:], value)
	return p
}

// SetUint16 sets a field of 16 bits.
func (p *PDU) SetUint16(offset int, value uint16) *PDU {
	binary.BigEndian.PutUint16(p.Header[offset:], value)
	return p
}

// SetByte sets a byte.
func (p *PDU) SetByte(offset int, value byte) *PDU {
	p.Header[offset] = value
	return p
}

// SetData gives the PDU data, which is not copied.
func (p *PDU) SetData(data []byte) *PDU {
	p.Data = data
	return p
}
