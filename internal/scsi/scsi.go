// Package scsi reads SCSI commands for a direct-access block device and writes the answers that need no data: SPC-4 and
// SBC-3 of T10, as far as a disk needs them. It is pure; who carries out reads and writes is elsewhere.
package scsi

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Kind is what a command asks for.
type Kind uint8

// The kinds of commands.
const (
	Ready       Kind = iota // TEST UNIT READY, START STOP UNIT: is it there
	Inquiry                 // what it is
	Luns                    // REPORT LUNS
	Capacity10              // READ CAPACITY (10)
	Capacity16              // READ CAPACITY (16)
	Modes                   // MODE SENSE
	LastSense               // REQUEST SENSE: errors come with their answers, so there is none to tell
	Read                    // blocks
	Write                   // blocks
	Verify                  // blocks, whether they can be read
	Sync                    // SYNCHRONIZE CACHE
	Unmap                   // ranges that come as data
	WriteSame               // one block, over a range
	CompareSwap             // COMPARE AND WRITE
)

// Opcodes (SPC-4, SBC-3).
const (
	opTestUnitReady  = 0x00
	opRequestSense   = 0x03
	opRead6          = 0x08
	opWrite6         = 0x0a
	opInquiry        = 0x12
	opReserve6       = 0x16
	opRelease6       = 0x17
	opModeSense6     = 0x1a
	opStartStop      = 0x1b
	opReadCapacity10 = 0x25
	opRead10         = 0x28
	opWrite10        = 0x2a
	opVerify10       = 0x2f
	opSync10         = 0x35
	opWriteSame10    = 0x41
	opUnmap          = 0x42
	opReserve10      = 0x56
	opRelease10      = 0x57
	opModeSense10    = 0x5a
	opPersistentIn   = 0x5e
	opPersistentOut  = 0x5f
	opRead16         = 0x88
	opCompareWrite   = 0x89
	opWrite16        = 0x8a
	opVerify16       = 0x8f
	opSync16         = 0x91
	opWriteSame16    = 0x93
	opServiceIn16    = 0x9e
	opReportLuns     = 0xa0
)

// Status is a command's (SAM-5).
type Status uint8

// Status codes, as SAM-5 numbers them.
const (
	Good           Status = 0x00
	CheckCondition Status = 0x02
	Busy           Status = 0x08 // it never ran: trying again is harmless
	TaskSetFull    Status = 0x28 // likewise, the queue is full
	Aborted        Status = 0x40
)

// Sense is why a command ended with CheckCondition: key, additional code and qualifier (SPC-4, 4.5).
type Sense struct {
	Key, Code, Qualifier uint8
	Info                 uint32 // a block's number, where it says something
	Valid                bool   // it does
}

func (s *Sense) Error() string {
	return fmt.Sprintf("sense %x/%02x/%02x (%s)", s.Key, s.Code, s.Qualifier, s.Text())
}

// Senses that are given.
var (
	NoSuchCommand  = &Sense{Key: 5, Code: 0x20}
	BadField       = &Sense{Key: 5, Code: 0x24}
	BadList        = &Sense{Key: 5, Code: 0x26}
	ShortList      = &Sense{Key: 5, Code: 0x1a}
	OutOfRange     = &Sense{Key: 5, Code: 0x21}
	NoSuchUnit     = &Sense{Key: 5, Code: 0x25}
	NotReady       = &Sense{Key: 2, Code: 0x04}
	Becoming       = &Sense{Key: 2, Code: 0x04, Qualifier: 0x01}
	Unknown        = &Sense{Key: 0xb, Code: 0x08, Qualifier: 0x01} // time-out: it may be done in part or not at all
	Miscompare     = &Sense{Key: 0xe, Code: 0x1d}
	WriteProtected = &Sense{Key: 7, Code: 0x27}
	TooMuchData    = &Sense{Key: 0xb, Code: 0x0c, Qualifier: 0x0d} // not enough unsolicited data
	BadDigest      = &Sense{Key: 0xb, Code: 0x47, Qualifier: 0x05} // protocol service CRC error
)

// Text says in words what a sense means.
func (s *Sense) Text() string {
	words := map[[3]uint8]string{{5, 0x20, 0}: "no such command here", {5, 0x24, 0}: "a field of the command is wrong", {5, 0x26, 0}: "a field of its list is wrong",
		{5, 0x1a, 0}: "its list is too short", {5, 0x21, 0}: "past the last block", {5, 0x25, 0}: "no such unit", {2, 0x04, 0}: "the unit is not ready",
		{2, 0x04, 1}:   "the unit is not ready yet",
		{0xb, 0x08, 1}: "written off: it may have been done in part or not at all", {0xe, 0x1d, 0}: "the blocks compare otherwise",
		{7, 0x27, 0}: "write protected", {0xb, 0x0c, 0x0d}: "data is missing", {0xb, 0x47, 5}: "a digest does not fit"}
	if w, known := words[[3]uint8{s.Key, s.Code, s.Qualifier}]; known {
		return w
	}
	return "unnamed"
}

// Bytes is the sense in fixed format (SPC-4, 4.5.3).
func (s *Sense) Bytes() []byte {
	b := make([]byte, 18)
	b[0], b[2], b[7], b[12], b[13] = 0x70, s.Key, 10, s.Code, s.Qualifier
	if s.Valid {
		b[0] |= 0x80
		binary.BigEndian.PutUint32(b[3:], s.Info)
	}
	return b
}

// ReadSense reads a sense in fixed format.
func ReadSense(b []byte) (*Sense, bool) {
	if len(b) < 14 || b[0]&0x7f != 0x70 {
		return nil, false
	}
	return &Sense{Key: b[2] & 0xf, Code: b[12], Qualifier: b[13], Info: binary.BigEndian.Uint32(b[3:]), Valid: b[0]&0x80 != 0}, true
}

// Command is a command that was read.
type Command struct {
	Kind    Kind
	Block   uint64 // the first
	Blocks  uint64
	Alloc   int  // bytes that the answer may have, of those that answer with a page
	Vital   bool // INQUIRY: a vital product data page
	Page    uint8
	Through bool // to be on record before the answer: FUA
	Zeros   bool // WRITE SAME: the blocks are to read as zeros, and may give their space back
	Loose   bool // WRITE SAME: no block comes, zeros are meant
	Compare bool // VERIFY: with data that comes
	Long    bool // MODE SENSE (10)
	NoDesc  bool // MODE SENSE: without block descriptors
}

// Unit is a disk, as far as answers without data need it.
type Unit struct {
	Serial  string
	Block   uint32 // bytes
	Count   uint64 // blocks
	Fixed   bool   // it cannot be written
	Longest uint32 // blocks of the longest transfer
	Extent  uint32 // bytes of an extent: what space is given back in
}

// LongestUnmap bounds blocks of one UNMAP or WRITE SAME.
const LongestUnmap = 1 << 16

// Names of commands that are known and refused: who reserves a unit here would be told a thing that does not hold.
var refusedNames = map[byte]string{opReserve6: "RESERVE (6)", opRelease6: "RELEASE (6)", opReserve10: "RESERVE (10)", opRelease10: "RELEASE (10)",
	opPersistentIn: "PERSISTENT RESERVE IN", opPersistentOut: "PERSISTENT RESERVE OUT"}

// RefusedName is the name of a command that is refused though it is known; empty for others.
func RefusedName(op byte) string { return refusedNames[op] }

// Parse reads a command descriptor block. What is out of bounds for the unit is refused here.
func (u *Unit) Parse(cdb []byte) (c Command, sense *Sense) {
	if len(cdb) < 16 {
		cdb = append(append([]byte{}, cdb...), make([]byte, 16-len(cdb))...)
	}
	be := binary.BigEndian
	rw := func(kind Kind, block uint64, count uint64, flags byte) (Command, *Sense) {
		c.Kind, c.Block, c.Blocks, c.Through = kind, block, count, flags&0x08 != 0
		if flags>>5 != 0 {
			return c, BadField // protection information is not held here
		}
		return c, u.within(&c)
	}
	switch cdb[0] {
	case opTestUnitReady, opStartStop:
		c.Kind = Ready
	case opRequestSense:
		c.Kind, c.Alloc = LastSense, int(cdb[4])
		if cdb[1]&1 != 0 {
			return c, BadField // descriptor format
		}
	case opInquiry:
		c.Kind, c.Vital, c.Page, c.Alloc = Inquiry, cdb[1]&1 != 0, cdb[2], int(be.Uint16(cdb[3:]))
		if !c.Vital && c.Page != 0 {
			return c, BadField
		}
	case opReportLuns:
		c.Kind, c.Alloc = Luns, length(be.Uint32(cdb[6:]))
		if c.Alloc < 16 {
			return c, BadField
		}
	case opReadCapacity10:
		c.Kind, c.Alloc = Capacity10, 8
	case opServiceIn16:
		c.Kind, c.Alloc = Capacity16, length(be.Uint32(cdb[10:]))
		if cdb[1]&0x1f != 0x10 {
			return c, NoSuchCommand
		}
	case opModeSense6:
		c.Kind, c.Page, c.Alloc, c.NoDesc = Modes, cdb[2], int(cdb[4]), cdb[1]&8 != 0
	case opModeSense10:
		c.Kind, c.Page, c.Alloc, c.NoDesc, c.Long = Modes, cdb[2], int(be.Uint16(cdb[7:])), cdb[1]&8 != 0, true
	case opRead6, opWrite6:
		n := uint64(cdb[4])
		if n == 0 {
			n = 256
		}
		kind := Read
		if cdb[0] == opWrite6 {
			kind = Write
		}
		return rw(kind, uint64(be.Uint32(cdb)&0x1fffff), n, 0)
	case opRead10:
		return rw(Read, uint64(be.Uint32(cdb[2:])), uint64(be.Uint16(cdb[7:])), cdb[1])
	case opWrite10:
		return rw(Write, uint64(be.Uint32(cdb[2:])), uint64(be.Uint16(cdb[7:])), cdb[1])
	case opRead16:
		return rw(Read, be.Uint64(cdb[2:]), uint64(be.Uint32(cdb[10:])), cdb[1])
	case opWrite16:
		return rw(Write, be.Uint64(cdb[2:]), uint64(be.Uint32(cdb[10:])), cdb[1])
	case opVerify10, opVerify16:
		c.Kind, c.Block, c.Blocks = Verify, uint64(be.Uint32(cdb[2:])), uint64(be.Uint16(cdb[7:]))
		if cdb[0] == opVerify16 {
			c.Block, c.Blocks = be.Uint64(cdb[2:]), uint64(be.Uint32(cdb[10:]))
		}
		if cdb[1]&0xe6 != 0 {
			return c, BadField // protection, and comparing with data that comes
		}
		return c, u.within(&c)
	case opSync10, opSync16:
		c.Kind, c.Block, c.Blocks = Sync, uint64(be.Uint32(cdb[2:])), uint64(be.Uint16(cdb[7:]))
		if cdb[0] == opSync16 {
			c.Block, c.Blocks = be.Uint64(cdb[2:]), uint64(be.Uint32(cdb[10:]))
		}
		if c.Block > u.Count || c.Blocks > u.Count-c.Block {
			return c, OutOfRange
		}
	case opUnmap:
		c.Kind, c.Alloc = Unmap, int(be.Uint16(cdb[7:]))
		if cdb[1]&1 != 0 {
			return c, BadField // anchored space is not held
		}
		if u.Fixed {
			return c, WriteProtected
		}
	case opWriteSame10, opWriteSame16:
		c.Kind, c.Block, c.Blocks = WriteSame, uint64(be.Uint32(cdb[2:])), uint64(be.Uint16(cdb[7:]))
		if cdb[0] == opWriteSame16 {
			c.Block, c.Blocks = be.Uint64(cdb[2:]), uint64(be.Uint32(cdb[10:]))
			c.Loose = cdb[1]&1 != 0
		}
		c.Zeros = cdb[1]&8 != 0
		if cdb[1]&0xf6 != 0 || c.Loose && !c.Zeros {
			return c, BadField // protection, anchoring, and blocks with their numbers in them
		}
		if c.Blocks == 0 { // until the end
			c.Blocks = u.Count - min(c.Block, u.Count)
		}
		if c.Blocks > LongestUnmap {
			return c, BadField
		}
		return c, u.within(&c)
	case opCompareWrite:
		c.Kind, c.Block, c.Blocks, c.Through = CompareSwap, be.Uint64(cdb[2:]), uint64(cdb[13]), cdb[1]&8 != 0
		if cdb[1]>>5 != 0 {
			return c, BadField
		}
		return c, u.within(&c)
	default:
		return c, NoSuchCommand
	}
	return c, nil
}

func length(n uint32) int { return int(min(n, math.MaxInt32)) }

// within tells whether a command's blocks are there, are not too many, and may be written.
func (u *Unit) within(c *Command) *Sense {
	switch {
	case c.Block > u.Count || c.Blocks > u.Count-c.Block:
		return &Sense{Key: OutOfRange.Key, Code: OutOfRange.Code, Info: uint32(min(c.Block, math.MaxUint32)), Valid: true}
	case (c.Kind == Read || c.Kind == Write || c.Kind == Verify) && c.Blocks > uint64(u.Longest):
		return BadField
	case u.Fixed && (c.Kind == Write || c.Kind == WriteSame || c.Kind == CompareSwap):
		return WriteProtected
	}
	return nil
}

// Expects is how many bytes a command brings with it, and how many it answers with at most.
func (c *Command) Expects(u *Unit) (in, out uint64) {
	switch c.Kind {
	case Read:
		return 0, c.Blocks * uint64(u.Block)
	case Write:
		return c.Blocks * uint64(u.Block), 0
	case CompareSwap:
		return 2 * c.Blocks * uint64(u.Block), 0
	case WriteSame:
		if c.Loose {
			return 0, 0
		}
		return uint64(u.Block), 0
	case Unmap:
		return uint64(c.Alloc), 0
	case Ready, Sync, Verify:
		return 0, 0
	}
	return 0, uint64(c.Alloc)
}

// Range is a run of blocks.
type Range struct{ Block, Blocks uint64 }

// Ranges reads what an UNMAP brings.
func (u *Unit) Ranges(data []byte) (list []Range, sense *Sense) {
	if len(data) == 0 {
		return nil, nil
	}
	if len(data) < 8 {
		return nil, ShortList
	}
	n := int(binary.BigEndian.Uint16(data[2:]))
	if n%16 != 0 || n > len(data)-8 {
		return nil, BadList
	}
	all := uint64(0)
	for at := 8; at < 8+n; at += 16 {
		r := Range{binary.BigEndian.Uint64(data[at:]), uint64(binary.BigEndian.Uint32(data[at+8:]))}
		if r.Block > u.Count || r.Blocks > u.Count-r.Block {
			return nil, OutOfRange
		}
		if all += r.Blocks; all > LongestUnmap {
			return nil, BadList
		}
		if r.Blocks > 0 {
			list = append(list, r)
		}
	}
	return list, nil
}
