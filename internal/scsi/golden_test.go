package scsi

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"testing"

	"irispost/internal/testkit/golden"
)

// Initiators depend on each byte of a unit's responses. This test compares the results of every opcode, with several
// values in its fields, on a writable and a read-only unit.
func TestGoldenCommandsAndAnswers(t *testing.T) {
	var out bytes.Buffer
	for _, u := range []*Unit{
		{Serial: "/meals/disk", BlockSize: 4096, Blocks: 1000, MaxTransferBlocks: 256, ExtentSize: 256 << 10},
		{Serial: "/meals/big", BlockSize: 512, Blocks: 1 << 40, MaxTransferBlocks: 8192, ExtentSize: 64 << 10, ReadOnly: true},
	} {
		for op := range 256 {
			for _, fields := range [][]uint64{
				{},
				{1, 1, 1, 2, 1, 0x80, 3, 2, 255, 7, 2, 24, 10, 4, 64},
				{1, 1, 8, 2, 4, 7, 6, 4, 64, 10, 4, 3},
				{1, 1, 0x10, 2, 1, 0x3f, 4, 1, 255, 7, 2, 255, 10, 4, 32},
				{1, 1, 9, 2, 8, 9, 10, 4, 5, 13, 1, 2},
				{1, 1, 0x20},
				{2, 8, 999, 10, 4, 257},
			} {
				describe(&out, u, buildCDB(byte(op), fields...))
			}
		}
		for _, page := range []uint64{0x00, 0x80, 0x83, 0xb0, 0xb1, 0xb2, 0xc0} {
			describe(&out, u, buildCDB(opInquiry, 1, 1, 1, 2, 1, page, 3, 2, 255))
		}
		for _, page := range []uint64{0x08, 0x0a, 0x1c, 0x3f, 0x48, 0x7f, 0xc8} {
			describe(&out, u, buildCDB(opModeSense6, 2, 1, page, 4, 1, 255))
			describe(&out, u, buildCDB(opModeSense10, 1, 1, 8, 2, 1, page, 7, 2, 255))
		}
	}
	for _, s := range []*Sense{InvalidOpcode, InvalidField, InvalidParameterList, ParameterListLength, LBAOutOfRange,
		LUNNotSupported, NotReady, BecomingReady, CommandTimeout,
		Miscompare, WriteProtected, NotEnoughUnsolicitedData, CRCError, {Key: 1, Information: 9, Valid: true}} {
		fmt.Fprintf(&out, "%s: %x\n", s, s.Bytes())
	}
	for lun := range 5 {
		fmt.Fprintf(&out, "lun %d: %x\n", lun*150, EncodeLUN(uint16(lun*150)))
	}
	golden.Check(t, "commands.txt", out.Bytes())
}

// describe writes the result of parsing and answering a command. It omits unsupported opcodes, except those of
// reservations.
func describe(out *bytes.Buffer, unit *Unit, cdb []byte) {
	command, sense := unit.Parse(cdb)
	if sense != nil {
		if sense != InvalidOpcode {
			fmt.Fprintf(out, "%x: %s, info %d %t\n", cdb, sense, sense.Information, sense.Valid)
		} else if name := ReservationName(cdb[0]); name != "" {
			fmt.Fprintf(out, "%x: %s is refused\n", cdb, name)
		}
		return
	}
	dataOut, maxDataIn := command.DataLengths(unit)
	fmt.Fprintf(out, "%x: kind %d, block %d, %d blocks, brings %d, answers %d",
		cdb, command.Kind, command.LBA, command.Blocks, dataOut, maxDataIn)
	answer, sense := unit.ResponseData(&command, []uint16{0, 300})
	if sense != nil {
		fmt.Fprintf(out, ", %s", sense)
	}
	fmt.Fprintf(out, ", %t %s\n", command.ForceUnitAccess, hex.EncodeToString(answer))
}
