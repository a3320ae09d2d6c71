package layout

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// recordFormat is the format number, the first byte of an encoded record.
const recordFormat = 1

// Lengths in an encoded record, in bytes.
const (
	fixedLength     = 35 // format, kind, state and the integers of fixed size
	checksumLength  = 8
	minRecordLength = fixedLength + 4 + checksumLength // with three empty strings and no extents
)

// ErrCorruptRecord is returned for a stored record that differs from what Encode wrote.
var ErrCorruptRecord = errors.New("the record is damaged")

// Encode returns the form in which nodes store the record: the fields of fixed size in big-endian order, the strings
// and extents with varint lengths, and a checksum (xxHash64) of all of these. It omits the version, which the node
// keeps.
func (r *Record) Encode() []byte {
	encoded := []byte{recordFormat, byte(r.Kind), byte(r.State)}
	encoded = binary.BigEndian.AppendUint32(encoded, r.Mode)
	encoded = binary.BigEndian.AppendUint64(encoded, r.Size)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Modified))
	encoded = binary.BigEndian.AppendUint32(encoded, r.ExtentSize)
	encoded = binary.BigEndian.AppendUint64(encoded, r.PeerVersion)
	for _, text := range []string{r.ChangeID, r.MovePeer, r.LastMoveID} {
		encoded = appendText(encoded, text)
	}
	encoded = binary.AppendUvarint(encoded, uint64(len(r.Extents)))
	for _, extent := range r.Extents {
		encoded = binary.AppendUvarint(encoded, uint64(extent.Shard))
		encoded = appendText(encoded, extent.Object)
	}
	return binary.BigEndian.AppendUint64(encoded, xxhash.Sum64(encoded))
}

func appendText(encoded []byte, text string) []byte {
	return append(binary.AppendUvarint(encoded, uint64(len(text))), text...)
}

// Decode decodes a record that Encode wrote; version is the one that the node stores with it. It fails with
// ErrCorruptRecord if the record is corrupt or has a format that this build does not know.
func Decode(encoded []byte, version uint64) (*Record, error) {
	if len(encoded) < minRecordLength {
		return nil, ErrCorruptRecord
	}
	fields, checksum := encoded[:len(encoded)-checksumLength], encoded[len(encoded)-checksumLength:]
	if xxhash.Sum64(fields) != binary.BigEndian.Uint64(checksum) {
		return nil, ErrCorruptRecord
	}
	if encoded[0] != recordFormat {
		return nil, fmt.Errorf("%w: its form is %d, this build reads %d", ErrCorruptRecord, encoded[0], recordFormat)
	}
	record := &Record{
		Version:     version,
		Kind:        Kind(fields[1]),
		State:       State(fields[2]),
		Mode:        binary.BigEndian.Uint32(fields[3:]),
		Size:        binary.BigEndian.Uint64(fields[7:]),
		Modified:    int64(binary.BigEndian.Uint64(fields[15:])),
		ExtentSize:  binary.BigEndian.Uint32(fields[23:]),
		PeerVersion: binary.BigEndian.Uint64(fields[27:]),
	}
	reader := &recordReader{remaining: fields[fixedLength:]}
	record.ChangeID = reader.text()
	record.MovePeer = reader.text()
	record.LastMoveID = reader.text()
	count := reader.number()
	if reader.malformed || count > uint64(len(reader.remaining)) { // an extent takes at least two bytes
		return nil, ErrCorruptRecord
	}
	for range count {
		shard := int(reader.number())
		record.Extents = append(record.Extents, Extent{Shard: shard, Object: reader.text()})
	}
	if reader.malformed || len(reader.remaining) > 0 {
		return nil, ErrCorruptRecord
	}
	return record, nil
}

// recordReader reads the fields of variable length. It returns zero values from the first malformed field on.
type recordReader struct {
	remaining []byte
	malformed bool
}

func (r *recordReader) number() uint64 {
	value, length := binary.Uvarint(r.remaining)
	if length <= 0 {
		r.malformed = true
		return 0
	}
	r.remaining = r.remaining[length:]
	return value
}

func (r *recordReader) text() string {
	length := r.number()
	if length > uint64(len(r.remaining)) {
		r.malformed = true
		return ""
	}
	text := string(r.remaining[:length])
	r.remaining = r.remaining[length:]
	return text
}
