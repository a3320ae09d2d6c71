// Package iscsi implements the parts of iSCSI (RFC 7143) that targets and initiators share: PDUs, their digests, and
// the key=value texts that they carry. Packages iscsi/target, iscsi/initiator and iscsi/negotiate (the login) use it.
// It does no I/O of its own: it reads from a Source, and the caller sends the encoded PDUs.
package iscsi

import "encoding/binary"

// Opcode identifies the type of a PDU (RFC 7143, 11.2.1.2).
type Opcode byte

// Opcodes of initiators, then those of targets.
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

// Flags in the second byte of a PDU.
const (
	Final     = 0x80
	Continue  = 0x40 // Text and Login
	Reads     = 0x40 // SCSI Command: data is transferred to the initiator
	Writes    = 0x20 // SCSI Command: data is transferred to the target
	HasStatus = 0x01 // Data-In
	Underflow = 0x02
	Overflow  = 0x04
)

// immediateBit marks a PDU for immediate delivery. It is in the byte of the opcode.
const immediateBit = 0x40

// Offsets of fields in a header. The same bytes can have different meanings in different types of PDU (RFC 7143, 11).
const (
	OffsetFlags          = 1
	OffsetResponse       = 2 // Logout and Task Management Function Response; in a Reject, the reason
	OffsetStatus         = 3 // SCSI Response and Data-In; in a login, the lowest version (Version-min)
	OffsetISID           = 8 // 6 bytes
	OffsetLUN            = 8 // 8 bytes
	OffsetTSIH           = 14
	OffsetTag            = 16 // initiator task tag
	OffsetTransferTag    = 20 // target transfer tag
	OffsetReferencedTag  = 20 // task management: tag of the referenced task
	OffsetExpectedLength = 20 // SCSI Command: bytes of data, in either direction
	OffsetCmdSN          = 24 // from initiators
	OffsetStatSN         = 24 // from targets
	OffsetExpStatSN      = 28 // from initiators
	OffsetExpCmdSN       = 28 // from targets
	OffsetMaxCmdSN       = 32 // from targets
	OffsetCDB            = 32 // 16 bytes
	OffsetStatusClass    = 36 // Login Response
	OffsetStatusDetail   = 37
	OffsetAsyncEvent     = 36
	OffsetDataSN         = 36
	OffsetR2TSN          = 36
	OffsetTime2Wait      = 40 // Logout Response
	OffsetTime2Retain    = 42
	OffsetAsyncParameter = 42 // Asynchronous Message, Parameter3: seconds
	OffsetBufferOffset   = 40
	OffsetResidual       = 44
	OffsetDesiredLength  = 44 // R2T
)

// NoTag is the reserved value of a tag field without a tag (RFC 7143, 11.2.1.8).
const NoTag = 0xffffffff

// Sizes in bytes.
const (
	headerSize = 48
	lunSize    = 8
	isidSize   = 6
	cdbSize    = 16
	digestSize = 4
)

// PDU is a protocol data unit: basic header segment, additional header segments and data segment. The methods access
// the header fields in place.
type PDU struct {
	Header            [headerSize]byte
	AdditionalHeaders []byte
	Data              []byte
	BadDataDigest     bool // the data of a PDU that was read does not match its digest
}

// New returns a PDU with the given opcode and flags.
func New(opcode Opcode, flags byte) *PDU {
	p := &PDU{}
	p.Header[0] = byte(opcode)
	p.Header[OffsetFlags] = flags
	return p
}

// Opcode returns the opcode without the bit for immediate delivery.
func (p *PDU) Opcode() Opcode { return Opcode(p.Header[0] & (immediateBit - 1)) }

// Immediate reports whether the PDU is marked for immediate delivery.
func (p *PDU) Immediate() bool { return p.Header[0]&immediateBit != 0 }

// SetImmediate marks the PDU for immediate delivery.
func (p *PDU) SetImmediate() *PDU {
	p.Header[0] |= immediateBit
	return p
}

// Flags returns the second byte of the PDU.
func (p *PDU) Flags() byte { return p.Header[OffsetFlags] }

// Final reports whether the PDU is the last one of its sequence.
func (p *PDU) Final() bool { return p.Flags()&Final != 0 }

// Tag returns the initiator task tag.
func (p *PDU) Tag() uint32 { return p.Uint32(OffsetTag) }

// LUN returns the 8 bytes of the logical unit number, without copying them.
func (p *PDU) LUN() []byte { return p.Header[OffsetLUN : OffsetLUN+lunSize] }

// SetLUN sets the 8 bytes of the logical unit number.
func (p *PDU) SetLUN(lun []byte) *PDU {
	copy(p.LUN(), lun)
	return p
}

// ISID returns the 6 bytes of the initiator session ID of a login request, without copying them.
func (p *PDU) ISID() []byte { return p.Header[OffsetISID : OffsetISID+isidSize] }

// CDB returns the 16 bytes of the command descriptor block of a SCSI command, without copying them.
func (p *PDU) CDB() []byte { return p.Header[OffsetCDB : OffsetCDB+cdbSize] }

// Uint32 returns the 32-bit header field at an offset.
func (p *PDU) Uint32(offset int) uint32 { return binary.BigEndian.Uint32(p.Header[offset:]) }

// Uint16 returns the 16-bit header field at an offset.
func (p *PDU) Uint16(offset int) uint16 { return binary.BigEndian.Uint16(p.Header[offset:]) }

// SetUint32 sets the 32-bit header field at an offset.
func (p *PDU) SetUint32(offset int, value uint32) *PDU {
	binary.BigEndian.PutUint32(p.Header[offset:], value)
	return p
}

// SetUint16 sets the 16-bit header field at an offset.
func (p *PDU) SetUint16(offset int, value uint16) *PDU {
	binary.BigEndian.PutUint16(p.Header[offset:], value)
	return p
}

// SetByte sets the header byte at an offset.
func (p *PDU) SetByte(offset int, value byte) *PDU {
	p.Header[offset] = value
	return p
}

// SetData sets the data segment, without copying it.
func (p *PDU) SetData(data []byte) *PDU {
	p.Data = data
	return p
}
