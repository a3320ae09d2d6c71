package iscsi

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
)

// bufferSource is a Source that reads from memory.
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

// PDUs are decoded as they were encoded, with and without digests, for all lengths of padding and additional headers.
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
				t.Errorf("got an encoded PDU of %d bytes, want a multiple of 4", len(b))
			}
			got, err := Read(bufferSource{bytes.NewReader(b)}, d, 100)
			same := reflect.DeepEqual(got, p) && got.Opcode() == Command && got.Tag() == 77 && got.Final() && !got.Immediate()
			if err != nil || !same {
				t.Errorf("PDU %+v is decoded as %+v with error %v, want the same PDU and no error", p, got, err)
			}
		}
	}
}

// RFC 7143 specifies CRC32C; RFC 3720, B.4 has the expected value for 32 zero bytes.
func TestCRC32CHasTheValueOfTheRFC(t *testing.T) {
	if got := crc32c(make([]byte, 32)); !bytes.Equal(got, []byte{0xaa, 0x36, 0x91, 0x8a}) {
		t.Errorf("got digest %x, want aa36918a", got)
	}
}

// A bit flip in the header is an error; one in the data sets BadDataDigest.
func TestReadNoticesFlippedBits(t *testing.T) {
	d := Digests{true, true}
	p := New(DataOut, Final).SetUint32(16, 1).SetData([]byte("twelve bytes"))
	encoded := encode(p, d)
	for at := range encoded {
		b := bytes.Clone(encoded)
		b[at] ^= 0x10
		got, err := Read(bufferSource{bytes.NewReader(b)}, d, 1<<20)
		if at < headerSize+4 && err == nil || at >= headerSize+4 && (err != nil || !got.BadDataDigest) {
			t.Errorf("bit flip in byte %d: got error %v, want a header error or a bad data digest", at, err)
		}
	}
}

// PDUs longer than allowed and truncated PDUs are rejected.
func TestReadRejectsWrongLengths(t *testing.T) {
	p := New(DataOut, Final).SetData(make([]byte, 101))
	if _, err := Read(bufferSource{bytes.NewReader(encode(p, Digests{}))}, Digests{}, 100); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
	b := encode(p, Digests{})
	for n := range b {
		if _, err := Read(bufferSource{bytes.NewReader(b[:n])}, Digests{}, 1000); err == nil {
			t.Errorf("a PDU truncated to %d of %d bytes is read without an error", n, len(b))
		}
	}
}

func TestDecodeTextReadsPairsOrFails(t *testing.T) {
	list := []Pair{{"InitiatorName", "iqn.2026-01.example:a"}, {"Empty", ""}, {"SessionType", "Normal"}}
	if got, err := DecodeText(EncodeText(list)); err != nil || !reflect.DeepEqual(got, list) {
		t.Errorf("got pairs %v, error %v; want the encoded pairs and no error", got, err)
	}
	for _, bad := range []string{"novalue\x00", "=x\x00", string(bytes.Repeat([]byte{'k'}, 64)) + "=v\x00"} {
		if _, err := DecodeText([]byte(bad)); !errors.Is(err, ErrMalformedText) {
			t.Errorf("text %q: got error %v, want ErrMalformedText", bad, err)
		}
	}
}

// Arbitrary bytes are either decoded or rejected. A decoded PDU that is encoded and decoded again stays the same.
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
			t.Errorf("PDU %+v is decoded as %+v with error %v, want the same PDU and no error", p, second, err)
		}
		_, _ = DecodeText(p.Data) // must not panic
	})
}
