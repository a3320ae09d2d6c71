package scsi

import (
	"encoding/binary"
	"testing"
)

func unit() *Unit {
	return &Unit{Serial: "orders-1", Block: 4096, Count: 1000, Longest: 256, Extent: 256 << 10}
}

// cdb builds a command: opcode, then fields at offsets, of 1, 2, 4 or 8 bytes.
func cdb(op byte, fields ...uint64) []byte {
	b := make([]byte, 16)
	b[0] = op
	for i := 0; i+2 < len(fields); i += 3 {
		at, size, v := fields[i], fields[i+1], fields[i+2]
		var whole [8]byte
		binary.BigEndian.PutUint64(whole[:], v)
		copy(b[at:at+size], whole[8-size:])
	}
	return b
}

func TestParse(t *testing.T) {
	u := unit()
	for name, c := range map[string]struct {
		cdb   []byte
		want  Command
		sense *Sense
	}{
		"read 6":            {cdb(opRead6, 1, 3, 5, 4, 1, 2), Command{Kind: Read, Block: 5, Blocks: 2}, nil},
		"read 6, 0 is 256":  {cdb(opRead6), Command{Kind: Read, Blocks: 256}, nil},
		"write 6":           {cdb(opWrite6, 1, 3, 999, 4, 1, 1), Command{Kind: Write, Block: 999, Blocks: 1}, nil},
		"read 10":           {cdb(opRead10, 2, 4, 990, 7, 2, 10), Command{Kind: Read, Block: 990, Blocks: 10}, nil},
		"write 10, fua":     {cdb(opWrite10, 1, 1, 8, 2, 4, 7, 7, 2, 3), Command{Kind: Write, Block: 7, Blocks: 3, Through: true}, nil},
		"read 16":           {cdb(opRead16, 2, 8, 1, 10, 4, 256), Command{Kind: Read, Block: 1, Blocks: 256}, nil},
		"nothing":           {cdb(opRead16, 2, 8, 1000), Command{Kind: Read, Block: 1000}, nil},
		"past the end":      {cdb(opRead10, 2, 4, 999, 7, 2, 2), Command{}, OutOfRange},
		"far past":          {cdb(opWrite16, 2, 8, 1<<63, 10, 4, 1), Command{}, OutOfRange},
		"sums that go over": {cdb(opRead16, 2, 8, 1<<64-1, 10, 4, 2), Command{}, OutOfRange},
		"too long":          {cdb(opRead16, 2, 8, 0, 10, 4, 257), Command{}, BadField},
		"protection":        {cdb(opRead10, 1, 1, 0x20, 7, 2, 1), Command{}, BadField},
		"compare and write": {cdb(opCompareWrite, 2, 8, 9, 13, 1, 1), Command{Kind: CompareSwap, Block: 9, Blocks: 1}, nil},
		"write same":        {cdb(opWriteSame16, 1, 1, 9, 2, 8, 9, 10, 4, 5), Command{Kind: WriteSame, Block: 9, Blocks: 5, Zeros: true, Loose: true}, nil},
		"write same to end": {cdb(opWriteSame10, 2, 4, 900), Command{Kind: WriteSame, Block: 900, Blocks: 100}, nil},
		"loose, no zeros":   {cdb(opWriteSame16, 1, 1, 1, 10, 4, 1), Command{}, BadField},
		"sync":              {cdb(opSync10), Command{Kind: Sync}, nil},
		"sync past":         {cdb(opSync16, 2, 8, 1001), Command{}, OutOfRange},
		"verify":            {cdb(opVerify10, 2, 4, 3, 7, 2, 4), Command{Kind: Verify, Block: 3, Blocks: 4}, nil},
		"verify with data":  {cdb(opVerify10, 1, 1, 2, 7, 2, 4), Command{}, BadField},
		"unmap":             {cdb(opUnmap, 7, 2, 24), Command{Kind: Unmap, Alloc: 24}, nil},
		"reserve":           {cdb(opReserve6), Command{}, NoSuchCommand},
		"persistent":        {cdb(opPersistentOut), Command{}, NoSuchCommand},
		"unknown":           {cdb(0xff), Command{}, NoSuchCommand},
		"inquiry":           {cdb(opInquiry, 3, 2, 96), Command{Kind: Inquiry, Alloc: 96}, nil},
		"inquiry, odd page": {cdb(opInquiry, 2, 1, 0x80, 3, 2, 96), Command{}, BadField},
		"capacity 16":       {cdb(opServiceIn16, 1, 1, 0x10, 10, 4, 32), Command{Kind: Capacity16, Alloc: 32}, nil},
		"other service":     {cdb(opServiceIn16, 1, 1, 0x12), Command{}, NoSuchCommand},
		"luns, short":       {cdb(opReportLuns, 6, 4, 8), Command{}, BadField},
	} {
		got, sense := u.Parse(c.cdb)
		switch {
		case (sense == nil) != (c.sense == nil) || sense != nil && (sense.Key != c.sense.Key || sense.Code != c.sense.Code):
			t.Errorf("%s: %v, not %v", name, sense, c.sense)
		case sense == nil && got != c.want:
			t.Errorf("%s: %+v, not %+v", name, got, c.want)
		}
	}
	u.Fixed = true
	for _, b := range [][]byte{cdb(opWrite10, 7, 2, 1), cdb(opUnmap), cdb(opWriteSame10, 7, 2, 1), cdb(opCompareWrite, 13, 1, 1)} {
		if _, sense := u.Parse(b); sense != WriteProtected {
			t.Errorf("%x on a unit that cannot be written: %v", b[0], sense)
		}
	}
	if _, sense := u.Parse([]byte{opTestUnitReady}); sense != nil {
		t.Errorf("a short block: %v", sense)
	}
}

func TestAnswers(t *testing.T) {
	u := unit()
	ask := func(b []byte) []byte {
		t.Helper()
		c, sense := u.Parse(b)
		if sense != nil {
			t.Fatal(sense)
		}
		out, sense := u.Answer(&c, []uint16{0, 300})
		if sense != nil {
			t.Fatal(sense)
		}
		return out
	}
	be := binary.BigEndian
	if b := ask(cdb(opInquiry, 3, 2, 255)); len(b) != 96 || int(b[4])+5 != len(b) || string(b[8:16]) != "IRISPOST" {
		t.Errorf("inquiry: %x", b)
	}
	if b := ask(cdb(opInquiry, 3, 2, 36)); len(b) != 36 {
		t.Errorf("a short inquiry: %d bytes", len(b))
	}
	pages := ask(cdb(opInquiry, 1, 1, 1, 3, 2, 255))
	for _, page := range pages[4:] {
		b := ask(cdb(opInquiry, 1, 1, 1, 2, 1, uint64(page), 3, 2, 255))
		if b[1] != page || int(be.Uint16(b[2:]))+4 != len(b) {
			t.Errorf("page %x: %x", page, b)
		}
		if page == 0xb0 && (len(b) != 64 || be.Uint32(b[8:]) != 256 || be.Uint32(b[28:]) != 64 || b[5] != 255) {
			t.Errorf("limits: %x", b)
		}
	}
	if b := ask(cdb(opReadCapacity10)); be.Uint32(b) != 999 || be.Uint32(b[4:]) != 4096 {
		t.Errorf("capacity: %x", b)
	}
	if b := ask(cdb(opServiceIn16, 1, 1, 0x10, 10, 4, 32)); be.Uint64(b) != 999 || be.Uint32(b[8:]) != 4096 {
		t.Errorf("capacity: %x", b)
	}
	b := ask(cdb(opReportLuns, 6, 4, 64))
	if be.Uint32(b) != 16 || len(b) != 24 {
		t.Errorf("luns: %x", b)
	}
	for i, want := range []uint16{0, 300} {
		if l, ok := DecodeLun(b[8+8*i:]); !ok || l != want {
			t.Errorf("lun %d comes back as %d, %v", want, l, ok)
		}
	}
	if _, ok := DecodeLun([]byte{0xc0, 1, 0, 0, 0, 0, 0, 0}); ok {
		t.Error("a unit in a form that is not given out")
	}
	if b := ask(cdb(opModeSense6, 2, 1, 0x3f, 4, 1, 255)); int(b[0])+1 != len(b) || b[3] != 8 || be.Uint32(b[4:]) != 1000 {
		t.Errorf("modes: %x", b)
	}
	if b := ask(cdb(opModeSense10, 1, 1, 8, 2, 1, 0x08, 7, 2, 255)); int(be.Uint16(b))+2 != len(b) || b[8] != 8 || b[10]&4 == 0 {
		t.Errorf("caching page: %x", b)
	}
	c, _ := u.Parse(cdb(opModeSense6, 2, 1, 0x1c, 4, 1, 255))
	if _, sense := u.Answer(&c, nil); sense != BadField {
		t.Errorf("a page that is not there: %v", sense)
	}
	u.Count = 1 << 40
	if b := ask(cdb(opReadCapacity10)); be.Uint32(b) != 0xffffffff {
		t.Errorf("capacity of a big one: %x", b)
	}
	s := &Sense{Key: 5, Code: 0x21, Info: 77, Valid: true}
	if got, ok := ReadSense(s.Bytes()); !ok || *got != *s {
		t.Errorf("%+v comes back as %+v", s, got)
	}
}

func TestRanges(t *testing.T) {
	u := unit()
	list := func(ranges ...uint64) []byte {
		b := make([]byte, 8)
		for i := 0; i < len(ranges); i += 2 {
			b = binary.BigEndian.AppendUint64(b, ranges[i])
			b = binary.BigEndian.AppendUint32(b, uint32(ranges[i+1]))
			b = append(b, 0, 0, 0, 0)
		}
		binary.BigEndian.PutUint16(b, uint16(len(b)-2))
		binary.BigEndian.PutUint16(b[2:], uint16(len(b)-8))
		return b
	}
	if got, sense := u.Ranges(list(1, 2, 5, 0, 990, 10)); sense != nil || len(got) != 2 || got[1] != (Range{990, 10}) {
		t.Errorf("%v, %v", got, sense)
	}
	u.Count = 1 << 20
	odd := list(1, 2)
	binary.BigEndian.PutUint16(odd[2:], 17)
	long := list(1, 2)
	binary.BigEndian.PutUint16(long[2:], 32)
	for name, c := range map[string]struct {
		data []byte
		want *Sense
	}{"short": {[]byte{1, 2}, ShortList}, "odd": {odd, BadList}, "longer than it is": {long, BadList}, "past": {list(1<<20, 1), OutOfRange},
		"over": {list(1<<64-1, 2), OutOfRange}, "too much": {list(0, LongestUnmap, 70_000, 1), BadList}} {
		if _, sense := u.Ranges(c.data); sense != c.want {
			t.Errorf("%s: %v, not %v", name, sense, c.want)
		}
	}
}

// Any bytes are read or refused, and what is read is within the unit.
func FuzzParse(f *testing.F) {
	f.Add(cdb(opRead16, 2, 8, 1, 10, 4, 256), []byte{})
	f.Fuzz(func(t *testing.T, b, data []byte) {
		u := unit()
		c, sense := u.Parse(b)
		if sense != nil {
			return
		}
		if in, out := c.Expects(u); in > 1<<31 || out > 1<<31 {
			t.Errorf("%+v expects %d in, %d out", c, in, out)
		}
		if c.Kind >= Read && c.Kind != Unmap && c.Block+c.Blocks > u.Count {
			t.Errorf("%+v is past the end", c)
		}
		_, _ = u.Answer(&c, []uint16{0}) // read or refused
		_, _ = u.Ranges(data)
	})
}
