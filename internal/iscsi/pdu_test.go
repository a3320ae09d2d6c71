package iscsi

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
)

// plain reads from bytes.
type plain struct{ *bytes.Reader }

func (p plain) ReadBinary(n int) ([]byte, error) {
	if n > p.Len() {
		return nil, io.ErrUnexpectedEOF
	}
	b := make([]byte, n)
	_, err := io.ReadFull(p, b)
	return b, err
}

func (p plain) Release() error { return nil }

func wire(p *PDU, d Digests) []byte {
	head, tail := p.Seal(d).Bytes()
	return append(append([]byte{}, head...), tail...)
}

// PDUs come back as they were, with and without digests, for all lengths of data and further headers.
func TestComeBack(t *testing.T) {
	for n := range 9 {
		for k := range 16 {
			d := Digests{Head: k&1 != 0, Data: k&2 != 0}
			p := New(Command, Final|Reads).Put(16, 77).Put16(20, 5).Byte(2, 9).With(bytes.Repeat([]byte{'x'}, n))
			p.More = make([]byte, 4*(k>>2))
			if n == 0 {
				p.Data = nil
			}
			if len(p.More) == 0 {
				p.More = nil
			}
			b := wire(p, d)
			if len(b)%4 != 0 {
				t.Errorf("%d bytes", len(b))
			}
			got, err := Read(plain{bytes.NewReader(b)}, d, 100)
			if err != nil || !reflect.DeepEqual(got, p) || got.Op() != Command || got.Tag() != 77 || !got.Final() || got.Immediate() {
				t.Errorf("%+v comes back as %+v, %v", p, got, err)
			}
		}
	}
	// RFC 7143 names CRC32C; its value for 32 zero bytes is in RFC 3720, B.4.
	if got := sum(make([]byte, 32)); !bytes.Equal(got, []byte{0xaa, 0x36, 0x91, 0x8a}) {
		t.Errorf("%x", got)
	}
}

// Each byte flipped: a header's is an error, data's marks the PDU.
func TestFlips(t *testing.T) {
	d := Digests{true, true}
	p := New(DataOut, Final).Put(16, 1).With([]byte("twelve bytes"))
	whole := wire(p, d)
	for at := range whole {
		b := bytes.Clone(whole)
		b[at] ^= 0x10
		got, err := Read(plain{bytes.NewReader(b)}, d, 1<<20)
		if at < headSize+4 && err == nil || at >= headSize+4 && (err != nil || !got.Bad) {
			t.Errorf("byte %d flipped: %v", at, err)
		}
	}
}

// Lengths that lie: longer than was agreed, or than what there is.
func TestLengths(t *testing.T) {
	p := New(DataOut, Final).With(make([]byte, 101))
	if _, err := Read(plain{bytes.NewReader(wire(p, Digests{}))}, Digests{}, 100); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
	b := wire(p, Digests{})
	for n := range b {
		if _, err := Read(plain{bytes.NewReader(b[:n])}, Digests{}, 1000); err == nil {
			t.Errorf("%d bytes of %d are read", n, len(b))
		}
	}
}

func TestTexts(t *testing.T) {
	list := []Pair{{"InitiatorName", "iqn.2026-01.example:a"}, {"Empty", ""}, {"SessionType", "Normal"}}
	if got, err := ReadText(Text(list)); err != nil || !reflect.DeepEqual(got, list) {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"novalue\x00", "=x\x00", string(bytes.Repeat([]byte{'k'}, 64)) + "=v\x00"} {
		if _, err := ReadText([]byte(bad)); !errors.Is(err, ErrText) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// Any bytes are read or refused; what is read is written again as it was.
func FuzzRead(f *testing.F) {
	f.Add(wire(New(Command, Final).With([]byte("abc")), Digests{true, true}), true, true)
	f.Fuzz(func(t *testing.T, b []byte, head, data bool) {
		d := Digests{head, data}
		p, err := Read(plain{bytes.NewReader(b)}, d, 1<<16)
		if err != nil || p.Bad {
			return
		}
		again, err := Read(plain{bytes.NewReader(wire(p, d))}, d, 1<<16)
		if err != nil || again.Head != p.Head || !bytes.Equal(again.Data, p.Data) || !bytes.Equal(again.More, p.More) {
			t.Errorf("%+v comes back as %+v, %v", p, again, err)
		}
		_, _ = ReadText(p.Data) // read or refused
	})
}
