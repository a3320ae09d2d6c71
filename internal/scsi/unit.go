// Package scsi parses the SCSI commands of a direct-access block device (the parts of T10's SPC-4 and SBC-3 that a disk
// needs) and builds the responses to commands that do not access the medium. The iSCSI target (package iscsi/target)
// uses it and executes the reads and writes; the initiator uses its sense data and logical unit numbers. The package is
// pure: no I/O, no clock, no state.
package scsi

import "encoding/binary"

// MaxUnmapBlocks is the maximum number of blocks of one UNMAP or WRITE SAME.
const MaxUnmapBlocks = 1 << 16

// Unit describes a logical unit, a disk, without access to its data.
type Unit struct {
	Serial            string
	BlockSize         uint32 // bytes
	Blocks            uint64
	ReadOnly          bool
	MaxTransferBlocks uint32 // maximum transfer length of one command
	ExtentSize        uint32 // bytes; the optimal granularity of transfers and of unmapping
}

// extentBlocks returns the number of blocks of an extent, at least one.
func (u *Unit) extentBlocks() uint32 { return max(u.ExtentSize/u.BlockSize, 1) }

// Addressing methods of logical unit numbers (SAM-5, 4.7), encoded in the upper two bits, and their largest numbers.
const (
	peripheralAddressing = 0
	flatAddressing       = 1
	maxPeripheralLUN     = 1<<8 - 1
	maxFlatLUN           = 1<<14 - 1
)

// EncodeLUN encodes a logical unit number in 8 bytes, with peripheral device or flat space addressing.
func EncodeLUN(number uint16) []byte {
	b := make([]byte, 8)
	if number <= maxPeripheralLUN {
		b[1] = byte(number)
	} else {
		binary.BigEndian.PutUint16(b, flatAddressing<<14|number)
	}
	return b
}

// DecodeLUN decodes the 8 bytes of a logical unit number. It returns false for addressing methods and levels that
// EncodeLUN does not use.
func DecodeLUN(b []byte) (uint16, bool) {
	first := binary.BigEndian.Uint16(b)
	for _, lowerLevel := range b[2:8] {
		if lowerLevel != 0 {
			return 0, false
		}
	}
	switch first >> 14 {
	case peripheralAddressing:
		return first, first <= maxPeripheralLUN
	case flatAddressing:
		return first & maxFlatLUN, true
	}
	return 0, false
}

// Range is a range of consecutive blocks.
type Range struct{ LBA, Blocks uint64 }

// Lengths in the UNMAP parameter list (SBC-3, 5.28.2), in bytes.
const (
	unmapHeaderSize     = 8
	unmapDescriptorSize = 16
)

// ParseUnmap parses an UNMAP parameter list. It omits empty ranges.
func (u *Unit) ParseUnmap(list []byte) (ranges []Range, sense *Sense) {
	if len(list) == 0 {
		return nil, nil
	}
	if len(list) < unmapHeaderSize {
		return nil, ParameterListLength
	}
	length := int(binary.BigEndian.Uint16(list[2:]))
	if length%unmapDescriptorSize != 0 || length > len(list)-unmapHeaderSize {
		return nil, InvalidParameterList
	}
	descriptors := list[unmapHeaderSize : unmapHeaderSize+length]
	total := uint64(0)
	for ; len(descriptors) > 0; descriptors = descriptors[unmapDescriptorSize:] {
		unmapped := Range{
			LBA:    binary.BigEndian.Uint64(descriptors),
			Blocks: uint64(binary.BigEndian.Uint32(descriptors[8:])),
		}
		if !u.contains(unmapped.LBA, unmapped.Blocks) {
			return nil, LBAOutOfRange
		}
		total += unmapped.Blocks
		if total > MaxUnmapBlocks {
			return nil, InvalidParameterList
		}
		if unmapped.Blocks > 0 {
			ranges = append(ranges, unmapped)
		}
	}
	return ranges, nil
}

// contains reports whether a range lies within the unit. An empty range may begin right after the last block.
func (u *Unit) contains(lba, blocks uint64) bool { return lba <= u.Blocks && blocks <= u.Blocks-lba }
