package iscsi

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Digests says which digests the PDUs of one direction of a connection carry.
type Digests struct{ Header, Data bool }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// crc32c returns the CRC32C digest of parts in wire order: least significant byte first (RFC 7143, 13.1; RFC 3385).
func crc32c(parts ...[]byte) []byte {
	sum := uint32(0)
	for _, part := range parts {
		sum = crc32.Update(sum, castagnoli, part)
	}
	return binary.LittleEndian.AppendUint32(nil, sum)
}

// padLength returns the number of bytes that pad a length to the next multiple of 4.
func padLength(length int) int { return -length & 3 }

// Offsets of the length fields in a header. The length of the additional headers is one byte and counts words of 4
// bytes; that of the data is 3 bytes and counts bytes.
const (
	offsetAdditionalLength = 4
	offsetDataLength       = 5
)

// EncodedPDU is a PDU in its wire format. It implements packetconn.Packet.
type EncodedPDU struct{ head, tail []byte }

// Size returns the length of the encoded PDU in bytes.
func (e *EncodedPDU) Size() int { return len(e.head) + len(e.tail) }

// Bytes returns the encoded PDU in two parts: head has the headers, tail the data.
func (e *EncodedPDU) Bytes() (head, tail []byte) { return e.head, e.tail }

// Encode sets the length fields and adds padding and digests. Data that needs neither padding nor a digest is not
// copied and must not change until the PDU is sent.
func (p *PDU) Encode(digests Digests) *EncodedPDU {
	length, pad := len(p.Data), padLength(len(p.Data))
	p.Header[offsetAdditionalLength] = byte((len(p.AdditionalHeaders) + 3) / 4)
	p.Header[offsetDataLength] = byte(length >> 16)
	p.Header[offsetDataLength+1] = byte(length >> 8)
	p.Header[offsetDataLength+2] = byte(length)
	head := append([]byte{}, p.Header[:]...)
	head = append(head, p.AdditionalHeaders...)
	head = append(head, make([]byte, padLength(len(p.AdditionalHeaders)))...)
	if digests.Header {
		head = append(head, crc32c(head)...)
	}
	if length == 0 || pad == 0 && !digests.Data {
		return &EncodedPDU{head: head, tail: p.Data}
	}
	tail := make([]byte, 0, length+pad+digestSize)
	tail = append(tail, p.Data...)
	tail = append(tail, make([]byte, pad)...)
	if digests.Data {
		tail = append(tail, crc32c(tail)...)
	}
	return &EncodedPDU{head: head, tail: tail}
}

// Errors returned by Read.
var (
	ErrTooLong      = errors.New("iscsi: PDU data exceeds the allowed length")
	ErrHeaderDigest = errors.New("iscsi: header digest mismatch")
)

// Source is a stream that PDUs are read from: a netpoll.Reader or a buffered connection.
type Source interface {
	// ReadBinary returns the next n bytes in memory that later reads do not overwrite.
	ReadBinary(n int) ([]byte, error)
	// Release allows the source to reuse the memory of earlier reads.
	Release() error
}

// Read reads a PDU with at most maxData bytes of data. After any error, ErrTooLong and ErrHeaderDigest included,
// nothing more can be read from the source. A wrong data digest is not an error: it sets BadDataDigest.
func Read(source Source, digests Digests, maxData int) (*PDU, error) {
	p := &PDU{}
	header, err := source.ReadBinary(headerSize)
	if err != nil {
		return nil, err
	}
	copy(p.Header[:], header)
	length := p.dataLength()
	if length > maxData {
		return nil, fmt.Errorf("%w: got %d bytes, at most %d are allowed", ErrTooLong, length, maxData)
	}
	if additional := 4 * int(p.Header[offsetAdditionalLength]); additional > 0 {
		if p.AdditionalHeaders, err = source.ReadBinary(additional); err != nil {
			return nil, err
		}
	}
	if digests.Header {
		digest, err := source.ReadBinary(digestSize)
		if err != nil {
			return nil, err
		}
		if !bytes.Equal(digest, crc32c(p.Header[:], p.AdditionalHeaders)) {
			return nil, ErrHeaderDigest
		}
	}
	if length > 0 {
		if err := p.readData(source, digests.Data, length); err != nil {
			return nil, err
		}
	}
	return p, source.Release()
}

func (p *PDU) dataLength() int {
	b := p.Header[offsetDataLength:]
	return int(b[0])<<16 | int(b[1])<<8 | int(b[2])
}

func (p *PDU) readData(source Source, hasDigest bool, length int) error {
	padded, err := source.ReadBinary(length + padLength(length))
	if err != nil {
		return err
	}
	if hasDigest {
		digest, err := source.ReadBinary(digestSize)
		if err != nil {
			return err
		}
		p.BadDataDigest = !bytes.Equal(digest, crc32c(padded))
	}
	p.Data = padded[:length]
	return nil
}
