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
	NopOut      Opcode = 0x00
	Command     Opcode = 0x01
	TaskRequest Opcode = 0x02
	LoginAsk    Opcode = 0x03
	TextAsk     Opcode = 0x04
	DataOut     Opcode = 0x05
	LogoutAsk   Opcode = 0x06
	Snack       Opcode = 0x10
	NopIn       Opcode = 0x20
	Response    Opcode = 0x21
	TaskAnswer  Opcode = 0x22
	LoginTell   Opcode = 0x23
	TextTell    Opcode = 0x24
	DataIn      Opcode = 0x25
	LogoutTell  Opcode = 0x26
	ReadyTo     Opcode = 0x31 // R2T
	Async       Opcode = 0x32
	Reject      Opcode = 0x3f
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

// headSize is that of a basic header segment.
const headSize = 48

// PDU is a protocol data unit: its basic header, further headers and data. Fields are read and written in place, at the
// offsets of RFC 7143, 11.
type PDU struct {
	Head [headSize]byte
	More []byte // additional header segments
	Data []byte
	Bad  bool // its data's digest does not fit
}

// New makes a PDU.
func New(op Opcode, flags byte) *PDU {
	p := &PDU{}
	p.Head[0], p.Head[1] = byte(op), flags
	return p
}

// Op is the opcode, without the mark of an immediate PDU.
func (p *PDU) Op() Opcode { return Opcode(p.Head[0] & 0x3f) }

// Immediate tells whether the PDU is marked for immediate delivery.
func (p *PDU) Immediate() bool { return p.Head[0]&0x40 != 0 }

// Flags are the bits of byte 1.
func (p *PDU) Flags() byte { return p.Head[1] }

// Final tells whether it is the last PDU of its sequence.
func (p *PDU) Final() bool { return p.Head[1]&Final != 0 }

// Tag is the initiator task tag.
func (p *PDU) Tag() uint32 { return p.U32(16) }

// Lun is the field of the logical unit number, 8 bytes, not copied.
func (p *PDU) Lun() []byte { return p.Head[8:16] }

// U32 is the big-endian field of 32 bits at an offset of the header.
func (p *PDU) U32(at int) uint32 { return binary.BigEndian.Uint32(p.Head[at:]) }

// U16 is the big-endian field of 16 bits at an offset of the header.
func (p *PDU) U16(at int) uint16 { return binary.BigEndian.Uint16(p.Head[at:]) }

// Put sets a field of 32 bits.
func (p *PDU) Put(at int, v uint32) *PDU {
	binary.BigEndian.PutUint32(p.Head[at:], v)
	return p
}

// Put16 sets a field of 16 bits.
func (p *PDU) Put16(at int, v uint16) *PDU {
	binary.BigEndian.PutUint16(p.Head[at:], v)
	return p
}

// Byte sets a byte.
func (p *PDU) Byte(at int, v byte) *PDU {
	p.Head[at] = v
	return p
}

// With gives it data, which is not copied.
func (p *PDU) With(data []byte) *PDU {
	p.Data = data
	return p
}

// Digests tells which digests a connection's PDUs have, in one direction.
type Digests struct{ Head, Data bool }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sum is a digest as it stands on the wire: CRC32C, whose lowest byte goes first (RFC 7143, 13.1, with RFC 3385).
func sum(b ...[]byte) []byte {
	c := uint32(0)
	for _, part := range b {
		c = crc32.Update(c, castagnoli, part)
	}
	return binary.LittleEndian.AppendUint32(nil, c)
}

func padding(n int) int { return -n & 3 }

// Sealed is a PDU that is ready to be sent. It is a link.Packet.
type Sealed struct{ head, tail []byte }

// Size is its bytes.
func (s *Sealed) Size() int { return len(s.head) + len(s.tail) }

// Bytes are they.
func (s *Sealed) Bytes() (head, tail []byte) { return s.head, s.tail }

// Seal fills in lengths and digests. Data that needs neither padding nor a digest is not copied.
func (p *PDU) Seal(d Digests) *Sealed {
	n := len(p.Data)
	p.Head[4] = byte((len(p.More) + 3) / 4)
	p.Head[5], p.Head[6], p.Head[7] = byte(n>>16), byte(n>>8), byte(n)
	s := &Sealed{head: append([]byte{}, p.Head[:]...)}
	s.head = append(append(s.head, p.More...), make([]byte, padding(len(p.More)))...)
	if d.Head {
		s.head = append(s.head, sum(s.head)...)
	}
	s.tail = p.Data
	if pad := padding(n); n > 0 && (pad > 0 || d.Data) {
		s.tail = append(append(make([]byte, 0, n+pad+4), p.Data...), make([]byte, pad)...)
		if d.Data {
			s.tail = append(s.tail, sum(s.tail)...)
		}
	}
	return s
}

// Errors of Read.
var (
	ErrTooLong = errors.New("iscsi: a PDU is longer than was agreed")
	ErrDigest  = errors.New("iscsi: a header digest does not fit")
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
	b, err := r.ReadBinary(headSize)
	if err != nil {
		return nil, err
	}
	copy(p.Head[:], b)
	more, n := 4*int(p.Head[4]), int(p.Head[5])<<16|int(p.Head[6])<<8|int(p.Head[7])
	if n > most {
		return nil, fmt.Errorf("%w: %d bytes of data, %d may be", ErrTooLong, n, most)
	}
	if more > 0 {
		if p.More, err = r.ReadBinary(more); err != nil {
			return nil, err
		}
	}
	if d.Head {
		want, err := r.ReadBinary(4)
		if err != nil {
			return nil, err
		}
		if string(want) != string(sum(p.Head[:], p.More)) {
			return nil, ErrDigest
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
			p.Bad = string(want) != string(sum(whole))
		}
		p.Data = whole[:n]
	}
	return p, r.Release()
}

// Pair is a key of a text with its value.
type Pair struct{ Key, Value string }

// ErrText tells that a text is not made of keys and values.
var ErrText = errors.New("iscsi: a text is not made of key=value pairs")

// ReadText reads the keys and values of a text (RFC 7143, 6.1).
func ReadText(b []byte) (list []Pair, err error) {
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

// Text writes keys and values.
func Text(list []Pair) (b []byte) {
	for _, p := range list {
		b = append(append(append(append(b, p.Key...), '='), p.Value...), 0)
	}
	return b
}
