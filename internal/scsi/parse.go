package scsi

import (
	"encoding/binary"
	"math"
)

// Opcodes (SPC-4, SBC-3).
const (
	opTestUnitReady     = 0x00
	opRequestSense      = 0x03
	opRead6             = 0x08
	opWrite6            = 0x0a
	opInquiry           = 0x12
	opReserve6          = 0x16
	opRelease6          = 0x17
	opModeSense6        = 0x1a
	opStartStop         = 0x1b
	opReadCapacity10    = 0x25
	opRead10            = 0x28
	opWrite10           = 0x2a
	opVerify10          = 0x2f
	opSync10            = 0x35
	opWriteSame10       = 0x41
	opUnmap             = 0x42
	opReserve10         = 0x56
	opRelease10         = 0x57
	opModeSense10       = 0x5a
	opPersistentIn      = 0x5e
	opPersistentOut     = 0x5f
	opRead16            = 0x88
	opCompareWrite      = 0x89
	opWrite16           = 0x8a
	opVerify16          = 0x8f
	opSync16            = 0x91
	opWriteSame16       = 0x93
	opServiceActionIn16 = 0x9e
	opReportLuns        = 0xa0
)

const (
	cdbLength                   = 16   // bytes of the longest supported command descriptor block
	serviceActionReadCapacity16 = 0x10 // the only supported service action of SERVICE ACTION IN (16)
	read6DefaultBlocks          = 256  // number of blocks if the length field is 0
	read6LBAMask                = 1<<21 - 1
	minReportLunsLength         = 16
	readCapacity10Length        = 8
	protectionFieldShift        = 5    // of byte 1; protection information is not supported
	flagForceUnitAccess         = 0x08 // of byte 1
	verifyUnsupportedFlags      = 0xe6 // of byte 1: protection information, and the comparison with Data-Out
	writeSameUnsupported        = 0xf6 // of byte 1: protection information, ANCHOR, PBDATA, LBDATA (addresses as data)
)

// reservationNames holds the names of the reservation commands, which are rejected: a reservation at this gateway would
// not hold at other gateways, but an initiator would rely on it.
var reservationNames = map[byte]string{
	opReserve6:      "RESERVE (6)",
	opRelease6:      "RELEASE (6)",
	opReserve10:     "RESERVE (10)",
	opRelease10:     "RELEASE (10)",
	opPersistentIn:  "PERSISTENT RESERVE IN",
	opPersistentOut: "PERSISTENT RESERVE OUT",
}

// ReservationName returns the name of a reservation command, and "" for any other opcode. Units support none of them.
func ReservationName(opcode byte) string { return reservationNames[opcode] }

// Parse parses a command descriptor block. It returns sense data for unsupported and invalid commands, and for those
// that exceed the unit's capacity or limits.
func (u *Unit) Parse(cdb []byte) (Command, *Sense) {
	if len(cdb) < cdbLength {
		cdb = append(append([]byte{}, cdb...), make([]byte, cdbLength-len(cdb))...)
	}
	switch cdb[0] {
	case opTestUnitReady, opStartStop:
		return Command{Kind: TestUnitReady}, nil
	case opRequestSense, opInquiry, opReportLuns, opReadCapacity10, opServiceActionIn16, opModeSense6, opModeSense10:
		return parseQuery(cdb)
	case opRead6, opRead10, opRead16:
		return u.parseReadWrite(Read, cdb)
	case opWrite6, opWrite10, opWrite16:
		return u.parseReadWrite(Write, cdb)
	case opVerify10, opVerify16:
		return u.parseVerify(cdb)
	case opSync10, opSync16:
		return u.parseSynchronizeCache(cdb)
	case opUnmap:
		return u.parseUnmapCommand(cdb)
	case opWriteSame10, opWriteSame16:
		return u.parseWriteSame(cdb)
	case opCompareWrite:
		return u.parseCompareAndWrite(cdb)
	}
	return Command{}, InvalidOpcode
}

// parseQuery parses the commands whose response Unit.ResponseData builds.
func parseQuery(cdb []byte) (Command, *Sense) {
	be := binary.BigEndian
	switch cdb[0] {
	case opRequestSense:
		c := Command{Kind: RequestSense, AllocationLength: int(cdb[4])}
		if cdb[1]&1 != 0 { // DESC: sense data in descriptor format
			return c, InvalidField
		}
		return c, nil
	case opInquiry:
		c := Command{Kind: Inquiry, VitalProductData: cdb[1]&1 != 0, Page: cdb[2], AllocationLength: int(be.Uint16(cdb[3:]))}
		if !c.VitalProductData && c.Page != 0 {
			return c, InvalidField
		}
		return c, nil
	case opReportLuns:
		c := Command{Kind: ReportLUNs, AllocationLength: allocationLength(cdb[6:])}
		if c.AllocationLength < minReportLunsLength {
			return c, InvalidField
		}
		return c, nil
	case opReadCapacity10:
		return Command{Kind: ReadCapacity10, AllocationLength: readCapacity10Length}, nil
	case opServiceActionIn16:
		c := Command{Kind: ReadCapacity16, AllocationLength: allocationLength(cdb[10:])}
		if cdb[1]&0x1f != serviceActionReadCapacity16 {
			return c, InvalidOpcode
		}
		return c, nil
	}
	c := Command{Kind: ModeSense, Page: cdb[2], AllocationLength: int(cdb[4]), DisableBlockDescriptors: cdb[1]&8 != 0}
	if cdb[0] == opModeSense10 {
		c.AllocationLength = int(be.Uint16(cdb[7:]))
		c.LongForm = true
	}
	return c, nil
}

func allocationLength(field []byte) int {
	return int(min(binary.BigEndian.Uint32(field), math.MaxInt32))
}

// is16 reports whether a CDB has 16 bytes, which follows from the group code (SPC-4, 4.2.5.1).
func is16(cdb []byte) bool { return cdb[0]>>5 == 4 }

// parseRange returns the first block and the number of blocks of a 10-byte or 16-byte CDB.
func parseRange(cdb []byte) (lba, blocks uint64) {
	if is16(cdb) {
		return binary.BigEndian.Uint64(cdb[2:]), uint64(binary.BigEndian.Uint32(cdb[10:]))
	}
	return uint64(binary.BigEndian.Uint32(cdb[2:])), uint64(binary.BigEndian.Uint16(cdb[7:]))
}

func (u *Unit) parseReadWrite(kind CommandKind, cdb []byte) (Command, *Sense) {
	c := Command{Kind: kind}
	if cdb[0] == opRead6 || cdb[0] == opWrite6 {
		c.LBA = uint64(binary.BigEndian.Uint32(cdb) & read6LBAMask)
		c.Blocks = uint64(cdb[4])
		if c.Blocks == 0 {
			c.Blocks = read6DefaultBlocks
		}
		return c, u.checkRange(&c)
	}
	c.LBA, c.Blocks = parseRange(cdb)
	c.ForceUnitAccess = cdb[1]&flagForceUnitAccess != 0
	if cdb[1]>>protectionFieldShift != 0 {
		return c, InvalidField
	}
	return c, u.checkRange(&c)
}

func (u *Unit) parseVerify(cdb []byte) (Command, *Sense) {
	c := Command{Kind: Verify}
	c.LBA, c.Blocks = parseRange(cdb)
	if cdb[1]&verifyUnsupportedFlags != 0 {
		return c, InvalidField
	}
	return c, u.checkRange(&c)
}

func (u *Unit) parseSynchronizeCache(cdb []byte) (Command, *Sense) {
	c := Command{Kind: SynchronizeCache}
	c.LBA, c.Blocks = parseRange(cdb)
	if !u.contains(c.LBA, c.Blocks) {
		return c, LBAOutOfRange
	}
	return c, nil
}

func (u *Unit) parseUnmapCommand(cdb []byte) (Command, *Sense) {
	c := Command{Kind: Unmap, AllocationLength: int(binary.BigEndian.Uint16(cdb[7:]))}
	if cdb[1]&1 != 0 { // ANCHOR is not supported
		return c, InvalidField
	}
	if u.ReadOnly {
		return c, WriteProtected
	}
	return c, nil
}

func (u *Unit) parseWriteSame(cdb []byte) (Command, *Sense) {
	c := Command{Kind: WriteSame, UnmapBlocks: cdb[1]&8 != 0}
	c.LBA, c.Blocks = parseRange(cdb)
	c.NoDataOut = is16(cdb) && cdb[1]&1 != 0
	if cdb[1]&writeSameUnsupported != 0 || c.NoDataOut && !c.UnmapBlocks {
		return c, InvalidField
	}
	if c.Blocks == 0 { // up to the last block
		c.Blocks = u.Blocks - min(c.LBA, u.Blocks)
	}
	if c.Blocks > MaxUnmapBlocks {
		return c, InvalidField
	}
	return c, u.checkRange(&c)
}

func (u *Unit) parseCompareAndWrite(cdb []byte) (Command, *Sense) {
	c := Command{
		Kind:            CompareAndWrite,
		LBA:             binary.BigEndian.Uint64(cdb[2:]),
		Blocks:          uint64(cdb[13]),
		ForceUnitAccess: cdb[1]&flagForceUnitAccess != 0,
	}
	if cdb[1]>>protectionFieldShift != 0 {
		return c, InvalidField
	}
	return c, u.checkRange(&c)
}

// checkRange checks a command's blocks against the unit's capacity, its maximum transfer length and its write
// protection.
func (u *Unit) checkRange(c *Command) *Sense {
	transfers := c.Kind == Read || c.Kind == Write || c.Kind == Verify
	writes := c.Kind == Write || c.Kind == WriteSame || c.Kind == CompareAndWrite
	switch {
	case !u.contains(c.LBA, c.Blocks):
		sense := *LBAOutOfRange
		sense.Information = uint32(min(c.LBA, math.MaxUint32))
		sense.Valid = true
		return &sense
	case transfers && c.Blocks > uint64(u.MaxTransferBlocks):
		return InvalidField
	case u.ReadOnly && writes:
		return WriteProtected
	}
	return nil
}
