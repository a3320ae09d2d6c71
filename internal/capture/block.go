package capture

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"irispost/scheduler"
)

// A capture file consists of the magic, which includes the format version, and blocks. A block is a header and a zstd
// frame of records. The header contains the length of the records, the length of the frame, the time of the first
// record, the number of records, and a checksum of these fields and the frame.
const (
	magic       = "IRISCAP1"
	magicPrefix = "IRISCAP"

	blockCompressedOffset = 4
	blockTimeOffset       = blockCompressedOffset + 4
	blockCountOffset      = blockTimeOffset + 8
	blockChecksumOffset   = blockCountOffset + 4
	blockHeaderBytes      = blockChecksumOffset + 8

	// maxBlockBytes is the largest frame, and the largest length of its uncompressed records, that a reader accepts.
	maxBlockBytes = 64 << 20
)

// block holds encoded records that are compressed and written together.
type block struct {
	raw     []byte
	firstAt scheduler.Time // time of the first record
	count   int            // number of records
}

// singleRecordBlock returns a block of one record.
func singleRecordBlock(record *Record, at scheduler.Time) block {
	return block{appendRecord(nil, record), at, 1}
}

// encodeBlock returns the header and the compressed records of a block. It reuses the capacity of buffer.
func encodeBlock(encoder *zstd.Encoder, b block, buffer []byte) []byte {
	var header [blockHeaderBytes]byte
	out := encoder.EncodeAll(b.raw, append(buffer[:0], header[:]...))
	binary.BigEndian.PutUint32(out, uint32(len(b.raw)))
	binary.BigEndian.PutUint32(out[blockCompressedOffset:], uint32(len(out)-blockHeaderBytes))
	binary.BigEndian.PutUint64(out[blockTimeOffset:], uint64(b.firstAt))
	binary.BigEndian.PutUint32(out[blockCountOffset:], uint32(b.count))
	binary.BigEndian.PutUint64(out[blockChecksumOffset:], checksum(out[:blockChecksumOffset], out[blockHeaderBytes:]))
	return out
}

// checksum returns the checksum of a block's header, up to the checksum field, and its frame.
func checksum(header, frame []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(header) // Write of a digest never fails
	_, _ = hash.Write(frame)
	return hash.Sum64()
}
