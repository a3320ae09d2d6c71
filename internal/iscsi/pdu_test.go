package iscsi

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
)

// plain reads from bytes.
type bufferSource struct{ *bytes.Reader }

func (p bufferSource) ReadBinary(n int) ([]byte, error) {
	if n > p.Len() {
		return nil, io.ErrUnexpectedEOF
	}
	b := make([]byte, n)
	_, err := io.ReadFull(p, b)
	return b, err
}

func (p bufferSource) Release() error { return nil }

func encode(p *PDU, d Digests) []byte {
	head, tail := p.Encode(d).Bytes()
	return append(append([]byte{}, head...), tail...)
}

// PDUs are read as they were written, with and without digests, for all lengths of data and further headers.
func TestReadReturnsWhatEncodeWrote(t *testing.T) {
	for n := range 9 {
		for k := range 16 {
			d := Digests{Header: k&1 != 0, Data: k&2 != 0}
			p := New(Command, Final|Reads).SetUint32(16, 77).SetUint16(20, 5).SetByte(2, 9).SetData(bytes.Repeat([]byte{'x'}, n))
			p.AdditionalHeaders = make([]byte, 4*(k>>2))
			if n == 0 {
				p.Data = nil
			}
			if len(p.AdditionalHeaders) == 0 {
				p.AdditionalHeaders = nil
			}
			b := encode(p, d)
			if len(b)%4 != 0 {
				t.Errorf("%d bytes", len(b))
			}
			got, err := Read(bufferSource{bytes.NewReader(b)}, d, 100)
			same := reflect.DeepEqual(got, p) && got.Opcode() == Command && got.Tag() == 77 && got.Final() && !got.Immediate()
			if err != nil || !same {
				t.Errorf("%+v is read as %+v, %v", p, got, err)
			}
		}
	}
}

// RFC 7143 names CRC32C; its value for 32 zero bytes is in RFC 3720, B.4.
func TestCRC32CHasTheValueOfTheRFC(t *testing.T) {
	if got := crc32c(make([]byte, 32)); !bytes.Equal(got, []byte{0xaa, 0x36, 0x91, 0x8a}) {
		t.Errorf("%x", got)
	}
}

// A flipped bit of a header is an error, one of data marks the PDU.
func TestReadNoticesFlippedBits(t *testing.T) {
	d := Digests{true, true}
	p := New(DataOut, Final).SetUint32(16, 1).SetData([]byte("twelve bytes"))
	encoded := encode(p, d)
	for at := range encoded {
		b := bytes.Clone(encoded)
		b[at] ^= 0x10
		got, err := Read(bufferSource{bytes.NewReader(b)}, d, 1<<20)
		if at < headerSize+4 && err == nil || at >= headerSize+4 && (err != nil || !got.BadDataDigest) {
			t.Errorf("byte %d flipped: %v", at, err)
		}
	}
}

// Lengths that are longer than was agreed, or than what there is.
func TestReadRejectsWrongLengths(t *testing.T) {
	p := New(DataOut, Final).SetData(make([]byte, 101))
	if _, err := Read(bufferSource{bytes.NewReader(encode(p, Digests{}))}, Digests{}, 100); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
	b := encode(p, Digests{})
	for n := range b {
		if _, err := Read(bufferSource{bytes.NewReader(b[:n])}, Digests{}, 1000); err == nil {
			t.Errorf("%d bytes of %d are read", n, len(b))
		}
	}
}

func TestDecodeTextReadsPairsOrFails(t *testing.T) {
	list := []Pair{{"InitiatorName", "iqn.2026-01.example:a"}, {"Empty", ""}, {"SessionType", "Normal"}}
	if got, err := DecodeText(EncodeText(list)); err != nil || !reflect.DeepEqual(got, list) {
		t.Errorf("%v, %v", got, err)
	}
	for _, bad := range []string{"novalue\x00", "=x\x00", string(bytes.Repeat([]byte{'k'}, 64)) + "=v\x00"} {
		if _, err := DecodeText([]byte(bad)); !errors.Is(err, ErrMalformedText) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// Any bytes are read or rejected; what is read is written second as it was.
func FuzzRead(f *testing.F) {
	f.Add(encode(New(Command, Final).SetData([]byte("abc")), Digests{true, true}), true, true)
	f.Fuzz(func(t *testing.T, b []byte, head, data bool) {
		d := Digests{head, data}
		p, err := Read(bufferSource{bytes.NewReader(b)}, d, 1<<16)
		if err != nil || p.BadDataDigest {
			return
		}
		second, err := Read(bufferSource{bytes.NewReader(encode(p, d))}, d, 1<<16)
		same := second != nil && second.Header == p.Header && bytes.Equal(second.Data, p.Data) &&
			bytes.Equal(second.AdditionalHeaders, p.AdditionalHeaders)
		if err != nil || !same {
			t.Errorf("%+v is read as %+v, %v", p, second, err)
		}
		_, _ = DecodeText(p.Data) // read or rejected
	})
}
