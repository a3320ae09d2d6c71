package initiator

import "encoding/binary"

// SCSI command opcodes, service actions, VPD pages and lengths that a Disk uses (SPC-4, SBC-3).
const (
	opTestUnitReady      = 0x00
	opInquiry            = 0x12
	opUnmap              = 0x42
	opRead16             = 0x88
	opCompareAndWrite    = 0x89
	opWrite16            = 0x8a
	opSynchronizeCache16 = 0x91
	opServiceActionIn16  = 0x9e

	serviceReadCapacity16 = 0x10
	pageBlockLimits       = 0xb0

	cdbLength          = 16
	readCapacityLength = 32 // allocation length in bytes
)

// newCDB returns a command descriptor block of 16 bytes that begins with first and ends with zeros.
func newCDB(first ...byte) []byte { return append(first, make([]byte, cdbLength-len(first))...) }

// blockCDB returns the CDB of a READ (16), a WRITE (16) or another command with the same layout.
func blockCDB(opcode byte, lba uint64, blocks int) []byte {
	cdb := newCDB(opcode)
	binary.BigEndian.PutUint64(cdb[2:], lba)
	binary.BigEndian.PutUint32(cdb[10:], uint32(blocks))
	return cdb
}

func readCapacityCDB() []byte {
	cdb := newCDB(opServiceActionIn16, serviceReadCapacity16)
	binary.BigEndian.PutUint32(cdb[10:], readCapacityLength)
	return cdb
}

func compareAndWriteCDB(lba uint64, blocks int) []byte {
	cdb := newCDB(opCompareAndWrite)
	binary.BigEndian.PutUint64(cdb[2:], lba)
	cdb[13] = byte(blocks)
	return cdb
}

func unmapCDB(listLength int) []byte {
	cdb := newCDB(opUnmap)
	binary.BigEndian.PutUint16(cdb[7:], uint16(listLength))
	return cdb
}

// unmapList returns the parameter list of an UNMAP command for one range (SBC-3, 5.28.2).
func unmapList(lba uint64, blocks int) []byte {
	const length, descriptorsLength = 24, 16
	list := make([]byte, length)
	binary.BigEndian.PutUint16(list, length-2)
	binary.BigEndian.PutUint16(list[2:], descriptorsLength)
	binary.BigEndian.PutUint64(list[8:], lba)
	binary.BigEndian.PutUint32(list[16:], uint32(blocks))
	return list
}
