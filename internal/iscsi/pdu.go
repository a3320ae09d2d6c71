// Package iscsi has what both ends of iSCSI (RFC 7143) share: PDUs, their digests and their texts.
package iscsi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

// Opcode is a PDU's kind (RFC 7143, 11.2.1.2).
type Opcode byte

// Opcodes, the initiator's and then the target's.
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
	Writes    = 0x20
	HasStatus = 0x01 // of Data-In
	Underflow = 0x02
	Overflow  = 0x04
)

// NoTag stands where there is no tag (RFC 7143, 11.2.1.8).
const NoTag = 0xffffffff

// headerSize is that of a basic header segment.
const headerSize = 48

// PDU is a protocol data unit: its basic header, further headers and data. Fields are read and written in place, at the
// offsets of RFC 7143, 11.
type PDU struct {
	Header            [headerSize]byte
	AdditionalHeaders []byte // additional header segments
	Data              []byte
	BadDataDigest     bool // its data's digest does not fit
}

// New makes a PDU.
func New(op Opcode, flags byte) *PDU {
	p := &PDU{}
	p.Header[0], p.Header[1] = byte(op), flags
	return p
}

// Opcode is the opcode, without the mark of an immediate PDU.
func (p *PDU) Opcode() Opcode { return Opcode(p.Header[0] & 0x3f) }

// Immediate tells whether the PDU is marked for immediate delivery.
func (p *PDU) Immediate() bool { return p.Header[0]&0x40 != 0 }

// Flags are the bits of byte 1.
func (p *PDU) Flags() byte { return p.Header[1] }

// Final tells whether it is the last PDU of its sequence.
func (p *PDU) Final() bool { return p.Header[1]&Final != 0 }

// Tag is the initiator task tag.
func (p *PDU) Tag() uint32 { return p.Uint32(16) }

// LUN is the field of the logical unit number, 8 bytes, not copied.
func (p *PDU) LUN() []byte { return p.Header[8:16] }

// Uint32 is the big-endian field of 32 bits at an offset of the header.
func (p *PDU) Uint32(at int) uint32 { return binary.BigEndian.Uint32(p.Header[at:]) }

// Uint16 is the big-endian field of 16 bits at an offset of the header.
func (p *PDU) Uint16(at int) uint16 { return binary.BigEndian.Uint16(p.Header[at:]) }

// SetUint32 sets a field of 32 bits.
func (p *PDU) SetUint32(at int, v uint32) *PDU {
	binary.BigEndian.PutUint32(p.Header[at:], v)
	return p
}

// SetUint16 sets a field of 16 bits.
func (p *PDU) SetUint16(at int, v uint16) *PDU {
	binary.BigEndian.PutUint16(p.Header[at:], v)
	return p
}

// SetByte sets a byte.
func (p *PDU) SetByte(at int, v byte) *PDU {
	p.Header[at] = v
	return p
}

// SetData gives it data, which is not copied.
func (p *PDU) SetData(data []byte) *PDU {
	p.Data = data
	return p
}

// Digests tells which digests a connection's PDUs have, in one direction.
type Digests struct{ Header, Data bool }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// crc32c is a digest as it stands on the wire: CRC32C, whose lowest byte goes first (RFC 7143, 13.1, with RFC 3385).
func crc32c(b ...[]byte) []byte {
	c := uint32(0)
	for _, part := range b {
		c = crc32.Update(c, castagnoli, part)
	}
	return binary.LittleEndian.AppendUint32(nil, c)
}

func padding(n int) int { return -n & 3 }

// EncodedPDU is a PDU that is ready to be sent. It is a link.Packet.
type EncodedPDU struct{ head, tail []byte }

// Size is its bytes.
func (s *EncodedPDU) Size() int { return len(s.head) + len(s.tail) }

// Bytes are they.
func (s *EncodedPDU) Bytes() (head, tail []byte) { return s.head, s.tail }

// Encode fills in lengths and digests. Data that needs neither padding nor a digest is not copied.
func (p *PDU) Encode(d Digests) *EncodedPDU {
	n := len(p.Data)
	p.Header[4] = byte((len(p.AdditionalHeaders) + 3) / 4)
	p.Header[5], p.Header[6], p.Header[7] = byte(n>>16), byte(n>>8), byte(n)
	s := &EncodedPDU{head: append([]byte{}, p.Header[:]...)}
	s.head = append(append(s.head, p.AdditionalHeaders...), make([]byte, padding(len(p.AdditionalHeaders)))...)
	if d.Header {
		s.head = append(s.head, crc32c(s.head)...)
	}
	s.tail = p.Data
	if pad := padding(n); n > 0 && (pad > 0 || d.Data) {
		s.tail = append(append(make([]byte, 0, n+pad+4), p.Data...), make([]byte, pad)...)
		if d.Data {
			s.tail = append(s.tail, crc32c(s.tail)...)
		}
	}
	return s
}

// Errors of Read.
var (
	ErrTooLong      = errors.New("iscsi: a PDU is longer than was agreed")
	ErrHeaderDigest = errors.New("iscsi: a header digest does not fit")
)

// Source is where PDUs are read from: a netpoll.Reader, or bytes.
type Source interface {
	ReadBinary(n int) ([]byte, error)
	Release() error
}

// Read takes a PDU, with at most so many bytes of data. Lengths that were not agreed and header digests that do not fit are
// errors: what follows cannot be read. A data digest that does not fit marks the PDU as Bad.
func Read(r Source, d Digests, most int) (*PDU, error) {
	p := &PDU{}
	b, err := r.ReadBinary(headerSize)
	if err != nil {
		return nil, err
	}
	copy(p.Header[:], b)
	more, n := 4*int(p.Header[4]), int(p.Header[5])<<16|int(p.Header[6])<<8|int(p.Header[7])
	if n > most {
		return nil, fmt.Errorf("%w: %d bytes of data, %d may be", ErrTooLong, n, most)
	}
	if more > 0 {
		if p.AdditionalHeaders, err = r.ReadBinary(more); err != nil {
			return nil, err
		}
	}
	if d.Header {
		want, err := r.ReadBinary(4)
		if err != nil {
			return nil, err
		}
		if string(want) != string(crc32c(p.Header[:], p.AdditionalHeaders)) {
			return nil, ErrHeaderDigest
		}
	}
	if n > 0 {
		whole, err := r.ReadBinary(n + padding(n))
		if err != nil {
			return nil, err
		}
		if d.Data {
			want, err := r.ReadBinary(4)
			if err != nil {
				return nil, err
			}
			p.BadDataDigest = string(want) != string(crc32c(whole))
		}
		p.Data = whole[:n]
	}
	return p, r.Release()
}

// Pair is a key of a text with its value.
type Pair struct{ Key, Value string }

// ErrText tells that a text is not made of keys and values.
var ErrText = errors.New("iscsi: a text is not made of key=value pairs")

// DecodeText reads the keys and values of a text (RFC 7143, 6.1).
func DecodeText(b []byte) (list []Pair, err error) {
	for _, part := range strings.Split(string(b), "\x00") {
		if part == "" {
			continue
		}
		key, value, found := strings.Cut(part, "=")
		if !found || key == "" || len(key) > 63 {
			return nil, fmt.Errorf("%w: %.40q", ErrText, part)
		}
		list = append(list, Pair{key, value})
	}
	return list, nil
}

// EncodeText writes keys and values.
func EncodeText(list []Pair) (b []byte) {
	for _, p := range list {
		b = append(append(append(append(b, p.Key...), '='), p.Value...), 0)
	}
	return b
}
