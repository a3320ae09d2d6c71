package scsi

import (
	"encoding/binary"
	"testing"
)

func testUnit() *Unit {
	return &Unit{Serial: "orders-1", BlockSize: 4096, Blocks: 1000, MaxTransferBlocks: 256, ExtentSize: 256 << 10}
}

// buildCDB builds a CDB from an opcode and fields, each given as offset, size in bytes (at most 8) and value.
func buildCDB(op byte, fields ...uint64) []byte {
	cdb := make([]byte, 16)
	cdb[0] = op
	for i := 0; i+2 < len(fields); i += 3 {
		offset, size, value := fields[i], fields[i+1], fields[i+2]
		var encoded [8]byte
		binary.BigEndian.PutUint64(encoded[:], value)
		copy(cdb[offset:offset+size], encoded[8-size:])
	}
	return cdb
}

// Commands that are invalid or exceed the unit's capacity or limits are rejected by the parser.
func TestParseReturnsCommandOrSense(t *testing.T) {
	unit := testUnit()
	for name, c := range map[string]struct {
		cdb   []byte
		want  Command
		sense *Sense
	}{
		"read 6":           {buildCDB(opRead6, 1, 3, 5, 4, 1, 2), Command{Kind: Read, LBA: 5, Blocks: 2}, nil},
		"read 6, 0 is 256": {buildCDB(opRead6), Command{Kind: Read, Blocks: 256}, nil},
		"write 6":          {buildCDB(opWrite6, 1, 3, 999, 4, 1, 1), Command{Kind: Write, LBA: 999, Blocks: 1}, nil},
		"read 10":          {buildCDB(opRead10, 2, 4, 990, 7, 2, 10), Command{Kind: Read, LBA: 990, Blocks: 10}, nil},
		"write 10, fua": {buildCDB(opWrite10, 1, 1, 8, 2, 4, 7, 7, 2, 3),
			Command{Kind: Write, LBA: 7, Blocks: 3, ForceUnitAccess: true}, nil},
		"read 16":           {buildCDB(opRead16, 2, 8, 1, 10, 4, 256), Command{Kind: Read, LBA: 1, Blocks: 256}, nil},
		"no blocks":         {buildCDB(opRead16, 2, 8, 1000), Command{Kind: Read, LBA: 1000}, nil},
		"past the end":      {buildCDB(opRead10, 2, 4, 999, 7, 2, 2), Command{}, LBAOutOfRange},
		"far past":          {buildCDB(opWrite16, 2, 8, 1<<63, 10, 4, 1), Command{}, LBAOutOfRange},
		"LBA overflow":      {buildCDB(opRead16, 2, 8, 1<<64-1, 10, 4, 2), Command{}, LBAOutOfRange},
		"too many blocks":   {buildCDB(opRead16, 2, 8, 0, 10, 4, 257), Command{}, InvalidField},
		"protection":        {buildCDB(opRead10, 1, 1, 0x20, 7, 2, 1), Command{}, InvalidField},
		"compare and write": {buildCDB(opCompareWrite, 2, 8, 9, 13, 1, 1), Command{Kind: CompareAndWrite, LBA: 9, Blocks: 1}, nil},
		"write same": {buildCDB(opWriteSame16, 1, 1, 9, 2, 8, 9, 10, 4, 5),
			Command{Kind: WriteSame, LBA: 9, Blocks: 5, UnmapBlocks: true, NoDataOut: true}, nil},
		"write same to end":  {buildCDB(opWriteSame10, 2, 4, 900), Command{Kind: WriteSame, LBA: 900, Blocks: 100}, nil},
		"NDOB without UNMAP": {buildCDB(opWriteSame16, 1, 1, 1, 10, 4, 1), Command{}, InvalidField},
		"sync":               {buildCDB(opSync10), Command{Kind: SynchronizeCache}, nil},
		"sync past":          {buildCDB(opSync16, 2, 8, 1001), Command{}, LBAOutOfRange},
		"verify":             {buildCDB(opVerify10, 2, 4, 3, 7, 2, 4), Command{Kind: Verify, LBA: 3, Blocks: 4}, nil},
		"verify with data":   {buildCDB(opVerify10, 1, 1, 2, 7, 2, 4), Command{}, InvalidField},
		"unmap":              {buildCDB(opUnmap, 7, 2, 24), Command{Kind: Unmap, AllocationLength: 24}, nil},
		"reserve":            {buildCDB(opReserve6), Command{}, InvalidOpcode},
		"persistent":         {buildCDB(opPersistentOut), Command{}, InvalidOpcode},
		"unknown":            {buildCDB(0xff), Command{}, InvalidOpcode},
		"inquiry":            {buildCDB(opInquiry, 3, 2, 96), Command{Kind: Inquiry, AllocationLength: 96}, nil},
		"page without EVPD":  {buildCDB(opInquiry, 2, 1, 0x80, 3, 2, 96), Command{}, InvalidField},
		"capacity 16":        {buildCDB(opServiceActionIn16, 1, 1, 0x10, 10, 4, 32), Command{Kind: ReadCapacity16, AllocationLength: 32}, nil},
		"other service":      {buildCDB(opServiceActionIn16, 1, 1, 0x12), Command{}, InvalidOpcode},
		"luns, short":        {buildCDB(opReportLuns, 6, 4, 8), Command{}, InvalidField},
	} {
		got, sense := unit.Parse(c.cdb)
		switch {
		case (sense == nil) != (c.sense == nil) || sense != nil && (sense.Key != c.sense.Key || sense.Code != c.sense.Code):
			t.Errorf("%s: got sense %v, want %v", name, sense, c.sense)
		case sense == nil && got != c.want:
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

func TestParseRejectsWritesOfReadOnlyUnits(t *testing.T) {
	unit := testUnit()
	unit.ReadOnly = true
	for _, cdb := range [][]byte{
		buildCDB(opWrite10, 7, 2, 1),
		buildCDB(opUnmap),
		buildCDB(opWriteSame10, 7, 2, 1),
		buildCDB(opCompareWrite, 13, 1, 1),
	} {
		if _, sense := unit.Parse(cdb); sense != WriteProtected {
			t.Errorf("opcode %x on a read-only unit: got sense %v, want WriteProtected", cdb[0], sense)
		}
	}
}

func TestParsePadsShortBlocks(t *testing.T) {
	if _, sense := testUnit().Parse([]byte{opTestUnitReady}); sense != nil {
		t.Errorf("CDB of one byte: got sense %v, want none", sense)
	}
}

// mustRespond parses a CDB and returns the response data. Sense data fails the test.
func mustRespond(t *testing.T, unit *Unit, cdb []byte) []byte {
	t.Helper()
	command, sense := unit.Parse(cdb)
	if sense != nil {
		t.Fatal(sense)
	}
	answer, sense := unit.ResponseData(&command, []uint16{0, 300})
	if sense != nil {
		t.Fatal(sense)
	}
	return answer
}

func TestInquiryDescribesTheUnit(t *testing.T) {
	unit, be := testUnit(), binary.BigEndian
	answer := mustRespond(t, unit, buildCDB(opInquiry, 3, 2, 255))
	if len(answer) != 96 || int(answer[4])+5 != len(answer) || string(answer[8:16]) != "IRISPOST" {
		t.Errorf("INQUIRY: got %x, want 96 bytes with a matching length field and the vendor IRISPOST", answer)
	}
	if answer := mustRespond(t, unit, buildCDB(opInquiry, 3, 2, 36)); len(answer) != 36 {
		t.Errorf("INQUIRY with allocation length 36: got %d bytes, want 36", len(answer))
	}
	pages := mustRespond(t, unit, buildCDB(opInquiry, 1, 1, 1, 3, 2, 255))
	for _, page := range pages[4:] {
		answer := mustRespond(t, unit, buildCDB(opInquiry, 1, 1, 1, 2, 1, uint64(page), 3, 2, 255))
		if answer[1] != page || int(be.Uint16(answer[2:]))+4 != len(answer) {
			t.Errorf("VPD page %x: got %x, want a matching page code and page length", page, answer)
		}
		if page != pageBlockLimits {
			continue
		}
		if len(answer) != 64 || be.Uint32(answer[8:]) != 256 || be.Uint32(answer[28:]) != 64 || answer[5] != 255 {
			t.Errorf("block limits page: got %x, want 64 bytes, transfer length 256, granularity 64 and compare length 255", answer)
		}
	}
}

func TestReadCapacity(t *testing.T) {
	unit, be := testUnit(), binary.BigEndian
	if answer := mustRespond(t, unit, buildCDB(opReadCapacity10)); be.Uint32(answer) != 999 || be.Uint32(answer[4:]) != 4096 {
		t.Errorf("READ CAPACITY (10): got %x, want last block 999 and block size 4096", answer)
	}
	answer := mustRespond(t, unit, buildCDB(opServiceActionIn16, 1, 1, 0x10, 10, 4, 32))
	if be.Uint64(answer) != 999 || be.Uint32(answer[8:]) != 4096 {
		t.Errorf("READ CAPACITY (16): got %x, want last block 999 and block size 4096", answer)
	}
	unit.Blocks = 1 << 40
	if answer := mustRespond(t, unit, buildCDB(opReadCapacity10)); be.Uint32(answer) != 0xffffffff {
		t.Errorf("READ CAPACITY (10) of 1<<40 blocks: got %x, want last block ffffffff", answer)
	}
}

func TestReportLUNsIsDecoded(t *testing.T) {
	answer := mustRespond(t, testUnit(), buildCDB(opReportLuns, 6, 4, 64))
	if binary.BigEndian.Uint32(answer) != 16 || len(answer) != 24 {
		t.Errorf("REPORT LUNS: got %x, want 24 bytes with list length 16", answer)
	}
	for i, want := range []uint16{0, 300} {
		if lun, ok := DecodeLUN(answer[8+8*i:]); !ok || lun != want {
			t.Errorf("LUN: want %d, got %d, %v", want, lun, ok)
		}
	}
	if _, ok := DecodeLUN([]byte{0xc0, 1, 0, 0, 0, 0, 0, 0}); ok {
		t.Error("LUN with an unsupported addressing method: got it decoded, want it rejected")
	}
}

func TestModeSense(t *testing.T) {
	unit, be := testUnit(), binary.BigEndian
	answer := mustRespond(t, unit, buildCDB(opModeSense6, 2, 1, 0x3f, 4, 1, 255))
	if int(answer[0])+1 != len(answer) || answer[3] != 8 || be.Uint32(answer[4:]) != 1000 {
		t.Errorf("MODE SENSE (6), all pages: got %x, want a matching length and a block descriptor of 1000 blocks", answer)
	}
	answer = mustRespond(t, unit, buildCDB(opModeSense10, 1, 1, 8, 2, 1, 0x08, 7, 2, 255))
	if int(be.Uint16(answer))+2 != len(answer) || answer[8] != 8 || answer[10]&4 == 0 {
		t.Errorf("MODE SENSE (10), caching page: got %x, want a matching length and WCE, without a block descriptor", answer)
	}
	command, _ := unit.Parse(buildCDB(opModeSense6, 2, 1, 0x1c, 4, 1, 255))
	if _, sense := unit.ResponseData(&command, nil); sense != InvalidField {
		t.Errorf("MODE SENSE of an unsupported page: got sense %v, want InvalidField", sense)
	}
}

func TestDecodeSenseReadsWhatBytesWrote(t *testing.T) {
	sense := &Sense{Key: 5, Code: 0x21, Information: 77, Valid: true}
	if got, ok := DecodeSense(sense.Bytes()); !ok || *got != *sense {
		t.Errorf("want %+v, got %+v", sense, got)
	}
}

func TestParseUnmapBoundsRanges(t *testing.T) {
	unit := testUnit()
	list := func(ranges ...uint64) []byte {
		encoded := make([]byte, 8)
		for i := 0; i < len(ranges); i += 2 {
			encoded = binary.BigEndian.AppendUint64(encoded, ranges[i])
			encoded = binary.BigEndian.AppendUint32(encoded, uint32(ranges[i+1]))
			encoded = append(encoded, 0, 0, 0, 0)
		}
		binary.BigEndian.PutUint16(encoded, uint16(len(encoded)-2))
		binary.BigEndian.PutUint16(encoded[2:], uint16(len(encoded)-8))
		return encoded
	}
	if got, sense := unit.ParseUnmap(list(1, 2, 5, 0, 990, 10)); sense != nil || len(got) != 2 || got[1] != (Range{990, 10}) {
		t.Errorf("got ranges %v and sense %v, want two ranges, the last of 10 blocks at 990, and no sense", got, sense)
	}
	unit.Blocks = 1 << 20
	odd := list(1, 2)
	binary.BigEndian.PutUint16(odd[2:], 17)
	long := list(1, 2)
	binary.BigEndian.PutUint16(long[2:], 32)
	for name, c := range map[string]struct {
		data []byte
		want *Sense
	}{
		"short":                  {[]byte{1, 2}, ParameterListLength},
		"not whole descriptors":  {odd, InvalidParameterList},
		"length field too large": {long, InvalidParameterList},
		"past the end":           {list(1<<20, 1), LBAOutOfRange},
		"overflow":               {list(1<<64-1, 2), LBAOutOfRange},
		"total too large":        {list(0, MaxUnmapBlocks, 70_000, 1), InvalidParameterList},
	} {
		if _, sense := unit.ParseUnmap(c.data); sense != c.want {
			t.Errorf("%s: got sense %v, want %v", name, sense, c.want)
		}
	}
}

// Any CDB is parsed or rejected, and the blocks of a parsed command are within the unit.
func FuzzParse(f *testing.F) {
	f.Add(buildCDB(opRead16, 2, 8, 1, 10, 4, 256), []byte{})
	f.Fuzz(func(t *testing.T, cdb, data []byte) {
		unit := testUnit()
		command, sense := unit.Parse(cdb)
		if sense != nil {
			return
		}
		if dataOut, dataIn := command.DataLengths(unit); dataOut > 1<<31 || dataIn > 1<<31 {
			t.Errorf("%+v has %d bytes of Data-Out and %d of Data-In, want at most 1<<31 each", command, dataOut, dataIn)
		}
		if command.Kind >= Read && command.Kind != Unmap && command.LBA+command.Blocks > unit.Blocks {
			t.Errorf("got %+v, which ends after the last block; want it rejected", command)
		}
		_, _ = unit.ResponseData(&command, []uint16{0}) // must not panic
		_, _ = unit.ParseUnmap(data)
	})
}
